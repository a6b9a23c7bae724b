/// Which instances ask the platform's store themselves, and from whom the
/// others learn what changes. Every instance works it out alone from who is up;
/// a wrong view costs calls, never knowledge.
///
/// Two watchers a region ask the store. In a small region all others ask those;
/// in a larger one they would serve too many (98 instances of a region asked
/// its two watchers 245 times a second), so that there the largest instances of
/// each failure domain stand between: relays, which ask the watchers more often
/// than others ask them. Sans-I/O.
#pragma once

#include "Fleet/fleet.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace amaranthhoist {

/// Instances of one region that ask the store: two, so that the loss of one
/// leaves the others a source at once.
inline constexpr std::size_t WatchersPerRegion = 2;

/// Up instances of this instance's region by preference as watchers: the
/// largest first, and the second from another failure domain if there is one.
/// This instance among them unless it leaves.
std::vector<const fleet_member *> watcherRanking(const fleet &Fleet);

/// The first of the ranking.
std::vector<const fleet_member *> watchers(const fleet &Fleet);

/// This instance's place in the ranking; none while it leaves.
std::optional<std::size_t> ownRank(const fleet &Fleet);

/// What an instance does for others.
enum class spread_role : std::uint8_t { Watcher, Relay, Leaf };
spread_role ownRole(const fleet &Fleet);

/// Instances to learn from, in this instance's own order: the relays of its
/// failure domain, or the region's watchers. Empty: nobody but itself.
std::vector<const fleet_member *> regularSources(const fleet &Fleet);

/// Everybody to learn from, in the order in which they are asked while none is
/// of use: the regular sources, the watchers of other regions, since a cause
/// that cuts this region off from the store may spare them, and then all others
/// that are up. One that is \p IsBlind itself, its own calls to the store being
/// in vain, leaves out the regular ones: they would ask it, or are as blind.
std::vector<const fleet_member *> sourcesInOrder(const fleet &Fleet,
                                                 bool IsBlind);

} // namespace amaranthhoist
