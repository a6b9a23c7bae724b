// When callers that were refused may return.
#include "Steering/candidates.h"

#include <algorithm>

namespace amaranthhoist {

/// Bounds of the Retry-After time, before the share of the remaining time is
/// applied.
static constexpr duration MinRetryAfter = std::chrono::milliseconds(250);
static constexpr duration MaxRetryAfter = std::chrono::milliseconds(1'000);
/// Bounds of the Retry-After time after a rejection that says nothing about
/// load: longer than a pause of a server, short compared to the objectives.
static constexpr duration MinRoomRetryAfter = std::chrono::milliseconds(30);
static constexpr duration MaxRoomRetryAfter = std::chrono::milliseconds(90);
/// Callers honor a Retry-After time of up to a third of their remaining time;
/// the share is a little less, to leave time for the transfer.
static constexpr double RetryAfterShare = 0.3;

/// A Retry-After time within the caller's remaining time, with jitter derived
/// from the request id.
static duration jitteredRetryAfter(const request_plan &Plan,
                                   std::string_view RequestId, instant Now,
                                   duration Lower = MinRetryAfter,
                                   duration Upper = MaxRetryAfter) {
  const duration Left = std::max(duration::zero(), Plan.Deadline - Now);
  const duration Longest = std::min(
      Upper, duration(static_cast<std::int64_t>(
                 RetryAfterShare * static_cast<double>(Left.count()))));
  const duration Shortest = std::min(Lower, Longest);
  const auto Range =
      static_cast<std::uint64_t>((Longest - Shortest).count()) + 1;
  return Shortest + duration(static_cast<std::int64_t>(
                        stableHash(RequestId, Range) % Range));
}

duration retryAfter(const steering &Steering, const request_plan &Plan,
                    refusal Reason, std::string_view RequestId, instant Now) {
  switch (Reason) {
  case refusal::ShuttingDown:
    // Other instances can serve the request at once.
    return duration::zero();
  case refusal::Quarantined:
    return std::max(timeUntilTrial(Steering.Quarantine, Plan.Content, Now),
                    Steering.Quarantine.Policy.FirstTrialDelay);
  case refusal::BackingOff:
    return earliestBackoffEnd(Steering, Plan, Now).value_or(Now) - Now +
           jitteredRetryAfter(Plan, RequestId, Now);
  case refusal::RetryBudgetExhausted:
    if (Plan.WasRejectedWithRoom)
      return jitteredRetryAfter(Plan, RequestId, Now, MinRoomRetryAfter,
                                MaxRoomRetryAfter);
    return jitteredRetryAfter(Plan, RequestId, Now);
  default:
    return jitteredRetryAfter(Plan, RequestId, Now);
  }
}

} // namespace amaranthhoist
