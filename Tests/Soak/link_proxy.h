/// A TCP proxy on loopback that simulates a link. It forwards bytes, delays
/// them, blocks one or both directions, or resets connections.
#pragma once

#include "EventLoop/socket.h"
#include "EventLoop/stream.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhoist {

enum class link_mode : std::uint8_t {
  Sound,
  /// Forwards bytes with a delay, in order.
  Delayed,
  /// Blocks both directions. Held bytes are forwarded when the mode changes.
  Silent,
  /// Forwards only bytes to the server.
  OneWay,
};

class proxied_connection;

class link_proxy : private io_handler {
public:
  /// Forwards to \p Server, `ip:port`.
  link_proxy(event_loop &Loop, std::string Server);
  ~link_proxy() override;
  link_proxy(const link_proxy &) = delete;
  link_proxy &operator=(const link_proxy &) = delete;

  [[nodiscard]] const std::string &address() const { return Address; }
  void setMode(link_mode NewMode);
  /// Resets all connections. New connections are accepted.
  void resetAll();
  /// Resets all connections and refuses new ones, as an address without a
  /// server does. listen() restores the service.
  void goDown();
  void listen();

private:
  friend class proxied_connection;
  void onEvent(const io_event &Event) override;
  void retire(proxied_connection &Connection);

  event_loop &Loop;
  std::string Server;
  std::string Address;
  link_mode Mode = link_mode::Sound;
  int Listener = -1;
  std::map<proxied_connection *, std::unique_ptr<proxied_connection>>
      Connections;
  std::vector<std::unique_ptr<proxied_connection>> Retired;
};

} // namespace amaranthhoist
