#include "connect_trial.h"

#include "EventLoop/socket.h"
#include "target_pool.h"

namespace amaranthhoist {

connect_trial::connect_trial(event_loop &Loop, std::function<void(bool)> OnEnd)
    : Loop(Loop), OnEnd(std::move(OnEnd)), Stream(Loop, *this) {}

connect_trial::~connect_trial() { Loop.cancel(Timer); }

bool connect_trial::begin(const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  const auto Descriptor = Endpoint ? connectTo(*Endpoint, ConnectTimeout)
                                   : tl::unexpected(Endpoint.error());
  if (!Descriptor || !Stream.open(*Descriptor, /*IsConnected=*/false))
    return false;
  Timer = Loop.runAfter(ConnectTimeout, [this] {
    Timer = 0;
    finish(/*IsConnected=*/false);
  });
  return true;
}

void connect_trial::finish(bool IsConnected) {
  Stream.close();
  Loop.cancel(Timer);
  OnEnd(IsConnected);
}

} // namespace amaranthhoist
