#include "Forwarding/forwarding.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace amaranthhoist {

static constexpr int MinConnectFailures = 3;
static constexpr std::size_t MinFailedDomains = 2;
/// A trial may cost its caller the connect timeout.
static constexpr duration TrialPeriod = std::chrono::milliseconds(500);
/// Time for which an instance that refused or failed is left out.
static constexpr duration UnavailableTime = std::chrono::seconds(1);
static constexpr int MaxFruitlessInRow = 8;
static constexpr duration SuspensionTime = std::chrono::seconds(1);
/// Forwarded requests that an instance accepts however few its own are.
static constexpr std::size_t MinForwardedLimit = 16;

bool recordConnectFailure(server_reachability &Reachability,
                          const std::string &FailureDomain, instant Now) {
  const bool WasIsolated = isIsolated(Reachability);
  ++Reachability.ConnectFailures;
  Reachability.FailedDomains.insert(FailureDomain);
  const bool Begins = !WasIsolated && isIsolated(Reachability);
  if (Begins)
    Reachability.NextTrialAt = Now + TrialPeriod;
  return Begins;
}

bool recordServerResponse(server_reachability &Reachability) {
  const bool WasIsolated = isIsolated(Reachability);
  Reachability.ConnectFailures = 0;
  Reachability.FailedDomains.clear();
  return WasIsolated;
}

bool isIsolated(const server_reachability &Reachability) {
  return Reachability.ConnectFailures >= MinConnectFailures &&
         Reachability.FailedDomains.size() >= MinFailedDomains;
}

bool admitsTrial(server_reachability &Reachability, instant Now) {
  if (Now < Reachability.NextTrialAt)
    return false;
  Reachability.NextTrialAt = Now + TrialPeriod;
  return true;
}

static std::vector<std::string_view>
domainsOf(const fleet &Fleet, std::span<const std::string> Names) {
  std::vector<std::string_view> Domains;
  for (const std::string &Name : Names)
    if (const auto Found = Fleet.Members.find(Name);
        Found != Fleet.Members.end())
      Domains.emplace_back(Found->second.FailureDomain);
  return Domains;
}

/// Smaller is nearer. A failure domain in which an instance has refused may be
/// cut off as a whole, and comes last.
static int distanceTo(const fleet &Fleet, const fleet_member &Member,
                      std::span<const std::string_view> TriedDomains) {
  constexpr int Last = 3;
  const bool WasTried = std::find(TriedDomains.begin(), TriedDomains.end(),
                                  Member.FailureDomain) != TriedDomains.end();
  if (WasTried)
    return Last;
  if (Member.FailureDomain == Fleet.Own.FailureDomain)
    return 0;
  return Member.Region == Fleet.Own.Region ? 1 : 2;
}

/// Weighted rendezvous hashing: over all requests each instance is first in
/// proportion to its capacity. The smallest rank is first.
static double rankOf(const fleet_member &Member, std::uint64_t Hash) {
  constexpr double Scale = 1.0 / 18446744073709551616.0;
  const double Uniform =
      (static_cast<double>(rendezvousScore(stableHash(Member.Name), Hash)) +
       0.5) *
      Scale;
  return -std::log(Uniform) / std::max(capacityOf(Member), 1.0);
}

static bool contains(std::span<const std::string> Names,
                     const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

const fleet_member *choosePeer(const forwarding &Forwarding, const fleet &Fleet,
                               std::span<const std::string> HomeRegions,
                               std::span<const std::string> Tried,
                               std::uint64_t Hash, instant Now) {
  if (Now < Forwarding.SuspendedUntil)
    return nullptr;
  const std::vector<std::string_view> TriedDomains = domainsOf(Fleet, Tried);
  const fleet_member *Best = nullptr;
  int BestDistance = 0;
  double BestRank = 0;
  for (const auto &[Name, Member] : Fleet.Members) {
    const auto Unavailable = Forwarding.UnavailableUntil.find(Name);
    const bool IsUnavailable =
        Unavailable != Forwarding.UnavailableUntil.end() &&
        Now < Unavailable->second;
    const bool IsHome =
        HomeRegions.empty() || contains(HomeRegions, Member.Region);
    if (IsUnavailable || !IsHome || contains(Tried, Name) ||
        !isUp(Fleet.Membership, Name))
      continue;
    const int Distance = distanceTo(Fleet, Member, TriedDomains);
    const double Rank = rankOf(Member, Hash);
    if (Best && (Distance > BestDistance ||
                 (Distance == BestDistance && Rank >= BestRank)))
      continue;
    Best = &Member;
    BestDistance = Distance;
    BestRank = Rank;
  }
  return Best;
}

void recordForwarding(forwarding &Forwarding, const std::string &Peer,
                      forwarding_result Result, instant Now) {
  if (Result == forwarding_result::Served) {
    Forwarding.FruitlessInRow = 0;
    Forwarding.UnavailableUntil.erase(Peer);
    return;
  }
  Forwarding.UnavailableUntil[Peer] = Now + UnavailableTime;
  if (++Forwarding.FruitlessInRow < MaxFruitlessInRow)
    return;
  Forwarding.FruitlessInRow = 0;
  Forwarding.SuspendedUntil = Now + SuspensionTime;
  absl::erase_if(Forwarding.UnavailableUntil,
                 [&](const auto &Entry) { return Entry.second <= Now; });
}

bool acceptsForwarded(std::size_t ForwardedInFlight, std::size_t OwnInFlight) {
  return ForwardedInFlight < std::max(MinForwardedLimit, OwnInFlight);
}

} // namespace amaranthhoist
