#include "Placement/placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace amaranthhoist {

/// Mixes the hashes of an object and a server; every bit of both affects the
/// result. The constants are those of the splitmix64 generator.
static std::uint64_t mix(std::uint64_t Key, std::uint64_t Target) {
  std::uint64_t Value = Key ^ (Target + 0x9e3779b97f4a7c15U);
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9U;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebU;
  return Value ^ (Value >> 31);
}

bool isHomeRegion(std::span<const std::string> HomeRegions,
                  const std::string &Region) {
  return HomeRegions.empty() ||
         std::find(HomeRegions.begin(), HomeRegions.end(), Region) !=
             HomeRegions.end();
}

/// The highest-scoring servers of one failure domain, by unweighted score.
struct domain_best {
  std::array<target *, MaxRankedTargets> Targets{};
  std::array<std::uint64_t, MaxRankedTargets> Scores{};
  std::size_t Count = 0;
};

static void insert(domain_best &Best, target *Target, std::uint64_t Score) {
  std::size_t At = std::min(Best.Count, MaxRankedTargets - 1);
  for (; At > 0 && Best.Scores[At - 1] < Score; --At) {
    Best.Scores[At] = Best.Scores[At - 1];
    Best.Targets[At] = Best.Targets[At - 1];
  }
  Best.Scores[At] = Score;
  Best.Targets[At] = Target;
  Best.Count = std::min(Best.Count + 1, MaxRankedTargets);
}

/// Weighted rendezvous hashing: with this score, a server ranks first with a
/// probability in proportion to its weight.
static double weightedScore(std::uint64_t Score, double Weight) {
  const double Point = (static_cast<double>(Score >> 11) + 0.5) * 0x1.0p-53;
  return -Weight / std::log(Point);
}

/// The weighted score of the next server of a failure domain that the merge has
/// not consumed yet; -1 if there is none.
static double nextScore(const domain_best &Best, std::size_t Next,
                        double Weight) {
  return Next < Best.Count ? weightedScore(Best.Scores[Next], Weight) : -1;
}

/// Merges the best servers of the failure domains into one ranking. Within a
/// failure domain the weight is the same for all servers, so the unweighted
/// order holds there and only these few need a logarithm.
static ranking merge(std::span<const domain_best> Domains,
                     std::span<const double> Weights) {
  ranking Ranking;
  const auto WeightOf = [&](std::size_t Index) {
    return Index < Weights.size() ? Weights[Index] : 1.0;
  };
  std::vector<std::size_t> Next(Domains.size(), 0);
  std::vector<double> Scores(Domains.size());
  for (std::size_t Index = 0; Index < Domains.size(); ++Index)
    Scores[Index] = nextScore(Domains[Index], 0, WeightOf(Index));
  while (Ranking.Count < MaxRankedTargets) {
    const auto Found = std::max_element(Scores.begin(), Scores.end());
    if (*Found < 0)
      break;
    const auto Best = static_cast<std::size_t>(Found - Scores.begin());
    Ranking.Targets[Ranking.Count++] = Domains[Best].Targets[Next[Best]++];
    *Found = nextScore(Domains[Best], Next[Best], WeightOf(Best));
  }
  return Ranking;
}

/// Has one more entry than there are failure domains, for servers of an unknown
/// one.
static std::vector<domain_best> bestByDomain(const target_directory &Directory,
                                             std::span<target *const> Targets,
                                             const rank_request &Request,
                                             instant Now) {
  std::vector<domain_best> Domains(Directory.Domains.size() + 1);
  for (target *Target : Targets) {
    domain_best &Best = Domains[Target->DomainIndex];
    const std::uint64_t Score = mix(Request.KeyHash, Target->Hash);
    if (Best.Count == MaxRankedTargets &&
        Score <= Best.Scores[MaxRankedTargets - 1])
      continue;
    const bool IsUsable = Request.IgnoresPaths
                              ? isUsableElsewhere(Directory, *Target, Now)
                              : isUsable(Directory, *Target, Now);
    if (IsUsable && isHomeRegion(Request.HomeRegions, Target->Region))
      insert(Best, Target, Score);
  }
  return Domains;
}

candidate_rankings rankTargets(const target_directory &Directory,
                               std::span<target *const> Targets,
                               const rank_request &Request, instant Now) {
  const auto Domains = bestByDomain(Directory, Targets, Request, Now);
  return {merge(Domains, Request.PrimaryWeights),
          merge(Domains, Request.SecondaryWeights)};
}

} // namespace amaranthhoist
