#include "StateSpread/snapshot_throttle.h"

#include <algorithm>
#include <map>

namespace amaranthhoist {

/// Share of the link that snapshots may use; the rest is left to callers'
/// traffic.
static constexpr double LinkShare = 0.5;
/// Largest burst after an idle period, in seconds at that rate. A snapshot of
/// 53 KB (1,080 servers) fits 47 times at 200 Mbit/s, 5 times at 20.
static constexpr double BurstSeconds = 0.2;
/// Bound on the remembered instances that were served or are waiting: two
/// failure domains of the largest planned fleet.
static constexpr std::size_t MaxRemembered = 100;
/// Addresses per response: more than one, since an instance may be down or
/// busy.
static constexpr std::size_t MaxReferrals = 4;
/// Notified members of the own failure domain. They serve the remaining
/// members.
static constexpr std::size_t MaxNotifiedInDomain = 48;
/// Notified members of each other failure domain: two, since one may be down.
static constexpr std::size_t NotifiedPerOtherDomain = 2;
static constexpr double BytesPerMegabit = 125'000;

snapshot_throttle makeSnapshotThrottle(double LinkMbps, instant Now) {
  snapshot_throttle Throttle;
  Throttle.BytesPerSecond = LinkShare * LinkMbps * BytesPerMegabit;
  Throttle.Allowance = BurstSeconds * Throttle.BytesPerSecond;
  Throttle.RefilledAt = Now;
  return Throttle;
}

static void refill(snapshot_throttle &Throttle, instant Now) {
  const std::chrono::duration<double> Passed = Now - Throttle.RefilledAt;
  Throttle.RefilledAt = Now;
  Throttle.Allowance =
      std::min(Throttle.Allowance + Passed.count() * Throttle.BytesPerSecond,
               BurstSeconds * Throttle.BytesPerSecond);
}

static void addBounded(std::vector<snapshot_requester> &Instances,
                       const snapshot_requester &Requester) {
  std::erase_if(Instances, [&](const snapshot_requester &Entry) {
    return Entry.Control == Requester.Control;
  });
  Instances.push_back(Requester);
  if (Instances.size() > MaxRemembered)
    Instances.erase(Instances.begin());
}

bool mayServeSnapshot(snapshot_throttle &Throttle,
                      const snapshot_requester &Requester, std::size_t Bytes,
                      instant Now) {
  refill(Throttle, Now);
  // A snapshot larger than the maximum allowance is sent as well, but not
  // directly after another one.
  if (Throttle.Allowance <= 0)
    return false;
  Throttle.Allowance -= static_cast<double>(Bytes);
  if (!Requester.Control.empty())
    addBounded(Throttle.Served, Requester);
  return true;
}

static int proximity(const snapshot_requester &Served,
                     const snapshot_requester &Requester) {
  if (Served.FailureDomain == Requester.FailureDomain)
    return 2;
  return Served.Region == Requester.Region ? 1 : 0;
}

std::vector<std::string> referralsFor(const snapshot_throttle &Throttle,
                                      const snapshot_requester &Requester) {
  std::vector<const snapshot_requester *> Others;
  for (const snapshot_requester &Served : Throttle.Served)
    if (Served.Control != Requester.Control)
      Others.push_back(&Served);
  // The order differs from requester to requester, which spreads them over the
  // instances.
  const std::uint64_t Salt = stableHash(Requester.Control);
  std::sort(
      Others.begin(), Others.end(),
      [&](const snapshot_requester *Left, const snapshot_requester *Right) {
        const int LeftProximity = proximity(*Left, Requester);
        const int RightProximity = proximity(*Right, Requester);
        if (LeftProximity != RightProximity)
          return LeftProximity > RightProximity;
        return stableHash(Left->Control, Salt) <
               stableHash(Right->Control, Salt);
      });
  if (Others.size() > MaxReferrals)
    Others.resize(MaxReferrals);
  std::vector<std::string> Addresses;
  Addresses.reserve(Others.size());
  for (const snapshot_requester *Other : Others)
    Addresses.push_back(Other->Control);
  return Addresses;
}

void recordWaiting(snapshot_throttle &Throttle,
                   const snapshot_requester &Requester) {
  if (!Requester.Peer.empty())
    addBounded(Throttle.Waiting, Requester);
}

duration snapshotSendTime(const snapshot_throttle &Throttle,
                          std::size_t Snapshots, std::size_t Bytes) {
  const double Total =
      static_cast<double>(Snapshots) * static_cast<double>(Bytes);
  const double Remaining = std::max(Total - Throttle.Allowance, 0.0);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Remaining / Throttle.BytesPerSecond));
}

std::vector<std::string> membersToNotify(const fleet &Fleet, bool FromStore) {
  std::map<std::string, std::vector<const fleet_member *>> ByDomain;
  for (const auto &[Name, Member] : Fleet.Members)
    ByDomain[Member.FailureDomain].push_back(&Member);
  std::vector<std::string> Names;
  std::vector<std::string> OwnNames;
  for (auto &[Domain, Members] : ByDomain) {
    const bool IsOwn = Domain == Fleet.Own.FailureDomain;
    if (!IsOwn && !FromStore)
      continue;
    std::sort(Members.begin(), Members.end(),
              [](const fleet_member *Left, const fleet_member *Right) {
                const double LeftCapacity = capacityOf(*Left);
                const double RightCapacity = capacityOf(*Right);
                return LeftCapacity != RightCapacity
                           ? LeftCapacity > RightCapacity
                           : Left->Name < Right->Name;
              });
    const std::size_t Limit =
        IsOwn ? MaxNotifiedInDomain : NotifiedPerOtherDomain;
    for (std::size_t Index = 0; Index < std::min(Limit, Members.size());
         ++Index)
      (IsOwn ? OwnNames : Names).push_back(Members[Index]->Name);
  }
  Names.insert(Names.end(), OwnNames.begin(), OwnNames.end());
  return Names;
}

} // namespace amaranthhoist
