#include "Quota/quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthhoist {

/// Length of the periods whose arrivals are averaged.
static constexpr duration DemandPeriod = std::chrono::milliseconds(500);
/// Weight of the newest period in the average.
static constexpr double DemandGain = 0.5;
/// Upper bound of one request, so that a flood can't make a holder hoard.
static constexpr std::uint32_t MaxWanted = 1'000;

static double inSeconds(duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

static held_quota *findQuota(quota_holder &Holder, account_id Account) {
  const auto Found = Holder.Accounts.find(Account);
  return Found == Holder.Accounts.end() ? nullptr : &Found->second;
}

static void updateDemand(held_quota &Quota, instant Now) {
  const duration Passed = Now - Quota.DemandSince;
  if (Passed < DemandPeriod)
    return;
  const double Rate = Quota.Arrivals / inSeconds(Passed);
  // A long idle time counts as several periods without arrivals.
  const double Kept =
      std::pow(1 - DemandGain, inSeconds(Passed) / inSeconds(DemandPeriod));
  Quota.Demand = Kept * Quota.Demand + (1 - Kept) * Rate;
  Quota.Arrivals = 0;
  Quota.DemandSince = Now;
}

static bool hasCoordinators(const held_quota &Quota,
                            std::span<const coordinator_id> Coordinators) {
  if (Quota.Pools != Coordinators.size())
    return false;
  for (std::size_t Pool = 0; Pool < Quota.Pools; ++Pool)
    if (Quota.Leases[Pool].Coordinator != Coordinators[Pool])
      return false;
  return true;
}

void setCoordinators(quota_holder &Holder, account_id Account,
                     std::span<const coordinator_id> Coordinators,
                     instant Now) {
  const auto [Entry, IsNew] = Holder.Accounts.try_emplace(Account);
  held_quota &Quota = Entry->second;
  if (IsNew)
    Quota.DemandSince = Now;
  if (hasCoordinators(Quota, Coordinators))
    return;
  std::vector<held_lease> Former = std::exchange(Quota.Leases, {});
  for (const coordinator_id Coordinator : Coordinators) {
    const auto Found =
        std::find_if(Former.begin(), Former.end(), [&](const auto &Lease) {
          return Lease.Coordinator == Coordinator;
        });
    if (Found == Former.end()) {
      Quota.Leases.push_back({.Coordinator = Coordinator});
      continue;
    }
    Quota.Leases.push_back(*Found);
    Former.erase(Found);
  }
  Quota.Pools = Coordinators.size();
  Quota.Leases.insert(Quota.Leases.end(), Former.begin(), Former.end());
}

void countArrival(quota_holder &Holder, account_id Account, instant Now) {
  held_quota *Quota = findQuota(Holder, Account);
  if (!Quota)
    return;
  ++Quota->Arrivals;
  updateDemand(*Quota, Now);
}

void setWaiting(quota_holder &Holder, account_id Account, std::size_t Waiting) {
  if (held_quota *Quota = findQuota(Holder, Account))
    Quota->Waiting = static_cast<std::uint32_t>(Waiting);
}

static std::uint32_t availableIn(const held_lease &Lease, instant Now) {
  return Now < Lease.Expiry ? Lease.Available : 0;
}

static std::uint32_t availableIn(const held_quota &Quota, instant Now) {
  std::uint32_t Sum = 0;
  for (const held_lease &Lease : Quota.Leases)
    Sum += availableIn(Lease, Now);
  return Sum;
}

std::uint32_t availableTokens(const quota_holder &Holder, account_id Account,
                              instant Now) {
  const auto Found = Holder.Accounts.find(Account);
  return Found == Holder.Accounts.end() ? 0 : availableIn(Found->second, Now);
}

/// Whether the pool may still have a token for a request that waits since
/// \p Since.
static bool isPending(const held_lease &Lease, instant Since, instant Now) {
  return Lease.IsAsking || (Now >= Lease.DeniedUntil && Lease.DeniedAt < Since);
}

static bool mayAsk(const held_lease &Lease, instant Now) {
  return !Lease.IsAsking && Now >= Lease.DeniedUntil;
}

/// Gives up waiting for coordinators that don't respond.
static void passOverSilent(held_quota &Quota, const quota_policy &Policy,
                           instant Now) {
  for (held_lease &Lease : Quota.Leases)
    if (Lease.IsAsking && Now - Lease.AskedAt >= Policy.ResponseTimeout) {
      Lease.IsAsking = false;
      Lease.IsSilent = true;
      Lease.DeniedUntil = Now + Policy.SilenceBackoff;
      Lease.DeniedAt = Now;
    }
}

quota_verdict spendToken(quota_holder &Holder, account_id Account,
                         instant Since, instant Now) {
  held_quota *Quota = findQuota(Holder, Account);
  if (!Quota)
    return quota_verdict::Unknown;
  passOverSilent(*Quota, Holder.Policy, Now);
  bool IsPending = false;
  bool WasAnswered = false;
  for (std::size_t Pool = 0; Pool < Quota->Leases.size(); ++Pool) {
    held_lease &Lease = Quota->Leases[Pool];
    if (availableIn(Lease, Now) > 0) {
      --Lease.Available;
      ++Lease.Spent;
      return quota_verdict::Granted;
    }
    if (Pool >= Quota->Pools)
      continue;
    IsPending = IsPending || isPending(Lease, Since, Now);
    WasAnswered = WasAnswered || !Lease.IsSilent;
  }
  if (IsPending)
    return quota_verdict::Pending;
  return WasAnswered ? quota_verdict::Exhausted : quota_verdict::Unknown;
}

void returnToken(quota_holder &Holder, account_id Account, instant Now) {
  held_quota *Quota = findQuota(Holder, Account);
  if (!Quota)
    return;
  // Any lease that spent one will do: only the sum counts.
  for (held_lease &Lease : Quota->Leases)
    if (Lease.Spent > 0 && Now < Lease.Expiry) {
      --Lease.Spent;
      ++Lease.Available;
      return;
    }
}

static quota_request ask(held_lease &Lease, account_id Account,
                         std::uint32_t Wanted, std::uint32_t Immediate,
                         std::uint64_t Sequence, instant Now) {
  Lease.Available = availableIn(Lease, Now);
  Lease.IsAsking = true;
  Lease.AskedAt = Now;
  Lease.AskedImmediate = Immediate;
  Lease.Sequence = Sequence;
  return {Account,         Lease.Sequence, Lease.Spent,
          Lease.Available, Wanted,         Immediate};
}

/// Tokens that are needed beyond those held and asked for.
static std::uint32_t neededTokens(const held_quota &Quota,
                                  const quota_policy &Policy, instant Now) {
  const double Held = availableIn(Quota, Now);
  const double Lead = Quota.Demand * inSeconds(Policy.RefillLead);
  const double Expected = Quota.Demand * inSeconds(Policy.Horizon);
  // Few requests are worth no tokens in advance: each instance would hold one.
  const double Advance = Expected >= 1 ? std::ceil(Expected) : 0;
  const bool IsLow = Advance > 0 && Held <= Lead;
  if (Quota.Waiting <= Held && !IsLow)
    return 0;
  const double Wanted = Quota.Waiting + Advance - Held;
  return static_cast<std::uint32_t>(
      std::clamp(Wanted, 1.0, static_cast<double>(MaxWanted)));
}

std::vector<outgoing_quota_request>
planQuotaRequests(quota_holder &Holder, account_id Account, instant Now) {
  held_quota *Quota = findQuota(Holder, Account);
  if (!Quota)
    return {};
  passOverSilent(*Quota, Holder.Policy, Now);
  updateDemand(*Quota, Now);
  const std::uint32_t Needed = neededTokens(*Quota, Holder.Policy, Now);
  if (Needed == 0)
    return {};
  // One pool at a time: the next one is asked when this one has too few.
  for (std::size_t Pool = 0; Pool < Quota->Pools; ++Pool) {
    held_lease &Lease = Quota->Leases[Pool];
    if (Lease.IsAsking)
      return {};
    if (mayAsk(Lease, Now))
      return {{Lease.Coordinator,
               ask(Lease, Account, Needed, std::min(Needed, Quota->Waiting),
                   ++Holder.LastSequence, Now)}};
  }
  return {};
}

bool handleQuotaResponse(quota_holder &Holder, coordinator_id Coordinator,
                         const quota_response &Response, instant Now) {
  held_quota *Quota = findQuota(Holder, Response.Account);
  if (!Quota)
    return false;
  const auto Found = std::find_if(
      Quota->Leases.begin(), Quota->Leases.end(),
      [&](const auto &Each) { return Each.Coordinator == Coordinator; });
  if (Found == Quota->Leases.end())
    return false;
  held_lease &Lease = *Found;
  // Tokens of an earlier response were given up by the last request.
  if (Response.Sequence != Lease.Sequence || !Lease.IsAsking)
    return false;
  Lease.IsAsking = false;
  Lease.IsSilent = Response.IsUnavailable;
  // Counted as too late even where nothing has noticed it yet: the process may
  // have been suspended.
  if (Now - Lease.AskedAt >= Holder.Policy.ResponseTimeout)
    return false;
  const std::uint32_t Immediate =
      std::min(Response.Granted, Lease.AskedImmediate);
  const std::uint32_t Used = std::min(Immediate, Quota->Waiting);
  Lease.Spent += Immediate - Used;
  Lease.Available += Response.Granted - Immediate + Used;
  Lease.Expiry = Lease.AskedAt + Holder.Policy.Lease;
  if (Response.Granted == 0)
    Lease.DeniedAt = Now;
  if (Response.RetryAfter > duration::zero())
    Lease.DeniedUntil =
        Now + std::max(Response.RetryAfter, Holder.Policy.MinDenial);
  return true;
}

duration timeUntilRetry(const quota_holder &Holder, account_id Account,
                        instant Now) {
  const auto Found = Holder.Accounts.find(Account);
  if (Found == Holder.Accounts.end())
    return duration::zero();
  duration Shortest = Holder.Policy.SilenceBackoff;
  const held_quota &Quota = Found->second;
  for (std::size_t Pool = 0; Pool < Quota.Pools; ++Pool)
    Shortest =
        std::min(Shortest, std::max(duration::zero(),
                                    Quota.Leases[Pool].DeniedUntil - Now));
  return Shortest;
}

} // namespace amaranthhoist
