// Tests real node processes against scripted backend servers and a scripted
// store. No verdict depends on timing.

#include "Text/text.h"
#include "early_caller.h"
#include "node_fleet.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>
#include <csignal>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

// clang-format off
TEST_GROUP(NodeProcess) {};
// clang-format on

TEST(NodeProcess, ServesRequestsLookupsAndRoutes) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  const auto Answer = Fleet.fetch(*Fleet.Node, "/safe/x", "id-1");
  LONGS_EQUAL(200, Answer.Status);
  CHECK(Answer.Body == target_stand_in::bodyFor("id-1"));
  CHECK(Answer.HasSignature);
  LONGS_EQUAL(404, Fleet.fetch(*Fleet.Node, "/none/", "id-2").Status);
  const auto Lookup = Fleet.fetchEndpoint(
      Fleet.Node->Lookups,
      "/amaranthhoist/resolve?name=shop.example&region=a&zone=a1");
  LONGS_EQUAL(200, Lookup.Status);
  CHECK(Lookup.Body.find(Fleet.Node->Callers) != std::string::npos);
}

TEST(NodeProcess, StatusReportsCurrentView) {
  small_fleet Fleet;
  const auto Status = nlohmann::json::parse(
      Fleet.fetchEndpoint(Fleet.Node->Control, "/v1/status").Body);
  CHECK(Status["ready"].get<bool>());
  LONGS_EQUAL(1, Status["version"].get<int>());
  STRCMP_EQUAL("store", Status["learns_from"].get<std::string>().c_str());
  LONGS_EQUAL(2, Status["services"]["desk"]["ready"].get<int>());
  Fleet.Store.put("evacuations", "a1", nlohmann::json::object());
  CHECK(Fleet.runUntil([&] {
    const auto Now = nlohmann::json::parse(
        Fleet.fetchEndpoint(Fleet.Node->Control, "/v1/status").Body);
    return Now["servers_usable"] == 0 && Now["evacuated"][0] == "a1";
  }));
}

// Failure: a non-idempotent request is executed twice. A server executes it,
// the response is lost, and the node retries although the request may have run.
TEST(NodeProcess, NonIdempotentRequestWithLostResponseRunsOnce) {
  small_fleet Fleet;
  Fleet.setAll(behavior::LosesResponses);
  const auto Answer = Fleet.fetch(*Fleet.Node, "/once/x", "id-1", "POST");
  LONGS_EQUAL(502, Answer.Status);
  LONGS_EQUAL(1, runsOf(Fleet, "id-1"));
}

TEST(NodeProcess, IdempotentRequestIsRetriedUpToMaxAttempts) {
  small_fleet Fleet;
  Fleet.setAll(behavior::LosesResponses);
  Fleet.fetch(*Fleet.Node, "/safe/x", "id-1");
  LONGS_EQUAL(2, runsOf(Fleet, "id-1"));
}

// Failure: a node that has started again retries as if nothing had been retried
// before, and all nodes together exceed the budget.
TEST(NodeProcess, StartedNodeRetriesWithinTheRatioAlone) {
  constexpr int Requests = 60;
  constexpr double Ratio = 0.05;
  small_fleet Fleet(Ratio);
  int Runs = 0;
  for (int Request = 0; Request < Requests; ++Request) {
    // Few enough failures that no server is ejected.
    const bool Fails = Request % 6 == 0;
    Fleet.setAll(Fails ? behavior::LosesResponses : behavior::Normal);
    const std::string Id = cat("id-", Request);
    Fleet.fetch(*Fleet.Node, "/safe/x", Id);
    Runs += runsOf(Fleet, Id);
  }
  CHECK_COMPARE(Runs - Requests, <=, Ratio * Requests);
}

// Failure: a caller receives "not executed" and the request still runs, because
// the node refuses it while a copy is still in flight.
TEST(NodeProcess, UnexecutedRequestIsRefusedWithRetryAfter) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Sheds);
  const auto Answer = Fleet.fetch(*Fleet.Node, "/once/x", "id-1", "POST");
  LONGS_EQUAL(503, Answer.Status);
  CHECK(!Answer.RetryAfter.empty());
  Fleet.setAll(behavior::Normal);
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/once/x", "id-2", "POST").Status);
  LONGS_EQUAL(0, runsOf(Fleet, "id-1"));
}

