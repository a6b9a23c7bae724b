#include "Pacing/pacing.h"

#include <algorithm>

namespace amaranthhoist {

/// Tokens earned per request, as a share of the operators' ratio. Callers may
/// move from one instance to another at any time, so a window of retries can be
/// paid for by the requests of two windows.
static constexpr double EarnedShare = 0.5;
/// Slices after which a token expires: half a window, so that a retry that is
/// delayed on its way still arrives within two windows after the request that
/// earned its token.
static constexpr std::size_t TokenSlices = retry_counts::SlicesPerWindow / 2;
/// Sums of fractions of a token may fall short of a whole one by this much.
static constexpr double RoundingError = 1e-9;
/// Share of the slack that is used: instances may count each other differently
/// for some seconds while one joins or leaves.
static constexpr double SlackShare = 0.8;

using slice_counts = std::array<double, retry_counts::Slices>;

static std::size_t indexOf(std::int64_t Slice) {
  return static_cast<std::size_t>(Slice) % retry_counts::Slices;
}

/// Moves the slices of \p Service to \p Now.
static retry_counts &countsAt(windowed_retry_budget &Budget,
                              const std::string &Service, instant Now) {
  retry_counts &Counts = Budget.ByService[Service];
  const duration Length =
      Budget.Bounds.Window / static_cast<int>(retry_counts::SlicesPerWindow);
  const std::int64_t Slice = Now.time_since_epoch() / Length;
  const auto Passed =
      std::min<std::int64_t>(Slice - Counts.LastSlice, retry_counts::Slices);
  for (std::int64_t Step = 0; Step < Passed; ++Step) {
    const std::size_t Index = indexOf(Slice - Step);
    Counts.Requests[Index] = 0;
    Counts.Retries[Index] = 0;
    Counts.Tokens[Index] = 0;
    Counts.SlackSpent[Index] = 0;
  }
  Counts.LastSlice = Slice;
  return Counts;
}

/// Sums the current slice and the \p Count - 1 before it.
static double sumOfLast(std::size_t Count, const slice_counts &Values,
                        std::int64_t LastSlice) {
  double Sum = 0;
  for (std::size_t Back = 0; Back < Count; ++Back)
    Sum += Values[indexOf(LastSlice - static_cast<std::int64_t>(Back))];
  return Sum;
}

windowed_retry_budget makeRetryBudget(const retry_bounds &Bounds, instant Now) {
  return {Bounds, Now + Bounds.Window, std::nullopt, {}};
}

void renewSlackLease(windowed_retry_budget &Budget, instant ListCurrentAt,
                     instant Now) {
  const instant End = ListCurrentAt + InstanceListLease;
  if (End <= Now)
    return;
  const bool IsHeld = Budget.SlackLeaseEnd && Now < *Budget.SlackLeaseEnd;
  if (!IsHeld)
    Budget.SlackAvailableFrom = Now + Budget.Bounds.Window;
  Budget.SlackLeaseEnd = End;
}

void countRequest(windowed_retry_budget &Budget, const std::string &Service,
                  instant Now) {
  retry_counts &Counts = countsAt(Budget, Service, Now);
  const std::size_t Index = indexOf(Counts.LastSlice);
  Counts.Requests[Index] += 1;
  Counts.Tokens[Index] += EarnedShare * Budget.Bounds.Ratio;
}

/// What is left of the part of the slack that belongs to one of \p Instances.
static double availableSlack(const windowed_retry_budget &Budget,
                             const retry_counts &Counts, std::size_t Instances,
                             instant Now) {
  const bool IsLeased = !Budget.SlackLeaseEnd || Now < *Budget.SlackLeaseEnd;
  if (Instances == 0 || !IsLeased || Now < Budget.SlackAvailableFrom)
    return 0;
  const double Own =
      SlackShare * Budget.Bounds.Slack / static_cast<double>(Instances);
  const double Spent =
      sumOfLast(retry_counts::Slices, Counts.SlackSpent, Counts.LastSlice);
  return std::max(0.0, Own - Spent);
}

retry_usage retryUsage(windowed_retry_budget &Budget,
                       const std::string &Service, std::size_t Instances,
                       instant Now) {
  const retry_counts &Counts = countsAt(Budget, Service, Now);
  const double Tokens = sumOfLast(TokenSlices, Counts.Tokens, Counts.LastSlice);
  return {sumOfLast(retry_counts::SlicesPerWindow, Counts.Requests,
                    Counts.LastSlice),
          sumOfLast(retry_counts::SlicesPerWindow, Counts.Retries,
                    Counts.LastSlice),
          Tokens + availableSlack(Budget, Counts, Instances, Now)};
}

/// Takes up to one token, the oldest first. Returns what is missing from one.
static double spendTokens(retry_counts &Counts) {
  double Missing = 1;
  for (std::size_t Back = TokenSlices; Back-- > 0;) {
    double &Tokens = Counts.Tokens[indexOf(Counts.LastSlice -
                                           static_cast<std::int64_t>(Back))];
    const double Spent = std::min(Tokens, Missing);
    Tokens -= Spent;
    Missing -= Spent;
  }
  return Missing;
}

bool tryAcquireRetry(windowed_retry_budget &Budget, const std::string &Service,
                     std::size_t Instances, instant Now) {
  const retry_usage Usage = retryUsage(Budget, Service, Instances, Now);
  retry_counts &Counts = countsAt(Budget, Service, Now);
  if (Usage.Available < 1 - RoundingError) {
    ++Counts.Denied;
    return false;
  }
  const std::size_t Index = indexOf(Counts.LastSlice);
  Counts.SlackSpent[Index] += spendTokens(Counts);
  Counts.Retries[Index] += 1;
  return true;
}

void recordUnchargedRetry(windowed_retry_budget &Budget,
                          const std::string &Service) {
  ++Budget.ByService[Service].Uncharged;
}

} // namespace amaranthhoist
