/// An HTTP/1.1 client connection that performs one call at a time. It never
/// retries, and reports exactly how far a failed call got; whether to retry is
/// the decision of the call's owner.
#pragma once

#include "EventLoop/socket.h"
#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// Describes how far a failed call got.
struct call_failure {
  /// The connection was never established: no byte of the call was sent.
  bool NotConnected = false;
  /// The connection had carried other calls before. A server may close such a
  /// keep-alive connection at the moment when a call is sent.
  bool WasReused = false;
  /// Bytes of a response had been received.
  bool HadResponseBytes = false;
  /// The received bytes were not a valid HTTP response.
  bool IsMalformed = false;
};

/// Receives the response to one call.
class call_owner {
public:
  virtual ~call_owner() = default;
  /// Called with the head of a response. Returns false if the response belongs
  /// to another call; the connection then skips it and waits for the next one.
  virtual bool onHead(const message_head &Head) = 0;
  /// Called when bytes were appended to \p Body. The owner removes those that
  /// it has processed.
  virtual void onBody(std::string &Body) = 0;
  /// Called when the response is complete. The connection is available for the
  /// next call if isReusable().
  virtual void onComplete() = 0;
  /// Called when the call ended without a complete response. The connection is
  /// closed.
  virtual void onFailure(const call_failure &Failure) = 0;
};

/// The owner may drop its handle in any callback.
class client_connection : public retirable, private stream_owner {
public:
  explicit client_connection(event_loop &Loop);
  ~client_connection() override { Loop.cancel(PeerCheck); }

  /// Starts connecting. Returns false if that fails immediately. \p PeerTimeout
  /// is the timeout of connectTo().
  [[nodiscard]] bool connect(const endpoint &Endpoint, duration PeerTimeout);

  /// Sends the complete \p Request. The previous call must have ended.
  void call(call_owner &Owner, std::string_view Request, bool IsHeadRequest);
  /// Closes the connection. The owner receives no further callbacks.
  void close();
  /// Closes like close(), and resets the connection if a call is in flight: the
  /// network discards what it still holds of the call, which could otherwise
  /// reach the peer seconds later.
  void abort();

  void pauseReading() { Stream.pause(); }
  void resumeReading() { Stream.resume(); }

  [[nodiscard]] bool isConnected() const { return Stream.isConnected(); }
  [[nodiscard]] bool isOpen() const { return Stream.isOpen(); }
  [[nodiscard]] bool isReusable() const { return IsReusable; }
  /// The Content-Length of the response.
  [[nodiscard]] std::optional<std::uint64_t> contentLength() const {
    return Reader.contentLength();
  }

  /// Time at which the last call ended.
  instant IdleSince{};
  /// How long the server keeps the idle connection open, according to its
  /// Keep-Alive field; zero if it did not say.
  duration KeepAliveTimeout{};

private:
  friend struct connection_deleter;

  void onConnected() override;
  void onBytes(std::string_view Bytes) override;
  void onDisconnect(disconnect_reason Reason) override;
  void handleHead();
  void finish(std::string_view Trailing);
  void failCall(bool Garbled);
  void checkPeerAfter(duration Delay);

  event_loop &Loop;
  stream Stream;
  message_reader Reader;
  call_owner *Owner = nullptr;
  bool IsForHead = false;
  bool HeadHandled = false;
  bool IsSkippingResponse = false;
  bool IsReusable = true;
  int CallCount = 0;
  duration PeerTimeout{};
  timer_id PeerCheck = 0;
  int SkippedResponses = 0;
  int InterimResponses = 0;
  std::size_t SkippedBytes = 0;
};

/// Closes a connection and leaves its destruction to the event loop.
struct connection_deleter {
  void operator()(client_connection *Connection) const;
};
using connection_handle =
    std::unique_ptr<client_connection, connection_deleter>;

connection_handle makeConnection(event_loop &Loop);

} // namespace amaranthhoist
