// Tests server states announced in responses: backoff (Retry-After) and
// draining.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

/// Each request uses another object, so that each server is primary for some.
constexpr int Requests = 40;
/// In seconds; longer than any test runs.
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
          fetchEndpoint(Node->Control, "/v1/status").Body, nullptr, false);
      return Status.is_object() && Status["servers"] == Count;
    });
  }

  /// Requests many objects. Returns the number of successful responses.
  int askMany() {
    int Answered = 0;
    for (int Request = 0; Request < Requests; ++Request)
      Answered += fetch(*Node, "/safe/x", cat("id-", ++Asked)).Status == 200;
    return Answered;
  }

  /// Removes the first server's entry from the store and restores it.
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
TEST_GROUP(ServerLoad) {};
// clang-format on

// Failure: a server receives requests before its requested backoff has expired.
TEST(ServerRest, ServerThatRequestsBackoffGetsNoRequests) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().Behavior = behavior::Sheds;
  Fleet.first().RetryAfterSeconds = LongRest;
  LONGS_EQUAL(Requests, Fleet.askMany());
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}

// Failure: the backoff is lost when the server's entry expires and returns.
TEST(ServerRest, ExpiredEntryDoesNotEndBackoff) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().Behavior = behavior::Sheds;
  Fleet.first().RetryAfterSeconds = LongRest;
  Fleet.askMany();
  CHECK(Fleet.lapse());
  Fleet.askMany();
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}

// Failure: all servers back off, and callers retry repeatedly before any server
// accepts requests.
TEST(ServerRest, RetryAfterReportsEndOfBackoffWhenAllServersBackOff) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.setAll(behavior::Sheds);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->RetryAfterSeconds = LongRest;
  Fleet.askMany();
  const caller_response Answer = Fleet.fetch(*Fleet.Node, "/safe/x", "last");
  LONGS_EQUAL(503, Answer.Status);
  CHECK(parseNumber<double>(Answer.RetryAfter).value_or(0) > 60);
  for (auto &[Id, Target] : Fleet.Targets)
    LONGS_EQUAL(1, Target->Arrivals);
}

// Failure: a server announces that it is draining and receives new requests
// until the list shows it as draining too.
TEST(ServerLeaving, ServerThatAnnouncesDrainingGetsNoNewRequests) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().AnnouncesDraining = true;
  LONGS_EQUAL(Requests, Fleet.askMany());
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}

// Failure: the draining state is lost when the server's entry expires and
// returns.
TEST(ServerLeaving, ExpiredEntryDoesNotEndDraining) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().AnnouncesDraining = true;
  Fleet.askMany();
  CHECK(Fleet.lapse());
  Fleet.askMany();
  LONGS_EQUAL(1, Fleet.first().Arrivals);
}

// Failure: the node silently discards the load reports of a server that states
// them in a format that it does not know.
TEST(ServerLoad, MalformedReportIsLogged) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.first().Load = "1,0,4,100,7";
  LONGS_EQUAL(Requests, Fleet.askMany());
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("load_report_malformed") !=
           std::string::npos;
  }));
  CHECK(Fleet.logOf(*Fleet.Node).find("1,0,4,100,7") != std::string::npos);
}

// Failure: a report with a fourth figure is discarded.
TEST(ServerLoad, ReportWithTimeFigureIsAccepted) {
  state_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Load = "1,0,4,250";
  LONGS_EQUAL(Requests, Fleet.askMany());
  CHECK(Fleet.logOf(*Fleet.Node).find("load_report_malformed") ==
        std::string::npos);
}
