/// A simulated fleet whose instances limit accounts together: messages that are
/// lost, delayed, duplicated and reordered; instances that are killed, paused
/// and cut off; limits that change. Checks the operators' bound at each request
/// that is sent. Used by the tests and by quota-explorer.
#pragma once

#include "Quota/coordinator_map.h"
#include "Quota/quota.h"

#include <cstddef>
#include <cstdint>

namespace amaranthhoist {

/// How the instances share a limit.
enum class quota_way : std::uint8_t {
  /// Pools in several failure domains (Libraries/Quota).
  Pools,
  /// One pool for each account: leases from a single coordinator.
  OneCoordinator,
  /// Each instance has an equal part.
  EqualParts,
  /// Each instance reports its use to the others and admits what is left.
  Reports,
};

/// Defects that the check must find.
enum class quota_mutant : std::uint8_t {
  None,
  /// A coordinator that starts has a full pool.
  StartsFull,
  /// Each coordinator grants the whole limit.
  PoolsNotDivided,
  /// Coordinators don't count tokens that holders still have.
  HeldTokensNotCounted,
};

struct quota_world_options {
  std::uint64_t Seed = 1;
  std::size_t Nodes = 9;
  std::size_t Domains = 6;
  std::size_t Accounts = 3;
  /// Mean limit of an account, requests per second.
  double Rate = 30;
  /// Ordinary demand as a share of the limit.
  double Load = 0.62;
  /// Instances that an account's requests come to; 0: all.
  std::size_t Spread = 0;
  bool HasFaults = true;
  bool HasKills = true;
  /// Accounts with 12 times their usual demand for some seconds.
  std::size_t HotAccounts = 1;
  duration Length = std::chrono::seconds(20);
  quota_way Way = quota_way::Pools;
  quota_mutant Mutant = quota_mutant::None;
};

struct quota_world_result {
  /// Largest excess over the bound of any account in any window; at most 0 if
  /// the bound holds.
  double WorstExcess = -1e9;
  std::uint64_t Arrived = 0;
  std::uint64_t Sent = 0;
  /// Refused although the account had stayed below its limit in the window
  /// before.
  std::uint64_t RefusedBelowLimit = 0;
  std::uint64_t RefusedAboveLimit = 0;
  /// Requests that waited for a message, and the sum of their waits.
  std::uint64_t Waited = 0;
  duration WaitSum{};
  duration LongestWait{};
  std::uint64_t Messages = 0;
  std::uint64_t MessageBytes = 0;
  /// Sent of the hot accounts, as a share of what their limits permit in the
  /// time of their excess.
  double HotUse = 0;
};

quota_world_result runQuotaWorld(const quota_world_options &Options);

} // namespace amaranthhoist