// Failure: a caller accepts a truncated response or the response to another
// request. A server truncates the body, sends bytes that are not HTTP, or omits
// its signature, and the node forwards the response without validation.
TEST(NodeProcess, InvalidResponsesAreNotForwarded) {
  for (behavior Behavior :
       {behavior::TruncatesBody, behavior::SendsGarbage, behavior::Unsigned}) {
    small_fleet Fleet;
    Fleet.setAll(Behavior);
    const auto Answer = Fleet.fetch(*Fleet.Node, "/once/x", "id-1", "POST");
    LONGS_EQUAL(502, Answer.Status);
    CHECK_FALSE(Answer.HasSignature);
    CHECK(Answer.Body.empty());
  }
}

TEST(NodeProcess, UnsolicitedResponseIsDiscarded) {
  small_fleet Fleet;
  Fleet.setAll(behavior::RespondsTwice);
  for (int Index = 0; Index < 20; ++Index) {
    const std::string Id = "id-" + std::to_string(Index);
    const auto Answer = Fleet.fetch(*Fleet.Node, "/safe/x", Id);
    LONGS_EQUAL(200, Answer.Status);
    CHECK(Answer.Body == target_stand_in::bodyFor(Id));
  }
}

// Failure: servers execute requests of disconnected callers. A caller closes
// its connection during execution, and the node does not monitor that
// connection.
TEST(NodeProcess, DisconnectCancelsOnlyIdempotentRequests) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::seconds(30);
  auto Safe = Fleet.startRequest(*Fleet.Node, "/safe/x", "id-1");
  auto Once =
      Fleet.startRequest(*Fleet.Node, "/once/x", "id-2", "POST", "body");
  CHECK(Fleet.runUntil([&] {
    return runsOf(Fleet, "id-1") == 1 && runsOf(Fleet, "id-2") == 1;
  }));
  Safe->disconnect();
  Once->disconnect();
  CHECK(Fleet.runUntil([&] {
    std::size_t Stopped = 0;
    for (auto &[Id, Target] : Fleet.Targets)
      Stopped += Target->Abandoned.size();
    return Stopped > 0;
  }));
  for (auto &[Id, Target] : Fleet.Targets)
    for (const std::string &Request : Target->Abandoned)
      CHECK_EQUAL(std::string("id-1"), Request);
}

TEST(NodeProcess, RemainingDeadlineIsForwarded) {
  small_fleet Fleet;
  Fleet.fetch(*Fleet.Node, "/safe/x", "id-1");
  std::int64_t Told = -1;
  for (auto &[Id, Target] : Fleet.Targets)
    Told = std::max(Told, Target->LastDeadlineRemainingMs);
  CHECK(Told > 0);
  CHECK(Told <= 3'000);
}

// Failure: a caller waits for its whole deadline. A server accepts a request
// and never responds, and the node has no time-out of its own for each request.
TEST(NodeProcess, RequestTimesOutIfServerNeverResponds) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Silent);
  LONGS_EQUAL(504, Fleet.fetch(*Fleet.Node, "/once/x", "id-1", "POST").Status);
}

// Failure: a busy node reads a request whose caller has left meanwhile, and
// sends it to a server.
TEST(NodeProcess, RequestOfCallerThatHasLeftIsNotSent) {
  small_fleet Fleet;
  // Afterwards the node has a connection to a server.
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "before").Status);
  Fleet.signal(*Fleet.Node, SIGSTOP);
  for (int Index = 0; Index < 10; ++Index)
    early_caller Caller(Fleet.Node->Callers,
                        cat("POST /once/x HTTP/1.1\r\nHost: shop.example\r\n",
                            "X-Attempt-Id: left-", Index,
                            "\r\nX-Deadline-Remaining: 3000\r\n"
                            "Content-Length: 0\r\n\r\n"));
  Fleet.signal(*Fleet.Node, SIGCONT);
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "after").Status);
  int Arrivals = 0;
  for (const auto &[Id, Target] : Fleet.Targets)
    Arrivals += Target->Arrivals;
  LONGS_EQUAL(2, Arrivals);
}

