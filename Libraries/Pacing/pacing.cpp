#include "Pacing/pacing.h"

#include <algorithm>
#include <cmath>

namespace amaranthhoist {

/// Share of the rate that is used: instances may count each other differently
/// for some seconds while one joins or leaves.
static constexpr double ColdRateShare = 0.8;

std::size_t
countHigherRankedInstances(std::uint64_t Hash, std::uint64_t OwnHash,
                           const std::vector<std::uint64_t> &Instances) {
  const std::uint64_t Own = rendezvousScore(OwnHash, Hash);
  return static_cast<std::size_t>(std::count_if(
      Instances.begin(), Instances.end(),
      [&](std::uint64_t Other) { return rendezvousScore(Other, Hash) > Own; }));
}

/// Part of the allowance that is used: requests may arrive closer together than
/// they were sent.
static constexpr double UninformedShare = 0.9;

double coldRate(double RequestsPerSecond, std::uint64_t TargetHash,
                std::uint64_t OwnHash,
                const std::vector<std::uint64_t> &Instances) {
  const double Usable = ColdRateShare * RequestsPerSecond;
  const auto Senders = static_cast<std::size_t>(
      std::max(1.0, std::min(std::floor(Usable),
                             static_cast<double>(Instances.size()))));
  return countHigherRankedInstances(TargetHash, OwnHash, Instances) < Senders
             ? Usable / static_cast<double>(Senders)
             : 0;
}

std::optional<double> uninformedRate(const cold_bounds &Bounds,
                                     double ColdRequestsPerSecond,
                                     std::size_t Instances) {
  if (Bounds.Overshoot < 1 || Instances == 0)
    return std::nullopt;
  const double Allowed =
      ColdRequestsPerSecond * (Bounds.Overshoot - 1) + Bounds.Slack;
  return UninformedShare * Allowed / static_cast<double>(Instances);
}

instant firstUninformedRequest(instant Since, double OwnRate,
                               std::uint64_t TargetHash, std::uint64_t OwnHash,
                               const std::vector<std::uint64_t> &Instances) {
  const auto Rank = static_cast<double>(
      countHigherRankedInstances(TargetHash, OwnHash, Instances));
  const double Share = Rank / static_cast<double>(Instances.size());
  return Since +
         duration(static_cast<std::int64_t>(1'000'000 * Share / OwnRate));
}

bool admitsPacedRequest(const target &Target, double OwnRate, instant Now) {
  return OwnRate > 0 && Now >= Target.NextPacedRequest;
}

void recordPacedRequest(target &Target, double OwnRate, instant Now) {
  if (OwnRate > 0)
    Target.NextPacedRequest =
        Now + duration(static_cast<std::int64_t>(1'000'000 / OwnRate));
}

} // namespace amaranthhoist
