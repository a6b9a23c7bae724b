#include "Fleet/fleet.h"

#include <algorithm>
#include <functional>
#include <set>

namespace amaranthhoist {

/// Instances that must be up in a failure domain for its callers to be sent to
/// those alone: with one, its loss would leave the callers none until their
/// next lookup.
static constexpr std::size_t MinUpInDomain = 2;

/// Cost of forwarding one request, from the traffic of the two users: 0.23 ms
/// of processor time as measured, and responses of 7 and 12 KB on average.
static constexpr double ProcessorSecondsPerRequest = 0.000'25;
static constexpr double BitsPerRequest = 80'000;
/// Instances whose capacities differ by less than this factor count as equal,
/// and all are returned.
static constexpr double MaxEqualRatio = 1.5;
/// Addresses drawn for one response when capacities differ. With fewer
/// addresses, the callers' distribution follows the capacities more closely;
/// but a caller whose instances have all failed has to wait for another lookup.
static constexpr std::size_t DrawsPerLookup = 4;
static constexpr std::size_t MinDistinctAddresses = 3;

/// Attempts to draw a member that is up, since some are down.
static constexpr std::size_t MaxPickAttempts = 8;

using members = std::vector<const fleet_member *>;

double capacityOf(const fleet_member &Member) {
  return std::min(Member.Processor / ProcessorSecondsPerRequest,
                  Member.LinkMbps * 1e6 / BitsPerRequest);
}

template <typename Predicate>
static members upMembersMatching(const fleet &Fleet, Predicate Matches) {
  members Members;
  if (Fleet.OwnIsReady && Matches(Fleet.Own))
    Members.push_back(&Fleet.Own);
  // An instance that isn't ready doesn't learn yet who is lost.
  const auto IsUsable = Fleet.OwnIsReady ? isKnownUp : isUp;
  for (const auto &[Name, Member] : Fleet.Members)
    if (Matches(Member) && IsUsable(Fleet.Membership, Name))
      Members.push_back(&Member);
  return Members;
}

static members candidatesFor(const fleet &Fleet, std::string_view FailureDomain,
                             std::string_view Region) {
  members InDomain = upMembersMatching(Fleet, [&](const fleet_member &Member) {
    return Member.FailureDomain == FailureDomain;
  });
  if (InDomain.size() >= MinUpInDomain)
    return InDomain;
  members InRegion = upMembersMatching(Fleet, [&](const fleet_member &Member) {
    return Member.Region == Region;
  });
  if (!InRegion.empty())
    return InRegion;
  return upMembersMatching(Fleet, [](const fleet_member &) { return true; });
}

/// Draws in proportion to capacity, with replacement, so that the share of
/// responses that contain an instance, and with it its share of callers,
/// follows its capacity.
static members drawByCapacity(const members &Candidates,
                              std::mt19937_64 &Random) {
  std::vector<double> Capacities;
  for (const fleet_member *Member : Candidates)
    Capacities.push_back(capacityOf(*Member));
  std::discrete_distribution<std::size_t> Draw(Capacities.begin(),
                                               Capacities.end());
  std::set<std::size_t> Drawn;
  for (std::size_t Index = 0; Index < DrawsPerLookup; ++Index)
    Drawn.insert(Draw(Random));
  while (Drawn.size() < MinDistinctAddresses)
    Drawn.insert(Draw(Random));
  members Selected;
  for (std::size_t Index : Drawn)
    Selected.push_back(Candidates[Index]);
  return Selected;
}

static bool haveSimilarCapacity(const members &Members) {
  const auto [Least, Most] = std::minmax_element(
      Members.begin(), Members.end(),
      [](const fleet_member *Left, const fleet_member *Right) {
        return capacityOf(*Left) < capacityOf(*Right);
      });
  return capacityOf(**Most) < MaxEqualRatio * capacityOf(**Least);
}

std::vector<std::string> addressesFor(fleet &Fleet,
                                      std::string_view FailureDomain,
                                      std::string_view Region) {
  members Members = candidatesFor(Fleet, FailureDomain, Region);
  if (Members.size() > MinDistinctAddresses && !haveSimilarCapacity(Members))
    Members = drawByCapacity(Members, Fleet.Random);
  if (Members.size() > MaxAddresses)
    Members.resize(MaxAddresses);
  std::vector<std::string> Addresses;
  for (const fleet_member *Member : Members)
    Addresses.push_back(Member->Ingress);
  return Addresses;
}

const fleet_member *pickRandomUpMember(fleet &Fleet) {
  const std::size_t Size = Fleet.Members.size();
  for (std::size_t Attempt = 0; Size > 0 && Attempt < MaxPickAttempts;
       ++Attempt) {
    const auto Member =
        std::next(Fleet.Members.begin(),
                  static_cast<std::ptrdiff_t>(Fleet.Random() % Size));
    if (isUp(Fleet.Membership, Member->first))
      return &Member->second;
  }
  return nullptr;
}

members rendezvousMembers(const fleet &Fleet, std::uint64_t Hash,
                          std::size_t Count) {
  using ranked_member = std::pair<std::uint64_t, const fleet_member *>;
  std::vector<ranked_member> Ranked = {
      {rendezvousScore(stableHash(Fleet.Own.Name), Hash), nullptr}};
  for (const auto &[Name, Member] : Fleet.Members)
    if (isUp(Fleet.Membership, Name))
      Ranked.emplace_back(rendezvousScore(stableHash(Name), Hash), &Member);
  Count = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), std::greater<>());
  members First;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Ranked[Index].second)
      First.push_back(Ranked[Index].second);
  return First;
}

void setFleet(fleet &Fleet, std::vector<fleet_member> Members) {
  std::map<std::string, fleet_member> Next;
  std::map<std::string, std::string> FailureDomains = {
      {Fleet.Own.Name, Fleet.Own.FailureDomain}};
  for (fleet_member &Member : Members) {
    if (Member.Name == Fleet.Own.Name)
      continue;
    FailureDomains.emplace(Member.Name, Member.FailureDomain);
    const std::string Name = Member.Name;
    Next.emplace(Name, std::move(Member));
  }
  Fleet.Members = std::move(Next);
  setMembersWithDomains(Fleet.Membership, FailureDomains);
}

std::vector<std::uint64_t> instanceHashes(const fleet &Fleet) {
  std::vector<std::uint64_t> Hashes = {stableHash(Fleet.Own.Name)};
  for (const auto &[Name, Member] : Fleet.Members)
    Hashes.push_back(stableHash(Name));
  return Hashes;
}

} // namespace amaranthhoist
