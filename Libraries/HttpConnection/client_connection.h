/// One HTTP/1.1 connection to a server, for one call after another. Never sends
/// anything twice, and tells exactly how far a call came; whether to call again
/// is the caller's decision.
#pragma once

#include "EventLoop/socket.h"
#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// What is known of a call that failed.
struct call_failure {
  /// No connection was made: no byte of the call left.
  bool NotConnected = false;
  /// The connection had served other calls before. A server may close such a
  /// connection just as a call is sent.
  bool WasKept = false;
  /// Bytes of an answer had come.
  bool HadAnswer = false;
  /// What came was no answer in the protocol.
  bool Garbled = false;
};

/// Gets the answer to one call.
class call_owner {
public:
  virtual ~call_owner() = default;
  /// The head of an answer. False: it belongs to another call; it is skipped
  /// and the next one awaited.
  virtual bool onHead(const message_head &Head) = 0;
  /// Bytes of the body were added to \p Body; the owner takes what it uses.
  virtual void onBody(std::string &Body) = 0;
  /// The answer is whole. The connection is free for the next call if
  /// isReusable().
  virtual void onComplete() = 0;
  /// The call is over without a whole answer; the connection is closed.
  virtual void onFailure(const call_failure &Failure) = 0;
};

class client_connection : private stream_owner {
public:
  explicit client_connection(event_loop &Loop);

  /// Begins to connect. False when that fails at once.
  [[nodiscard]] bool connect(const endpoint &Endpoint, duration Silence);

  /// Sends \p Request, whole. One call at a time.
  void call(call_owner &Owner, std::string_view Request, bool IsHead);
  /// Closes; the owner hears nothing more.
  void close();

  void pauseReading() { Stream.pause(); }
  void resumeReading() { Stream.resume(); }

  [[nodiscard]] bool isConnected() const { return Stream.isConnected(); }
  [[nodiscard]] bool isOpen() const { return Stream.isOpen(); }
  [[nodiscard]] bool isReusable() const { return IsReusable; }
  /// Length that the head of the answer tells.
  [[nodiscard]] std::optional<std::uint64_t> contentLength() const {
    return Reader.contentLength();
  }

  /// When the last call ended.
  instant IdleSince{};
  /// How long the server keeps it idle, as it said; zero: it didn't.
  duration KeptFor{};

private:
  void onConnected() override;
  void onBytes(std::string_view Bytes) override;
  void onEnd(stream_end End) override;
  void takeHead();
  void finish(std::string_view Rest);
  void failCall(bool Garbled);

  event_loop &Loop;
  stream Stream;
  message_reader Reader;
  call_owner *Owner = nullptr;
  bool IsHead = false;
  bool HeadTaken = false;
  bool Skipping = false;
  bool IsReusable = true;
  int Calls = 0;
  int Skipped = 0;
};

} // namespace amaranthhoist
