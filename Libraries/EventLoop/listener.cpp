#include "EventLoop/listener.h"

#include <poll.h>
#include <unistd.h>

namespace amaranthhoist {

/// Delay before pending connections are accepted again when no descriptors are
/// left.
static constexpr duration AcceptRetryDelay = std::chrono::milliseconds(20);
/// Connections accepted in one iteration of the loop, so that a crowd of new
/// ones doesn't keep it from the others.
static constexpr int MaxAcceptsPerIteration = 64;

result<bool> listener::listen(const endpoint &Endpoint) {
  Descriptor = TRY(listenOn(Endpoint));
  if (!Loop.watch(Descriptor, *this))
    return fail(error_code::Unavailable, "can't watch a listening socket");
  return true;
}

void listener::close() {
  if (Descriptor < 0)
    return;
  Loop.cancel(AcceptTimer);
  Loop.unwatch(Descriptor);
  ::close(Descriptor);
  Descriptor = -1;
}

void listener::onEvent(const io_event & /*Event*/) { acceptPending(); }

void listener::acceptLater(duration Delay) {
  if (AcceptTimer == 0)
    AcceptTimer = Loop.runAfter(Delay, [this] {
      AcceptTimer = 0;
      acceptPending();
    });
}

bool listener::isConnectionPending() const {
  pollfd Socket{Descriptor, POLLIN, 0};
  return poll(&Socket, 1, /*timeout=*/0) > 0;
}

void listener::acceptPending() {
  for (int Accepted = 0; Descriptor >= 0; ++Accepted) {
    if (Accepted == MaxAcceptsPerIteration) {
      acceptLater(duration::zero());
      return;
    }
    const bool IsFull = Owner.connectionCount() >= Limit;
    if (IsFull && !isConnectionPending())
      return;
    bool OutOfDescriptors = IsFull && !Owner.closeInactive();
    const int Connection =
        OutOfDescriptors ? -1 : acceptConnection(Descriptor, OutOfDescriptors);
    if (Connection >= 0) {
      Owner.onAccepted(Connection);
      continue;
    }
    if (OutOfDescriptors)
      acceptLater(AcceptRetryDelay);
    return;
  }
}

} // namespace amaranthhoist
