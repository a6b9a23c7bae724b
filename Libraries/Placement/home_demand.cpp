#include "Placement/home_demand.h"

#include <algorithm>
#include <numeric>

namespace amaranthhoist {

/// Weight of the newest interval. With two updates a second an average of about
/// ten seconds: shares that follow faster move the objects of all others.
static constexpr double ShareGain = 0.05;
/// Utilization of the fleet at which regions with bound requests run out of
/// slots first.
static constexpr double AssumedUtilization = 0.7;
/// Least share of a region's slots that others may use.
static constexpr double MinShareForOthers = 0.05;

void countRequest(home_demand &Demand, std::span<const std::size_t> Homes,
                  std::size_t Regions) {
  Demand.Bound.resize(Regions, 0.0);
  Demand.Requests += 1;
  for (const std::size_t Home : Homes)
    if (Home < Regions)
      Demand.Bound[Home] += 1 / static_cast<double>(Homes.size());
}

void updateShares(home_demand &Demand, std::span<const double> Expected) {
  if (Demand.Shares.empty())
    Demand.Shares.assign(Expected.begin(), Expected.end());
  Demand.Shares.resize(std::max(Demand.Shares.size(), Demand.Bound.size()),
                       0.0);
  if (Demand.Requests <= 0)
    return;
  for (std::size_t Region = 0; Region < Demand.Bound.size(); ++Region) {
    const double Share = Demand.Bound[Region] / Demand.Requests;
    Demand.Shares[Region] += ShareGain * (Share - Demand.Shares[Region]);
    Demand.Bound[Region] = 0;
  }
  Demand.Requests = 0;
}

std::vector<double> slotsForOthers(std::span<const double> Slots,
                                   const home_demand &Demand) {
  std::vector<double> Left(Slots.begin(), Slots.end());
  const double All = std::accumulate(Slots.begin(), Slots.end(), 0.0);
  const std::size_t Known = std::min(Left.size(), Demand.Shares.size());
  for (std::size_t Region = 0; Region < Known; ++Region)
    Left[Region] = std::max(MinShareForOthers * Slots[Region],
                            Slots[Region] - AssumedUtilization *
                                                Demand.Shares[Region] * All);
  return Left;
}

} // namespace amaranthhoist
