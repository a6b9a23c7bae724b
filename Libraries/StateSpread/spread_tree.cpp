#include "StateSpread/spread_tree.h"

#include "StateSpread/watch_duty.h"

#include <algorithm>
#include <set>

namespace amaranthhoist {

/// Instances that poll one source. At 2.5 polls a second each of about 400
/// bytes, 16 of them take 16 KB/s and 1 % of a core.
static constexpr std::size_t FanOut = 16;

using members = std::vector<const fleet_member *>;

namespace {

/// A member and what it is ranked by.
struct ranked_member {
  double Processor = 0;
  std::uint64_t NameHash = 0;
  const fleet_member *Member = nullptr;
};

} // namespace

static bool isPreferred(const ranked_member &Left, const ranked_member &Right) {
  // Larger instances are preferred, since they forward all changes; a small
  // instance's slow link can't serve many others.
  if (Left.Processor != Right.Processor)
    return Left.Processor > Right.Processor;
  return Left.NameHash < Right.NameHash;
}

/// Returns this instance, unless it is shutting down, and all members that are
/// up, ordered by preference.
template <typename Predicate>
static members rankedUpMembers(const fleet &Fleet, Predicate Matches) {
  std::vector<ranked_member> Ranked;
  const auto Add = [&](const fleet_member &Member) {
    Ranked.push_back({Member.Processor, stableHash(Member.Name), &Member});
  };
  if (!Fleet.OwnIsShuttingDown && Matches(Fleet.Own))
    Add(Fleet.Own);
  for (const auto &[Name, Member] : Fleet.Members)
    if (Matches(Member) && isUp(Fleet.Membership, Name))
      Add(Member);
  std::sort(Ranked.begin(), Ranked.end(), isPreferred);
  members Members;
  Members.reserve(Ranked.size());
  for (const ranked_member &Member : Ranked)
    Members.push_back(Member.Member);
  return Members;
}

static members rankWatchers(const fleet &Fleet, const std::string &Region) {
  members Members = rankedUpMembers(Fleet, [&](const fleet_member &Member) {
    return Member.Region == Region;
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

members watcherRanking(const fleet &Fleet) {
  return rankWatchers(Fleet, Fleet.Own.Region);
}

static members watchersIn(const fleet &Fleet, const std::string &Region) {
  members Members = rankWatchers(Fleet, Region);
  if (Members.size() > WatchersPerRegion)
    Members.resize(WatchersPerRegion);
  return Members;
}

members watchers(const fleet &Fleet) {
  return watchersIn(Fleet, Fleet.Own.Region);
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

/// Returns the relays of this instance's failure domain; none in a region whose
/// watchers can serve all instances.
static members relaysOf(const fleet &Fleet, const members &Ranking) {
  if (Ranking.size() <= WatchersPerRegion * FanOut)
    return {};
  members Members = rankedUpMembers(Fleet, [&](const fleet_member &Member) {
    return Member.FailureDomain == Fleet.Own.FailureDomain;
  });
  const std::size_t Needed = (Members.size() + FanOut - 1) / FanOut;
  // One spare relay, so that after the loss of one the others stay within their
  // fan-out.
  if (Members.size() > Needed + 1)
    Members.resize(Needed + 1);
  return Members;
}

distribution_role ownRole(const fleet &Fleet) {
  const members Ranking = watcherRanking(Fleet);
  const members First(Ranking.begin(),
                      Ranking.begin() +
                          static_cast<std::ptrdiff_t>(
                              std::min(Ranking.size(), WatchersPerRegion)));
  if (contains(First, &Fleet.Own))
    return distribution_role::Watcher;
  return contains(relaysOf(Fleet, Ranking), &Fleet.Own)
             ? distribution_role::Relay
             : distribution_role::Leaf;
}

/// Rotates by this instance's hash, so that instances start with different
/// sources.
static void rotateByOwnHash(const fleet &Fleet, members &Members) {
  if (Members.empty())
    return;
  const auto First =
      static_cast<std::ptrdiff_t>(stableHash(Fleet.Own.Name) % Members.size());
  std::rotate(Members.begin(), Members.begin() + First, Members.end());
}

members primarySources(const fleet &Fleet) {
  members Sources = relaysOf(Fleet, watcherRanking(Fleet));
  if (Sources.empty() || contains(Sources, &Fleet.Own))
    Sources = watchers(Fleet);
  std::erase(Sources, &Fleet.Own);
  rotateByOwnHash(Fleet, Sources);
  return Sources;
}

static members watchersInOtherRegions(const fleet &Fleet) {
  std::set<std::string> Regions;
  for (const auto &[Name, Member] : Fleet.Members)
    if (Member.Region != Fleet.Own.Region)
      Regions.insert(Member.Region);
  members Watchers;
  for (const std::string &Region : Regions)
    for (const fleet_member *Watcher : watchersIn(Fleet, Region))
      Watchers.push_back(Watcher);
  rotateByOwnHash(Fleet, Watchers);
  return Watchers;
}

/// The instances of this region that take over from its watchers, first one
/// first.
static members successors(const fleet &Fleet) {
  members Ranking = watcherRanking(Fleet);
  Ranking.resize(std::min(Ranking.size(), MaxStoreWatchers));
  Ranking.erase(Ranking.begin(),
                Ranking.begin() + static_cast<std::ptrdiff_t>(std::min(
                                      Ranking.size(), WatchersPerRegion)));
  std::erase(Ranking, &Fleet.Own);
  return Ranking;
}

members orderedSources(const fleet &Fleet, bool IsDisconnected) {
  members Sources = IsDisconnected ? members() : primarySources(Fleet);
  for (const fleet_member *Watcher : watchersInOtherRegions(Fleet))
    Sources.push_back(Watcher);
  for (const fleet_member *Successor : successors(Fleet))
    if (!contains(Sources, Successor))
      Sources.push_back(Successor);
  members Others;
  for (const auto &[Name, Member] : Fleet.Members)
    if (isUp(Fleet.Membership, Name) && !contains(Sources, &Member))
      Others.push_back(&Member);
  rotateByOwnHash(Fleet, Others);
  Sources.insert(Sources.end(), Others.begin(), Others.end());
  return Sources;
}

const tree_place &updatePlace(tree_place &Place, const fleet &Fleet) {
  if (Place.Version == Fleet.Membership.Version &&
      Place.IsShuttingDown == Fleet.OwnIsShuttingDown)
    return Place;
  Place = {Fleet.Membership.Version,
           Fleet.OwnIsShuttingDown,
           ownRole(Fleet),
           ownRank(Fleet),
           {}};
  for (const fleet_member *Source : primarySources(Fleet))
    Place.PrimarySources.push_back(Source->Name);
  return Place;
}

} // namespace amaranthhoist
