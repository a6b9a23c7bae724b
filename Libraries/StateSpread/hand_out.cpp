#include "StateSpread/hand_out.h"

#include <algorithm>
#include <map>

namespace amaranthhoist {

/// Part of the link that whole lists may take; the rest is the callers'.
static constexpr double ShareOfLink = 0.5;
/// What is handed out at once after a pause, as time at that rate. A list of 53
/// KB (1,080 servers) goes 47 times at 200 Mbit/s, 5 times at 20.
static constexpr double BurstSeconds = 0.2;
/// Instances that were served, or wait, remembered: two failure domains of the
/// largest fleet in view.
static constexpr std::size_t MostRemembered = 100;
/// Addresses in one answer: one may be down, or busy too.
static constexpr std::size_t MostReferrals = 4;
/// Members of the own failure domain that are told. They serve the next ones.
static constexpr std::size_t MostToldInDomain = 48;
/// Members of each other failure domain: two, as one may be down.
static constexpr std::size_t ToldInOtherDomain = 2;
static constexpr double BytesPerMegabit = 125'000;

hand_out makeHandOut(double LinkMbps, instant Now) {
  hand_out HandOut;
  HandOut.BytesPerSecond = ShareOfLink * LinkMbps * BytesPerMegabit;
  HandOut.Allowance = BurstSeconds * HandOut.BytesPerSecond;
  HandOut.RefilledAt = Now;
  return HandOut;
}

static void refill(hand_out &HandOut, instant Now) {
  const std::chrono::duration<double> Passed = Now - HandOut.RefilledAt;
  HandOut.RefilledAt = Now;
  HandOut.Allowance =
      std::min(HandOut.Allowance + Passed.count() * HandOut.BytesPerSecond,
               BurstSeconds * HandOut.BytesPerSecond);
}

static void remember(std::vector<new_instance> &Instances,
                     const new_instance &Asker) {
  std::erase_if(Instances, [&](const new_instance &Known) {
    return Known.Control == Asker.Control;
  });
  Instances.push_back(Asker);
  if (Instances.size() > MostRemembered)
    Instances.erase(Instances.begin());
}

bool mayHandOut(hand_out &HandOut, const new_instance &Asker, std::size_t Bytes,
                instant Now) {
  refill(HandOut, Now);
  // A list longer than the allowance ever gets goes out too, just not at once
  // after another one.
  if (HandOut.Allowance <= 0)
    return false;
  HandOut.Allowance -= static_cast<double>(Bytes);
  if (!Asker.Control.empty())
    remember(HandOut.Served, Asker);
  return true;
}

static int nearness(const new_instance &Served, const new_instance &Asker) {
  if (Served.FailureDomain == Asker.FailureDomain)
    return 2;
  return Served.Region == Asker.Region ? 1 : 0;
}

std::vector<std::string> referralsFor(const hand_out &HandOut,
                                      const new_instance &Asker) {
  std::vector<const new_instance *> Others;
  for (const new_instance &Served : HandOut.Served)
    if (Served.Control != Asker.Control)
      Others.push_back(&Served);
  // The asker's own order, so that not all go to the same one.
  const std::uint64_t Salt = stableHash(Asker.Control);
  std::sort(Others.begin(), Others.end(),
            [&](const new_instance *Left, const new_instance *Right) {
              const int LeftIsNear = nearness(*Left, Asker);
              const int RightIsNear = nearness(*Right, Asker);
              if (LeftIsNear != RightIsNear)
                return LeftIsNear > RightIsNear;
              return stableHash(Left->Control, Salt) <
                     stableHash(Right->Control, Salt);
            });
  if (Others.size() > MostReferrals)
    Others.resize(MostReferrals);
  std::vector<std::string> Addresses;
  Addresses.reserve(Others.size());
  for (const new_instance *Other : Others)
    Addresses.push_back(Other->Control);
  return Addresses;
}

void noteWaiting(hand_out &HandOut, const new_instance &Asker) {
  if (!Asker.Peer.empty())
    remember(HandOut.Waiting, Asker);
}

duration timeToHandOut(const hand_out &HandOut, std::size_t Lists,
                       std::size_t Bytes) {
  const double Total = static_cast<double>(Lists) * static_cast<double>(Bytes);
  const double Later = std::max(Total - HandOut.Allowance, 0.0);
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Later / HandOut.BytesPerSecond));
}

std::vector<std::string> membersToTell(const fleet &Fleet, bool FromStore) {
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
                const double LeftCan = capacityOf(*Left);
                const double RightCan = capacityOf(*Right);
                return LeftCan != RightCan ? LeftCan > RightCan
                                           : Left->Name < Right->Name;
              });
    const std::size_t Most = IsOwn ? MostToldInDomain : ToldInOtherDomain;
    for (std::size_t Index = 0; Index < std::min(Most, Members.size()); ++Index)
      (IsOwn ? OwnNames : Names).push_back(Members[Index]->Name);
  }
  Names.insert(Names.end(), OwnNames.begin(), OwnNames.end());
  return Names;
}

} // namespace amaranthhoist
