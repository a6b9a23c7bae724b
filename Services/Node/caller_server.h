/// Accepts callers' connections and owns them and their exchanges.
#pragma once

#include "EventLoop/connection_set.h"
#include "EventLoop/listener.h"
#include "Text/text.h"
#include "caller_connection.h"
#include "node.h"
#include "target_pool.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>

namespace amaranthhoist {

/// Who connects to a server.
enum class caller_kind : std::uint8_t {
  Caller,
  /// Another instance that forwards its callers' requests.
  Peer,
};

class caller_server : private listener_owner {
public:
  caller_server(node &Node, target_pool &Pool, caller_kind Kind);

  result<bool> listen(const endpoint &Endpoint);
  /// Stops accepting connections.
  void stopListening() { Listener.close(); }
  /// Sets the number of connections that callers may have.
  void setConnectionLimit(std::size_t Limit) { Listener.setLimit(Limit); }
  /// Closes connections without a request.
  void closeIdleConnections();
  /// Returns whether any request is being read or served, with or without its
  /// caller.
  [[nodiscard]] bool isBusy() const;

  /// Called when the process exits. Logs each request that is aborted, so that
  /// operators can trace what happened to it.
  void logAborted();

  [[nodiscard]] caller_kind kind() const { return Kind; }
  /// Called with each activity of a connection.
  void touch(caller_connection &Connection) { Connections.touch(Connection); }
  void retire(caller_connection &Connection);
  /// Owns an exchange whose caller has disconnected until it finishes.
  void adopt(std::unique_ptr<exchange> Exchange);

private:
  [[nodiscard]] std::size_t connectionCount() const override {
    return Connections.size();
  }
  bool closeInactive() override;
  void onAccepted(int Descriptor) override;

  node &Node;
  target_pool &Pool;
  caller_kind Kind;
  listener Listener;
  connection_set<caller_connection> Connections;
  absl::flat_hash_map<exchange *, std::unique_ptr<exchange>> DetachedExchanges;
};

} // namespace amaranthhoist
