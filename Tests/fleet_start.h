/// Simulates a fleet whose instances start together, driven by the decisions of
/// StateSpread. Models distances, links that send one snapshot after another,
/// and a store with a link of its own. Tests only.
#pragma once

#include "Fleet/fleet.h"

#include <array>
#include <cstddef>

namespace amaranthhoist {

struct fleet_size {
  std::size_t Instances = 0;
  std::size_t Regions = 0;
  std::size_t DomainsPerRegion = 0;
  /// Backend servers, which determine the size of a snapshot.
  std::size_t Servers = 0;
  /// Every LargeEvery-th instance is large, the rest are small; 0: all are
  /// alike.
  std::size_t LargeEvery = 0;
  double LargeMbps = 1'000;
  double SmallMbps = 1'000;
};

/// The sizes of fleets in operation, and the largest planned size, which
/// determines the design.
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
  /// Share of the instances that kept running and have the state.
  double ShareAlive = 0;
};

struct start_outcome {
  /// Instances that have the state at the end.
  std::size_t WithState = 0;
  /// Instances that listed the store.
  std::size_t StoreLists = 0;
  /// Time from an instance's start within which 95 of 100 instances got the
  /// state.
  duration After95{};
};

start_outcome startFleet(const fleet_size &Size,
                         const start_conditions &Conditions);

/// Returns all instances of such a fleet as the store lists them, with an own
/// instance that is not among them.
fleet makeListedFleet(const fleet_size &Size);

} // namespace amaranthhoist
