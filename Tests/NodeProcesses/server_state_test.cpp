// What servers say of themselves in their answers: that they want no requests
// for a while, or that they leave.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

/// Requests for as many objects: each server is the first place of some.
constexpr int Requests = 40;
/// No test lasts so long.
constexpr const char *LongRest = "250";

struct state_fleet : small_fleet {
  state_fleet() {
    for (const char *Id : {"s3", "s4"})
      addTarget(Id);
    IsReady = IsReady && waitServers(4);
  }

  target_stand_in &first() { return *Targets["s1"]; }

  bool waitServers(int Count) {
    return runUntil([&] {
      const auto Status = nlohmann::json::parse(
          askSmall(Node->Control, "/v1/status").Body, nullptr, false);
      return Status.is_object() && Status["servers"] == Count;
    });
  }

  /// Asks for many objects; how many were answered.
  int askMany() {
    int Answered = 0;
    for (int Request = 0; Request < Requests; ++Request)
      Answered += ask(*Node, "/safe/x", cat("id-", ++Asked)).Status == 200;
    return Answered;
  }

  /// The first server's entry lapses and comes back.
  bool lapse() {
    Store.remove("servers", "s1");
    if (!waitServers(3))
      return false;
    listTarget(first(), "a1", "ready");
    return waitServers(4);
  }

  int Asked = 0;
};

} // namespace

// clang-format off
TEST_GROUP(ServerRest) {};
TEST_GROUP(ServerLeaving) {};
// clang-format on

// Failure: a server that has asked for rest gets requests before its end.
TEST(ServerRest, AServerThatAsksForRestIsLeftAlone) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().Behavior = behavior::Sheds;
  Fleet.first().RestSeconds = LongRest;
  LONGS_EQUAL(Requests, Fleet.askMany());
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}

// Failure: its rest is forgotten when its entry lapses and comes back.
TEST(ServerRest, ALapseOfTheListDoesNotEndARest) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().Behavior = behavior::Sheds;
  Fleet.first().RestSeconds = LongRest;
  Fleet.askMany();
  CHECK(Fleet.lapse());
  Fleet.askMany();
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}

// Failure: all servers rest, and callers come back again and again before any
// of them takes requests.
TEST(ServerRest, WhenAllRestCallersAreToldWhenThatEnds) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.setAll(behavior::Sheds);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->RestSeconds = LongRest;
  Fleet.askMany();
  const caller_answer Answer = Fleet.ask(*Fleet.Node, "/safe/x", "last");
  LONGS_EQUAL(503, Answer.Status);
  CHECK(parseNumber<double>(Answer.RetryAfter).value_or(0) > 60);
  for (auto &[Id, Target] : Fleet.Targets)
    LONGS_EQUAL(1, Target->Arrivals);
}

// Failure: a server says that it leaves and gets new requests until the list
// says so too.
TEST(ServerLeaving, AServerThatSaysItLeavesGetsNothingMore) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().SaysItLeaves = true;
  LONGS_EQUAL(Requests, Fleet.askMany());
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}

// Failure: its leaving is forgotten when its entry lapses and comes back.
TEST(ServerLeaving, ALapseOfTheListDoesNotBringItBack) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().SaysItLeaves = true;
  Fleet.askMany();
  CHECK(Fleet.lapse());
  Fleet.askMany();
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}
