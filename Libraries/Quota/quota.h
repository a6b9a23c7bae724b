/// Rate limits of client accounts over all instances together.
///
/// The limit of an account is divided once, into equal pools. The instance that
/// coordinates a pool refills it like a token bucket and grants tokens from it;
/// the instances that send requests hold granted tokens under a lease and spend
/// one for each request. The bound rests on this:
///
///  - Tokens in a pool and tokens that were granted and may still be spent are
///    together never more than the pool's depth. In any window the pool adds no
///    more than its rate, so no more than rate x window + depth are spent.
///  - A token can be spent only while its lease lasts. The lease begins at the
///    holder when it asks, at the coordinator when the request arrives: it
///    always ends at the holder first. Leases are measured on a clock that
///    includes suspends.
///  - A token that is granted for a request that is waiting leaves the pool at
///    once: the holder spends it on arrival or drops it.
///  - A coordinator that starts has an empty pool. Its predecessor has spent
///    its rate up to then, and what its holders still have is part of the
///    predecessor's depth. Until their leases have ended, the successor
///    accumulates a part of its depth only, and pools leave room for that.
///
/// Requests and responses may be lost, delayed, duplicated and reordered: a
/// holder states what it keeps and accepts only the response to its last
/// request. Sans-I/O. All times are on a clock that includes suspends.
#pragma once

#include "Core/core.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace amaranthhoist {

/// What an account may send over all instances; a rate of 0 means no limit.
struct quota_limit {
  double RequestsPerSecond = 0;
  double Burst = 0;
};

/// The operators' bounds on how far an account may exceed its limit: in any
/// window no more than (rate x Window + burst) x (1 + Overshoot) + Slack
/// requests of it reach servers.
struct quota_bounds {
  duration Window = std::chrono::seconds(5);
  double Overshoot = 0.1;
  double Slack = 0;
};

