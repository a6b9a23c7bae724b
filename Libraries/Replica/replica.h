/// Copy of the platform's objects at each control, replicated from a few
/// watchers to all nodes without a call to the platform per node.
///
/// An item is applied only if its version is higher than the held one, so that
/// nothing reverts, regardless of the path and order in which copies arrive. A
/// new item is pushed at once to a few peers (gossip). Each tick also runs
/// anti-entropy: it compares one hash with one peer, and a difference is
/// narrowed down to buckets, then keys, then items. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <array>
#include <cstddef>
#include <map>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace amaranthhoist {

/// One object of the platform, or its tombstone.
struct item {
  /// `<kind>/<name>`.
  std::string Key;
  /// The platform's version; unique over all objects and increasing.
  std::int64_t Version = 0;
  bool Deleted = false;
  std::string Value;
};

/// Buckets of the comparison. 256 keep the key list of a bucket short at 30,000
/// items.
inline constexpr std::size_t ReplicaBuckets = 256;

/// A key and the version held, as compared between peers.
struct key_version {
  std::string Key;
  std::int64_t Version = 0;
};

/// Items that were pushed or requested.
struct replica_items {
  std::vector<item> Items;
};

/// Opens a comparison: hash over all held items.
struct replica_root {
  std::uint64_t Root = 0;
};

/// Sent when the roots differ: hash of each bucket.
struct replica_buckets {
  std::vector<std::uint64_t> Hashes;
};

/// Sent for the buckets that differ: the keys and versions that the sender
/// holds in them.
struct replica_keys {
  std::vector<std::uint32_t> Buckets;
  std::vector<key_version> Keys;
};

/// Requests the items that the sender lacks or holds in older versions.
struct replica_request {
  std::vector<std::string> Keys;
};

using replica_message =
    std::variant<replica_items, replica_root, replica_buckets, replica_keys,
                 replica_request>;

/// A message and the peer it is sent to.
struct outgoing_replica_message {
  std::string To;
  replica_message Message;
};

/// A peer to replicate to.
struct replica_peer {
  std::string Name;
  std::string Region;
};

/// Parameters of the replication.
struct replica_policy {
  /// Peers of the own region that a new item is pushed to.
  std::size_t SameRegionFanout = 3;
  /// Peers of other regions that a new item is pushed to.
  std::size_t OtherRegionsFanout = 1;
  /// If one message brings more new items than this, they result from a
  /// comparison that catches up on missed changes. The peers hold them already
  /// or get them by their own comparisons, so they are not pushed further.
  std::size_t MaxPushedItems = 16;
  /// Items per message, so that no message blocks a link for long.
  std::size_t MaxItemsPerMessage = 64;
};

struct replica {
  std::string Region;
  replica_policy Policy;
  std::mt19937_64 Random;
  std::map<std::string, item> Items;
  std::array<std::uint64_t, ReplicaBuckets> Hashes{};
  /// All reachable peers except this node, split by region.
  std::vector<replica_peer> SameRegion;
  std::vector<replica_peer> OtherRegions;
};

/// Sets the peers and splits them by region.
void setReplicaPeers(replica &Replica, std::span<const replica_peer> Peers);

/// Applies \p Items from the platform or from an operator's announcement;
/// returns the pushes to send. Appends the items that were new to \p Applied.
std::vector<outgoing_replica_message> applyItems(replica &Replica,
                                                 std::span<const item> Items,
                                                 std::vector<item> &Applied);

/// Handles a peer's message; returns responses and pushes to send.
std::vector<outgoing_replica_message>
handleReplicaMessage(replica &Replica, const std::string &From,
                     const replica_message &Message,
                     std::vector<item> &Applied);

/// Opens a comparison with one random peer; about every fourth one is with a
/// peer of another region.
std::vector<outgoing_replica_message> replicaTick(replica &Replica);

/// Returns the hash over all items; equal for equal contents.
std::uint64_t replicaRoot(const replica &Replica);

} // namespace amaranthhoist
