/// A scripted HTTP server on the test's own event loop: answers at once, later,
/// or with bytes that are no sound answer. Base of the stand-ins.
#pragma once

#include "EventLoop/socket.h"
#include "EventLoop/stream.h"
#include "HttpMessage/http_message.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

class stand_in_server;

/// One connection of a stand-in.
class stand_in_connection : private stream_owner {
public:
  stand_in_connection(stand_in_server &Server, std::uint64_t Number);
  [[nodiscard]] bool open(int Descriptor);

  const message_head &head() const { return Reader.head(); }
  const std::string &body() { return Body; }
  [[nodiscard]] bool isOpen() const { return Stream.isOpen(); }
  /// Names the connection, as long as it is open.
  const std::uint64_t Number;

  /// Sends bytes as they are.
  void send(std::string_view Bytes) { Stream.write(Bytes); }
  /// Sends an answer and reads the next request.
  void answer(int Status, std::string_view Fields, std::string_view Body);
  void close() { Stream.close(); }
  void reset() { Stream.closeWithReset(); }

private:
  void onBytes(std::string_view Bytes) override;
  void onEnd(stream_end End) override;

  stand_in_server &Server;
  stream Stream;
  message_reader Reader;
  std::string Body;
};

class stand_in_server : private io_handler {
public:
  explicit stand_in_server(event_loop &Loop);
  ~stand_in_server() override;
  stand_in_server(const stand_in_server &) = delete;
  stand_in_server &operator=(const stand_in_server &) = delete;

  /// Its address, `ip:port`; the port is the kernel's choice.
  [[nodiscard]] const std::string &address() const { return Address; }
  /// Accepts nothing and closes all connections; listen() undoes it.
  void goDown();
  void listen();
  /// The open connection of that number, or nullptr.
  stand_in_connection *connection(std::uint64_t Number);

  event_loop &Loop;

protected:
  virtual void onRequest(stand_in_connection &Connection) = 0;
  virtual void onConnectionEnd(stand_in_connection & /*Connection*/) {}

private:
  friend class stand_in_connection;
  void onEvent(const io_event &Event) override;
  void retire(std::uint64_t Number);

  std::string Address;
  int Listener = -1;
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, std::unique_ptr<stand_in_connection>> Connections;
  std::vector<std::unique_ptr<stand_in_connection>> Retired;
};

/// A loopback address that is free at the moment.
std::string freeAddress();

} // namespace amaranthhoist
