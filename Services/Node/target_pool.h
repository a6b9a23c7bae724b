/// Kept connections to the backend servers. A new one costs a server time and
/// the caller a round trip, so they are used again as long as that is safe.
#pragma once

#include "HttpConnection/client_connection.h"
#include "crash_probe.h"
#include "node.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>
#include <vector>

namespace amaranthhoist {

/// How long a connection may take to stand: three round trips between the
/// farthest regions. A server without power never answers at all.
inline constexpr duration ConnectTime = std::chrono::milliseconds(250);

class target_pool {
public:
  explicit target_pool(node &Node);

  /// A kept connection to \p Target, the one that was used last; none when
  /// there is none that the server surely still keeps.
  std::unique_ptr<client_connection> take(const target &Target,
                                          work_class Class);
  /// Begins a new connection; nullptr when that fails at once.
  std::unique_ptr<client_connection> open(const target &Target);
  /// Keeps a connection for later, or closes it.
  void put(const target &Target, std::unique_ptr<client_connection> Connection);
  /// A connection to \p Target broke off while a request with that content was
  /// there.
  void noteBroken(const target &Target, std::uint64_t Content) {
    Crashes.noteBroken(Target, Content);
  }

private:
  void sweep();
  bool isFresh(const client_connection &Connection, work_class Class) const;

  node &Node;
  crash_probe Crashes;
  /// By the server's serial: a connection to an earlier start of a server is
  /// dead, or leads to nobody.
  absl::flat_hash_map<std::uint64_t,
                      std::vector<std::unique_ptr<client_connection>>>
      Idle;
};

} // namespace amaranthhoist
