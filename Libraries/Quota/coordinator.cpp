#include "Quota/quota.h"

#include <algorithm>
#include <cmath>

namespace amaranthhoist {

/// Share of the tokens in a pool that one request gets, so that the holders
/// that ask after it get some too.
static constexpr double MaxGrantShare = 0.5;
/// Upper bound of the time that a response tells a holder to wait.
static constexpr duration MaxDenial = std::chrono::milliseconds(500);

static double inSeconds(duration Time) {
  return static_cast<double>(Time.count()) / 1e6;
}

pool_size poolSize(const quota_limit &Limit, const quota_bounds &Bounds,
                   const quota_policy &Policy, std::size_t Pools) {
  const double Count = static_cast<double>(std::max<std::size_t>(Pools, 1));
  const double Steady =
      Limit.RequestsPerSecond * inSeconds(Bounds.Window) + Limit.Burst;
  const double Depth = Limit.Burst + Bounds.Overshoot * Steady + Bounds.Slack;
  return {Limit.RequestsPerSecond / Count, Policy.DepthShare * Depth / Count};
}

static void expireLeases(quota_pool &Pool, instant Now) {
  std::erase_if(Pool.Leases, [&](const auto &Entry) {
    if (Now < Entry.second.Expiry)
      return false;
    // Its tokens may all have been spent, so they don't return to the pool.
    Pool.Outstanding -= Entry.second.Outstanding;
    return true;
  });
}

/// Adds the tokens of the time that has passed, as far as the depth permits.
static void refill(quota_pool &Pool, const pool_size &Size,
                   const quota_policy &Policy, instant Now) {
  double Most = std::max(0.0, std::max(1.0, Size.Depth) -
                                  static_cast<double>(Pool.Outstanding));
  if (Now < Pool.StartsUntil)
    Most = std::min(Most, std::max(1.0, Policy.StartShare * Size.Depth));
  const double Added =
      inSeconds(std::max(duration::zero(), Now - Pool.UpdatedAt)) *
      Size.TokensPerSecond;
  Pool.Level = std::min(Pool.Level + Added, Most);
  Pool.UpdatedAt = std::max(Pool.UpdatedAt, Now);
}

static quota_pool &poolOf(quota_coordinator &Coordinator, account_id Account,
                          instant MayGrantFrom) {
  const auto [Entry, IsNew] = Coordinator.Pools.try_emplace(Account);
  quota_pool &Pool = Entry->second;
  if (IsNew) {
    // Nothing is added for the time before this process coordinated it.
    Pool.UpdatedAt = MayGrantFrom;
    Pool.StartsUntil = MayGrantFrom + Coordinator.Policy.Lease +
                       Coordinator.Policy.LeaseMargin;
  }
  return Pool;
}

/// Applies what the holder states of its tokens.
static pool_lease &applyReport(quota_pool &Pool, std::uint64_t Holder,
                               const quota_request &Request) {
  const auto [Entry, IsNew] = Pool.Leases.try_emplace(Holder);
  pool_lease &Lease = Entry->second;
  const auto Kept = static_cast<std::int64_t>(Request.Kept);
  // Tokens that this process doesn't know are of a lease that it has ended, or
  // of its predecessor: they left that pool.
  if (!IsNew) {
    const auto Spent = static_cast<std::int64_t>(Request.Spent - Lease.Spent);
    Pool.Level += static_cast<double>(Lease.Outstanding - Spent - Kept);
  }
  Pool.Outstanding += Kept - Lease.Outstanding;
  Lease.Outstanding = Kept;
  Lease.Spent = Request.Spent;
  Lease.Sequence = Request.Sequence;
  return Lease;
}

static std::uint32_t grant(quota_pool &Pool, pool_lease &Lease,
                           const quota_request &Request) {
  const double Most = std::max(1.0, std::ceil(Pool.Level * MaxGrantShare));
  const double Available = std::min(std::floor(Pool.Level), Most);
  const auto Granted = static_cast<std::uint32_t>(
      std::clamp(Available, 0.0, static_cast<double>(Request.Wanted)));
  const std::uint32_t Spent = std::min(Granted, Request.Immediate);
  Pool.Level -= Granted;
  Pool.Outstanding += Granted - Spent;
  Lease.Outstanding += Granted - Spent;
  Lease.Spent += Spent;
  return Granted;
}

/// Time until the pool has a token again for a holder, if half of its holders
/// take one before.
static duration timeUntilToken(const quota_pool &Pool, const pool_size &Size) {
  const double Missing =
      1 - Pool.Level + static_cast<double>(Pool.Leases.size()) / 2;
  if (Missing <= 0)
    return duration(1);
  if (Size.TokensPerSecond <= 0)
    return MaxDenial;
  const double Seconds = Missing / Size.TokensPerSecond;
  return std::min(MaxDenial,
                  duration(static_cast<std::int64_t>(
                      std::min(Seconds, inSeconds(MaxDenial)) * 1e6)));
}

quota_response
handleQuotaRequest(quota_coordinator &Coordinator, std::uint64_t Holder,
                   const quota_request &Request, const quota_limit &Limit,
                   std::size_t PoolCount, instant MayGrantFrom, instant Now) {
  quota_response Response{Request.Account, Request.Sequence, 0, {}};
  if (Now < MayGrantFrom) {
    Response.RetryAfter = std::min(MaxDenial, MayGrantFrom - Now);
    Response.IsUnavailable = true;
    return Response;
  }
  quota_pool &Pool = poolOf(Coordinator, Request.Account, MayGrantFrom);
  const pool_size Size =
      poolSize(Limit, Coordinator.Bounds, Coordinator.Policy, PoolCount);
  expireLeases(Pool, Now);
  const auto Known = Pool.Leases.find(Holder);
  // A delayed or duplicated request: the holder no longer accepts a response.
  if (Known != Pool.Leases.end() && Request.Sequence <= Known->second.Sequence)
    return Response;
  pool_lease &Lease = applyReport(Pool, Holder, Request);
  refill(Pool, Size, Coordinator.Policy, Now);
  Response.Granted = grant(Pool, Lease, Request);
  Lease.Expiry =
      Now + Coordinator.Policy.Lease + Coordinator.Policy.LeaseMargin;
  if (Response.Granted < Request.Wanted)
    Response.RetryAfter = timeUntilToken(Pool, Size);
  return Response;
}

void evictIdlePools(quota_coordinator &Coordinator, instant Now) {
  // A pool that is created again may start full, so none of its tokens may
  // have been spent within the window before.
  const duration Idle = Coordinator.Bounds.Window + Coordinator.Policy.Lease +
                        Coordinator.Policy.LeaseMargin;
  absl::erase_if(Coordinator.Pools, [&](auto &Entry) {
    expireLeases(Entry.second, Now);
    return Entry.second.Leases.empty() && Now - Entry.second.UpdatedAt > Idle;
  });
}

} // namespace amaranthhoist
