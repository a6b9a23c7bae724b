/// Pool of idle keep-alive connections to the backend servers. A new connection
/// costs a server time and the caller a round trip, so connections are reused
/// as long as that is safe.
#pragma once

#include "HttpConnection/client_connection.h"
#include "crash_probe.h"
#include "node.h"
#include "server_prober.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace amaranthhoist {

/// Connect timeout: three round trips between the farthest regions. A server
/// without power never responds at all.
inline constexpr duration ConnectTimeout = std::chrono::milliseconds(250);

class target_pool {
public:
  explicit target_pool(node &Node);

  /// Returns the most recently used pooled connection to \p Target, or nullptr
  /// if there is none that the server is certain to keep open.
  connection_handle acquire(const target &Target, work_class Class);
  /// Starts a new connection; returns nullptr when that fails immediately.
  connection_handle connect(const target &Target);
  /// Returns a connection to the pool, or drops it if the pool is full.
  void release(const target &Target, connection_handle Connection);
  /// Closes the pooled connections to the servers of \p Service.
  void closeIdle(const std::string &Service);
  /// Called with each change of the paths to the service of \p Target.
  void onPathChange(path_change Change, const target &Target) {
    Prober.onPathChange(Change, Target);
  }
  /// Called when a connection to \p Target broke while a request with that
  /// content was in flight.
  void onConnectionBroken(const target &Target, std::uint64_t Content) {
    Crashes.onConnectionBroken(Target, Content);
  }

private:
  void closeStaleConnections();
  bool mayReuse(const client_connection &Connection, work_class Class) const;

  node &Node;
  crash_probe Crashes;
  server_prober Prober;
  /// Keyed by the server's serial: a connection to an earlier start of a server
  /// is dead or leads nowhere.
  absl::flat_hash_map<std::uint64_t, std::vector<connection_handle>> Idle;
};

} // namespace amaranthhoist
