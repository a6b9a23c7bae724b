#include "Forwarding/forwarding.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace amaranthhoist {

/// Time for which an instance that refused or failed is left out; it doubles
/// with each further time.
static constexpr duration FirstBackoff = std::chrono::seconds(1);
static constexpr duration MaxBackoff = std::chrono::seconds(8);
/// The same for one that is busy: other requests end meanwhile.
static constexpr duration BusyBackoff = std::chrono::milliseconds(250);
/// An instance that doesn't reach a server refuses within this time, so that a
/// forwarding which lasts longer was accepted.
static constexpr duration AcceptanceTime = std::chrono::milliseconds(300);
/// More than the instances that a few requests ask while most of a fleet is cut
/// off.
static constexpr int MaxRefusedInRow = 24;
static constexpr duration SuspensionTime = std::chrono::seconds(1);
/// Forwarded requests that an instance accepts however small it is.
static constexpr std::size_t MinForwardedLimit = 16;
/// Share of an instance's capacity and memory that others' requests may take.
static constexpr double CapacityForOthers = 0.5;
static constexpr double MemoryForOthers = 0.25;
/// Time that a request is in flight, as servers take, and memory that it holds.
static constexpr double SecondsInFlight = 1.2;
static constexpr double MegabytesInFlight = 0.064;

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

static bool isBackingOff(const text_map<peer_backoff> *Backoffs,
                         const std::string &Name, instant Now) {
  if (!Backoffs)
    return false;
  const auto Found = Backoffs->find(Name);
  return Found != Backoffs->end() && Now < Found->second.Until;
}

const fleet_member *choosePeer(const forwarding &Forwarding, const fleet &Fleet,
                               const forwarded_work &Work, instant Now) {
  if (Now < Forwarding.SuspendedUntil)
    return nullptr;
  const auto OfService = Forwarding.Backoffs.find(Work.Service);
  const text_map<peer_backoff> *Backoffs =
      OfService == Forwarding.Backoffs.end() ? nullptr : &OfService->second;
  const std::vector<std::string_view> TriedDomains =
      domainsOf(Fleet, Work.Tried);
  const fleet_member *Best = nullptr;
  int BestDistance = 0;
  double BestRank = 0;
  for (const auto &[Name, Member] : Fleet.Members) {
    const bool IsHome =
        Work.HomeRegions.empty() || contains(Work.HomeRegions, Member.Region);
    if (isBackingOff(Backoffs, Name, Now) || !IsHome ||
        contains(Work.Tried, Name) || !isUp(Fleet.Membership, Name))
      continue;
    const int Distance = distanceTo(Fleet, Member, TriedDomains);
    const double Rank = rankOf(Member, Work.Hash);
    if (Best && (Distance > BestDistance ||
                 (Distance == BestDistance && Rank >= BestRank)))
      continue;
    Best = &Member;
    BestDistance = Distance;
    BestRank = Rank;
  }
  return Best;
}

void recordForwardingStart(forwarding &Forwarding, instant Now) {
  Forwarding.InFlight.insert(Now);
}

void recordForwardingCancelled(forwarding &Forwarding, instant StartedAt) {
  const auto Found = Forwarding.InFlight.find(StartedAt);
  if (Found != Forwarding.InFlight.end())
    Forwarding.InFlight.erase(Found);
}

static duration nextBackoff(peer_backoff &Backoff) {
  constexpr int MaxDoublings = 3;
  const int Doublings = std::min(Backoff.InRow++, MaxDoublings);
  return std::min(FirstBackoff * (1 << Doublings), MaxBackoff);
}

static void countRefusal(forwarding &Forwarding, instant Now) {
  const bool HasAccepted = !Forwarding.InFlight.empty() &&
                           Now - *Forwarding.InFlight.begin() >= AcceptanceTime;
  Forwarding.RefusedInRow = HasAccepted ? 0 : Forwarding.RefusedInRow + 1;
  if (Forwarding.RefusedInRow < MaxRefusedInRow)
    return;
  Forwarding.RefusedInRow = 0;
  Forwarding.SuspendedUntil = Now + SuspensionTime;
}

void recordForwarding(forwarding &Forwarding, const std::string &Service,
                      const std::string &Peer, const ended_forwarding &Ended,
                      instant Now) {
  recordForwardingCancelled(Forwarding, Ended.StartedAt);
  auto &Backoffs = Forwarding.Backoffs[Service];
  if (Ended.Result == forwarding_result::Served) {
    Forwarding.RefusedInRow = 0;
    Backoffs.erase(Peer);
    return;
  }
  peer_backoff &Backoff = Backoffs[Peer];
  if (Ended.Result == forwarding_result::Busy) {
    Backoff.Until = Now + BusyBackoff;
    return;
  }
  Backoff.Until = Now + nextBackoff(Backoff);
  countRefusal(Forwarding, Now);
}

bool acceptsForwarded(const forwarding_room &Room) {
  const double Limit = std::min(
      CapacityForOthers * Room.Capacity * SecondsInFlight,
      MemoryForOthers * static_cast<double>(Room.MemoryMb) / MegabytesInFlight);
  return Room.Forwarded < std::max({MinForwardedLimit, Room.Own,
                                    static_cast<std::size_t>(Limit)});
}

} // namespace amaranthhoist
