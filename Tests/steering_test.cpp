// Steering decisions: at-most-once execution, capacity by predicted wait, and
// refusals.

#include "Steering/steering.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration Objective = milliseconds(500);

steering makeSteering(int Servers, work_class Class, int MaxAttempts = 2) {
  steering Steering;
  setDomains(Steering.Targets, {{"a1", "a"}, {"b1", "b"}});
  configuration Configuration;
  Configuration.Version = 1;
  route Route;
  Route.Host = "shop.example";
  Route.PathPrefix = "/x/";
  Route.Class = Class;
  Route.Timeout = seconds(2);
  Route.Objective = Objective;
  Route.MaxAttempts = MaxAttempts;
  Route.HasAffinity = true;
  Route.Parts = {{"desk", 1}};
  Configuration.Routes = {Route};
  service Service;
  Service.Name = "desk";
  Service.ColdRequestsPerSecond = 2.5;
  Configuration.Services = {Service};
  applyConfiguration(Steering, std::move(Configuration));
  Steering.Instances = {1, 2, 3};
  Steering.RetryBudget.Bounds = {0.2, seconds(10), 60};
  for (int Index = 0; Index < Servers; ++Index)
    upsertTarget(Steering.Targets,
                 {"s" + std::to_string(Index),
                  "desk",
                  "127.0.0.1:1",
                  Index % 2 == 0 ? "a1" : "b1",
                  4,
                  false,
                  {}},
                 instant());
  return Steering;
}

