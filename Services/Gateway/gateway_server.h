/// The gateway's RPC interface for the other processes of the system.
#pragma once

#include "gateway_daemon.h"

namespace amaranthhoist {

class gateway_server final : public wire::Gateway::Server {
public:
  explicit gateway_server(gateway_daemon &Daemon) : Daemon(Daemon) {}

protected:
  kj::Promise<void> run(RunContext Context) override;
  kj::Promise<void> seal(SealContext Context) override;
  kj::Promise<void> offers(OffersContext Context) override;
  kj::Promise<void> deliver(DeliverContext Context) override;
  kj::Promise<void> status(StatusContext Context) override;

private:
  gateway_daemon &Daemon;
};

} // namespace amaranthhoist
