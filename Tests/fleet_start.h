/// A fleet whose instances start together, simulated over the decisions of
/// StateSpread: distances, links that carry one list after another, a store
/// with a link of its own. Tests only.
#pragma once

#include "Fleet/fleet.h"

#include <array>
#include <cstddef>

namespace amaranthhoist {

struct fleet_size {
  std::size_t Instances = 0;
  std::size_t Regions = 0;
  std::size_t DomainsPerRegion = 0;
  /// Backend servers, for the size of the lists.
  std::size_t Servers = 0;
  /// Every so many instances is a large one, the rest small; 0: all are alike.
  std::size_t LargeEvery = 0;
  double LargeMbps = 1'000;
  double SmallMbps = 1'000;
};

/// The fleets as operated, and the one that decides the design.
inline constexpr std::array<fleet_size, 4> FleetSizes = {{
    {9, 3, 2, 28, 0, 1'000, 1'000},
    {75, 3, 2, 332, 8, 200, 10},
    {295, 3, 3, 1'080, 11, 200, 20},
    {1'900, 12, 3, 7'000, 11, 200, 20},
}};

struct start_conditions {
  /// Whether the store lists the instances from an earlier run.
  bool InstancesAreListed = true;
  bool SeedsAreDead = false;
  bool StoreIsSilent = false;
  /// Share of the instances that never stopped and know the state.
  double ShareAlive = 0;
};

struct start_outcome {
  /// Instances that know the state in the end.
  std::size_t Learned = 0;
  /// Instances that listed the store.
  std::size_t StoreLists = 0;
  /// Time from their start until 95 of 100 instances knew.
  duration After95{};
};

start_outcome startFleet(const fleet_size &Size,
                         const start_conditions &Conditions);

/// All instances of such a fleet as the store lists them, with an own one that
/// is not among them.
fleet makeListedFleet(const fleet_size &Size);

} // namespace amaranthhoist
