// Decisions on requests: at most once, room by predicted wait, and refusals.

#include "Steering/steering.h"

#include <CppUTest/TestHarness.h>
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
  Steering.Repeats.Bounds = {0.2, seconds(10), 60};
  for (int Index = 0; Index < Servers; ++Index)
    putTarget(Steering.Targets,
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

TEST(Steering, WithoutAConfigurationNothingIsSaidOfRoutes) {
  steering Steering;
  const auto Plan = planRequest(Steering, {"h", "/x/", "", "id", {}, {}});
  CHECK(Plan.error() == refusal::NotConfigured);
}

// Symptom: a booking is made twice. Sequence: a request is sent, its connection
// breaks without an answer, it is sent again. Cause: repeating what may have
// run.
TEST(Steering, WhatMayHaveRunIsNotRepeatedUnlessIdempotent) {
  for (work_class Class : {work_class::Idempotent, work_class::NonIdempotent}) {
    steering Steering = makeSteering(4, Class);
    request_plan Plan = plan(Steering);
    Plan.Arrivals = 1;
    Plan.MayHaveRun = true;
    CHECK_EQUAL(Class == work_class::Idempotent,
                mayRepeat(Steering, Plan, instant()));
    Plan.MayHaveRun = false;
    CHECK(mayRepeat(Steering, Plan, instant()));
  }
}

TEST(Steering, ARequestReachesNoMoreServersThanItsRouteAllows) {
  steering Steering = makeSteering(6, work_class::Idempotent, 2);
  request_plan Plan = plan(Steering);
  Plan.Arrivals = 2;
  CHECK_FALSE(mayRepeat(Steering, Plan, instant()));
}

TEST(Steering, AServerThatFailedARequestIsNotAskedAgain) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  request_plan Plan = plan(Steering);
  target *First = chooseTarget(Steering, Plan, instant()).value();
  Plan.Tried.push_back(First->Entry.Id);
  CHECK(chooseTarget(Steering, Plan, instant()).value() != First);
}

// Pattern: overload. Symptom: callers are refused while servers that are warm
// for their objects could serve them in time; the rest is pushed to cold
// servers and everybody gets slower. Cause: a server taken for full once its
// slots are. Grounds: a cold run takes longer than the objective in any case,
// so the first place is used until its wait is longer by a whole objective.
TEST(Steering, AWarmServersQueueIsUsedAsLongAsItPays) {
  steering Steering = makeSteering(8, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  target &First = *chooseTarget(Steering, Plan, instant()).value();
  First.MeanTime = milliseconds(250);
  // Four slots and 250 ms each: a place in the queue costs 62 ms.
  for (int Sent = 0; Sent < 4 + 8; ++Sent) {
    POINTERS_EQUAL(&First, chooseTarget(Steering, Plan, instant()).value());
    noteSent(First, instant());
  }
  noteSent(First, instant());
  target &Second = *chooseTarget(Steering, Plan, instant()).value();
  CHECK(&Second != &First);
}

// Pattern: hot object under overload. Symptom: one object's work spreads over
// all servers and pushes out what is warm there. Cause: no bound on the servers
// of an object.
TEST(Steering, AHotObjectIsRefusedRatherThanSpread) {
  steering Steering = makeSteering(12, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  std::set<std::string> Used;
  int Refused = 0;
  for (int Sent = 0; Sent < 200; ++Sent) {
    auto Chosen = chooseTarget(Steering, Plan, instant());
    if (!Chosen) {
      CHECK(Chosen.error() == refusal::NoRoom);
      ++Refused;
      continue;
    }
    (*Chosen)->MeanTime = milliseconds(250);
    noteSent(**Chosen, instant());
    Used.insert((*Chosen)->Entry.Id);
  }
  LONGS_EQUAL(2, Used.size());
  CHECK(Refused > 100);
}

// Pattern: two kinds of request compete. Symptom: the more urgent one is
// refused as often as the other. Cause: the same room for both.
TEST(Steering, UrgentRequestsFindRoomWhereOthersDoNot) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  Steering.LeastUrgent = 2;
  request_plan Urgent = plan(Steering);
  request_plan Other = Urgent;
  Urgent.Priority = 0;
  Other.Priority = 2;
  for (const auto &[Id, Target] : Steering.Targets.ById) {
    Target->MeanTime = milliseconds(400);
    for (int Sent = 0; Sent < 12; ++Sent)
      noteSent(*Target, instant());
  }
  CHECK_FALSE(chooseTarget(Steering, Other, instant()).has_value());
  CHECK(chooseTarget(Steering, Urgent, instant()).has_value());
}

TEST(Steering, TooLittleTimeIsRefusedAtOnce) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  const instant Late = Plan.Deadline - milliseconds(10);
  CHECK(chooseTarget(Steering, Plan, Late).error() == refusal::TooLate);
}

