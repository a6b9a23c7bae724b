#include "Steering/steering.h"

#include "Steering/account_plan.h"
#include "Steering/candidates.h"

#include "Placement/placement.h"

#include <algorithm>

namespace amaranthhoist {

/// With less time than this before the deadline, no request can be run.
static constexpr duration MinTimeLeft = std::chrono::milliseconds(30);
/// A server that has closed an idle connection resets it when a request
/// arrives, one round trip later: 70 ms between the farthest regions, and twice
/// that on a loaded link. A connection that ends later ended while the server
/// was working, or the server is cut off. If that were classified as an idle
/// close, the server would be selected again.
static constexpr duration MaxIdleCloseDelay = std::chrono::milliseconds(150);
bool applyConfiguration(steering &Steering, configuration Configuration) {
  if (Steering.Routes &&
      Configuration.Version <= Steering.Routes->Configuration.Version)
    return false;
  Steering.LeastUrgentPriority = 0;
  for (const route &Route : Configuration.Routes)
    Steering.LeastUrgentPriority =
        std::max(Steering.LeastUrgentPriority, Route.Priority);
  for (const client_account &Account : Configuration.Accounts)
    Steering.LeastUrgentPriority =
        std::max(Steering.LeastUrgentPriority, Account.Priority.value_or(0));
  Steering.ExpectedHomeShares =
      expectedHomeShares(Steering, Configuration.Accounts);
  Steering.Routes = makeRouteTable(std::move(Configuration));
  return true;
}

duration longestTimeout(const steering &Steering) {
  duration Longest{};
  if (Steering.Routes)
    for (const route &Route : Steering.Routes->Configuration.Routes)
      Longest = std::max(Longest, Route.Timeout);
  return Longest;
}

work_class findWorkClass(const steering &Steering, std::string_view Host,
                         std::string_view Path) {
  if (!Steering.Routes)
    return work_class::NonIdempotent;
  const std::size_t Index = findRoute(*Steering.Routes, Host, Path);
  return Index == std::string_view::npos
             ? work_class::NonIdempotent
             : Steering.Routes->Configuration.Routes[Index].Class;
}

/// Hashes the route and the object key. Callers name objects by short keys, and
/// the same key on two routes is two objects: a server that is warm for one is
/// cold for the other. With placement by the key alone, the objects of all
/// routes fall on the same servers: of 16 servers the busiest had 1.6 times the
/// mean load. Gain in worth, 30 pairs a site: +0.035, +0.012 and +0.006.
static std::uint64_t objectHash(const route &Route, std::string_view Key) {
  return stableHash(Key, stableHash(Route.PathPrefix, stableHash(Route.Host)));
}

tl::expected<request_plan, refusal> planRequest(steering &Steering,
                                                const request_facts &Facts) {
  if (!Steering.Routes)
    return tl::unexpected(refusal::NotConfigured);
  route_table &Table = *Steering.Routes;
  const std::size_t Index = findRoute(Table, Facts.Host, Facts.Path);
  if (Index == std::string_view::npos)
    return tl::unexpected(refusal::NoRoute);
  const route &Route = Table.Configuration.Routes[Index];
  request_plan Plan;
  Plan.Priority = Route.Priority;
  const auto Refused =
      Facts.IsForwarded ? applyNamedAccount(Table, Route, Facts.Account, Plan)
                        : applyAccount(Table, Route, Facts.ApiKey, Plan);
  if (Refused)
    return tl::unexpected(*Refused);
  // Without affinity any server is suitable, so each request hashes
  // differently.
  const bool HasObject = Route.HasAffinity && !Facts.ObjectKey.empty();
  Plan.KeyHash = HasObject ? objectHash(Route, Facts.ObjectKey)
                           : stableHash(Facts.RequestId);
  Plan.Service = chooseService(Table, Index, Plan.KeyHash);
  Plan.Content = Facts.Content;
  Plan.Class = Route.Class;
  Plan.IsBulk = Route.IsBulk;
  Plan.MaxAttempts = Route.MaxAttempts;
  Plan.Objective = Route.Objective;
  Plan.Arrived = Facts.Arrived;
  Plan.Deadline =
      Facts.Arrived +
      std::min(Route.Timeout, Facts.TimeLeft.value_or(Route.Timeout));
  if (!Facts.IsForwarded)
    countRequest(Steering.RetryBudget, Plan.Service, Facts.Arrived);
  countHomes(Steering, Plan);
  return Plan;
}

/// Whether this instance sends the trials of a quarantined content.
static bool sendsTrials(const steering &Steering, std::uint64_t Content) {
  return !Steering.Instances.empty() &&
         countHigherRankedInstances(Content, Steering.Instances.front(),
                                    Steering.Instances) == 0;
}

tl::expected<target *, refusal>
chooseTarget(steering &Steering, const request_plan &Plan, instant Now) {
  const std::uint64_t Content = Plan.Content;
  if (isQuarantined(Steering.Quarantine, Content) &&
      !isAdmitted(Steering.Quarantine, Content, sendsTrials(Steering, Content),
                  Now))
    return tl::unexpected(refusal::Quarantined);
  if (Plan.Deadline - Now < MinTimeLeft)
    return tl::unexpected(refusal::TooLate);
  const candidate_list List = findCandidates(Steering, Plan, Now);
  if (!List.HasUsableTargets)
    return tl::unexpected(earliestBackoffEnd(Steering, Plan, Now)
                              ? refusal::BackingOff
                              : refusal::NoTarget);
  const candidate *Candidate = selectCandidate(List, Plan.Objective);
  if (!Candidate)
    return tl::unexpected(refusal::Overloaded);
  return Candidate->Target;
}

bool reachesBestTarget(steering &Steering, const request_plan &Plan,
                       instant Now) {
  const candidate_list List =
      findCandidates(Steering, Plan, Now, /*IgnoresPaths=*/true);
  const candidate *Best = selectCandidate(List, Plan.Objective);
  return Best && Best->Target->Path == path_state::Reached;
}

bool hasUnreachableTargets(const steering &Steering, const request_plan &Plan,
                           instant Now) {
  auto Found = Steering.Targets.ByService.find(Plan.Service);
  if (Found == Steering.Targets.ByService.end())
    return false;
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [&](const target *Target) {
                       return Target->ConsecutiveConnectFailures > 0 &&
                              Now < Target->EjectedUntil &&
                              isHomeRegion(Plan.HomeRegions, Target->Region);
                     });
}

