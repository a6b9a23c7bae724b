/// A non-blocking TCP connection on an event loop, with a write buffer for
/// bytes that the kernel has not accepted yet.
#pragma once

#include "EventLoop/event_loop.h"
#include "EventLoop/peer_liveness.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Why a connection was closed.
enum class disconnect_reason : std::uint8_t {
  /// The peer closed its side gracefully.
  Graceful,
  /// The connection was reset, or the peer stopped responding.
  ConnectionLost,
};

/// Receives the events of a connection. The owner may close the stream in any
/// callback, but must not destroy it before the current loop iteration ends.
class stream_owner {
public:
  virtual ~stream_owner() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::string_view Bytes) = 0;
  /// The kernel has accepted a part of the bytes in the write buffer.
  virtual void onPartlyFlushed() {}
  /// The kernel has accepted all written bytes.
  virtual void onFlushed() {}
  virtual void onDisconnect(disconnect_reason Reason) = 0;
};

class stream : public io_handler {
public:
  /// Bytes of one read at most.
  static constexpr std::size_t ReadSize = 32'768;

  stream(event_loop &Loop, stream_owner &Owner) : Loop(Loop), Owner(Owner) {}
  ~stream() override;
  stream(const stream &) = delete;
  stream &operator=(const stream &) = delete;

  /// Takes ownership of \p Descriptor, whose connection is established or still
  /// in progress.
  [[nodiscard]] bool open(int Descriptor, bool IsConnected);

  /// Sends \p Bytes and buffers those that the kernel does not accept.
  void write(std::string_view Bytes);
  /// Number of bytes in the write buffer.
  [[nodiscard]] std::size_t pendingBytes() const { return PendingBytes; }

  /// Stops reading, to apply back pressure to the peer, until resume().
  void pause() { IsReadingPaused = true; }
  void resume();
  /// Limits the bytes of one read, at most ReadSize.
  void limitReads(std::size_t Bytes);

  [[nodiscard]] bool isOpen() const { return Descriptor >= 0; }
  [[nodiscard]] bool isConnected() const { return IsConnected; }
  /// Whether the peer has closed its side, even if received bytes are still to
  /// be read.
  [[nodiscard]] bool hasPeerDisconnected() const { return PeerDisconnected; }
  /// Checks a peer that has not acknowledged all bytes, with the timeout that
  /// its connection was opened with. A peer that acknowledges without reading
  /// is waited for; one that is gone is reported as a lost connection. Returns
  /// whether another check is needed before more bytes are written.
  bool checkPeer(duration AckTimeout);
  /// Whether the peer was found to acknowledge without reading, and has not
  /// been found to have acknowledged everything since.
  [[nodiscard]] bool isPeerSlow() const { return Liveness.IsTimeoutOff; }
  /// Closes immediately and drops the write buffer.
  void close();
  /// Closes with a reset, so that the peer cannot mistake a truncated message
  /// for a complete one.
  void closeWithReset();
  /// Shuts down the sending side once the write buffer is empty. The peer's
  /// close is then reported as onDisconnect(). Closing before the peer has read
  /// everything could send a reset, which would discard unread bytes.
  void shutdownWhenFlushed();

  void onEvent(const io_event &Event) override;

private:
  void readAll(bool UntilEof);
  /// Goes on to read in the next iteration of the loop.
  void readLater();
  /// Returns the number of bytes that the kernel accepted.
  std::size_t sendBytes(std::string_view Bytes);
  void buffer(std::string_view Bytes);
  void flush();
  void disconnect(disconnect_reason Reason);

  event_loop &Loop;
  stream_owner &Owner;
  int Descriptor = -1;
  bool IsConnected = false;
  bool IsReadingPaused = false;
  bool HasUnreadInput = false;
  timer_id ReadTimer = 0;
  std::size_t ReadLimit = ReadSize;
  bool PeerDisconnected = false;
  /// The peer has finished its stream, and the connection was intact then.
  bool HasPeerFinished = false;
  /// The connection broke before the peer had finished its stream.
  bool IsLost = false;
  bool ShutdownWhenFlushed = false;
  peer_liveness Liveness;
  /// Bytes to be sent, in pieces, so that each is freed when it is sent.
  std::vector<std::string> WriteBuffer;
  /// Bytes of the first piece that are sent.
  std::size_t WriteOffset = 0;
  std::size_t PendingBytes = 0;
};

} // namespace amaranthhoist
