#include "Pacing/pacing.h"

#include <algorithm>
#include <cmath>

namespace amaranthhoist {

/// Part of the bounds that is used: instances may count each other differently
/// for some seconds while one joins or leaves.
static constexpr double RepeatPart = 0.8;
static constexpr double ColdPart = 0.8;

static repeat_counts &countsAt(repeat_budget &Budget,
                               const std::string &Service, instant Now) {
  repeat_counts &Counts = Budget.ByService[Service];
  const duration Length =
      Budget.Bounds.Window / static_cast<int>(repeat_counts::Slices);
  const std::int64_t Slice = Now.time_since_epoch() / Length;
  const auto Passed =
      std::min<std::int64_t>(Slice - Counts.LastSlice, repeat_counts::Slices);
  for (std::int64_t Step = 0; Step < Passed; ++Step) {
    const auto Index =
        static_cast<std::size_t>(Slice - Step) % repeat_counts::Slices;
    Counts.Requests[Index] = 0;
    Counts.Repeats[Index] = 0;
  }
  Counts.LastSlice = Slice;
  return Counts;
}

static double sum(const std::array<double, repeat_counts::Slices> &Values) {
  double Sum = 0;
  for (double Value : Values)
    Sum += Value;
  return Sum;
}

void countRequest(repeat_budget &Budget, const std::string &Service,
                  instant Now) {
  repeat_counts &Counts = countsAt(Budget, Service, Now);
  Counts.Requests[static_cast<std::size_t>(Counts.LastSlice) %
                  repeat_counts::Slices] += 1;
}

bool takeRepeat(repeat_budget &Budget, const std::string &Service,
                std::size_t Instances, instant Now) {
  repeat_counts &Counts = countsAt(Budget, Service, Now);
  const double Slack = Budget.Bounds.Slack /
                       static_cast<double>(std::max<std::size_t>(Instances, 1));
  const double Allowed =
      RepeatPart * (Budget.Bounds.Ratio * sum(Counts.Requests) + Slack);
  if (sum(Counts.Repeats) + 1 > Allowed)
    return false;
  Counts.Repeats[static_cast<std::size_t>(Counts.LastSlice) %
                 repeat_counts::Slices] += 1;
  return true;
}

std::size_t instancesBefore(std::uint64_t Hash, std::uint64_t OwnHash,
                            const std::vector<std::uint64_t> &Instances) {
  const std::uint64_t Own = rendezvousRank(OwnHash, Hash);
  return static_cast<std::size_t>(std::count_if(
      Instances.begin(), Instances.end(),
      [&](std::uint64_t Other) { return rendezvousRank(Other, Hash) > Own; }));
}

double coldRate(double RequestsPerSecond, std::uint64_t TargetHash,
                std::uint64_t OwnHash,
                const std::vector<std::uint64_t> &Instances) {
  const double Usable = ColdPart * RequestsPerSecond;
  const auto Senders = static_cast<std::size_t>(
      std::max(1.0, std::min(std::floor(Usable),
                             static_cast<double>(Instances.size()))));
  return instancesBefore(TargetHash, OwnHash, Instances) < Senders
             ? Usable / static_cast<double>(Senders)
             : 0;
}

bool bearsRequest(const target &Target, double OwnRate, instant Now) {
  if (Now >= Target.ColdUntil)
    return true;
  return OwnRate > 0 && Now >= Target.NextColdRequest;
}

void countColdRequest(target &Target, double OwnRate, instant Now) {
  if (Now >= Target.ColdUntil || OwnRate <= 0)
    return;
  Target.NextColdRequest =
      Now + duration(static_cast<std::int64_t>(1'000'000 / OwnRate));
}

} // namespace amaranthhoist
