/// Accepts callers' connections and owns them and their exchanges.
#pragma once

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

class caller_server : private io_handler {
public:
  caller_server(node &Node, target_pool &Pool, caller_kind Kind);
  ~caller_server() override;

  result<bool> listen(const endpoint &Endpoint);
  /// Stops accepting connections.
  void stopListening();
  /// Closes connections without a request.
  void closeIdleConnections();
  /// Returns whether any request is being read or served, with or without its
  /// caller.
  [[nodiscard]] bool isBusy() const;

  /// Called when the process exits. Logs each request that is aborted, so that
  /// operators can trace what happened to it.
  void logAborted();

  [[nodiscard]] caller_kind kind() const { return Kind; }
  void retire(caller_connection &Connection);
  /// Owns an exchange whose caller has disconnected until it finishes.
  void adopt(std::unique_ptr<exchange> Exchange);

private:
  void onEvent(const io_event &Event) override;
  void acceptPending();

  node &Node;
  target_pool &Pool;
  caller_kind Kind;
  int Listener = -1;
  timer_id AcceptRetryTimer = 0;
  absl::flat_hash_map<caller_connection *, std::unique_ptr<caller_connection>>
      Connections;
  absl::flat_hash_map<exchange *, std::unique_ptr<exchange>> DetachedExchanges;
};

} // namespace amaranthhoist