TEST(Steering, TheEarlierOfRouteAndCallerEndsARequest) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  CHECK(plan(Steering).Deadline == instant(seconds(2)));
  const auto Short = planRequest(
      Steering, {"shop.example", "/x/", "", "i", milliseconds(700), {}});
  CHECK(Short->Deadline == instant(milliseconds(700)));
}

// Symptom: those who were refused together come back together and are refused
// again. Cause: the same time to come back for all.
TEST(Steering, TimesToComeBackAreSpreadAndLeaveTimeToServe) {
  steering Steering = makeSteering(2, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  std::set<std::int64_t> Times;
  for (int Caller = 0; Caller < 200; ++Caller) {
    const duration Time = retryAfter(Steering, Plan, refusal::NoRoom,
                                     "id-" + std::to_string(Caller), instant());
    CHECK(Time >= milliseconds(250));
    CHECK(Time <= milliseconds(667));
    Times.insert(Time.count() / 20'000);
  }
  CHECK(Times.size() > 15);
}

// Pattern: cold caches. Symptom: a server that is cold is overrun by the
// objects that belong to it. Cause: placement that doesn't know of its state.
TEST(Steering, AColdServersObjectsGoToTheirNextPlace) {
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
    noteResult(Steering.Targets, Chosen, attempt_result::Answered,
               milliseconds(1), instant());
  }
  CHECK(AtFirst <= 1);
}

// Symptom: a request is sent to the same server again and fails again; a server
// that is cut off goes on getting requests. Sequence: a kept connection ends
// hundreds of milliseconds after the request was sent. Cause: taking each end
// of a kept connection for the close of an idle one.
TEST(Steering, OnlyAnImmediateEndOfAKeptConnectionSaysNothingOfTheServer) {
  const duration Soon = milliseconds(70);
  const duration Late = milliseconds(390);
  CHECK(resultOf({false, true, false, Soon}) == attempt_result::Cancelled);
  CHECK(resultOf({false, true, false, Late}) == attempt_result::Failed);
  CHECK(resultOf({false, true, true, Soon}) == attempt_result::Failed);
  CHECK(resultOf({false, false, false, Soon}) == attempt_result::Failed);
  CHECK(resultOf({true, false, false, Late}) == attempt_result::Unreachable);
}

// Pattern: routes whose callers name their objects by the same short keys.
// Symptom: some servers have nearly twice the load of others. Cause: placing by
// the key alone puts all routes' objects of one key on one server. Grounds: a
// server that is warm for a key on one route was cold for it on another.
TEST(Steering, TheSameKeyOnAnotherRouteIsAnotherObject) {
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
  // One in sixteen by chance.
  CHECK(Together < 20);
}

// Pattern: all servers busy, as in the first seconds or in a burst. Symptom:
// the queues of all servers grow although they would carry the load if warm.
// Cause: what finds a queue at its first place goes on to a second one, runs
// cold there and makes that queue longer too. Grounds: a cold run takes three
// times the work of a warm one.
TEST(Steering, ASecondPlaceWithAQueueIsNoWayOut) {
  steering Steering = makeSteering(8, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  for (const auto &[Id, Target] : Steering.Targets.ById) {
    Target->MeanTime = milliseconds(250);
    // A wait of 188 ms, more than 0.3 of the objective.
    for (int Sent = 0; Sent < 4 + 2; ++Sent)
      noteSent(*Target, instant());
  }
  target &First = *chooseTarget(Steering, Plan, instant()).value();
  // Up to a wait of 1.6 of the objective, 750 ms here.
  for (int Sent = 0; Sent < 10; ++Sent) {
    POINTERS_EQUAL(&First, chooseTarget(Steering, Plan, instant()).value());
    noteSent(First, instant());
  }
  CHECK(chooseTarget(Steering, Plan, instant()).error() == refusal::NoRoom);
}

// Failure: a request whose content is known to crash servers is sent on, by its
// first attempt or by the repeat of one that was under way.
TEST(Steering, AQuarantinedContentGoesToNoServer) {
  steering Steering = makeSteering(6, work_class::Idempotent);
  request_plan Plan = plan(Steering);
  Plan.Content = 1;
  request_plan Harmless = plan(Steering);
  Harmless.Content = 2;
  CHECK(chooseTarget(Steering, Plan, instant()).has_value());
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    noteCrash(Steering.Quarantine, Plan.Content, Server, instant());
  const auto Chosen = chooseTarget(Steering, Plan, instant());
  CHECK(!Chosen && Chosen.error() == refusal::Quarantined);
  CHECK(chooseTarget(Steering, Harmless, instant()).has_value());
  CHECK(retryAfter(Steering, Plan, refusal::Quarantined, "id-1", instant()) >=
        Steering.Quarantine.Policy.FirstTrial);
}

// Failure: a trial of a quarantined content is followed by more requests for it
// before its outcome is known.
TEST(Steering, ATrialLetsOneRequestThrough) {
  steering Steering = makeSteering(6, work_class::Idempotent);
  Steering.Instances = {1};
  const instant TrialAt = instant(Steering.Quarantine.Policy.FirstTrial);
  const request_facts Facts{"shop.example", "/x/y",  "17", "id-1",
                            seconds(3),     TrialAt, 1};
  request_plan Plan = planRequest(Steering, Facts).value();
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    noteCrash(Steering.Quarantine, Plan.Content, Server, instant());
  const auto Chosen = chooseTarget(Steering, Plan, TrialAt);
  CHECK(Chosen.has_value());
  beginAttempt(Steering, Plan, **Chosen, TrialAt);
  CHECK_FALSE(chooseTarget(Steering, Plan, TrialAt).has_value());
}

// Failure: all servers of a service asked for rest, and those who are refused
// come back before its end, or all at once at its end.
TEST(Steering, WhileAllServersRestCallersComeBackAfterwards) {
  steering Steering = makeSteering(3, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  const instant RestEnd{milliseconds(800)};
  for (const auto &[Id, Target] : Steering.Targets.ById)
    noteRest(Steering.Targets, *Target,
             Id == "s1" ? RestEnd : RestEnd + seconds(60));
  const auto Chosen = chooseTarget(Steering, Plan, instant());
  CHECK(!Chosen && Chosen.error() == refusal::Resting);
  std::set<std::int64_t> Times;
  for (int Caller = 0; Caller < 200; ++Caller) {
    const duration Time = retryAfter(Steering, Plan, refusal::Resting,
                                     "id-" + std::to_string(Caller), instant());
    CHECK(instant(Time) > RestEnd);
    CHECK(instant(Time) < RestEnd + seconds(1));
    Times.insert(Time.count() / 20'000);
  }
  CHECK(Times.size() > 15);
  CHECK(chooseTarget(Steering, Plan, RestEnd).has_value());
}

TEST(Steering, WorkOfAServerThatRestsGoesToTheOthers) {
  steering Steering = makeSteering(4, work_class::Idempotent);
  const request_plan Plan = plan(Steering);
  target *First = chooseTarget(Steering, Plan, instant()).value();
  noteRest(Steering.Targets, *First, instant(seconds(1)));
  const auto Other = chooseTarget(Steering, Plan, instant());
  CHECK(Other.has_value() && *Other != First);
  POINTERS_EQUAL(First,
                 chooseTarget(Steering, Plan, instant(seconds(1))).value());
}
