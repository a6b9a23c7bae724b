/// Spillover between regions: the share of a region's work that is distributed
/// over all regions because its own backend servers are busy. Work of a region
/// with capacity stays there. As its servers fill, the share grows in bounded
/// steps, so that little work changes its region at a time, and shrinks the
/// same way. The nodes of a region sample the load reports of the same servers
/// and so nearly agree without communication. Sans-I/O.
#pragma once

#include "Core/core.h"

namespace amaranthhoist {

/// Time between two steps; no window of this length contains more than one.
inline constexpr duration SpilloverStepPeriod = std::chrono::seconds(2);
/// The maximum share of the work that one step moves.
inline constexpr double SpilloverStep = 0.05;
/// The maximum share of the work that spills over.
inline constexpr double MaxSpillover = 0.2;

struct region_spillover {
  /// Requests at a server of the region per slot, a moving average of recent
  /// reports; above 1, requests wait.
  double Utilization = 0;
  /// Share of the work that is distributed over all regions alike.
  double Share = 0;
  /// Earliest time of the next step.
  instant NextStep{};
};

/// Records the report of one of the region's servers: the requests there,
/// running or waiting, and its slots.
void recordUtilization(region_spillover &Spread, int Requests, int Slots);

/// Applies the next step if it is due.
void updateSpillover(region_spillover &Spread, instant Now);

} // namespace amaranthhoist
