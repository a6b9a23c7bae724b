/// Which instances ask the platform's store themselves, and from whom the
/// others learn. Every instance works it out alone from who is up; a wrong view
/// costs calls, never knowledge. Sans-I/O.
#pragma once

#include "Fleet/fleet.h"

#include <string>
#include <vector>

namespace amaranthhoist {

/// Instances of one region that ask the store: two, so that the loss of one
/// leaves the others a source at once.
inline constexpr std::size_t WatchersPerRegion = 2;

/// The watchers of this instance's region that are up, in order of preference,
/// from different failure domains if there are several.
std::vector<const fleet_member *> watchers(const fleet &Fleet);

/// Whether this instance is one of them.
bool isWatcher(const fleet &Fleet);

/// Instances to learn from besides the region's watchers, when neither they nor
/// the store can be reached: all that are up, others' regions first, since a
/// cause that cuts this region off from the store may spare them.
std::vector<const fleet_member *> furtherSources(const fleet &Fleet);

} // namespace amaranthhoist
