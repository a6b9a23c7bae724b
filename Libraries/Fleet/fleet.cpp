#include "Fleet/fleet.h"

#include <algorithm>
#include <set>

namespace amaranthhoist {

/// Instances that a failure domain must have up for its callers to be sent to
/// those alone: with one, its loss would leave them none until their next
/// look-up.
static constexpr std::size_t LeastInDomain = 2;

template <typename Predicate>
static std::vector<std::string> addressesWhere(const fleet &Fleet,
                                               Predicate Wanted) {
  std::vector<std::string> Addresses;
  if (Fleet.OwnIsReady && Wanted(Fleet.Own))
    Addresses.push_back(Fleet.Own.Ingress);
  for (const auto &[Name, Member] : Fleet.Members)
    if (Wanted(Member) && isUp(Fleet.Membership, Name))
      Addresses.push_back(Member.Ingress);
  if (Addresses.size() > MaxAddresses)
    Addresses.resize(MaxAddresses);
  return Addresses;
}

std::vector<std::string> addressesFor(const fleet &Fleet,
                                      std::string_view FailureDomain,
                                      std::string_view Region) {
  auto Nearest = addressesWhere(Fleet, [&](const fleet_member &Member) {
    return Member.FailureDomain == FailureDomain;
  });
  if (Nearest.size() >= LeastInDomain)
    return Nearest;
  auto Near = addressesWhere(Fleet, [&](const fleet_member &Member) {
    return Member.Region == Region;
  });
  if (!Near.empty())
    return Near;
  return addressesWhere(Fleet, [](const fleet_member &) { return true; });
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
