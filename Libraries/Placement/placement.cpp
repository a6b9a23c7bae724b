#include "Placement/placement.h"

#include <algorithm>

namespace amaranthhoist {

/// Mixes the hashes of an object and a server; every bit of both counts. The
/// constants are those of the splitmix64 generator.
static std::uint64_t mix(std::uint64_t Key, std::uint64_t Target) {
  std::uint64_t Value = Key ^ (Target + 0x9e3779b97f4a7c15U);
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

static bool isHome(std::span<const std::string> HomeRegions,
                   const std::string &Region) {
  return HomeRegions.empty() ||
         std::find(HomeRegions.begin(), HomeRegions.end(), Region) !=
             HomeRegions.end();
}

ranking rankTargets(const target_directory &Directory,
                    std::span<target *const> Targets, std::uint64_t KeyHash,
                    std::span<const std::string> HomeRegions, instant Now) {
  ranking Ranking;
  std::array<std::uint64_t, MaxPlaces> Scores{};
  for (target *Target : Targets) {
    const std::uint64_t Score = mix(KeyHash, Target->Hash);
    if (Ranking.Count == MaxPlaces && Score <= Scores[MaxPlaces - 1])
      continue;
    if (!isUsable(Directory, *Target, Now) ||
        !isHome(HomeRegions, Target->Region))
      continue;
    std::size_t At = std::min(Ranking.Count, MaxPlaces - 1);
    for (; At > 0 && Scores[At - 1] < Score; --At) {
      Scores[At] = Scores[At - 1];
      Ranking.Targets[At] = Ranking.Targets[At - 1];
    }
    Scores[At] = Score;
    Ranking.Targets[At] = Target;
    Ranking.Count = std::min(Ranking.Count + 1, MaxPlaces);
  }
  return Ranking;
}

} // namespace amaranthhoist