// Failure: a request that the node has given up on reaches its server seconds
// later. A partition holds its bytes back, and the end of the connection behind
// them; a reset discards them.
TEST(NodeProcess, AbandonedAttemptResetsItsConnection) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Silent);
  Fleet.DeadlineMs = 200;
  LONGS_EQUAL(504, Fleet.fetch(*Fleet.Node, "/safe/x", "id-1").Status);
  CHECK(Fleet.runUntil([&] {
    int Lost = 0;
    for (const auto &[Id, Target] : Fleet.Targets)
      Lost += Target->ConnectionsLost;
    return Lost == 1;
  }));
}

TEST(NodeProcess, MalformedRequestsAreRejectedAndCloseTheConnection) {
  small_fleet Fleet;
  const std::string Long(20'000, 'x');
  const std::pair<int, std::string> Cases[] = {
      {400, "GET /safe/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
      {400, "GET /safe/ HTTP/1.1\r\nHost : a\r\n\r\n"},
      {400, "nonsense\r\n\r\n"},
      {400, "POST /once/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {413,
       "POST /once/ HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"},
      {431, "GET /safe/ HTTP/1.1\r\nHost: a\r\nX: " + Long + Long + Long +
                Long + "\r\n\r\n"},
      // The header section is never completed.
      {408, "GET /safe/ HTTP/1.1\r\nHost: a\r\n"}};
  for (const auto &[Status, Text] : Cases) {
    caller_call Call(Fleet.Loop, Fleet.Node->Callers, Text);
    CHECK(Fleet.runUntil([&] { return Call.response().IsCompleted; }));
    LONGS_EQUAL(Status, Call.response().Status);
  }
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "id-1").Status);
}

// Failure: a head may be several times as long as the operators permit.
TEST(NodeProcess, HeadsBeyondTheOperatorsLimitAreRejected) {
  small_fleet Fleet;
  Fleet.Fields = cat("X-Field: ", std::string(7'900, 'x'), "\r\n");
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "id-1").Status);
  Fleet.Fields = cat("X-Field: ", std::string(14'000, 'x'), "\r\n");
  LONGS_EQUAL(431, Fleet.fetch(*Fleet.Node, "/safe/x", "id-2").Status);
  Fleet.Fields.clear();
  for (int Field = 0; Field < 3'500; ++Field)
    Fleet.Fields.append("a:\r\n");
  LONGS_EQUAL(431, Fleet.fetch(*Fleet.Node, "/safe/x", "id-3").Status);
}

// Failure: a node refuses a route 11 s after the store accepted it. The store
// stops responding for less than the node's keep-alive interval and drops the
// watches; the node waits too long before it renews a watch.
TEST(NodeProcess, BriefStoreOutageDoesNotDelayChanges) {
  small_fleet Fleet;
  const int Before = Fleet.Store.Calls;
  // Wait until the watches are pending.
  CHECK(Fleet.runUntil([&] { return Fleet.Store.Calls >= Before + 4; }));
  Fleet.Store.setMode(store_stand_in::mode::Silent);
  Fleet.Store.setMode(store_stand_in::mode::Serving);
  Fleet.putConfiguration(2, /*HasExtra=*/true);
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(*Fleet.Node, "/extra/x", "id-1").Status == 200;
  }));
  // Bounds the calls to the duration of one watch: no watch was duplicated.
  CHECK(Fleet.Store.Calls < Before + 30);
}

// Failure: a node refuses a route 3.6 s after the store accepted it. The store
// stops responding without closing connections, recovers, and accepts a new
// configuration; the node waits for the time-out of a watch that the store has
// dropped.
TEST(NodeProcess, WatchesAreRenewedAfterStoreOutage) {
  small_fleet Fleet;
  LONGS_EQUAL(404, Fleet.fetch(*Fleet.Node, "/extra/x", "id-1").Status);
  Fleet.Store.setMode(store_stand_in::mode::Silent);
  const int Before = Fleet.Store.Calls;
  // Wait until the watches and some probes have received no response.
  CHECK(Fleet.runUntil([&] { return Fleet.Store.Calls >= Before + 8; }));
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "id-2").Status);
  Fleet.Store.setMode(store_stand_in::mode::Serving);
  Fleet.putConfiguration(2, /*HasExtra=*/true);
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(*Fleet.Node, "/extra/x", "id-3").Status == 200;
  }));
}

