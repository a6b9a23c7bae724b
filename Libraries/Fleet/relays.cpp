#include "Fleet/relays.h"

#include <algorithm>

namespace amaranthhoist {

static std::vector<const fleet_member *> upInRegion(const fleet &Fleet) {
  std::vector<const fleet_member *> Members;
  if (!Fleet.OwnIsLeaving)
    Members.push_back(&Fleet.Own);
  for (const auto &[Name, Member] : Fleet.Members)
    if (Member.Region == Fleet.Own.Region && isUp(Fleet.Membership, Name))
      Members.push_back(&Member);
  std::sort(Members.begin(), Members.end(),
            [](const fleet_member *Left, const fleet_member *Right) {
              // Watchers hand everything on, which a small machine with its
              // slow link can't do for a large region.
              if (Left->Processor != Right->Processor)
                return Left->Processor > Right->Processor;
              return stableHash(Left->Name) < stableHash(Right->Name);
            });
  return Members;
}

std::vector<const fleet_member *> watchers(const fleet &Fleet) {
  std::vector<const fleet_member *> Members = upInRegion(Fleet);
  if (Members.size() <= WatchersPerRegion)
    return Members;
  std::vector<const fleet_member *> Chosen = {Members.front()};
  const auto Elsewhere = std::find_if(
      Members.begin() + 1, Members.end(), [&](const fleet_member *Member) {
        return Member->FailureDomain != Members.front()->FailureDomain;
      });
  Chosen.push_back(Elsewhere != Members.end() ? *Elsewhere : Members[1]);
  return Chosen;
}

bool isWatcher(const fleet &Fleet) {
  const auto Watchers = watchers(Fleet);
  return std::find(Watchers.begin(), Watchers.end(), &Fleet.Own) !=
         Watchers.end();
}

std::vector<const fleet_member *> furtherSources(const fleet &Fleet) {
  std::vector<const fleet_member *> Sources;
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
