/// Which instances coordinate the pools of an account: one in each of several
/// failure domains, so that a domain that is cut off keeps a pool of its own;
/// for small accounts one in each region.
/// It follows from the list of instances alone, whether they are up or not: a
/// pool never has two coordinators because instances see each other
/// differently. Accounts are put into groups, so that an instance exchanges
/// messages with few others. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Quota/quota.h"

#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Groups of accounts with the same coordinators.
inline constexpr std::size_t QuotaGroups = 16;
/// Maximum number of pools of an account. With more, the pools of most accounts
/// are too small to hold a token.
inline constexpr std::size_t MaxQuotaPools = 6;

/// An instance that may coordinate pools.
struct coordinator_candidate {
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  /// Processor capacity, in cores.
  double Processor = 1;
};

using pool_coordinators = std::vector<coordinator_candidate>;

struct quota_group {
  /// The first Regions are in different regions and have the pools of small
  /// accounts.
  pool_coordinators Coordinators;
  std::size_t Regions = 0;
  /// Time from which this instance grants tokens, if it coordinates a pool.
  instant MayGrantFrom{};
  /// Other instances may still divide the limits into this many pools.
  std::size_t FormerPools = 0;
  std::size_t FormerRegions = 0;
  instant FormerUntil{};
};

/// The coordinators of one account.
struct account_pools {
  std::span<const coordinator_candidate> Coordinators;
  /// Number of pools that its limit is divided into; more than there are
  /// coordinators while other instances may know more.
  std::size_t Count = 0;
};

struct coordinator_map {
  std::array<quota_group, QuotaGroups> Groups;
  /// The list of instances has been applied.
  bool IsKnown = false;
};

/// The account as a number between instances.
account_id accountId(std::string_view AccountName);
std::size_t groupOf(account_id Account);

/// Applies the list of instances, this one included if it is listed. Returns
/// whether the coordinators of any group have changed.
bool updateCoordinators(coordinator_map &Map,
                        std::span<const coordinator_candidate> Instances,
                        std::string_view Own, const quota_policy &Policy,
                        instant Now);

/// The pools of an account with \p Limit.
account_pools poolsOf(const coordinator_map &Map, account_id Account,
                      const quota_limit &Limit, const quota_bounds &Bounds,
                      const quota_policy &Policy, instant Now);

/// Coordinators in the order in which an instance in \p FailureDomain of \p
/// Region asks them: its own domain, its region, the others.
std::vector<coordinator_id>
askOrder(std::span<const coordinator_candidate> Coordinators,
         std::string_view FailureDomain, std::string_view Region);

} // namespace amaranthhoist
