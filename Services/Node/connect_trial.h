/// A connection that is opened to find out whether a server accepts it, and
/// closed again.
#pragma once

#include "EventLoop/stream.h"
#include "node.h"

#include <functional>
#include <string>

namespace amaranthhoist {

class connect_trial : public retirable, private stream_owner {
public:
  /// \p OnEnd is called once, with whether the connection was established. The
  /// trial must not be destroyed before that call has returned.
  connect_trial(event_loop &Loop, std::function<void(bool)> OnEnd);
  ~connect_trial() override;

  /// Returns false when the connection fails immediately.
  [[nodiscard]] bool begin(const std::string &Address);

private:
  void onConnected() override { finish(/*IsConnected=*/true); }
  void onBytes(std::string_view /*Bytes*/) override {}
  void onDisconnect(disconnect_reason /*End*/) override {
    finish(/*IsConnected=*/false);
  }
  void finish(bool IsConnected);

  event_loop &Loop;
  std::function<void(bool)> OnEnd;
  stream Stream;
  timer_id Timer = 0;
};

} // namespace amaranthhoist
