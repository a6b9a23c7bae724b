#include "Placement/region_weights.h"

#include <algorithm>
#include <numeric>

namespace amaranthhoist {

static double sumOf(std::span<const double> Slots) {
  return std::accumulate(Slots.begin(), Slots.end(), 0.0);
}

double ownCoverage(std::span<const double> Slots, std::size_t Own) {
  const double All = sumOf(Slots);
  if (All <= 0 || Own >= Slots.size())
    return 0;
  const double Even = All / static_cast<double>(Slots.size());
  return std::min(1.0, Slots[Own] / Even);
}

std::vector<double> regionWeights(std::span<const double> Slots,
                                  std::size_t Own, double Locality) {
  const double All = sumOf(Slots);
  std::vector<double> Weights(Slots.size(), 1.0);
  if (All <= 0 || Own >= Slots.size() || Slots[Own] <= 0)
    return Weights;
  const double Even = All / static_cast<double>(Slots.size());
  double AllSpare = 0;
  for (std::size_t Index = 0; Index < Slots.size(); ++Index)
    if (Index != Own)
      AllSpare += std::max(0.0, Slots[Index] - Even);
  const double AtHome = ownCoverage(Slots, Own);
  const double Beyond = 1 - AtHome;
  for (std::size_t Index = 0; Index < Slots.size(); ++Index) {
    if (Slots[Index] <= 0)
      continue;
    double Kept = AtHome;
    if (Index != Own)
      Kept = AllSpare > 0
                 ? Beyond * std::max(0.0, Slots[Index] - Even) / AllSpare
                 : 0;
    const double Spread = Slots[Index] / All;
    const double Part = Locality * Kept + (1 - Locality) * Spread;
    Weights[Index] = Part / Slots[Index] * All;
  }
  return Weights;
}

} // namespace amaranthhoist