TEST(NodeProcess, CompactedHistoryTriggersNewList) {
  small_fleet Fleet;
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  const int Before = Fleet.Store.Calls;
  CHECK(Fleet.runUntil([&] { return Fleet.Store.Calls >= Before + 3; }));
  Fleet.putConfiguration(5, /*HasExtra=*/true);
  Fleet.Store.compact();
  Fleet.Store.setMode(store_stand_in::mode::Serving);
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(*Fleet.Node, "/extra/x", "id-1").Status == 200;
  }));
}

TEST(NodeProcess, DrainingServerGetsNoNewRequests) {
  small_fleet Fleet;
  Fleet.listTarget(*Fleet.Targets["s1"], "a1", "draining");
  CHECK(Fleet.runUntil([&] {
    Fleet.Targets["s1"]->Runs.clear();
    for (int Index = 0; Index < 20; ++Index)
      Fleet.fetch(*Fleet.Node, "/safe/x", "id-" + std::to_string(Index));
    return Fleet.Targets["s1"]->Runs.empty();
  }));
}

// Failure: a restart of the node aborts a request in flight. SIGTERM arrives
// while a server executes the request, and the node exits without waiting.
TEST(NodeProcess, ShutdownCompletesRequestsInFlight) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::milliseconds(1'500);
  auto Call =
      Fleet.startRequest(*Fleet.Node, "/once/x", "id-1", "POST", "body");
  CHECK(Fleet.runUntil([&] { return runsOf(Fleet, "id-1") == 1; }));
  Fleet.signal(*Fleet.Node, SIGTERM);
  CHECK(Fleet.runUntil([&] {
    return Fleet
               .fetchEndpoint(Fleet.Node->Readiness, "/amaranthhoist/readiness")
               .Status == 503;
  }));
  CHECK(Fleet.runUntil([&] { return Call->response().IsCompleted; }));
  LONGS_EQUAL(200, Call->response().Status);
  CHECK(Fleet.runUntil([&] { return Fleet.hasExited(*Fleet.Node); }));
}

// Failure: a restarted node refuses all requests during a store outage, because
// it has no other source for the current configuration.
TEST(NodeProcess, NodeStartedDuringStoreOutageBootstrapsFromSeeds) {
  small_fleet Fleet;
  node_process &Second = Fleet.addNode("n2", "a2", "a");
  Fleet.start(Second);
  CHECK(Fleet.waitReady(Second));
  CHECK(Fleet.runUntil([&] { return Fleet.Store.has("instances", "n2"); }));
  Fleet.signal(Second, SIGKILL);
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  Fleet.start(Second);
  CHECK(Fleet.waitReady(Second));
  LONGS_EQUAL(200, Fleet.fetch(Second, "/safe/x", "id-1").Status);
}

// Failure: half of a fleet refuses all requests during a store outage. Many
// instances lose power, the store goes down, and the instances restart; the few
// seeds in their settings have restarted as well and hold no state. The
// instances query only these seeds, although other instances keep probing them.
TEST(NodeProcess, NodeStartedWithoutStoreAndSeedsBootstrapsFromProbingPeers) {
  small_fleet Fleet;
  node_process &Second = Fleet.addNode("n2", "a2", "a");
  Fleet.start(Second);
  // The first node lists the second as a member and will probe it.
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("\"others\":1") != std::string::npos;
  }));
  Fleet.signal(Second, SIGKILL);
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  Fleet.HasSeeds = false;
  Fleet.start(Second);
  CHECK(Fleet.waitReady(Second));
  LONGS_EQUAL(200, Fleet.fetch(Second, "/safe/x", "id-1").Status);
}