struct quota_policy {
  /// Share of the bound beyond rate x window that pools and leases use. The
  /// rest is for coordinators that start while leases of their predecessors
  /// last.
  double DepthShare = 0.7;
  /// Share of its depth that a coordinator accumulates in the time of a lease
  /// after its start.
  double StartShare = 0.25;
  /// How long granted tokens may be spent.
  duration Lease = std::chrono::seconds(3);
  /// An account whose limit gives each of the pools of a group this depth has
  /// one in each failure domain, a smaller one only one in each region: a pool
  /// of few tokens is often empty while others are full.
  double MinPoolDepth = 6;
  /// Allowance for clocks that run at different speeds.
  duration LeaseMargin = std::chrono::milliseconds(200);
  /// A coordinator of a changed fleet waits this long: the one before it may
  /// not have learned the change yet.
  duration HandoverDelay = std::chrono::seconds(5);
  /// A holder asks for the requests that it expects in this time.
  duration Horizon = std::chrono::milliseconds(600);
  /// A holder asks again while it still has the tokens for this time: a round
  /// trip between regions and a busy coordinator.
  duration RefillLead = std::chrono::milliseconds(200);
  /// A coordinator that hasn't responded for this long is passed over.
  duration ResponseTimeout = std::chrono::milliseconds(250);
  /// How long such a coordinator is passed over.
  duration SilenceBackoff = std::chrono::milliseconds(1'500);
  /// A holder that was denied asks the same pool again no sooner.
  duration MinDenial = std::chrono::milliseconds(40);
};

/// Identifies an account between instances: stableHash() of its name.
using account_id = std::uint64_t;

/// A request of a holder to the coordinator of a pool.
struct quota_request {
  account_id Account = 0;
  /// Rises with each request of a holder.
  std::uint64_t Sequence = 0;
  /// Tokens spent since the holder started.
  std::uint64_t Spent = 0;
  /// Tokens that the holder keeps; it has given up all others.
  std::uint32_t Kept = 0;
  /// Tokens that it wants beyond those.
  std::uint32_t Wanted = 0;
  /// How many of these it spends on arrival, or drops.
  std::uint32_t Immediate = 0;
};

struct quota_response {
  account_id Account = 0;
  /// Sequence of the request.
  std::uint64_t Sequence = 0;
  std::uint32_t Granted = 0;
  /// Earliest time from now at which another request may succeed; zero if all
  /// that was wanted was granted.
  duration RetryAfter{};
  /// The instance doesn't coordinate the pool, or doesn't yet: nothing is known
  /// of the limit.
  bool IsUnavailable = false;
};

/// Tokens per second and depth of one of \p Pools pools.
struct pool_size {
  double TokensPerSecond = 0;
  double Depth = 0;
};
pool_size poolSize(const quota_limit &Limit, const quota_bounds &Bounds,
                   const quota_policy &Policy, std::size_t Pools);

// Coordinator.

/// What one holder has of a pool.
struct pool_lease {
  std::uint64_t Sequence = 0;
  /// Tokens that left the pool for good, counted as the holder does.
  std::uint64_t Spent = 0;
  std::int64_t Outstanding = 0;
  instant Expiry{};
};

/// One account's pool at its coordinator.
struct quota_pool {
  double Level = 0;
  /// Granted and not known to be spent.
  std::int64_t Outstanding = 0;
  instant UpdatedAt{};
  /// Until then only StartShare of the depth is accumulated.
  instant StartsUntil{};
  /// By holder.
  std::map<std::uint64_t, pool_lease> Leases;
};

/// The pools that this instance coordinates.
struct quota_coordinator {
  quota_bounds Bounds;
  quota_policy Policy;
  absl::flat_hash_map<account_id, quota_pool> Pools;
};

/// Handles a request of \p Holder, a number that is unique to the holder's
/// process. \p MayGrantFrom is the time from which this instance coordinates
/// the pool.
quota_response
handleQuotaRequest(quota_coordinator &Coordinator, std::uint64_t Holder,
                   const quota_request &Request, const quota_limit &Limit,
                   std::size_t PoolCount, instant MayGrantFrom, instant Now);

/// Removes leases that have ended, and pools that were idle for a window.
void evictIdlePools(quota_coordinator &Coordinator, instant Now);

// Holder.

/// Identifies a coordinator at a holder: stableHash() of the instance's name.
using coordinator_id = std::uint64_t;

/// Tokens held from the pool of one coordinator.
struct held_lease {
  coordinator_id Coordinator = 0;
  /// Sequence of the last request.
  std::uint64_t Sequence = 0;
  /// Tokens spent or dropped since the holder started.
  std::uint64_t Spent = 0;
  std::uint32_t Available = 0;
  instant Expiry{};
  /// Time of the last request; its response hasn't arrived while IsAsking.
  instant AskedAt{};
  std::uint32_t AskedImmediate = 0;
  bool IsAsking = false;
  /// The pool isn't asked before this time.
  instant DeniedUntil{};
  /// When it last granted nothing.
  instant DeniedAt{};
  /// Whether it was passed over because it didn't respond.
  bool IsSilent = false;
};

/// One account at one holder.
struct held_quota {
  /// By coordinator, the one to be asked first in front. Those behind the
  /// first Pools are of former coordinators, which are not asked; their leases
  /// are kept, since the counts in them must not begin again.
  std::vector<held_lease> Leases;
  std::size_t Pools = 0;
  /// Requests per second, averaged over about a second.
  double Demand = 0;
  /// Requests since DemandSince.
  std::uint32_t Arrivals = 0;
  instant DemandSince{};
  /// Requests that wait for tokens.
  std::uint32_t Waiting = 0;
};

/// The accounts at this instance.
struct quota_holder {
  quota_policy Policy;
  std::uint64_t LastSequence = 0;
  absl::flat_hash_map<account_id, held_quota> Accounts;
};

struct outgoing_quota_request {
  coordinator_id Coordinator = 0;
  quota_request Request;
};

enum class quota_verdict : std::uint8_t {
  /// A token was spent.
  Granted,
  /// Coordinators are being asked.
  Pending,
  /// All pools were empty when they were last asked.
  Exhausted,
  /// No coordinator responds.
  Unknown,
};

/// Sets the coordinators of an account, the one to be asked first in front.
void setCoordinators(quota_holder &Holder, account_id Account,
                     std::span<const coordinator_id> Coordinators, instant Now);

/// Counts an arriving request towards the demand of the account.
void countArrival(quota_holder &Holder, account_id Account, instant Now);

/// Sets the number of requests of the account that wait for tokens.
void setWaiting(quota_holder &Holder, account_id Account, std::size_t Waiting);

/// Spends a token, if there is one, for a request that waits since \p Since. A
/// pool that has granted nothing since then isn't asked again for it.
quota_verdict spendToken(quota_holder &Holder, account_id Account,
                         instant Since, instant Now);

/// Returns the token of a request that no server has run. Dropped if its lease
/// has ended.
void returnToken(quota_holder &Holder, account_id Account, instant Now);

/// Plans requests for tokens that are needed now or soon.
std::vector<outgoing_quota_request>
planQuotaRequests(quota_holder &Holder, account_id Account, instant Now);

/// Handles the response of a coordinator. Returns whether it was expected; then
/// the requests that wait should try spendToken() at once, since tokens that
/// were granted for them are not kept.
bool handleQuotaResponse(quota_holder &Holder, coordinator_id Coordinator,
                         const quota_response &Response, instant Now);

/// Time until the first pool may be asked again; zero if one may be asked now.
duration timeUntilRetry(const quota_holder &Holder, account_id Account,
                        instant Now);

/// Tokens that may be spent now.
std::uint32_t availableTokens(const quota_holder &Holder, account_id Account,
                              instant Now);

} // namespace amaranthhoist