request_plan plan(steering &Steering, std::string_view Key = "17") {
  return planRequest(Steering, {"shop.example", "/x/y", Key, "id-1",
                                milliseconds(3'000), instant()})
      .value();
}

} // namespace

// clang-format off
TEST_GROUP(Steering) {};
// clang-format on

TEST(Steering, RefusesRequestsWithoutConfiguration) {
  steering Steering;
  const auto Plan = planRequest(Steering, {"h", "/x/", "", "id", {}, {}});
  CHECK(Plan.error() == refusal::NotConfigured);
}

// Guards against duplicate execution: a request is sent, its connection breaks
// without a response, and the request is retried although it may have run. The
// symptom is a booking that is made twice.
TEST(Steering, RetriesPossiblyExecutedRequestOnlyIfIdempotent) {
  for (work_class Class : {work_class::Idempotent, work_class::NonIdempotent}) {
    steering Steering = makeSteering(4, Class);
    request_plan Plan = plan(Steering);
    Plan.DeliveredAttempts = 1;
    Plan.MayHaveRun = true;
    CHECK_EQUAL(Class == work_class::Idempotent,
                mayRetry(Steering, Plan, instant()));
    Plan.MayHaveRun = false;
    CHECK(mayRetry(Steering, Plan, instant()));
  }
}

TEST(Steering, LimitsAttemptsToRouteMaximum) {
  steering Steering = makeSteering(6, work_class::Idempotent, 2);
  request_plan Plan = plan(Steering);
  Plan.DeliveredAttempts = 2;
  CHECK_FALSE(mayRetry(Steering, Plan, instant()));
}

TEST(Steering, ExcludesTriedServerFromRetry) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  request_plan Plan = plan(Steering);
  target *First = chooseTarget(Steering, Plan, instant()).value();
  Plan.TriedTargets.push_back(First->Entry.Id);
  CHECK(chooseTarget(Steering, Plan, instant()).value() != First);
}

// Guards against premature overflow under overload: a server is treated as full
// once its slots are occupied, so callers are refused although servers that are
// warm for their objects could serve them in time; other requests move to cold
// servers and all requests slow down. A cold run takes longer than the
// objective in any case, so the primary is used until its wait is longer by a
// whole objective.
TEST(Steering, QueuesAtPrimaryUntilSecondaryIsFaster) {
  steering Steering = makeSteering(8, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  target &First = *chooseTarget(Steering, Plan, instant()).value();
  First.MeanResponseTime = milliseconds(250);
  // Four slots at 250 ms each: one queue position costs 62 ms.
  for (int Sent = 0; Sent < 4 + 8; ++Sent) {
    POINTERS_EQUAL(&First, chooseTarget(Steering, Plan, instant()).value());
    recordAttemptStart(First, instant());
  }
  recordAttemptStart(First, instant());
  target &Second = *chooseTarget(Steering, Plan, instant()).value();
  CHECK(&Second != &First);
}

// Guards against a hot object spreading over all servers under overload and
// evicting what is warm there, because the number of servers of an object is
// unbounded.
TEST(Steering, RefusesHotObjectBeyondItsCandidates) {
  steering Steering = makeSteering(12, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  std::set<std::string> Used;
  int Refused = 0;
  for (int Sent = 0; Sent < 200; ++Sent) {
    auto Chosen = chooseTarget(Steering, Plan, instant());
    if (!Chosen) {
      CHECK(Chosen.error() == refusal::Overloaded);
      ++Refused;
      continue;
    }
    (*Chosen)->MeanResponseTime = milliseconds(250);
    recordAttemptStart(**Chosen, instant());
    Used.insert((*Chosen)->Entry.Id);
  }
  LONGS_EQUAL(2, Used.size());
  CHECK(Refused > 100);
}

// Guards against requests of different priority competing for the same
// capacity, so that urgent ones are refused as often as the others.
TEST(Steering, AdmitsUrgentRequestsAtHigherLoad) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  Steering.LeastUrgentPriority = 2;
  request_plan Urgent = plan(Steering);
  request_plan Other = Urgent;
  Urgent.Priority = 0;
  Other.Priority = 2;
  for (const auto &[Id, Target] : Steering.Targets.ById) {
    Target->MeanResponseTime = milliseconds(400);
    for (int Sent = 0; Sent < 12; ++Sent)
      recordAttemptStart(*Target, instant());
  }
  CHECK_FALSE(chooseTarget(Steering, Other, instant()).has_value());
  CHECK(chooseTarget(Steering, Urgent, instant()).has_value());
}

TEST(Steering, RefusesRequestTooCloseToDeadline) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  const instant Late = Plan.Deadline - milliseconds(10);
  CHECK(chooseTarget(Steering, Plan, Late).error() == refusal::TooLate);
}

TEST(Steering, DeadlineIsEarlierOfRouteAndCallerTimeout) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  CHECK(plan(Steering).Deadline == instant(seconds(2)));
  const auto Short = planRequest(
      Steering, {"shop.example", "/x/", "", "i", milliseconds(700), {}});
  CHECK(Short->Deadline == instant(milliseconds(700)));
}

// Guards against synchronized retries: with the same Retry-After time for all,
// callers that were refused together return together and are refused again.
TEST(Steering, RetryAfterIsJitteredWithinRemainingTime) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  std::set<std::int64_t> Times;
  for (int Caller = 0; Caller < 200; ++Caller) {
    const duration Time = retryAfter(Steering, Plan, refusal::Overloaded,
                                     "id-" + std::to_string(Caller), instant());
    CHECK(Time >= milliseconds(250));
    CHECK(Time <= milliseconds(667));
    Times.insert(Time.count() / 20'000);
  }
  CHECK(Times.size() > 15);
}

