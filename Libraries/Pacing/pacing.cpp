#include "Pacing/pacing.h"

#include <algorithm>
#include <cmath>

namespace amaranthhoist {

/// Share of the bounds that is used: instances may count each other differently
/// for some seconds while one joins or leaves.
static constexpr double RetryBudgetShare = 0.8;
/// Share of the ratio that a process uses in its first window: what its
/// predecessor has left for certain.
static constexpr double FirstWindowShare = 1 - RetryBudgetShare;
static constexpr double ColdRateShare = 0.8;

static retry_counts &countsAt(windowed_retry_budget &Budget,
                              const std::string &Service, instant Now) {
  retry_counts &Counts = Budget.ByService[Service];
  const duration Length =
      Budget.Bounds.Window / static_cast<int>(retry_counts::SlicesPerWindow);
  const std::int64_t Slice = Now.time_since_epoch() / Length;
  const auto Passed =
      std::min<std::int64_t>(Slice - Counts.LastSlice, retry_counts::Slices);
  for (std::int64_t Step = 0; Step < Passed; ++Step) {
    const auto Index =
        static_cast<std::size_t>(Slice - Step) % retry_counts::Slices;
    Counts.Requests[Index] = 0;
    Counts.Retries[Index] = 0;
  }
  Counts.LastSlice = Slice;
  return Counts;
}

using slice_counts = std::array<double, retry_counts::Slices>;

/// Sums the current slice and the \p Count - 1 before it.
static double sumOfLast(std::size_t Count, const slice_counts &Values,
                        std::int64_t LastSlice) {
  const std::size_t Last =
      static_cast<std::size_t>(LastSlice) % retry_counts::Slices;
  double Sum = 0;
  for (std::size_t Back = 0; Back < Count; ++Back)
    Sum += Values[(Last + retry_counts::Slices - Back) % retry_counts::Slices];
  return Sum;
}

windowed_retry_budget makeRetryBudget(const retry_bounds &Bounds, instant Now) {
  return {Bounds, Now + Bounds.Window, {}};
}

void countRequest(windowed_retry_budget &Budget, const std::string &Service,
                  instant Now) {
  retry_counts &Counts = countsAt(Budget, Service, Now);
  Counts.Requests[static_cast<std::size_t>(Counts.LastSlice) %
                  retry_counts::Slices] += 1;
}

/// The part of the slack that belongs to one of \p Instances.
static double ownSlack(const windowed_retry_budget &Budget,
                       std::size_t Instances, instant Now) {
  if (Instances == 0 || Now < Budget.AvailableFrom)
    return 0;
  return RetryBudgetShare * Budget.Bounds.Slack /
         static_cast<double>(Instances);
}

retry_usage retryUsage(windowed_retry_budget &Budget,
                       const std::string &Service, std::size_t Instances,
                       instant Now) {
  const retry_counts &Counts = countsAt(Budget, Service, Now);
  const double Share =
      Now < Budget.AvailableFrom ? FirstWindowShare : RetryBudgetShare;
  // At most one window of requests, and at least one of retries.
  const double Requests = sumOfLast(retry_counts::SlicesPerWindow,
                                    Counts.Requests, Counts.LastSlice);
  return {Requests,
          sumOfLast(retry_counts::Slices, Counts.Retries, Counts.LastSlice),
          Share * Budget.Bounds.Ratio * Requests +
              ownSlack(Budget, Instances, Now)};
}

bool tryAcquireRetry(windowed_retry_budget &Budget, const std::string &Service,
                     std::size_t Instances, instant Now) {
  const retry_usage Usage = retryUsage(Budget, Service, Instances, Now);
  retry_counts &Counts = countsAt(Budget, Service, Now);
  if (Usage.Retries + 1 > Usage.Allowed) {
    ++Counts.Denied;
    return false;
  }
  Counts.Retries[static_cast<std::size_t>(Counts.LastSlice) %
                 retry_counts::Slices] += 1;
  return true;
}

void recordUnchargedRetry(windowed_retry_budget &Budget,
                          const std::string &Service) {
  ++Budget.ByService[Service].Uncharged;
}

std::size_t
countHigherRankedInstances(std::uint64_t Hash, std::uint64_t OwnHash,
                           const std::vector<std::uint64_t> &Instances) {
  const std::uint64_t Own = rendezvousScore(OwnHash, Hash);
  return static_cast<std::size_t>(std::count_if(
      Instances.begin(), Instances.end(),
      [&](std::uint64_t Other) { return rendezvousScore(Other, Hash) > Own; }));
}

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

bool admitsColdRequest(const target &Target, double OwnRate, instant Now) {
  if (Now >= Target.ColdUntil)
    return true;
  return OwnRate > 0 && Now >= Target.NextColdRequest;
}

void recordColdRequest(target &Target, double OwnRate, instant Now) {
  if (Now >= Target.ColdUntil || OwnRate <= 0)
    return;
  Target.NextColdRequest =
      Now + duration(static_cast<std::int64_t>(1'000'000 / OwnRate));
}

} // namespace amaranthhoist
