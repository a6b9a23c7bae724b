#include "EventLoop/stream.h"

#include "EventLoop/socket.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

/// Reads of one stream in one iteration of the loop. A peer that sends as fast
/// as its bytes are read would keep the loop from all others.
static constexpr int MaxReadsPerIteration = 16;
/// A piece of the write buffer that is shorter than this takes further bytes.
static constexpr std::size_t SmallPieceSize = 4'096;

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
  Loop.cancel(ReadTimer);
  Loop.unwatch(Descriptor);
  ::close(Descriptor);
  Descriptor = -1;
}

void stream::closeWithReset() {
  if (Descriptor < 0)
    return;
  Loop.cancel(ReadTimer);
  Loop.unwatch(Descriptor);
  amaranthhoist::closeWithReset(Descriptor);
  Descriptor = -1;
}

void stream::shutdownWhenFlushed() {
  if (Descriptor < 0)
    return;
  ShutdownWhenFlushed = true;
  if (pendingBytes() == 0)
    shutdown(Descriptor, SHUT_WR);
}

std::size_t stream::sendBytes(std::string_view Bytes) {
  const ssize_t Count =
      send(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  if (Count >= 0)
    return static_cast<std::size_t>(Count);
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
    return 0;
  // The kernel reports an error once, and the end of the stream from then on.
  // EPIPE follows the end of the peer's stream, or the error kept here.
  IsLost = IsLost || (errno != EPIPE && !HasPeerFinished);
  return 0;
}

void stream::buffer(std::string_view Bytes) {
  PendingBytes += Bytes.size();
  if (!WriteBuffer.empty() && WriteBuffer.back().size() < SmallPieceSize)
    WriteBuffer.back().append(Bytes);
  else
    WriteBuffer.emplace_back(Bytes);
}

void stream::write(std::string_view Bytes) {
  if (Descriptor < 0)
    return;
  if (pendingBytes() == 0 && IsConnected)
    Bytes.remove_prefix(sendBytes(Bytes));
  if (!Bytes.empty())
    buffer(Bytes);
}

void stream::flush() {
  if (pendingBytes() == 0)
    return;
  const std::size_t PendingBefore = pendingBytes();
  while (pendingBytes() > 0) {
    const std::string_view Piece =
        std::string_view(WriteBuffer.front()).substr(WriteOffset);
    const std::size_t Accepted = sendBytes(Piece);
    if (Accepted == 0)
      break;
    PendingBytes -= Accepted;
    WriteOffset += Accepted;
    if (Accepted < Piece.size())
      continue;
    WriteBuffer.erase(WriteBuffer.begin());
    WriteOffset = 0;
  }
  if (pendingBytes() > 0) {
    if (pendingBytes() < PendingBefore)
      Owner.onPartlyFlushed();
    return;
  }
  if (ShutdownWhenFlushed)
    shutdown(Descriptor, SHUT_WR);
  Owner.onFlushed();
}

void stream::resume() {
  IsReadingPaused = false;
  if (HasUnreadInput && ReadTimer == 0)
    readAll(PeerDisconnected);
}

void stream::limitReads(std::size_t Bytes) {
  ReadLimit = std::min(Bytes, ReadSize);
}

void stream::readLater() {
  HasUnreadInput = true;
  if (ReadTimer == 0)
    ReadTimer = Loop.runAfter(duration::zero(), [this] {
      ReadTimer = 0;
      readAll(PeerDisconnected);
    });
}

bool stream::checkPeer(duration AckTimeout) {
  const auto Progress =
      Descriptor < 0 ? std::nullopt : readSendProgress(Descriptor);
  if (!Progress)
    return false;
  switch (assessPeer(Liveness, *Progress, AckTimeout, Loop.now())) {
  case liveness_action::None:
    break;
  case liveness_action::TurnTimeoutOff:
    setAckTimeout(Descriptor, duration::zero());
    break;
  case liveness_action::TurnTimeoutOn:
    setAckTimeout(Descriptor, AckTimeout);
    break;
  case liveness_action::GiveUp:
    disconnect(disconnect_reason::ConnectionLost);
    return false;
  }
  return !isIdle(*Progress);
}

void stream::disconnect(disconnect_reason Reason) {
  if (Descriptor < 0)
    return;
  close();
  Owner.onDisconnect(Reason);
}

void stream::readAll(bool UntilEof) {
  // On the stack, since an owner may resume another stream from within its
  // callback.
  std::array<char, ReadSize> Buffer; // NOLINT(*-member-init): recv fills it
  HasUnreadInput = false;
  for (int Reads = 0; Descriptor >= 0; ++Reads) {
    if (IsReadingPaused) {
      HasUnreadInput = true;
      return;
    }
    if (Reads == MaxReadsPerIteration) {
      readLater();
      return;
    }
    const std::size_t Wanted = ReadLimit;
    const ssize_t Count = recv(Descriptor, Buffer.data(), Wanted, 0);
    if (Count == 0) {
      disconnect(IsLost ? disconnect_reason::ConnectionLost
                        : disconnect_reason::Graceful);
      return;
    }
    if (Count < 0) {
      if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
        disconnect(disconnect_reason::ConnectionLost);
      return;
    }
    const auto Size = static_cast<std::size_t>(Count);
    Owner.onBytes({Buffer.data(), Size});
    // A short read means that the kernel's buffer is empty.
    if (Size < Wanted && !UntilEof)
      return;
  }
}

void stream::onEvent(const io_event &Event) {
  if (!IsConnected && (Event.Writable || Event.Disconnected)) {
    if (connectError(Descriptor) != 0) {
      disconnect(disconnect_reason::ConnectionLost);
      return;
    }
    if (!Event.Writable)
      return;
    IsConnected = true;
    Owner.onConnected();
    if (Descriptor < 0)
      return;
  }
  if (Event.Disconnected)
    PeerDisconnected = true;
  if (Event.Disconnected && !Event.Failed)
    HasPeerFinished = true;
  if (Event.Writable && pendingBytes() > 0)
    flush();
  if (Descriptor >= 0 && ReadTimer == 0 &&
      (Event.Readable || Event.Disconnected))
    readAll(PeerDisconnected);
}

} // namespace amaranthhoist