// Failure: instances without a configuration refuse callers. An instance
// restarts during a store outage and responds to its peers' probes immediately,
// so they list it in lookups: they treat a running process as one that can
// serve.
TEST(NodeProcess, LookupsListOnlyServingInstances) {
  small_fleet Fleet;
  node_process &Second = Fleet.addNode("n2", "a1", "a");
  Fleet.start(Second);
  const auto IsNamed = [&] {
    return Fleet
               .fetchEndpoint(Fleet.Node->Lookups,
                              "/amaranthhoist/resolve?name=h&region=a&zone=a1")
               .Body.find(Second.Callers) != std::string::npos;
  };
  CHECK(Fleet.runUntil(IsNamed));
  Fleet.signal(Second, SIGKILL);
  CHECK(Fleet.runUntil([&] { return !IsNamed(); }));
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  // The new process has no source of state: its peer is stopped, and its
  // settings list no seeds.
  Fleet.signal(*Fleet.Node, SIGSTOP);
  Fleet.HasSeeds = false;
  Fleet.start(Second);
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetchEndpoint(Second.Readiness, "/amaranthhoist/readiness")
               .Status == 503;
  }));
  Fleet.signal(*Fleet.Node, SIGCONT);
  CHECK(Fleet.runUntil([&] {
    return IsNamed() && Fleet.fetch(Second, "/safe/x", "id-1").Status == 200;
  }));
  // The instance never refused a request for lack of a configuration.
  CHECK(Fleet.logOf(Second).find("not_configured") == std::string::npos);
}

// Failure: nodes that do not watch the store themselves miss a change when the
// peer that they sync from dies, because they have only one source.
TEST(NodeProcess, ChangesArriveAfterSyncSourceDies) {
  small_fleet Fleet;
  for (int Number = 2; Number <= 5; ++Number) {
    node_process &Node = Fleet.addNode("n" + std::to_string(Number),
                                       Number % 2 == 0 ? "a2" : "a1", "a");
    Fleet.start(Node);
    CHECK(Fleet.waitReady(Node));
  }
  int Version = 2;
  for (std::size_t Dead = 0; Dead < 3; ++Dead) {
    Fleet.signal(*Fleet.Nodes[Dead], SIGKILL);
    Fleet.putConfiguration(Version, /*HasExtra=*/Version % 2 == 0);
    const int Wanted = Version % 2 == 0 ? 200 : 404;
    for (std::size_t Alive = Dead + 1; Alive < Fleet.Nodes.size(); ++Alive)
      CHECK(Fleet.runUntil([&] {
        return Fleet.fetch(*Fleet.Nodes[Alive], "/extra/x", "id").Status ==
               Wanted;
      }));
    ++Version;
  }
}

// Failure: a node ends with a fault, because servers closed more connections
// than it pools, each in one event with its response.
TEST(NodeProcess, ServersMayCloseManyConnectionsAfterTheirResponses) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.setAll(behavior::ClosesAfterResponse);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::milliseconds(300);
  constexpr int Requests = 64;
  std::vector<std::unique_ptr<caller_call>> Calls;
  Calls.reserve(Requests);
  for (int Request = 0; Request < Requests; ++Request)
    Calls.push_back(
        Fleet.startRequest(*Fleet.Node, "/safe/x", cat("id-", Request)));
  const auto HaveRun = [&](std::size_t Least) {
    return std::all_of(
        Fleet.Targets.begin(), Fleet.Targets.end(),
        [&](const auto &Entry) { return Entry.second->Runs.size() >= Least; });
  };
  // The node sees all responses and closes at once.
  CHECK(Fleet.runUntil([&] { return HaveRun(8); }));
  Fleet.signal(*Fleet.Node, SIGSTOP);
  Fleet.runFor(std::chrono::milliseconds(600));
  Fleet.signal(*Fleet.Node, SIGCONT);
  CHECK(Fleet.runUntil([&] {
    return std::all_of(Calls.begin(), Calls.end(), [](const auto &Call) {
      return Call->response().IsCompleted;
    });
  }));
  CHECK(!Fleet.hasExited(*Fleet.Node));
  Fleet.setAll(behavior::Normal);
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "after").Status);
}
