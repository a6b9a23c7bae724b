#include "StateSpread/spread_tree.h"

#include <algorithm>

namespace amaranthhoist {

/// Instances that learn from one other. With 2.5 polls a second each of about
/// 400 bytes, 16 take 16 KB/s and 1 % of a core.
static constexpr std::size_t FanOut = 16;

using members = std::vector<const fleet_member *>;

static bool isPreferred(const fleet_member *Left, const fleet_member *Right) {
  // They hand everything on, which a small instance with its slow link can't
  // do for many.
  if (Left->Processor != Right->Processor)
    return Left->Processor > Right->Processor;
  return stableHash(Left->Name) < stableHash(Right->Name);
}

/// This instance, unless it leaves, and all that are up, by preference.
template <typename Predicate>
static members upByPreference(const fleet &Fleet, Predicate IsWanted) {
  members Members;
  if (!Fleet.OwnIsLeaving && IsWanted(Fleet.Own))
    Members.push_back(&Fleet.Own);
  for (const auto &[Name, Member] : Fleet.Members)
    if (IsWanted(Member) && isUp(Fleet.Membership, Name))
      Members.push_back(&Member);
  std::sort(Members.begin(), Members.end(), isPreferred);
  return Members;
}

members watcherRanking(const fleet &Fleet) {
  members Members = upByPreference(Fleet, [&](const fleet_member &Member) {
    return Member.Region == Fleet.Own.Region;
  });
  if (Members.size() <= WatchersPerRegion)
    return Members;
  const auto Elsewhere = std::find_if(
      Members.begin() + 1, Members.end(), [&](const fleet_member *Member) {
        return Member->FailureDomain != Members.front()->FailureDomain;
      });
  if (Elsewhere != Members.end())
    std::rotate(Members.begin() + 1, Elsewhere, Elsewhere + 1);
  return Members;
}

members watchers(const fleet &Fleet) {
  members Members = watcherRanking(Fleet);
  if (Members.size() > WatchersPerRegion)
    Members.resize(WatchersPerRegion);
  return Members;
}

static bool contains(const members &Members, const fleet_member *Wanted) {
  return std::find(Members.begin(), Members.end(), Wanted) != Members.end();
}

std::optional<std::size_t> ownRank(const fleet &Fleet) {
  const members Ranking = watcherRanking(Fleet);
  const auto Found = std::find(Ranking.begin(), Ranking.end(), &Fleet.Own);
  if (Found == Ranking.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Ranking.begin());
}

/// The relays of this instance's failure domain; none in a region whose
/// watchers can serve all.
static members relaysOf(const fleet &Fleet, const members &Ranking) {
  if (Ranking.size() <= WatchersPerRegion * FanOut)
    return {};
  members Members = upByPreference(Fleet, [&](const fleet_member &Member) {
    return Member.FailureDomain == Fleet.Own.FailureDomain;
  });
  const std::size_t Needed = (Members.size() + FanOut - 1) / FanOut;
  // One more, so that the loss of one leaves the others within their fan-out.
  if (Members.size() > Needed + 1)
    Members.resize(Needed + 1);
  return Members;
}

spread_role ownRole(const fleet &Fleet) {
  const members Ranking = watcherRanking(Fleet);
  const members First(Ranking.begin(),
                      Ranking.begin() +
                          static_cast<std::ptrdiff_t>(
                              std::min(Ranking.size(), WatchersPerRegion)));
  if (contains(First, &Fleet.Own))
    return spread_role::Watcher;
  return contains(relaysOf(Fleet, Ranking), &Fleet.Own) ? spread_role::Relay
                                                        : spread_role::Leaf;
}

members regularSources(const fleet &Fleet) {
  members Sources = relaysOf(Fleet, watcherRanking(Fleet));
  if (Sources.empty() || contains(Sources, &Fleet.Own))
    Sources = watchers(Fleet);
  std::erase(Sources, &Fleet.Own);
  if (!Sources.empty())
    std::rotate(Sources.begin(),
                Sources.begin() +
                    static_cast<std::ptrdiff_t>(stableHash(Fleet.Own.Name) %
                                                Sources.size()),
                Sources.end());
  return Sources;
}

members furtherSources(const fleet &Fleet) {
  members Sources;
  for (const auto &[Name, Member] : Fleet.Members)
    if (isUp(Fleet.Membership, Name))
      Sources.push_back(&Member);
  std::stable_sort(Sources.begin(), Sources.end(),
                   [&](const fleet_member *Left, const fleet_member *Right) {
                     const bool LeftIsNear = Left->Region == Fleet.Own.Region;
                     const bool RightIsNear = Right->Region == Fleet.Own.Region;
                     return !LeftIsNear && RightIsNear;
                   });
  return Sources;
}

} // namespace amaranthhoist
