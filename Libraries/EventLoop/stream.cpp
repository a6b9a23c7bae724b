#include "EventLoop/stream.h"

#include "EventLoop/socket.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

/// Bytes read at a time, on the stack: an owner may resume another stream from
/// within its own call.
static constexpr std::size_t ReadSize = 32'768;

stream::~stream() { close(); }

bool stream::open(int NewDescriptor, bool Connected) {
  Descriptor = NewDescriptor;
  IsConnected = Connected;
  if (Loop.watch(Descriptor, *this))
    return true;
  close();
  return false;
}

void stream::close() {
  if (Descriptor < 0)
    return;
  Loop.unwatch(Descriptor);
  ::close(Descriptor);
  Descriptor = -1;
}

void stream::closeWithReset() {
  if (Descriptor < 0)
    return;
  Loop.unwatch(Descriptor);
  amaranthhoist::closeWithReset(Descriptor);
  Descriptor = -1;
}

void stream::endWhenDrained() {
  if (Descriptor < 0)
    return;
  EndsWhenDrained = true;
  if (pending() == 0)
    shutdown(Descriptor, SHUT_WR);
}

void stream::write(std::string_view Bytes) {
  if (Descriptor < 0)
    return;
  if (pending() > 0 || !IsConnected) {
    Unsent.append(Bytes);
    return;
  }
  const ssize_t Count =
      send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  const std::size_t Taken = Count > 0 ? static_cast<std::size_t>(Count) : 0;
  // An error other than a full buffer shows as a hang-up event.
  if (Taken < Bytes.size()) {
    Unsent.assign(Bytes.substr(Taken));
    Sent = 0;
  }
}

void stream::flush() {
  while (pending() > 0) {
    const ssize_t Count =
        send(Descriptor, Unsent.data() + Sent, pending(), MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Sent += static_cast<std::size_t>(Count);
  }
  const bool HadSome = !Unsent.empty();
  Unsent.clear();
  Sent = 0;
  if (!HadSome)
    return;
  if (EndsWhenDrained)
    shutdown(Descriptor, SHUT_WR);
  Owner.onDrained();
}

void stream::resume() {
  IsPaused = false;
  if (HasMoreToRead)
    readAll(PeerHungUp);
}

void stream::end(stream_end End) {
  if (Descriptor < 0)
    return;
  close();
  Owner.onEnd(End);
}

void stream::readAll(bool UntilEnd) {
  std::array<char, ReadSize> Buffer; // NOLINT(*-member-init): recv fills it
  HasMoreToRead = false;
  while (Descriptor >= 0) {
    if (IsPaused) {
      HasMoreToRead = true;
      return;
    }
    const ssize_t Count = recv(Descriptor, Buffer.data(), Buffer.size(), 0);
    if (Count == 0) {
      end(stream_end::InOrder);
      return;
    }
    if (Count < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        end(stream_end::Broken);
      return;
    }
    const auto Size = static_cast<std::size_t>(Count);
    Owner.onBytes({Buffer.data(), Size});
    // A short read has emptied the kernel's buffer.
    if (Size < Buffer.size() && !UntilEnd)
      return;
  }
}

void stream::onEvent(const io_event &Event) {
  if (!IsConnected && (Event.Writable || Event.HungUp)) {
    if (connectError(Descriptor) != 0) {
      end(stream_end::Broken);
      return;
    }
    if (!Event.Writable)
      return;
    IsConnected = true;
    Owner.onConnected();
    if (Descriptor < 0)
      return;
  }
  if (Event.HungUp)
    PeerHungUp = true;
  if (Event.Writable && pending() > 0)
    flush();
  if (Descriptor >= 0 && (Event.Readable || Event.HungUp))
    readAll(PeerHungUp);
}

} // namespace amaranthhoist