// Guards against overloading a cold server with the objects placed on it
// because placement ignores its cold start.
TEST(Steering, SendsObjectsOfColdServerToNextCandidate) {
  steering Steering = makeSteering(6, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  target &First = *chooseTarget(Steering, Plan, instant()).value();
  First.ColdUntil = instant(seconds(3));
  int AtFirst = 0;
  request_plan Attempts = Plan;
  for (int Request = 0; Request < 20; ++Request) {
    target &Chosen = *chooseTarget(Steering, Plan, instant()).value();
    AtFirst += &Chosen == &First ? 1 : 0;
    beginAttempt(Steering, Attempts, Chosen, instant());
    recordResult(Steering.Targets, Chosen, attempt_result::Answered,
                 milliseconds(1), instant());
  }
  CHECK(AtFirst <= 1);
}

// Guards against treating every end of a reused connection as an idle close. If
// a reused connection ends hundreds of milliseconds after the request was sent,
// the server failed or is cut off; the request must not be sent to it again,
// and it must not keep receiving requests.
TEST(Steering, OnlyImmediateCloseOfReusedConnectionIsNoFailure) {
  const duration Soon = milliseconds(70);
  const duration Late = milliseconds(390);
  CHECK(classifyBrokenAttempt({false, true, false, Soon}) ==
        attempt_result::Cancelled);
  CHECK(classifyBrokenAttempt({false, true, false, Late}) ==
        attempt_result::Failed);
  CHECK(classifyBrokenAttempt({false, true, true, Soon}) ==
        attempt_result::Failed);
  CHECK(classifyBrokenAttempt({false, false, false, Soon}) ==
        attempt_result::Failed);
  CHECK(classifyBrokenAttempt({true, false, false, Late}) ==
        attempt_result::Unreachable);
}

// Guards against uneven load when routes use the same short object keys:
// placement by the key alone puts the objects of all routes with one key on one
// server, so some servers have nearly twice the load of others. A server that
// is warm for a key on one route was cold for it on another.
TEST(Steering, PlacesSameKeyOfDifferentRoutesIndependently) {
  steering Steering = makeSteering(16, work_class::Idempotent);
  configuration Configuration = Steering.Routes->Configuration;
  ++Configuration.Version;
  Configuration.Routes.push_back(Configuration.Routes.front());
  Configuration.Routes.back().PathPrefix = "/z/";
  applyConfiguration(Steering, std::move(Configuration));
  int Together = 0;
  for (int Key = 0; Key < 100; ++Key) {
    const std::string Name = std::to_string(Key);
    request_facts Facts{"shop.example", "/x/y", Name, "id", seconds(3), {}};
    const auto One = planRequest(Steering, Facts).value();
    Facts.Path = "/z/y";
    const auto Other = planRequest(Steering, Facts).value();
    if (chooseTarget(Steering, One, instant()).value() ==
        chooseTarget(Steering, Other, instant()).value())
      ++Together;
  }
  // One in sixteen coincides by chance.
  CHECK(Together < 20);
}

// Guards against growing queues when all servers are busy, as in the first
// seconds or in a burst: requests that find a queue at their primary move to a
// secondary, run cold there and lengthen that queue too, although the servers
// would carry the load if warm. A cold run takes three times the work of a warm
// one.
TEST(Steering, DoesNotOverflowToQueuedSecondary) {
  steering Steering = makeSteering(8, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  for (const auto &[Id, Target] : Steering.Targets.ById) {
    Target->MeanResponseTime = milliseconds(250);
    // A wait of 188 ms, more than 0.3 of the objective.
    for (int Sent = 0; Sent < 4 + 2; ++Sent)
      recordAttemptStart(*Target, instant());
  }
  target &First = *chooseTarget(Steering, Plan, instant()).value();
  // Up to a wait of 1.6 of the objective, 750 ms here.
  for (int Sent = 0; Sent < 10; ++Sent) {
    POINTERS_EQUAL(&First, chooseTarget(Steering, Plan, instant()).value());
    recordAttemptStart(First, instant());
  }
  CHECK(chooseTarget(Steering, Plan, instant()).error() == refusal::Overloaded);
}

// Guards against sending a request whose content crashes servers,
// whether as a first attempt or as the retry of a request in flight.
TEST(Steering, RefusesQuarantinedContent) {
  steering Steering = makeSteering(6, work_class::Idempotent);
  request_plan Plan = plan(Steering);
  Plan.Content = 1;
  request_plan Harmless = plan(Steering);
  Harmless.Content = 2;
  CHECK(chooseTarget(Steering, Plan, instant()).has_value());
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    recordCrash(Steering.Quarantine, Plan.Content, Server, instant());
  const auto Chosen = chooseTarget(Steering, Plan, instant());
  CHECK(!Chosen && Chosen.error() == refusal::Quarantined);
  CHECK(chooseTarget(Steering, Harmless, instant()).has_value());
  CHECK(retryAfter(Steering, Plan, refusal::Quarantined, "id-1", instant()) >=
        Steering.Quarantine.Policy.FirstTrialDelay);
}

// Guards against sending more requests with a quarantined content before the
// outcome of its trial is available.
TEST(Steering, TrialAdmitsSingleRequest) {
  steering Steering = makeSteering(6, work_class::Idempotent);
  Steering.Instances = {1};
  const instant TrialAt = instant(Steering.Quarantine.Policy.FirstTrialDelay);
  const request_facts Facts{"shop.example", "/x/y",  "17", "id-1",
                            seconds(3),     TrialAt, 1};
  request_plan Plan = planRequest(Steering, Facts).value();
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    recordCrash(Steering.Quarantine, Plan.Content, Server, instant());
  const auto Chosen = chooseTarget(Steering, Plan, TrialAt);
  CHECK(Chosen.has_value());
  beginAttempt(Steering, Plan, **Chosen, TrialAt);
  CHECK_FALSE(chooseTarget(Steering, Plan, TrialAt).has_value());
}

// Guards against callers returning before the end of the backoff, or all at
// once at its end, when all servers of a service requested backoff.
TEST(Steering, RetryAfterFollowsBackoffOfAllServers) {
  steering Steering = makeSteering(3, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  const instant RestEnd{milliseconds(800)};
  for (const auto &[Id, Target] : Steering.Targets.ById)
    recordBackoff(Steering.Targets, *Target,
                  Id == "s1" ? RestEnd : RestEnd + seconds(60));
  const auto Chosen = chooseTarget(Steering, Plan, instant());
  CHECK(!Chosen && Chosen.error() == refusal::BackingOff);
  std::set<std::int64_t> Times;
  for (int Caller = 0; Caller < 200; ++Caller) {
    const duration Time = retryAfter(Steering, Plan, refusal::BackingOff,
                                     "id-" + std::to_string(Caller), instant());
    CHECK(instant(Time) > RestEnd);
    CHECK(instant(Time) < RestEnd + seconds(1));
    Times.insert(Time.count() / 20'000);
  }
  CHECK(Times.size() > 15);
  CHECK(chooseTarget(Steering, Plan, RestEnd).has_value());
}

TEST(Steering, BackoffMovesWorkToOtherServers) {
  steering Steering = makeSteering(4, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  target *First = chooseTarget(Steering, Plan, instant()).value();
  recordBackoff(Steering.Targets, *First, instant(seconds(1)));
  const auto Other = chooseTarget(Steering, Plan, instant());
  CHECK(Other.has_value() && *Other != First);
  POINTERS_EQUAL(First,
                 chooseTarget(Steering, Plan, instant(seconds(1))).value());
}

// Servers that reject at random though they have free slots: callers that come
// back after a second come too late for their objective, and nothing is gained
// by waiting.
TEST(Steering, RejectionWithFreeSlotsIsRetriedSoon) {
  steering Steering;
  request_plan Plan;
  Plan.Deadline = instant(seconds(5));
  recordRejection(Plan, target_load{2, 0, 4});
  for (const char *Id : {"1", "2", "3"}) {
    const duration Soon = retryAfter(
        Steering, Plan, refusal::RetryBudgetExhausted, Id, instant());
    CHECK(Soon >= milliseconds(30));
    CHECK(Soon <= milliseconds(90));
  }
}

// Servers that are full: callers that come back soon would find them full.
TEST(Steering, RejectionByAFullServerIsRetriedLater) {
  steering Steering;
  request_plan Plan;
  Plan.Deadline = instant(seconds(5));
  for (const std::optional<target_load> &Load :
       {std::optional<target_load>(target_load{4, 0, 4}),
        std::optional<target_load>(target_load{3, 2, 4}),
        std::optional<target_load>()}) {
    recordRejection(Plan, Load);
    CHECK(retryAfter(Steering, Plan, refusal::RetryBudgetExhausted, "1",
                     instant()) >= milliseconds(250));
  }
}

// Guards against overloading a cold server from instances that are cut off and
// do not hear that it became cold, beside those that know it and use its rate.
TEST(Steering, UninformedInstancesShareTheAllowanceOfColdServers) {
  constexpr int Instances = 9;
  constexpr double ColdRate = 2.5;
  std::map<std::string, int> Received;
  for (int Instance = 0; Instance < 4; ++Instance) {
    steering Steering = makeSteering(6, work_class::Idempotent);
    Steering.Instances.assign(Instances, 1);
    Steering.ColdBounds = {1.5, 5};
    Steering.IsUninformed = true;
    request_plan Plan = plan(Steering);
    for (instant Now{}; Now < instant(seconds(1)); Now += milliseconds(5)) {
      const auto Chosen = chooseTarget(Steering, Plan, Now);
      if (!Chosen)
        continue;
      beginAttempt(Steering, Plan, **Chosen, Now);
      recordResult(Steering.Targets, **Chosen, attempt_result::Answered,
                   milliseconds(1), Now);
      ++Received[(*Chosen)->Entry.Id];
    }
  }
  for (const auto &[Server, Count] : Received)
    CHECK(Count <= ColdRate * 0.5 + 5);
  LONGS_EQUAL(6, Received.size());
}

// Failure: instances that become uninformed together each send a first request
// at once to a server that has become cold.
TEST(Steering, InstancesThatBecomeUninformedTogetherDoNotSendAtOnce) {
  constexpr std::size_t Instances = 74;
  constexpr double ColdRate = 2.5;
  std::vector<instant> Sent;
  for (std::size_t Instance = 0; Instance < Instances; ++Instance) {
    steering Steering = makeSteering(1, work_class::Idempotent);
    Steering.Instances.clear();
    for (std::size_t Other = 0; Other < Instances; ++Other)
      Steering.Instances.push_back(
          stableHash(cat("n", (Instance + Other) % Instances)));
    Steering.ColdBounds = {1.5, 5};
    Steering.IsUninformed = true;
    Steering.UninformedSince = instant(seconds(1));
    request_plan Plan = plan(Steering);
    for (instant Now(seconds(1)); Now < instant(seconds(31));
         Now += milliseconds(20)) {
      Plan.Deadline = Now + seconds(2);
      const auto Chosen = chooseTarget(Steering, Plan, Now);
      if (!Chosen)
        continue;
      beginAttempt(Steering, Plan, **Chosen, Now);
      recordResult(Steering.Targets, **Chosen, attempt_result::Answered,
                   milliseconds(1), Now);
      Sent.push_back(Now);
    }
  }
  std::sort(Sent.begin(), Sent.end());
  const auto Allowed = static_cast<std::size_t>(ColdRate * 0.5 + 5);
  CHECK(Sent.size() > Allowed * 20);
  for (std::size_t Index = Allowed; Index < Sent.size(); ++Index)
    CHECK(Sent[Index] - Sent[Index - Allowed] >= seconds(1));
}

// Guards against limiting instances whose operators state no bounds.
TEST(Steering, UninformedInstanceWithoutBoundsIsNotLimited) {
  steering Steering = makeSteering(6, work_class::Idempotent);
  Steering.IsUninformed = true;
  request_plan Plan = plan(Steering);
  for (int Request = 0; Request < 20; ++Request) {
    const auto Chosen = chooseTarget(Steering, Plan, instant());
    CHECK(Chosen.has_value());
    beginAttempt(Steering, Plan, **Chosen, instant());
    recordResult(Steering.Targets, **Chosen, attempt_result::Answered,
                 milliseconds(1), instant());
  }
}
