/// Serves the store's objects to other instances: changes to those with some
/// state, full snapshots to those that have just started.
#pragma once

#include "HttpConnection/small_server.h"
#include "PeerMessages/peer_messages.h"
#include "StateSpread/snapshot_throttle.h"
#include "node.h"
#include "replicated_state.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Path of the query on the control address.
inline constexpr std::string_view ChangesPath = "/v1/changes";

/// Builds the query for changes since the revisions that \p Known has. A node
/// without state also sends its identity, so that it can be served or notified
/// later.
std::string changesRequest(const node &Node, const object_cache &Known);

class state_server {
public:
  /// \p StateAge returns the time since this instance last had a response from
  /// the store, directly or through others.
  state_server(node &Node, const replicated_state &State,
               std::function<duration()> StateAge);

  small_response handleQuery(std::string_view Query);

  /// Time until that many full snapshots have been sent.
  duration timeToHandOut(std::size_t Lists);
  /// Extracts the datagram addresses of the instances that asked before this
  /// instance had full state.
  std::vector<std::string> popWaiting();

private:
  small_response serveNewInstance(std::string_view Query);
  const packed_kinds &fullSnapshot();
  cache_changes responseHead() const;

  node &Node;
  const replicated_state &State;
  std::function<duration()> StateAge;
  snapshot_throttle HandOut;
  packed_kinds FullSnapshot;
  /// The positions that the full snapshot corresponds to.
  known_positions SnapshotPositions{};
};

} // namespace amaranthhoist
