#include "Steering/steering.h"

#include "Placement/placement.h"
#include "Placement/region_weights.h"

#include <algorithm>
#include <array>

namespace amaranthhoist {

/// Share of its work that a region without any slots spreads over all regions;
/// others in proportion to the slots they lack. A region with its even share
/// gives nothing away while its servers have room: a request is under way to
/// another region for up to three crossings, and when the region's traffic
/// falls, most of what still arrives is what was sent away.
static constexpr double SpreadWhenShort = 0.2;
/// The largest share of a region's work that may leave it when its servers
/// fill, however suddenly they do.
static constexpr double LargestOverflow = 0.15;
/// Weight of all regions alike in the choice of the other place. That place is
/// the best one after an object's first, which lies in its own region mostly,
/// so it is elsewhere up to twice as often.
static constexpr double OverflowSpread = LargestOverflow / 2;
/// Ranks the other regions' servers behind the own region's when nothing is
/// given away.
static constexpr double LeastSpread = 1e-9;
/// The weights of regions are made anew this often; they follow the list of
/// servers, which changes by the second at most.
static constexpr duration WeightsPeriod = std::chrono::milliseconds(500);
/// Slots beyond a server's own that each step of urgency may use: the server
/// queues a few requests, and urgent ones wait there rather than being refused
/// while less urgent ones are served.
static constexpr double RoomPerUrgency = 1;
static constexpr double MostRoomForUrgency = 2;
/// The longest predicted waits for a slot at an object's places, as shares of
/// the route's objective. A run at a place that is cold for the object takes
/// about three times as long, mostly longer than the objective, and its slots
/// are missing to all others there. So a request waits at the first place, late
/// if need be, and the second is for objects that the first can't carry.
/// Against 0.8 for both: worth +0.017, +0.010 and +0.007 (30 pairs a site); 1.2
/// or 2.0 with 0.2 to 0.4 are within 0.002 of these.
static constexpr std::array<double, PlacesPerObject> LongestWaits = {1.6, 0.3};
/// What a run at the second place costs beyond its wait, as a share of the
/// objective: it is chosen when the first place's wait is longer by more.
static constexpr double SecondPlaceCost = 1;
/// Work of a server that hasn't answered yet.
static constexpr duration AssumedWork = std::chrono::milliseconds(400);
/// Less time than this before the deadline: nothing can be run.
static constexpr duration LeastTime = std::chrono::milliseconds(30);
/// A server that has closed an idle connection answers a request on it with a
/// reset, one round trip later: 70 ms between the farthest regions, and twice
/// that on a loaded link. What ends later ended under the server's work, or the
/// server is cut off; taken for idle it would be asked again.
static constexpr duration LongestStaleEnd = std::chrono::milliseconds(150);
/// Bounds of the time to come back, before the share of the time left.
static constexpr duration ShortestReturn = std::chrono::milliseconds(250);
static constexpr duration LongestReturn = std::chrono::milliseconds(1'000);
/// Callers keep to a time to come back of up to a third of what they have
/// left; a little less, for the way there.
static constexpr double ReturnPart = 0.3;

std::string_view toString(refusal Reason) {
  switch (Reason) {
  case refusal::NotConfigured:
    return "not_configured";
  case refusal::NoRoute:
    return "no_route";
  case refusal::NoTarget:
    return "no_target";
  case refusal::Resting:
    return "resting";
  case refusal::NoRoom:
    return "no_room";
  case refusal::TooLate:
    return "too_late";
  case refusal::NoRepeats:
    return "no_repeats";
  case refusal::Quarantined:
    return "quarantined";
  case refusal::Leaving:
    return "leaving";
  }
  return "unknown";
}

bool applyConfiguration(steering &Steering, configuration Configuration) {
  if (Steering.Routes &&
      Configuration.Version <= Steering.Routes->Configuration.Version)
    return false;
  Steering.LeastUrgent = 0;
  for (const route &Route : Configuration.Routes)
    Steering.LeastUrgent = std::max(Steering.LeastUrgent, Route.Priority);
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

work_class classOf(const steering &Steering, std::string_view Host,
                   std::string_view Path) {
  if (!Steering.Routes)
    return work_class::NonIdempotent;
  const std::size_t Index = findRoute(*Steering.Routes, Host, Path);
  return Index == std::string_view::npos
             ? work_class::NonIdempotent
             : Steering.Routes->Configuration.Routes[Index].Class;
}

/// What a request concerns. Callers name objects by short keys, and the same
/// key on two routes is two objects: a server that is warm for one is cold for
/// the other. Placed by the key alone, the objects of all routes fall on the
/// same servers together: of 16 servers the busiest had 1.6 times the mean.
/// Worth, 30 pairs a site: +0.035, +0.012 and +0.006.
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
  // Without affinity any server will do, a different one each time.
  const bool HasObject = Route.HasAffinity && !Facts.ObjectKey.empty();
  Plan.KeyHash = HasObject ? objectHash(Route, Facts.ObjectKey)
                           : stableHash(Facts.RequestId);
  Plan.Service = choosePart(Table, Index, Plan.KeyHash);
  Plan.Content = Facts.Content;
  Plan.Class = Route.Class;
  Plan.Priority = Route.Priority;
  Plan.MaxAttempts = Route.MaxAttempts;
  Plan.HomeRegions = Route.HomeRegions;
  Plan.Objective = Route.Objective;
  Plan.Arrived = Facts.Arrived;
  Plan.Deadline =
      Facts.Arrived +
      std::min(Route.Timeout, Facts.TimeLeft.value_or(Route.Timeout));
  countRequest(Steering.Repeats, Plan.Service, Facts.Arrived);
  return Plan;
}

/// How many places in a server's queue the urgency of a request may use.
static double queueRoomFor(const steering &Steering, const request_plan &Plan) {
  return std::min(MostRoomForUrgency,
                  RoomPerUrgency * (Steering.LeastUrgent - Plan.Priority));
}

/// How long a request would wait for a slot of \p Target under \p Load.
static duration predictedWait(const target &Target, double Load,
                              double QueueRoom) {
  const double Slots = Target.Entry.Slots;
  const double Before = Load - QueueRoom - Slots + 1;
  if (Before <= 0)
    return duration::zero();
  const duration Mean =
      Target.MeanTime > duration::zero() ? Target.MeanTime : AssumedWork;
  return duration(static_cast<std::int64_t>(Before / Slots *
                                            static_cast<double>(Mean.count())));
}

static double ownColdRate(const steering &Steering, const target &Target) {
  const service *Service =
      Steering.Routes ? findService(*Steering.Routes, Target.Entry.Service)
                      : nullptr;
  if (!Service || Steering.Instances.empty())
    return 0;
  return coldRate(Service->ColdRequestsPerSecond, Target.Hash,
                  Steering.Instances.front(), Steering.Instances);
}

static bool bearsRequest(const steering &Steering, const target &Target,
                         instant Now) {
  return Now >= Target.ColdUntil ||
         bearsRequest(Target, ownColdRate(Steering, Target), Now);
}

/// Listed slots by region: what passes in a moment, as a server that is left
/// out for its failures, must not move the objects of all others.
static std::vector<double> slotsByRegion(const target_directory &Directory,
                                         std::span<target *const> Targets) {
  std::vector<double> Slots(Directory.Regions.size() + 1, 0.0);
  for (const target *Target : Targets)
    if (!Target->Entry.IsLeaving)
      Slots[Target->RegionIndex] += Target->Entry.Slots;
  Slots.pop_back();
  return Slots;
}

static const service_weights &weightsOf(steering &Steering,
                                        const std::string &Service,
                                        std::span<target *const> Targets,
                                        instant Now) {
  service_weights &Weights = Steering.Weights[Service];
  if (!Weights.First.empty() && Now - Weights.Made < WeightsPeriod)
    return Weights;
  Weights.Made = Now;
  updateSpread(Weights.Spread, Now);
  const std::vector<double> Slots = slotsByRegion(Steering.Targets, Targets);
  const double Lacking = 1 - ownCoverage(Slots, Steering.OwnRegion);
  const double Spread =
      std::max({LeastSpread, SpreadWhenShort * Lacking, Weights.Spread.Share});
  Weights.First = regionWeights(Slots, Steering.OwnRegion, 1 - Spread);
  Weights.Overflow = regionWeights(Slots, Steering.OwnRegion,
                                   1 - OverflowSpread - Weights.Spread.Share);
  return Weights;
}

static bool wasTried(const request_plan &Plan, const target &Target) {
  return std::find(Plan.Tried.begin(), Plan.Tried.end(), Target.Entry.Id) !=
         Plan.Tried.end();
}

static duration shareOf(duration Time, double Share) {
  return duration(
      static_cast<std::int64_t>(Share * static_cast<double>(Time.count())));
}

/// The best of \p Ranking that may get the request now, other than \p Taken. A
/// server that can't be used for a while doesn't count as a place.
static target *firstBearing(const steering &Steering, const request_plan &Plan,
                            const ranking &Ranking, const target *Taken,
                            instant Now) {
  for (target *Target : Ranking.targets())
    if (Target != Taken && !wasTried(Plan, *Target) &&
        bearsRequest(Steering, *Target, Now))
      return Target;
  return nullptr;
}

static void addPlace(weighed_places &Weighed, target &Target,
                     duration Objective, double QueueRoom, instant Now) {
  weighed_place &Place = Weighed.Places[Weighed.Count];
  Place.LongestWait = shareOf(Objective, LongestWaits[Weighed.Count]);
  ++Weighed.Count;
  Place.Target = &Target;
  Place.Load = estimatedLoad(Target, Now);
  Place.Wait = predictedWait(Target, Place.Load, QueueRoom);
  Place.HasRoom = Place.Wait <= Place.LongestWait;
}

weighed_places weighPlaces(steering &Steering, const request_plan &Plan,
                           instant Now) {
  weighed_places Weighed;
  auto Found = Steering.Targets.ByService.find(Plan.Service);
  if (Found == Steering.Targets.ByService.end())
    return Weighed;
  const std::vector<target *> &Targets = Found->second;
  const service_weights &Weights =
      weightsOf(Steering, Plan.Service, Targets, Now);
  const rank_request Request{Plan.KeyHash, Plan.HomeRegions, Weights.First,
                             Weights.Overflow};
  const place_rankings Rankings =
      rankTargets(Steering.Targets, Targets, Request, Now);
  Weighed.HasServers = Rankings.First.Count > 0;
  const double QueueRoom = queueRoomFor(Steering, Plan);
  target *First = firstBearing(Steering, Plan, Rankings.First, nullptr, Now);
  if (First)
    addPlace(Weighed, *First, Plan.Objective, QueueRoom, Now);
  target *Other = firstBearing(Steering, Plan, Rankings.Overflow, First, Now);
  if (Other)
    addPlace(Weighed, *Other, Plan.Objective, QueueRoom, Now);
  return Weighed;
}

/// The place to use; nullptr: none has room.
static const weighed_place *preferredPlace(const weighed_places &Weighed,
                                           duration Objective) {
  const weighed_place &First = Weighed.Places[0];
  const weighed_place &Second = Weighed.Places[1];
  const bool SecondHasRoom = Weighed.Count > 1 && Second.HasRoom;
  const duration SecondCost = Second.Wait + shareOf(Objective, SecondPlaceCost);
  if (Weighed.Count > 0 && First.HasRoom &&
      !(SecondHasRoom && SecondCost < First.Wait))
    return &First;
  return SecondHasRoom ? &Second : nullptr;
}

/// When the first of the servers that asked for rest may get the request; none:
/// no server rests that could be used otherwise.
static std::optional<instant>
firstRestEnd(const steering &Steering, const request_plan &Plan, instant Now) {
  auto Found = Steering.Targets.ByService.find(Plan.Service);
  if (Found == Steering.Targets.ByService.end())
    return std::nullopt;
  std::optional<instant> First;
  for (const target *Target : Found->second) {
    const instant End = Target->RestUntil;
    const bool Waits = Now < End && isUsable(Steering.Targets, *Target, End) &&
                       isHome(Plan.HomeRegions, Target->Region);
    if (Waits && (!First || End < *First))
      First = End;
  }
  return First;
}

/// Whether this instance is the one that tries a quarantined content.
static bool makesTrials(const steering &Steering, std::uint64_t Content) {
  return !Steering.Instances.empty() &&
         instancesBefore(Content, Steering.Instances.front(),
                         Steering.Instances) == 0;
}

tl::expected<target *, refusal>
chooseTarget(steering &Steering, const request_plan &Plan, instant Now) {
  const std::uint64_t Content = Plan.Content;
  if (isQuarantined(Steering.Quarantine, Content) &&
      !mayBeSent(Steering.Quarantine, Content, makesTrials(Steering, Content),
                 Now))
    return tl::unexpected(refusal::Quarantined);
  if (Plan.Deadline - Now < LeastTime)
    return tl::unexpected(refusal::TooLate);
  const weighed_places Weighed = weighPlaces(Steering, Plan, Now);
  if (!Weighed.HasServers)
    return tl::unexpected(firstRestEnd(Steering, Plan, Now)
                              ? refusal::Resting
                              : refusal::NoTarget);
  const weighed_place *Place = preferredPlace(Weighed, Plan.Objective);
  if (!Place)
    return tl::unexpected(refusal::NoRoom);
  return Place->Target;
}

void noteServerLoad(steering &Steering, target &Target, const target_load &Load,
                    instant Now) {
  noteLoad(Target, Load, Now);
  if (Target.RegionIndex == Steering.OwnRegion)
    noteOccupation(Steering.Weights[Target.Entry.Service].Spread,
                   Load.Running + Load.Waiting, Load.Slots);
}

void beginAttempt(steering &Steering, request_plan &Plan, target &Target,
                  instant Now) {
  ++Plan.Attempts;
  if (isQuarantined(Steering.Quarantine, Plan.Content))
    noteTrial(Steering.Quarantine, Plan.Content, Now);
  noteSent(Target, Now);
  if (Now < Target.ColdUntil)
    countColdRequest(Target, ownColdRate(Steering, Target), Now);
}

bool mayRepeat(steering &Steering, const request_plan &Plan, instant Now) {
  if (Plan.MayHaveRun && Plan.Class == work_class::NonIdempotent)
    return false;
  if (Plan.Arrivals >= Plan.MaxAttempts)
    return false;
  if (Plan.Deadline - Now < LeastTime)
    return false;
  // What never reached a server is no repeat there.
  return Plan.Arrivals == 0 || takeRepeat(Steering.Repeats, Plan.Service,
                                          Steering.Instances.size(), Now);
}

attempt_result resultOf(const broken_attempt &Attempt) {
  if (Attempt.NotConnected)
    return attempt_result::Unreachable;
  const bool OnlyStale =
      Attempt.WasKept && !Attempt.HadAnswer && Attempt.Took < LongestStaleEnd;
  return OnlyStale ? attempt_result::Cancelled : attempt_result::Failed;
}

/// A time within the caller's patience, drawn by the request's id.
static duration spreadReturn(const request_plan &Plan,
                             std::string_view RequestId, instant Now) {
  const duration Left = std::max(duration::zero(), Plan.Deadline - Now);
  const duration Longest = std::min(
      LongestReturn, duration(static_cast<std::int64_t>(
                         ReturnPart * static_cast<double>(Left.count()))));
  const duration Shortest = std::min(ShortestReturn, Longest);
  const auto Range =
      static_cast<std::uint64_t>((Longest - Shortest).count()) + 1;
  return Shortest + duration(static_cast<std::int64_t>(
                        stableHash(RequestId, Range) % Range));
}

duration retryAfter(const steering &Steering, const request_plan &Plan,
                    refusal Reason, std::string_view RequestId, instant Now) {
  switch (Reason) {
  case refusal::Leaving:
    // Other instances can serve it at once.
    return duration::zero();
  case refusal::Quarantined:
    return std::max(untilTrial(Steering.Quarantine, Plan.Content, Now),
                    Steering.Quarantine.Policy.FirstTrial);
  case refusal::Resting:
    return firstRestEnd(Steering, Plan, Now).value_or(Now) - Now +
           spreadReturn(Plan, RequestId, Now);
  default:
    return spreadReturn(Plan, RequestId, Now);
  }
}

} // namespace amaranthhoist
