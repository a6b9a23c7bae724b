#include "Fleet/fleet.h"

#include <algorithm>
#include <functional>
#include <set>

namespace amaranthhoist {

/// Instances that a failure domain must have up for its callers to be sent to
/// those alone: with one, its loss would leave them none until their next
/// look-up.
static constexpr std::size_t LeastInDomain = 2;

/// What one request costs the instance that passes it on, by the two users'
/// traffic: 0.23 ms of processor time as measured, and answers of 7 and 12 KB
/// on average.
static constexpr double ProcessorSecondsPerRequest = 0.000'25;
static constexpr double BitsPerRequest = 80'000;
/// Instances whose capacities differ by less are taken for equal, and all
/// named.
static constexpr double EqualWithin = 1.5;
/// Addresses drawn for one answer where capacities differ. The fewer, the
/// closer callers keep to the capacities; but a caller whose instances have all
/// failed waits for another look-up.
static constexpr std::size_t Draws = 4;
static constexpr std::size_t LeastDistinct = 3;

/// Draws for a member that is up, as some aren't.
static constexpr std::size_t PickTries = 8;

using members = std::vector<const fleet_member *>;

double capacityOf(const fleet_member &Member) {
  return std::min(Member.Processor / ProcessorSecondsPerRequest,
                  Member.LinkMbps * 1e6 / BitsPerRequest);
}

template <typename Predicate>
static members upWhere(const fleet &Fleet, Predicate Wanted) {
  members Members;
  if (Fleet.OwnIsReady && Wanted(Fleet.Own))
    Members.push_back(&Fleet.Own);
  for (const auto &[Name, Member] : Fleet.Members)
    if (Wanted(Member) && isUp(Fleet.Membership, Name))
      Members.push_back(&Member);
  return Members;
}

static members candidatesFor(const fleet &Fleet, std::string_view FailureDomain,
                             std::string_view Region) {
  members Nearest = upWhere(Fleet, [&](const fleet_member &Member) {
    return Member.FailureDomain == FailureDomain;
  });
  if (Nearest.size() >= LeastInDomain)
    return Nearest;
  members Near = upWhere(Fleet, [&](const fleet_member &Member) {
    return Member.Region == Region;
  });
  if (!Near.empty())
    return Near;
  return upWhere(Fleet, [](const fleet_member &) { return true; });
}

/// Draws by capacity, with replacement: so the share of answers in which an
/// instance stands, and with it its share of callers, follows its capacity.
static members drawByCapacity(const members &Candidates,
                              std::mt19937_64 &Random) {
  std::vector<double> Capacities;
  for (const fleet_member *Member : Candidates)
    Capacities.push_back(capacityOf(*Member));
  std::discrete_distribution<std::size_t> Draw(Capacities.begin(),
                                               Capacities.end());
  std::set<std::size_t> Drawn;
  for (std::size_t Index = 0; Index < Draws; ++Index)
    Drawn.insert(Draw(Random));
  while (Drawn.size() < LeastDistinct)
    Drawn.insert(Draw(Random));
  members Chosen;
  for (std::size_t Index : Drawn)
    Chosen.push_back(Candidates[Index]);
  return Chosen;
}

static bool areAlike(const members &Members) {
  const auto [Least, Most] = std::minmax_element(
      Members.begin(), Members.end(),
      [](const fleet_member *Left, const fleet_member *Right) {
        return capacityOf(*Left) < capacityOf(*Right);
      });
  return capacityOf(**Most) < EqualWithin * capacityOf(**Least);
}

std::vector<std::string> addressesFor(fleet &Fleet,
                                      std::string_view FailureDomain,
                                      std::string_view Region) {
  members Members = candidatesFor(Fleet, FailureDomain, Region);
  if (Members.size() > LeastDistinct && !areAlike(Members))
    Members = drawByCapacity(Members, Fleet.Random);
  if (Members.size() > MaxAddresses)
    Members.resize(MaxAddresses);
  std::vector<std::string> Addresses;
  for (const fleet_member *Member : Members)
    Addresses.push_back(Member->Ingress);
  return Addresses;
}

const fleet_member *pickUpMember(fleet &Fleet) {
  const std::size_t Size = Fleet.Members.size();
  for (std::size_t Try = 0; Size > 0 && Try < PickTries; ++Try) {
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
      {rendezvousRank(stableHash(Fleet.Own.Name), Hash), nullptr}};
  for (const auto &[Name, Member] : Fleet.Members)
    if (isUp(Fleet.Membership, Name))
      Ranked.emplace_back(rendezvousRank(stableHash(Name), Hash), &Member);
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
  std::set<std::string> Names;
  for (fleet_member &Member : Members) {
    if (Member.Name == Fleet.Own.Name)
      continue;
    Names.insert(Member.Name);
    const std::string Name = Member.Name;
    Next.emplace(Name, std::move(Member));
  }
  Fleet.Members = std::move(Next);
  setMembers(Fleet.Membership, Names);
}

std::vector<std::uint64_t> instanceHashes(const fleet &Fleet) {
  std::vector<std::uint64_t> Hashes = {stableHash(Fleet.Own.Name)};
  for (const auto &[Name, Member] : Fleet.Members)
    Hashes.push_back(stableHash(Name));
  return Hashes;
}

} // namespace amaranthhoist
