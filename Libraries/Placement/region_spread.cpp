#include "Placement/region_spread.h"

#include <algorithm>

namespace amaranthhoist {

/// Weight of a report in the mean: about the last twenty count.
static constexpr double ReportWeight = 0.05;
/// Requests wait on average: above this the share grows.
static constexpr double BusyOccupation = 1.0;
/// Below this it shrinks. Between them it stays, since each step makes a few
/// objects cold.
static constexpr double EasyOccupation = 0.8;

void noteOccupation(region_spread &Spread, int Requests, int Slots) {
  if (Slots <= 0)
    return;
  const double Reported = static_cast<double>(Requests) / Slots;
  Spread.Occupation += (Reported - Spread.Occupation) * ReportWeight;
}

void updateSpread(region_spread &Spread, instant Now) {
  if (Now < Spread.NextStep)
    return;
  const double Before = Spread.Share;
  if (Spread.Occupation > BusyOccupation)
    Spread.Share = std::min(LargestSpread, Spread.Share + SpreadStep);
  else if (Spread.Occupation < EasyOccupation)
    Spread.Share = std::max(0.0, Spread.Share - SpreadStep);
  if (Spread.Share != Before)
    Spread.NextStep = Now + SpreadStepPeriod;
}

} // namespace amaranthhoist
