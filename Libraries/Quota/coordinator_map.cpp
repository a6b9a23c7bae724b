#include "Quota/coordinator_map.h"

#include <algorithm>
#include <map>
#include <set>

namespace amaranthhoist {

/// Instances of at least this share of their domain's largest capacity
/// coordinate: a much smaller one would be loaded by the messages of many.
static constexpr double MinCapacityShare = 0.5;

account_id accountId(std::string_view AccountName) {
  return stableHash(AccountName);
}

std::size_t groupOf(account_id Account) { return Account % QuotaGroups; }

static std::uint64_t groupHash(std::size_t Group, std::string_view Name) {
  return rendezvousScore(stableHash(Name), stableHash("quota", Group));
}

/// The instance of \p Domain that coordinates for \p Group.
static const coordinator_candidate &
pickCoordinator(std::span<const coordinator_candidate *const> Domain,
                std::size_t Group) {
  double Largest = 0;
  for (const coordinator_candidate *Instance : Domain)
    Largest = std::max(Largest, Instance->Processor);
  const auto Score = [&](const coordinator_candidate *Instance) {
    return Instance->Processor < MinCapacityShare * Largest
               ? 0
               : groupHash(Group, Instance->Name);
  };
  return **std::max_element(Domain.begin(), Domain.end(),
                            [&](const coordinator_candidate *Left,
                                const coordinator_candidate *Right) {
                              return Score(Left) < Score(Right);
                            });
}

using domain_list =
    std::map<std::string_view, std::vector<const coordinator_candidate *>>;

/// The coordinators of \p Group: first one in each region, then those of the
/// other domains.
static pool_coordinators makeCoordinators(const domain_list &Domains,
                                          std::size_t Group,
                                          std::size_t &Regions) {
  std::vector<const coordinator_candidate *> All;
  for (const auto &[Name, Instances] : Domains)
    All.push_back(&pickCoordinator(Instances, Group));
  std::sort(All.begin(), All.end(), [&](const auto *Left, const auto *Right) {
    return groupHash(Group, Left->FailureDomain) >
           groupHash(Group, Right->FailureDomain);
  });
  std::set<std::string_view> Seen;
  const auto Rest =
      std::stable_partition(All.begin(), All.end(), [&](const auto *Each) {
        return Seen.insert(Each->Region).second;
      });
  Regions = std::min<std::size_t>(MaxQuotaPools,
                                  static_cast<std::size_t>(Rest - All.begin()));
  All.resize(std::min(All.size(), MaxQuotaPools));
  pool_coordinators Coordinators;
  for (const coordinator_candidate *Each : All)
    Coordinators.push_back(*Each);
  return Coordinators;
}

static bool isSame(const pool_coordinators &Left,
                   const pool_coordinators &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const auto &One, const auto &Other) {
                      return One.Name == Other.Name;
                    });
}

static bool includes(const pool_coordinators &Coordinators,
                     std::string_view Name) {
  return std::any_of(
      Coordinators.begin(), Coordinators.end(),
      [&](const auto &Coordinator) { return Coordinator.Name == Name; });
}

bool updateCoordinators(coordinator_map &Map,
                        std::span<const coordinator_candidate> Instances,
                        std::string_view Own, const quota_policy &Policy,
                        instant Now) {
  domain_list Domains;
  for (const coordinator_candidate &Instance : Instances)
    Domains[Instance.FailureDomain].push_back(&Instance);
  bool HasChanged = false;
  for (std::size_t Group = 0; Group < QuotaGroups; ++Group) {
    std::size_t Regions = 0;
    pool_coordinators Next = makeCoordinators(Domains, Group, Regions);
    quota_group &Held = Map.Groups[Group];
    if (Map.IsKnown && isSame(Next, Held.Coordinators))
      continue;
    HasChanged = true;
    // The first list shows what a restarted process coordinated before; and
    // nobody coordinated for an empty fleet.
    const bool HasPredecessor = Map.IsKnown && !Held.Coordinators.empty();
    const duration Delay =
        HasPredecessor ? Policy.HandoverDelay : duration::zero();
    if (!includes(Held.Coordinators, Own))
      Held.MayGrantFrom = Now + Delay;
    const bool IsInHandover = Now < Held.FormerUntil;
    Held.FormerPools =
        std::max(Held.Coordinators.size(), IsInHandover ? Held.FormerPools : 0);
    Held.FormerRegions =
        std::max(Held.Regions, IsInHandover ? Held.FormerRegions : 0);
    Held.FormerUntil = Now + Delay;
    Held.Coordinators = std::move(Next);
    Held.Regions = Regions;
  }
  Map.IsKnown = true;
  return HasChanged;
}

account_pools poolsOf(const coordinator_map &Map, account_id Account,
                      const quota_limit &Limit, const quota_bounds &Bounds,
                      const quota_policy &Policy, instant Now) {
  const quota_group &Group = Map.Groups[groupOf(Account)];
  const bool IsInHandover = Now < Group.FormerUntil;
  const std::size_t All =
      std::max(Group.Coordinators.size(), IsInHandover ? Group.FormerPools : 0);
  const bool IsLarge =
      poolSize(Limit, Bounds, Policy, All).Depth >= Policy.MinPoolDepth;
  const std::span<const coordinator_candidate> Coordinators =
      Group.Coordinators;
  if (IsLarge)
    return {Coordinators, All};
  return {Coordinators.first(Group.Regions),
          std::max(Group.Regions, IsInHandover ? Group.FormerRegions : 0)};
}

std::vector<coordinator_id>
askOrder(std::span<const coordinator_candidate> Coordinators,
         std::string_view FailureDomain, std::string_view Region) {
  std::vector<const coordinator_candidate *> Order;
  Order.reserve(Coordinators.size());
  for (const coordinator_candidate &Coordinator : Coordinators)
    Order.push_back(&Coordinator);
  const auto Distance = [&](const coordinator_candidate *Coordinator) {
    if (Coordinator->FailureDomain == FailureDomain)
      return 0;
    return Coordinator->Region == Region ? 1 : 2;
  };
  // Holders in different domains begin with different remote pools.
  const std::uint64_t Own = stableHash(FailureDomain);
  const auto Score = [&](const coordinator_candidate *Coordinator) {
    return rendezvousScore(stableHash(Coordinator->Name), Own);
  };
  std::sort(
      Order.begin(), Order.end(), [&](const auto *Left, const auto *Right) {
        const int LeftDistance = Distance(Left);
        const int RightDistance = Distance(Right);
        return LeftDistance == RightDistance ? Score(Left) > Score(Right)
                                             : LeftDistance < RightDistance;
      });
  std::vector<coordinator_id> Ids;
  Ids.reserve(Order.size());
  for (const coordinator_candidate *Coordinator : Order)
    Ids.push_back(stableHash(Coordinator->Name));
  return Ids;
}

} // namespace amaranthhoist
