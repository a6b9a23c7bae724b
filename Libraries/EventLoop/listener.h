/// A listening socket that accepts connections up to a limit. At the limit a
/// connection that has been inactive for long is closed for a new one; if there
/// is none, the new one waits in the kernel.
#pragma once

#include "EventLoop/event_loop.h"
#include "EventLoop/socket.h"

#include <cstddef>

namespace amaranthhoist {

class listener_owner {
public:
  virtual ~listener_owner() = default;
  [[nodiscard]] virtual std::size_t connectionCount() const = 0;
  /// Closes a connection for a new one. Returns false if none may be closed.
  virtual bool closeInactive() = 0;
  /// Takes ownership of \p Descriptor.
  virtual void onAccepted(int Descriptor) = 0;
};

class listener : private io_handler {
public:
  listener(event_loop &Loop, listener_owner &Owner)
      : Loop(Loop), Owner(Owner) {}
  ~listener() override { close(); }
  listener(const listener &) = delete;
  listener &operator=(const listener &) = delete;

  /// Fails if the address can't be listened on.
  result<bool> listen(const endpoint &Endpoint);
  /// Stops accepting connections.
  void close();
  /// Sets the number of connections that the owner may have.
  void setLimit(std::size_t NewLimit) { Limit = NewLimit; }

private:
  void onEvent(const io_event &Event) override;
  void acceptPending();
  void acceptLater(duration Delay);
  [[nodiscard]] bool isConnectionPending() const;

  event_loop &Loop;
  listener_owner &Owner;
  int Descriptor = -1;
  std::size_t Limit = 0;
  timer_id AcceptTimer = 0;
};

} // namespace amaranthhoist
