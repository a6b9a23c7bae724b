#include "Steering/candidates.h"

#include "Placement/placement.h"

#include <algorithm>
#include <array>

namespace amaranthhoist {

/// The longest predicted waits for a slot at an object's primary and secondary,
/// as shares of the route's objective. A run on a server that is cold for the
/// object takes about three times as long, mostly longer than the objective,
/// and occupies slots that other objects need there. A request therefore waits
/// at the primary, even past the objective, and the secondary is for objects
/// that the primary cannot carry. Compared with 0.8 for both, the gain in worth
/// is +0.017, +0.010 and +0.007 (30 pairs a site); 1.2 or 2.0 with 0.2 to 0.4
/// are within 0.002 of these.
static constexpr std::array<double, CandidatesPerObject> MaxWaits = {1.6, 0.3};
/// Cost of a run at the secondary beyond its wait, as a share of the objective:
/// the secondary is selected when the primary's wait is longer by more than
/// this.
static constexpr double SecondaryCost = 1;

/// Requests per second that this instance may send to \p Target; nullopt: any
/// number.
static std::optional<double> pacedRate(const steering &Steering,
                                       const target &Target, instant Now) {
  const bool IsCold = Now < Target.ColdUntil;
  if (!IsCold && !Steering.IsUninformed)
    return std::nullopt;
  const service *Service =
      Steering.Routes ? findService(*Steering.Routes, Target.Entry.Service)
                      : nullptr;
  if (!Service || Steering.Instances.empty())
    return IsCold ? std::optional(0.0) : std::nullopt;
  if (!IsCold)
    return uninformedRate(Steering.ColdBounds, Service->ColdRequestsPerSecond,
                          Steering.Instances.size());
  return coldRate(Service->ColdRequestsPerSecond, Target.Hash,
                  Steering.Instances.front(), Steering.Instances);
}

static bool admitsPacedRequest(const steering &Steering, const target &Target,
                               instant Now) {
  const auto Rate = pacedRate(Steering, Target, Now);
  if (!Rate)
    return true;
  const bool IsCold = Now < Target.ColdUntil;
  if (!IsCold && Now < firstUninformedRequest(
                           Steering.UninformedSince, *Rate, Target.Hash,
                           Steering.Instances.front(), Steering.Instances))
    return false;
  return admitsPacedRequest(Target, *Rate, Now);
}

void recordPacedRequest(const steering &Steering, target &Target, instant Now) {
  if (const auto Rate = pacedRate(Steering, Target, Now))
    recordPacedRequest(Target, *Rate, Now);
}

static bool wasTried(const request_plan &Plan, const target &Target) {
  return std::find(Plan.TriedTargets.begin(), Plan.TriedTargets.end(),
                   Target.Entry.Id) != Plan.TriedTargets.end();
}

static duration scaleDuration(duration Time, double Share) {
  return duration(
      static_cast<std::int64_t>(Share * static_cast<double>(Time.count())));
}

/// The best server in \p Ranking, other than \p Taken, that may receive the
/// request now. A server that is temporarily unusable is not a candidate.
static target *firstAdmitting(const steering &Steering,
                              const request_plan &Plan, const ranking &Ranking,
                              const target *Taken, instant Now) {
  for (target *Target : Ranking.targets())
    if (Target != Taken && !wasTried(Plan, *Target) &&
        admitsPacedRequest(Steering, *Target, Now))
      return Target;
  return nullptr;
}

static void addCandidate(const steering &Steering, const request_plan &Plan,
                         candidate_list &List, target &Target, instant Now) {
  candidate &Candidate = List.Candidates[List.Count];
  Candidate.MaxWait = scaleDuration(Plan.Objective, MaxWaits[List.Count]);
  ++List.Count;
  Candidate.Target = &Target;
  Candidate.Load = estimatedLoad(Target, Now);
  Candidate.Wait = predictedWait(Steering, Plan, Target, Candidate.Load);
  Candidate.HasCapacity = Candidate.Wait <= Candidate.MaxWait;
}

candidate_list findCandidates(steering &Steering, const request_plan &Plan,
                              instant Now, bool IgnoresPaths) {
  candidate_list List;
  auto Found = Steering.Targets.ByService.find(Plan.Service);
  if (Found == Steering.Targets.ByService.end())
    return List;
  const std::vector<target *> &Targets = Found->second;
  const service_weights &Weights =
      updateWeights(Steering, Plan.Service, Targets, Now);
  const rank_request Request{Plan.KeyHash, Plan.HomeRegions,
                             Plan.IsBulk ? Weights.BulkPrimary
                                         : Weights.Primary,
                             Weights.Secondary, IgnoresPaths};
  const candidate_rankings Rankings =
      rankTargets(Steering.Targets, Targets, Request, Now);
  List.HasUsableTargets = Rankings.Primary.Count > 0;
  target *First =
      firstAdmitting(Steering, Plan, Rankings.Primary, nullptr, Now);
  if (First)
    addCandidate(Steering, Plan, List, *First, Now);
  target *Other =
      firstAdmitting(Steering, Plan, Rankings.Secondary, First, Now);
  if (Other)
    addCandidate(Steering, Plan, List, *Other, Now);
  return List;
}

const candidate *selectCandidate(const candidate_list &List,
                                 duration Objective) {
  const candidate &First = List.Candidates[0];
  const candidate &Second = List.Candidates[1];
  const bool SecondHasCapacity = List.Count > 1 && Second.HasCapacity;
  const duration SecondCost =
      Second.Wait + scaleDuration(Objective, SecondaryCost);
  if (List.Count > 0 && First.HasCapacity &&
      !(SecondHasCapacity && SecondCost < First.Wait))
    return &First;
  return SecondHasCapacity ? &Second : nullptr;
}

std::optional<instant> earliestBackoffEnd(const steering &Steering,
                                          const request_plan &Plan,
                                          instant Now) {
  auto Found = Steering.Targets.ByService.find(Plan.Service);
  if (Found == Steering.Targets.ByService.end())
    return std::nullopt;
  std::optional<instant> First;
  for (const target *Target : Found->second) {
    const instant End = Target->BackoffUntil;
    const bool Waits = Now < End && isUsable(Steering.Targets, *Target, End) &&
                       isHomeRegion(Plan.HomeRegions, Target->Region);
    if (Waits && (!First || End < *First))
      First = End;
  }
  return First;
}

} // namespace amaranthhoist
