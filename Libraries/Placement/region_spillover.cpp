#include "Placement/region_spillover.h"

#include <algorithm>

namespace amaranthhoist {

/// Weight of a report in the moving average: about the last twenty reports
/// count.
static constexpr double ReportWeight = 0.05;
/// The share grows above this utilization: requests wait on average.
static constexpr double BusyUtilization = 1.0;
/// The share shrinks below this utilization. Between the two thresholds it is
/// constant, since each step makes a few objects cold.
static constexpr double LowUtilization = 0.8;

void recordUtilization(region_spillover &Spread, int Requests, int Slots) {
  if (Slots <= 0)
    return;
  const double Reported = static_cast<double>(Requests) / Slots;
  Spread.Utilization += (Reported - Spread.Utilization) * ReportWeight;
}

void updateSpillover(region_spillover &Spread, instant Now) {
  if (Now < Spread.NextStep)
    return;
  const double Before = Spread.Share;
  if (Spread.Utilization > BusyUtilization)
    Spread.Share = std::min(MaxSpillover, Spread.Share + SpilloverStep);
  else if (Spread.Utilization < LowUtilization)
    Spread.Share = std::max(0.0, Spread.Share - SpilloverStep);
  if (Spread.Share != Before)
    Spread.NextStep = Now + SpilloverStepPeriod;
}

} // namespace amaranthhoist
