#include "Steering/steering.h"

#include "Steering/account_plan.h"

#include "Placement/placement.h"
#include "Placement/region_weights.h"

#include <algorithm>
#include <array>

namespace amaranthhoist {

/// Share of its work that a region without any slots spills over to all
/// regions; other regions in proportion to the slots they lack. A region with
/// its even share spills nothing while its servers have capacity: a request is
/// in flight to another region for up to three crossings, and when the region's
/// traffic falls, most of what still arrives is what was sent away.
static constexpr double SpilloverWithoutSlots = 0.2;
/// The largest share of a region's work that may leave the region when its
/// servers fill up, however suddenly they do.
static constexpr double MaxOverflow = 0.15;
/// Weight of all regions alike in the choice of the secondary candidate. The
/// secondary is the best server after an object's primary, which is mostly in
/// the own region, so the secondary is in another region up to twice as often.
static constexpr double OverflowSpread = MaxOverflow / 2;
/// Ranks the servers of other regions behind those of the own region when
/// nothing spills over.
static constexpr double MinSpillover = 1e-9;
/// Interval between updates of the region weights. They follow the list of
/// servers, which changes once a second at most.
static constexpr duration WeightsUpdatePeriod = std::chrono::milliseconds(500);
/// Slots beyond a server's own that each priority step may use. The server
/// queues a few requests, and urgent ones wait there instead of being refused
/// while less urgent ones are served.
static constexpr double QueueSlotsPerPriorityStep = 1;
static constexpr double MaxPriorityQueueSlots = 2;
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
/// Response time assumed for a server that has not responded yet.
static constexpr duration DefaultResponseTime = std::chrono::milliseconds(400);
/// With less time than this before the deadline, no request can be run.
static constexpr duration MinTimeLeft = std::chrono::milliseconds(30);
/// A server that has closed an idle connection resets it when a request
/// arrives, one round trip later: 70 ms between the farthest regions, and twice
/// that on a loaded link. A connection that ends later ended while the server
/// was working, or the server is cut off. If that were classified as an idle
/// close, the server would be selected again.
static constexpr duration MaxIdleCloseDelay = std::chrono::milliseconds(150);
/// Bounds of the Retry-After time, before the share of the remaining time is
/// applied.
static constexpr duration MinRetryAfter = std::chrono::milliseconds(250);
static constexpr duration MaxRetryAfter = std::chrono::milliseconds(1'000);
/// Bounds of the Retry-After time after a rejection that says nothing about
/// load: longer than a pause of a server, short compared to the objectives.
static constexpr duration MinRoomRetryAfter = std::chrono::milliseconds(30);
static constexpr duration MaxRoomRetryAfter = std::chrono::milliseconds(90);
/// Callers honor a Retry-After time of up to a third of their remaining time;
/// the share is a little less, to leave time for the transfer.
static constexpr double RetryAfterShare = 0.3;

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

/// Number of queue slots at a server that the priority of a request may use.
static double queueAllowance(const steering &Steering,
                             const request_plan &Plan) {
  return std::min(MaxPriorityQueueSlots,
                  QueueSlotsPerPriorityStep *
                      (Steering.LeastUrgentPriority - Plan.Priority));
}

/// Predicts the wait for a slot of \p Target at \p Load.
static duration predictedWait(const target &Target, double Load,
                              double QueueAllowance) {
  const double Slots = Target.Entry.Slots;
  const double Before = Load - QueueAllowance - Slots + 1;
  if (Before <= 0)
    return duration::zero();
  const duration Mean = Target.MeanResponseTime > duration::zero()
                            ? Target.MeanResponseTime
                            : DefaultResponseTime;
  return duration(static_cast<std::int64_t>(Before / Slots *
                                            static_cast<double>(Mean.count())));
}

static double localColdRate(const steering &Steering, const target &Target) {
  const service *Service =
      Steering.Routes ? findService(*Steering.Routes, Target.Entry.Service)
                      : nullptr;
  if (!Service || Steering.Instances.empty())
    return 0;
  return coldRate(Service->ColdRequestsPerSecond, Target.Hash,
                  Steering.Instances.front(), Steering.Instances);
}

static bool admitsColdRequest(const steering &Steering, const target &Target,
                              instant Now) {
  return Now >= Target.ColdUntil ||
         admitsColdRequest(Target, localColdRate(Steering, Target), Now);
}

/// Listed slots by region. Temporary conditions, such as the ejection of a
/// server, are ignored because they must not move the objects of all other
/// servers.
static std::vector<double> slotsByRegion(const target_directory &Directory,
                                         std::span<target *const> Targets) {
  std::vector<double> Slots(Directory.Regions.size() + 1, 0.0);
  for (const target *Target : Targets)
    if (!Target->Entry.IsDraining)
      Slots[Target->RegionIndex] += Target->Entry.Slots;
  Slots.pop_back();
  return Slots;
}

static const service_weights &updateWeights(steering &Steering,
                                            const std::string &Service,
                                            std::span<target *const> Targets,
                                            instant Now) {
  service_weights &Weights = Steering.Weights[Service];
  if (!Weights.Primary.empty() && Now - Weights.UpdatedAt < WeightsUpdatePeriod)
    return Weights;
  Weights.UpdatedAt = Now;
  updateSpillover(Weights.Spillover, Now);
  updateShares(Weights.HomeDemand, Steering.ExpectedHomeShares);
  const std::vector<double> AllSlots = slotsByRegion(Steering.Targets, Targets);
  const std::vector<double> Slots =
      slotsForOthers(AllSlots, Weights.HomeDemand);
  const double Lacking = 1 - ownCoverage(Slots, Steering.OwnRegion);
  const double Spread = std::max(
      {MinSpillover, SpilloverWithoutSlots * Lacking, Weights.Spillover.Share});
  Weights.Primary = regionWeights(Slots, Steering.OwnRegion, 1 - Spread);
  Weights.Secondary = regionWeights(
      Slots, Steering.OwnRegion, 1 - OverflowSpread - Weights.Spillover.Share);
  // Weights count per slot, and all slots of a region are ranked.
  for (std::size_t Region = 0; Region < AllSlots.size(); ++Region)
    if (AllSlots[Region] > 0) {
      const double Share = Slots[Region] / AllSlots[Region];
      Weights.Primary[Region] *= Share;
      Weights.Secondary[Region] *= Share;
    }
  return Weights;
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
        admitsColdRequest(Steering, *Target, Now))
      return Target;
  return nullptr;
}

static void addCandidate(candidate_list &List, target &Target,
                         duration Objective, double QueueAllowance,
                         instant Now) {
  candidate &Candidate = List.Candidates[List.Count];
  Candidate.MaxWait = scaleDuration(Objective, MaxWaits[List.Count]);
  ++List.Count;
  Candidate.Target = &Target;
  Candidate.Load = estimatedLoad(Target, Now);
  Candidate.Wait = predictedWait(Target, Candidate.Load, QueueAllowance);
  Candidate.HasCapacity = Candidate.Wait <= Candidate.MaxWait;
}

candidate_list findCandidates(steering &Steering, const request_plan &Plan,
                              instant Now) {
  candidate_list List;
  auto Found = Steering.Targets.ByService.find(Plan.Service);
  if (Found == Steering.Targets.ByService.end())
    return List;
  const std::vector<target *> &Targets = Found->second;
  const service_weights &Weights =
      updateWeights(Steering, Plan.Service, Targets, Now);
  const rank_request Request{Plan.KeyHash, Plan.HomeRegions, Weights.Primary,
                             Weights.Secondary};
  const candidate_rankings Rankings =
      rankTargets(Steering.Targets, Targets, Request, Now);
  List.HasUsableTargets = Rankings.Primary.Count > 0;
  const double QueueAllowance = queueAllowance(Steering, Plan);
  target *First =
      firstAdmitting(Steering, Plan, Rankings.Primary, nullptr, Now);
  if (First)
    addCandidate(List, *First, Plan.Objective, QueueAllowance, Now);
  target *Other =
      firstAdmitting(Steering, Plan, Rankings.Secondary, First, Now);
  if (Other)
    addCandidate(List, *Other, Plan.Objective, QueueAllowance, Now);
  return List;
}

/// Selects the candidate to use, or nullptr if none has capacity.
static const candidate *selectCandidate(const candidate_list &List,
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

/// The earliest time at which a server in backoff may receive the request, or
/// nullopt if no otherwise usable server is in backoff.
static std::optional<instant> earliestBackoffEnd(const steering &Steering,
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
  if (Now < Target.ColdUntil)
    recordColdRequest(Target, localColdRate(Steering, Target), Now);
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

/// A Retry-After time within the caller's remaining time, with jitter derived
/// from the request id.
static duration jitteredRetryAfter(const request_plan &Plan,
                                   std::string_view RequestId, instant Now,
                                   duration Lower = MinRetryAfter,
                                   duration Upper = MaxRetryAfter) {
  const duration Left = std::max(duration::zero(), Plan.Deadline - Now);
  const duration Longest = std::min(
      Upper, duration(static_cast<std::int64_t>(
                 RetryAfterShare * static_cast<double>(Left.count()))));
  const duration Shortest = std::min(Lower, Longest);
  const auto Range =
      static_cast<std::uint64_t>((Longest - Shortest).count()) + 1;
  return Shortest + duration(static_cast<std::int64_t>(
                        stableHash(RequestId, Range) % Range));
}

duration retryAfter(const steering &Steering, const request_plan &Plan,
                    refusal Reason, std::string_view RequestId, instant Now) {
  switch (Reason) {
  case refusal::ShuttingDown:
    // Other instances can serve the request at once.
    return duration::zero();
  case refusal::Quarantined:
    return std::max(timeUntilTrial(Steering.Quarantine, Plan.Content, Now),
                    Steering.Quarantine.Policy.FirstTrialDelay);
  case refusal::BackingOff:
    return earliestBackoffEnd(Steering, Plan, Now).value_or(Now) - Now +
           jitteredRetryAfter(Plan, RequestId, Now);
  case refusal::RetryBudgetExhausted:
    if (Plan.WasRejectedWithRoom)
      return jitteredRetryAfter(Plan, RequestId, Now, MinRoomRetryAfter,
                                MaxRoomRetryAfter);
    return jitteredRetryAfter(Plan, RequestId, Now);
  default:
    return jitteredRetryAfter(Plan, RequestId, Now);
  }
}

} // namespace amaranthhoist