void recordServerLoad(steering &Steering, target &Target,
                      const target_load &Load, instant Now) {
  recordLoadReport(Target, Load, Now);
  if (Target.RegionIndex == Steering.OwnRegion)
    recordUtilization(Steering.Weights[Target.Entry.Service].Spillover,
                      Load.Running + Load.Waiting, Load.Slots);
}

void recordRejection(request_plan &Plan,
                     const std::optional<target_load> &Load) {
  Plan.WasRejectedWithRoom =
      Load && Load->Waiting == 0 && Load->Running < Load->Slots;
}

void beginAttempt(steering &Steering, request_plan &Plan, target &Target,
                  instant Now) {
  ++Plan.Attempts;
  if (isQuarantined(Steering.Quarantine, Plan.Content))
    recordTrial(Steering.Quarantine, Plan.Content, Now);
  recordAttemptStart(Target, Now);
  recordPacedRequest(Steering, Target, Now);
}

bool mayRetry(steering &Steering, const request_plan &Plan, instant Now) {
  if (Plan.MayHaveRun && Plan.Class == work_class::NonIdempotent)
    return false;
  if (Plan.DeliveredAttempts >= Plan.MaxAttempts)
    return false;
  if (Plan.Deadline - Now < MinTimeLeft)
    return false;
  // An attempt that never reached a server does not count as a retry there.
  if (Plan.DeliveredAttempts == 0) {
    recordUnchargedRetry(Steering.RetryBudget, Plan.Service);
    return true;
  }
  return tryAcquireRetry(Steering.RetryBudget, Plan.Service,
                         Steering.Instances.size(), Now);
}

attempt_result classifyBrokenAttempt(const broken_attempt &Attempt) {
  if (Attempt.NotConnected)
    return attempt_result::Unreachable;
  const bool IsIdleClose = Attempt.WasReused && !Attempt.HadResponseBytes &&
                           Attempt.Elapsed < MaxIdleCloseDelay;
  return IsIdleClose ? attempt_result::Cancelled : attempt_result::Failed;
}

} // namespace amaranthhoist
