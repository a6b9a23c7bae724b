/// Distribution tree of the store's state: which instances watch the platform's
/// store, and from which instances the others fetch changes. Each instance
/// computes it locally from the members that are up; a wrong view costs extra
/// calls but never loses state.
///
/// Two watchers per region query the store. In a small region all other
/// instances poll those; in a larger one that would overload them (98 instances
/// of a region polled its two watchers 245 times a second), so the largest
/// instances of each failure domain act as relays there: they poll the watchers
/// more often than others poll them. Sans-I/O.
#pragma once

#include "Fleet/fleet.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Watchers per region: two, so that the loss of one leaves the other instances
/// a source at once.
inline constexpr std::size_t WatchersPerRegion = 2;

/// Returns the instances of this region that are up, ordered by preference as
/// watchers: the largest first, the second from another failure domain if there
/// is one. Includes this instance unless it is shutting down.
std::vector<const fleet_member *> watcherRanking(const fleet &Fleet);

/// Returns the first instances of the ranking.
std::vector<const fleet_member *> watchers(const fleet &Fleet);

/// Returns this instance's rank; none while it is shutting down.
std::optional<std::size_t> ownRank(const fleet &Fleet);

/// Role of an instance in the distribution tree.
enum class distribution_role : std::uint8_t { Watcher, Relay, Leaf };
distribution_role ownRole(const fleet &Fleet);

/// Returns the instances to poll for changes, in an order specific to this
/// instance: the relays of its failure domain, or the region's watchers. Empty
/// if there is none besides this instance.
std::vector<const fleet_member *> primarySources(const fleet &Fleet);

/// Returns all instances to poll, in the order in which they are tried until
/// one has fresh state: the primary sources, the watchers of other regions,
/// which a fault between this region and the store may not affect, those that
/// take over from the own region's watchers, and then all other instances that
/// are up. If this instance \p IsDisconnected, that is its
/// own calls to the store fail, the primary sources are left out: they would
/// poll this instance, or are disconnected as well.
std::vector<const fleet_member *> orderedSources(const fleet &Fleet,
                                                 bool IsDisconnected);

/// This instance's place in the tree, computed once for each change of the
/// fleet: polls and decisions need it many times a second, and ranking visits
/// all members.
struct tree_place {
  /// The fleet for which the rest was computed; none: not computed yet.
  std::optional<std::uint64_t> Version;
  bool IsShuttingDown = false;

  distribution_role Role = distribution_role::Leaf;
  std::optional<std::size_t> Rank;
  /// Names of the primary sources, in order.
  std::vector<std::string> PrimarySources;
};

/// Brings \p Place up to date and returns it.
const tree_place &updatePlace(tree_place &Place, const fleet &Fleet);

} // namespace amaranthhoist
