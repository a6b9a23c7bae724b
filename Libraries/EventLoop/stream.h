/// One non-blocking TCP connection on an event loop, with a buffer for what
/// the peer hasn't taken yet.
#pragma once

#include "EventLoop/event_loop.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// How a connection ended.
enum class stream_end : std::uint8_t {
  /// The peer closed its side in order.
  InOrder,
  /// Reset, or the peer fell silent.
  Broken,
};

/// Gets what happens at a connection. In any call the owner may close the
/// stream, but must not destroy it before the round of events ends.
class stream_owner {
public:
  virtual ~stream_owner() = default;
  virtual void onConnected() {}
  virtual void onBytes(std::string_view Bytes) = 0;
  /// Everything that was written has been handed to the kernel.
  virtual void onDrained() {}
  virtual void onEnd(stream_end End) = 0;
};

class stream : public io_handler {
public:
  stream(event_loop &Loop, stream_owner &Owner) : Loop(Loop), Owner(Owner) {}
  ~stream() override;
  stream(const stream &) = delete;
  stream &operator=(const stream &) = delete;

  /// Takes over a connection that stands, or one that was begun.
  [[nodiscard]] bool open(int Descriptor, bool IsConnected);

  /// Sends, and keeps what the kernel doesn't take.
  void write(std::string_view Bytes);
  /// Bytes that wait for the peer.
  [[nodiscard]] std::size_t pending() const { return Unsent.size() - Sent; }

  /// Stops and resumes reading.
  void pause() { IsPaused = true; }
  void resume();

  [[nodiscard]] bool isOpen() const { return Descriptor >= 0; }
  [[nodiscard]] bool isConnected() const { return IsConnected; }
  /// Closes at once; what waits is dropped.
  void close();
  /// Closes with a reset: the peer can't take a part for the whole.
  void closeWithReset();
  /// Ends this side once everything waiting is sent. The peer's close follows
  /// as onEnd(): closing before it has read everything would turn into a reset
  /// that overtakes what was sent.
  void endWhenDrained();

  void onEvent(const io_event &Event) override;

private:
  void readAll(bool UntilEnd);
  void flush();
  void end(stream_end End);

  event_loop &Loop;
  stream_owner &Owner;
  int Descriptor = -1;
  bool IsConnected = false;
  bool IsPaused = false;
  bool HasMoreToRead = false;
  bool PeerHungUp = false;
  bool EndsWhenDrained = false;
  std::string Unsent;
  std::size_t Sent = 0;
};

} // namespace amaranthhoist
