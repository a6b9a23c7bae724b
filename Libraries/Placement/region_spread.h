/// How much of a region's work is spread over all regions because its own
/// backend servers are busy. Work of a region with room stays there. As its
/// servers fill, its share elsewhere grows in bounded steps, so that little of
/// it changes its region at a time, and shrinks the same way. The nodes of a
/// region read the same servers' reports, each a sample of them, and so nearly
/// agree without talking. Sans-I/O.
#pragma once

#include "Core/core.h"

namespace amaranthhoist {

/// Between two steps; no window of this length has more than one.
inline constexpr duration SpreadStepPeriod = std::chrono::seconds(2);
/// Share of the work that a step moves at most.
inline constexpr double SpreadStep = 0.05;
/// The largest share that is spread.
inline constexpr double LargestSpread = 0.2;

struct region_spread {
  /// Requests at a server of the region for each of its slots, a mean of recent
  /// reports; over 1: requests wait.
  double Occupation = 0;
  /// Share of the work that goes to all regions alike.
  double Share = 0;
  /// No step before.
  instant NextStep{};
};

/// Takes in the report of one of the region's servers: requests there, running
/// or waiting, and its slots.
void noteOccupation(region_spread &Spread, int Requests, int Slots);

/// Takes the next step if it is due.
void updateSpread(region_spread &Spread, instant Now);

} // namespace amaranthhoist
