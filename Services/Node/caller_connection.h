/// One connection of a caller: reads its requests, has each served by an
/// exchange, several at a time where that is safe, and sees when the caller
/// goes away.
#pragma once

#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"
#include "answer_slot.h"
#include "exchange.h"
#include "node.h"
#include "target_pool.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthhoist {

class caller_server;

class caller_connection : public retirable,
                          private stream_owner,
                          private slot_owner {
public:
  caller_connection(node &Node, target_pool &Pool, caller_server &Server);
  ~caller_connection() override;

  [[nodiscard]] bool open(int Descriptor);
  /// Whether a request is being read or served.
  [[nodiscard]] bool isBusy() const {
    return !Slots.empty() || Reader.hasBegun();
  }
  /// Ends an idle connection.
  void endIdle();
  /// The process ends before the requests that are served do.
  void noteCutOff() const;

private:
  void onBytes(std::string_view Bytes) override;
  void onDrained() override;
  void onEnd(stream_end End) override;

  bool isFirst(const answer_slot &Slot) const override;
  void sendNow(std::string_view Bytes) override { Stream.write(Bytes); }
  std::size_t unsentNow() const override { return Stream.pending(); }
  bool goesOnAfter(const answer_slot &Slot) override;
  void onFirstOver() override;

  void readOn();
  [[nodiscard]] bool mayReadOn() const;
  /// Reads on; how many bytes it took.
  std::size_t read(std::string_view Bytes);
  bool takeHead();
  void takeRequest();
  caller_request makeRequest();
  [[nodiscard]] bool mayServeBeside(const caller_request &Request) const;
  void serve(caller_request Request);
  void retireFirst();
  void afterLastAnswer();
  /// Answers in place of an exchange and ends the connection, once the requests
  /// before have their answers.
  void rejectAndEnd(int Status);
  void writeRejection(int Status);
  void end();
  void leave();
  void setTimer(duration Delay, void (caller_connection::*Function)());
  void onIdle();
  void onSlow();
  void releaseBody();
  const request_limits &limits() const;

  node &Node;
  target_pool &Pool;
  caller_server &Server;
  stream Stream;
  message_reader Reader;
  /// Requests under way in the order of their answers.
  std::deque<std::unique_ptr<answer_slot>> Slots;
  /// A whole request that mustn't be served beside those before it.
  std::optional<caller_request> Held;
  /// A rejection that waits for the answers before it.
  std::optional<int> HeldRejection;
  std::string Backlog;
  timer_id Timer = 0;
  instant LastBytesAt{};
  instant RequestBegan{};
  /// Of the body that is being read, or of the held request.
  std::size_t HeldBytes = 0;
  bool HeadTaken = false;
  bool RequestKeepsAlive = true;
  /// The caller waits for a word before it sends its body.
  bool OwesContinue = false;
  bool IsReading = false;
  /// An answer has said, or will say, that the connection ends with it.
  bool IsClosing = false;
  bool IsEnding = false;
};

} // namespace amaranthhoist
