/// A scripted HTTP server on the test's event loop. It responds immediately,
/// with a delay, or with malformed bytes. Base class of the stand-ins.
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

/// One accepted connection of a stand-in.
class stand_in_connection : private stream_owner {
public:
  stand_in_connection(stand_in_server &Server, std::uint64_t Number);
  [[nodiscard]] bool open(int Descriptor);

  const message_head &head() const { return Reader.head(); }
  const std::string &body() { return Body; }
  [[nodiscard]] bool isOpen() const { return Stream.isOpen(); }
  /// Identifies the connection while it is open.
  const std::uint64_t Number;

  /// Sends raw bytes.
  void send(std::string_view Bytes) { Stream.write(Bytes); }
  /// Sends a response and reads the next request.
  void respond(int Status, std::string_view Fields, std::string_view Body);
  /// The same with any status line.
  void respond(std::string_view StatusLine, std::string_view Fields,
               std::string_view Body);
  void pause() { Stream.pause(); }
  void resume() { Stream.resume(); }
  void close() { Stream.close(); }
  void reset() { Stream.closeWithReset(); }

private:
  void onBytes(std::string_view Bytes) override;
  void onDisconnect(disconnect_reason End) override;

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

  /// Returns the address as `ip:port`; see freeAddress().
  [[nodiscard]] const std::string &address() const { return Address; }
  /// Stops listening and resets all connections. listen() restores the service.
  void shutDown();
  void listen() { listenAt(Address); }
  /// Serves at another address, too.
  void listenAt(const std::string &Other);
  /// Stops listening at one address and resets all connections.
  void leave(const std::string &Former);
  /// Reads nothing of new connections for \p Delay. Their kernel buffers hold
  /// about \p ReceiveBufferBytes.
  void readSlowly(duration Delay, int ReceiveBufferBytes);
  /// Returns the open connection with this number, or nullptr.
  stand_in_connection *connection(std::uint64_t Number);

  event_loop &Loop;
  /// Connections that ended with a reset or an error.
  int ConnectionsLost = 0;

protected:
  virtual void onRequest(stand_in_connection &Connection) = 0;
  virtual void onConnectionEnd(stand_in_connection & /*Connection*/) {}

private:
  friend class stand_in_connection;
  void onEvent(const io_event &Event) override;
  void retire(std::uint64_t Number);

  void resetAll();

  void acceptFrom(int Listener);

  std::string Address;
  duration ReadDelay{};
  /// Descriptors by address.
  std::map<std::string, int> Listeners;
  std::uint64_t LastNumber = 0;
  std::map<std::uint64_t, std::unique_ptr<stand_in_connection>> Connections;
  std::vector<std::unique_ptr<stand_in_connection>> Retired;
};

/// Returns a loopback address that is unused at the time of the call.
std::string freeAddress();

} // namespace amaranthhoist
