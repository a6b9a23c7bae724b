/// One connection of a caller. Parses its requests, serves each by an exchange,
/// several concurrently where that is safe, and detects when the caller
/// disconnects.
#pragma once

#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"
#include "exchange.h"
#include "node.h"
#include "response_slot.h"
#include "target_pool.h"
#include "unsent_responses.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhoist {

class caller_server;

class caller_connection : public retirable,
                          public memory_holder,
                          private stream_owner,
                          private slot_owner {
public:
  caller_connection(node &Node, target_pool &Pool, caller_server &Server);
  ~caller_connection() override;

  [[nodiscard]] bool open(int Descriptor);
  /// Returns whether a request is being read or served, or the kernel has not
  /// accepted all bytes of the responses.
  [[nodiscard]] bool isBusy() const {
    return !Slots.empty() || Reader.hasStarted() || Stream.pendingBytes() > 0;
  }
  /// Returns whether the connection may be closed for a new one: no request is
  /// served, or its caller takes nothing of the responses.
  [[nodiscard]] bool isInactive() const;
  void closeForNew();
  /// Closes the connection if it is idle.
  void closeIfIdle();
  /// Logs the requests that are aborted, and the responses that are cut off,
  /// because the process exits.
  void logAborted();

  [[nodiscard]] std::size_t heldBytes() const override;
  void drop() override;

private:
  void onBytes(std::string_view Bytes) override;
  void onPartlyFlushed() override;
  void onFlushed() override;
  void onDisconnect(disconnect_reason End) override;

  bool isFirst(const response_slot &Slot) const override;
  void sendNow(std::string_view Bytes) override;
  std::size_t unsentBytes() const override { return Stream.pendingBytes(); }
  bool keepsAliveAfter(const response_slot &Slot) override;
  void onFirstDone() override;

  void updateMemory();
  /// Called when bytes were received or taken.
  void recordActivity();
  /// Begins requests that are buffered, and reads more.
  void processBacklog();
  void takeRequests();
  void waitForTurn();
  void updateReading();
  [[nodiscard]] bool mayReadNext() const;
  /// Whether nothing behind the requests read so far is served.
  [[nodiscard]] bool isLastRequestTaken() const;
  /// Feeds \p Bytes to the reader. Returns the number of bytes consumed.
  std::size_t feedReader(std::string_view Bytes);
  bool handleHead();
  void handleRequest();
  caller_request makeRequest();
  [[nodiscard]] bool mayServeConcurrently(const caller_request &Request) const;
  void serve(caller_request Request);
  void retireFirst();
  /// Drops the requests in flight. The server keeps exchanges that continue
  /// without the caller.
  void dropRequests();
  /// Ends the connection after a response that was broken off.
  void endAfterAbort();
  void onAllResponsesSent();
  /// Sends a response with \p Status without an exchange and closes the
  /// connection, after the responses to all earlier requests.
  void rejectAndClose(int Status);
  void writeRejection(int Status);
  void closeGracefully();
  void closeNow();
  void setTimer(duration Delay, void (caller_connection::*Function)());
  void onIdleTimeout();
  /// Waits until the kernel has accepted all written bytes, as long as the
  /// caller takes any.
  void waitForFlush();
  void onFlushTimeout();
  void logUnsent(std::string_view Why);
  void onReadTimeout();
  void releaseBody();
  const request_limits &limits() const;
  [[nodiscard]] std::size_t maxHeadBytes() const;

  node &Node;
  target_pool &Pool;
  caller_server &Server;
  stream Stream;
  message_reader Reader;
  /// Requests in flight, in response order.
  std::deque<std::unique_ptr<response_slot>> Slots;
  /// A complete request that must not be served concurrently with the earlier
  /// ones.
  std::optional<caller_request> DeferredRequest;
  /// Status of a rejection that waits for the earlier responses.
  std::optional<int> DeferredRejection;
  /// Bytes that were read and not parsed.
  std::string Backlog;
  /// Set while buffered requests wait for their turn.
  turn_id Turn = 0;
  /// Requests begun in the iteration of the loop with this number.
  std::int64_t Begun = 0;
  std::uint64_t BegunIn = 0;
  /// Bytes of a request that is being read, and of those behind it.
  memory_share Input;
  unsent_responses Unsent;
  memory_share Memory;
  /// Bytes in the write buffer when the wait for the caller began.
  std::size_t PendingAtWaitStart = 0;
  timer_id Timer = 0;
  instant LastBytesAt{};
  instant LastActivityAt{};
  instant RequestStartedAt{};
  /// Memory of the body that is being read, or of the deferred request's body.
  std::size_t BufferedBodyBytes = 0;
  bool IsHeadHandled = false;
  bool RequestKeepsAlive = true;
  /// The caller expects `100 Continue` before it sends its body.
  bool IsContinuePending = false;
  bool IsReading = false;
  /// A response has announced, or will announce, that the connection closes
  /// after it.
  bool IsLastRequestRead = false;
  /// A complete response was sent, of which the kernel may still hold a part.
  bool HasSentResponse = false;
  bool IsClosing = false;
};

} // namespace amaranthhoist
