/// One connection of a caller: reads requests one after the other, has each
/// served by an exchange, and sees when the caller goes away.
#pragma once

#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"
#include "exchange.h"
#include "node.h"
#include "target_pool.h"

#include <memory>
#include <string>
#include <string_view>

namespace amaranthhoist {

class caller_server;

class caller_connection : public retirable,
                          private stream_owner,
                          private exchange_caller {
public:
  caller_connection(node &Node, target_pool &Pool, caller_server &Server);
  ~caller_connection() override;

  [[nodiscard]] bool open(int Descriptor);
  /// Whether a request is being read or served.
  [[nodiscard]] bool isBusy() const { return Current || Reader.hasBegun(); }
  /// Ends an idle connection.
  void endIdle();
  /// The process ends before the request that is served does.
  void noteCutOff() {
    if (Current)
      Current->noteCutOff();
  }

private:
  void onBytes(std::string_view Bytes) override;
  void onDrained() override;
  void onEnd(stream_end End) override;

  void send(std::string_view Bytes) override { Stream.write(Bytes); }
  std::size_t unsent() const override { return Stream.pending(); }
  bool keepsAlive() const override;
  bool takesChunks() const override { return true; }
  void onAnswered() override;
  void cutShort() override;

  void feedBacklog();
  /// Reads on; how many bytes it took.
  std::size_t read(std::string_view Bytes);
  bool takeHead();
  void serve();
  caller_request makeRequest();
  /// Answers in place of an exchange and ends the connection.
  void rejectAndEnd(int Status);
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
  std::unique_ptr<exchange> Current;
  std::string Backlog;
  timer_id Timer = 0;
  instant RequestBegan{};
  std::size_t HeldBytes = 0;
  bool HeadTaken = false;
  bool RequestKeepsAlive = true;
  bool IsFeeding = false;
  bool IsEnding = false;
};

} // namespace amaranthhoist
