/// A minimal HTTP server for requests without bodies: look-ups, readiness and
/// metrics. Responses are produced synchronously from memory.
#pragma once

#include "ConnectionMemory/connection_memory.h"
#include "EventLoop/connection_set.h"
#include "EventLoop/event_loop.h"
#include "EventLoop/listener.h"
#include "EventLoop/socket.h"
#include "EventLoop/turn_queue.h"
#include "Text/text.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

struct small_response {
  int Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Returns the response to a request for \p Path with its raw \p Query.
using small_request_handler = std::function<small_response(
    std::string_view Path, std::string_view Query)>;

/// Returns the percent-decoded value of \p Name in a raw query; empty if
/// absent.
std::string queryValue(std::string_view Query, std::string_view Name);

/// What the servers of an instance share.
struct small_server_resources {
  /// For connections that send many requests ahead.
  turn_queue &Turns;
  /// Counts what the connections hold, and may close them.
  memory_account &Memory;
};

class small_connection;

class small_server : private listener_owner {
public:
  small_server(event_loop &Loop, const small_server_resources &Resources,
               small_request_handler Handler);
  ~small_server() override;
  small_server(const small_server &) = delete;
  small_server &operator=(const small_server &) = delete;

  result<bool> listen(const endpoint &Endpoint) {
    return Listener.listen(Endpoint);
  }
  /// Sets the number of connections that clients may have.
  void setConnectionLimit(std::size_t Limit) { Listener.setLimit(Limit); }

private:
  friend class small_connection;
  [[nodiscard]] std::size_t connectionCount() const override;
  bool closeInactive() override;
  void onAccepted(int Descriptor) override;
  void removeConnection(small_connection &Connection);

  event_loop &Loop;
  small_server_resources Resources;
  small_request_handler Handler;
  listener Listener;
  connection_set<small_connection> Connections;
};

} // namespace amaranthhoist
