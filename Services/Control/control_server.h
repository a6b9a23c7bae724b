/// The control's RPC interface for local daemons, other controls and the
/// command line.
#pragma once

#include "control_daemon.h"

namespace amaranthhoist {

class control_server final : public wire::Control::Server {
public:
  explicit control_server(control_daemon &Daemon) : Daemon(Daemon) {}

protected:
  kj::Promise<void> changes(ChangesContext Context) override;
  kj::Promise<void> update(UpdateContext Context) override;
  kj::Promise<void> announce(AnnounceContext Context) override;
  kj::Promise<void> replicate(ReplicateContext Context) override;
  kj::Promise<void> probe(ProbeContext Context) override;
  kj::Promise<void> held(HeldContext Context) override;
  kj::Promise<void> status(StatusContext Context) override;

private:
  control_daemon &Daemon;
};

} // namespace amaranthhoist
