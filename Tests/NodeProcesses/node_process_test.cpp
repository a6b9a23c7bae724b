// The node program as it runs: real processes against scripted servers and a
// scripted store. No verdict depends on how long anything takes.

#include "node_fleet.h"
#include "small_fleet.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestHarness.h>
#include <csignal>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

// clang-format off
TEST_GROUP(NodeProcess) {};
// clang-format on

TEST(NodeProcess, ServesLooksUpAndKnowsItsRoutes) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  const auto Answer = Fleet.ask(*Fleet.Node, "/safe/x", "id-1");
  LONGS_EQUAL(200, Answer.Status);
  CHECK(Answer.Body == target_stand_in::bodyFor("id-1"));
  CHECK(Answer.HasSignature);
  LONGS_EQUAL(404, Fleet.ask(*Fleet.Node, "/none/", "id-2").Status);
  const auto Lookup = Fleet.askSmall(
      Fleet.Node->Lookups,
      "/amaranthhoist/resolve?name=shop.example&region=a&zone=a1");
  LONGS_EQUAL(200, Lookup.Status);
  CHECK(Lookup.Body.find(Fleet.Node->Callers) != std::string::npos);
}

TEST(NodeProcess, TellsOperatorsWhatItBelieves) {
  small_fleet Fleet;
  const auto Status = nlohmann::json::parse(
      Fleet.askSmall(Fleet.Node->Control, "/v1/status").Body);
  CHECK(Status["ready"].get<bool>());
  LONGS_EQUAL(1, Status["version"].get<int>());
  STRCMP_EQUAL("store", Status["learns_from"].get<std::string>().c_str());
  LONGS_EQUAL(2, Status["services"]["desk"]["ready"].get<int>());
  Fleet.Store.put("evacuations", "a1", nlohmann::json::object());
  CHECK(Fleet.runUntil([&] {
    const auto Now = nlohmann::json::parse(
        Fleet.askSmall(Fleet.Node->Control, "/v1/status").Body);
    return Now["servers_usable"] == 0 && Now["evacuated"][0] == "a1";
  }));
}

// Symptom: a job runs twice. Sequence: a server runs it and its answer is lost;
// the node sends it once more. Cause: repeating what may have run.
TEST(NodeProcess, NonIdempotentWorkWhoseAnswerIsLostRunsOnce) {
  small_fleet Fleet;
  Fleet.setAll(behavior::LosesAnswers);
  const auto Answer = Fleet.ask(*Fleet.Node, "/once/x", "id-1", "POST");
  LONGS_EQUAL(502, Answer.Status);
  LONGS_EQUAL(1, runsOf(Fleet, "id-1"));
}

TEST(NodeProcess, IdempotentWorkIsRepeatedWithinItsAttempts) {
  small_fleet Fleet;
  Fleet.setAll(behavior::LosesAnswers);
  Fleet.ask(*Fleet.Node, "/safe/x", "id-1");
  LONGS_EQUAL(2, runsOf(Fleet, "id-1"));
}

// Symptom: a caller is told "not run" and the work runs. Cause: a refusal that
// is given while a copy is still on its way.
TEST(NodeProcess, WhatNoServerRanIsRefusedWithATimeToComeBack) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Sheds);
  const auto Answer = Fleet.ask(*Fleet.Node, "/once/x", "id-1", "POST");
  LONGS_EQUAL(503, Answer.Status);
  CHECK(!Answer.RetryAfter.empty());
  Fleet.setAll(behavior::Sound);
  LONGS_EQUAL(200, Fleet.ask(*Fleet.Node, "/once/x", "id-2", "POST").Status);
  LONGS_EQUAL(0, runsOf(Fleet, "id-1"));
}

// Symptom: a caller takes a part of an answer, or another's, for its own.
// Sequence: a server breaks off, sends no HTTP, or leaves out its signature.
// Cause: passing on what wasn't checked.
TEST(NodeProcess, NothingUnsoundReachesACaller) {
  for (behavior Behavior :
       {behavior::BreaksOff, behavior::Garbles, behavior::Unsigned}) {
    small_fleet Fleet;
    Fleet.setAll(Behavior);
    const auto Answer = Fleet.ask(*Fleet.Node, "/once/x", "id-1", "POST");
    LONGS_EQUAL(502, Answer.Status);
    CHECK_FALSE(Answer.HasSignature);
    CHECK(Answer.Body.empty());
  }
}

TEST(NodeProcess, AnAnswerTooManyGoesToNobody) {
  small_fleet Fleet;
  Fleet.setAll(behavior::AnswersTwice);
  for (int Index = 0; Index < 20; ++Index) {
    const std::string Id = "id-" + std::to_string(Index);
    const auto Answer = Fleet.ask(*Fleet.Node, "/safe/x", Id);
    LONGS_EQUAL(200, Answer.Status);
    CHECK(Answer.Body == target_stand_in::bodyFor(Id));
  }
}

// Symptom: servers work for callers who are gone. Sequence: a caller closes its
// connection while its request is worked on. Cause: nobody watches the caller's
// connection meanwhile.
TEST(NodeProcess, WorkOfACallerWhoLeftIsStoppedIfThatIsHarmless) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::seconds(30);
  auto Safe = Fleet.get(*Fleet.Node, "/safe/x", "id-1");
  auto Once = Fleet.get(*Fleet.Node, "/once/x", "id-2", "POST", "body");
  CHECK(Fleet.runUntil([&] {
    return runsOf(Fleet, "id-1") == 1 && runsOf(Fleet, "id-2") == 1;
  }));
  Safe->leave();
  Once->leave();
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

TEST(NodeProcess, TheTimeLeftIsPassedOn) {
  small_fleet Fleet;
  Fleet.ask(*Fleet.Node, "/safe/x", "id-1");
  std::int64_t Told = -1;
  for (auto &[Id, Target] : Fleet.Targets)
    Told = std::max(Told, Target->LastTimeLeft);
  CHECK(Told > 0);
  CHECK(Told <= 3'000);
}

// Symptom: a caller waits for its whole deadline. Sequence: a server takes a
// request and never answers. Cause: no end of its own to each request.
TEST(NodeProcess, ARequestEndsEvenIfItsServerNeverAnswers) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Silent);
  LONGS_EQUAL(504, Fleet.ask(*Fleet.Node, "/once/x", "id-1", "POST").Status);
}

TEST(NodeProcess, BadRequestsAreToldAndEndTheConnection) {
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
      // A head that never ends.
      {408, "GET /safe/ HTTP/1.1\r\nHost: a\r\n"}};
  for (const auto &[Status, Text] : Cases) {
    caller_call Call(Fleet.Loop, Fleet.Node->Callers, Text);
    CHECK(Fleet.runUntil([&] { return Call.answer().IsOver; }));
    LONGS_EQUAL(Status, Call.answer().Status);
  }
  LONGS_EQUAL(200, Fleet.ask(*Fleet.Node, "/safe/x", "id-1").Status);
}

// Symptom: a node refuses a route 11 s after it was accepted. Sequence: the
// store falls silent for a moment, shorter than the time between two signs of
// life that the node asks for. Cause: a watch that waits too long before it is
// made anew.
TEST(NodeProcess, AMomentOfSilenceIsSurvivedToo) {
  small_fleet Fleet;
  const int Before = Fleet.Store.Calls;
  // The watches are waiting.
  CHECK(Fleet.runUntil([&] { return Fleet.Store.Calls >= Before + 4; }));
  Fleet.Store.setMode(store_stand_in::mode::Silent);
  Fleet.Store.setMode(store_stand_in::mode::Serving);
  Fleet.putConfiguration(2, /*HasExtra=*/true);
  CHECK(Fleet.runUntil([&] {
    return Fleet.ask(*Fleet.Node, "/extra/x", "id-1").Status == 200;
  }));
  // The time of one watch, in calls: none was made twice.
  CHECK(Fleet.Store.Calls < Before + 30);
}

// Symptom: a node refuses a route 3.6 s after it was accepted. Sequence: the
// store falls silent without closing connections, comes back, a configuration
// is accepted. Cause: a watch that the store has forgotten, and that the node
// waits for until it times out.
TEST(NodeProcess, AStoreThatWasSilentIsWatchedAgain) {
  small_fleet Fleet;
  LONGS_EQUAL(404, Fleet.ask(*Fleet.Node, "/extra/x", "id-1").Status);
  Fleet.Store.setMode(store_stand_in::mode::Silent);
  const int Before = Fleet.Store.Calls;
  // The watches went unanswered, and some probes.
  CHECK(Fleet.runUntil([&] { return Fleet.Store.Calls >= Before + 8; }));
  LONGS_EQUAL(200, Fleet.ask(*Fleet.Node, "/safe/x", "id-2").Status);
  Fleet.Store.setMode(store_stand_in::mode::Serving);
  Fleet.putConfiguration(2, /*HasExtra=*/true);
  CHECK(Fleet.runUntil([&] {
    return Fleet.ask(*Fleet.Node, "/extra/x", "id-3").Status == 200;
  }));
}

TEST(NodeProcess, LostHistoryIsListedAnew) {
  small_fleet Fleet;
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  const int Before = Fleet.Store.Calls;
  CHECK(Fleet.runUntil([&] { return Fleet.Store.Calls >= Before + 3; }));
  Fleet.putConfiguration(5, /*HasExtra=*/true);
  Fleet.Store.compact();
  Fleet.Store.setMode(store_stand_in::mode::Serving);
  CHECK(Fleet.runUntil([&] {
    return Fleet.ask(*Fleet.Node, "/extra/x", "id-1").Status == 200;
  }));
}

TEST(NodeProcess, ALeavingServerGetsNothingNew) {
  small_fleet Fleet;
  Fleet.listTarget(*Fleet.Targets["s1"], "a1", "draining");
  CHECK(Fleet.runUntil([&] {
    Fleet.Targets["s1"]->Runs.clear();
    for (int Index = 0; Index < 20; ++Index)
      Fleet.ask(*Fleet.Node, "/safe/x", "id-" + std::to_string(Index));
    return Fleet.Targets["s1"]->Runs.empty();
  }));
}

// Symptom: a request is cut by a restart of the node that took it. Sequence:
// SIGTERM while a server works on it. Cause: leaving without waiting.
TEST(NodeProcess, ALeavingNodeEndsWhatItTook) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::milliseconds(1'500);
  auto Call = Fleet.get(*Fleet.Node, "/once/x", "id-1", "POST", "body");
  CHECK(Fleet.runUntil([&] { return runsOf(Fleet, "id-1") == 1; }));
  Fleet.signal(*Fleet.Node, SIGTERM);
  CHECK(Fleet.runUntil([&] {
    return Fleet.askSmall(Fleet.Node->Readiness, "/amaranthhoist/readiness")
               .Status == 503;
  }));
  CHECK(Fleet.runUntil([&] { return Call->answer().IsOver; }));
  LONGS_EQUAL(200, Call->answer().Status);
  CHECK(Fleet.runUntil([&] { return Fleet.hasEnded(*Fleet.Node); }));
}

// Symptom: a restarted node refuses everything while the store is away.
// Cause: knowing nobody else who could tell it what is in force.
TEST(NodeProcess, ANodeThatStartsWithoutTheStoreLearnsFromItsSeeds) {
  small_fleet Fleet;
  node_process &Second = Fleet.addNode("n2", "a2", "a");
  Fleet.start(Second);
  CHECK(Fleet.waitReady(Second));
  CHECK(Fleet.runUntil([&] { return Fleet.Store.has("instances", "n2"); }));
  Fleet.signal(Second, SIGKILL);
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  Fleet.start(Second);
  CHECK(Fleet.waitReady(Second));
  LONGS_EQUAL(200, Fleet.ask(Second, "/safe/x", "id-1").Status);
}

// Symptom: half of a fleet refuses everything for as long as the store is away.
// Sequence: many instances lose power, the store goes down, they start again;
// the few addresses in their settings belong to instances as new as they are.
// Cause: asking nobody but those, though others send them probes all the while.
TEST(NodeProcess, ANodeThatStartsWithoutStoreAndSeedsLearnsFromWhoProbesIt) {
  small_fleet Fleet;
  node_process &Second = Fleet.addNode("n2", "a2", "a");
  Fleet.start(Second);
  // The first one knows it, and will probe it.
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("\"others\":1") != std::string::npos;
  }));
  Fleet.signal(Second, SIGKILL);
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  Fleet.HasSeeds = false;
  Fleet.start(Second);
  CHECK(Fleet.waitReady(Second));
  LONGS_EQUAL(200, Fleet.ask(Second, "/safe/x", "id-1").Status);
}

// Symptom: callers are refused by instances that know no configuration yet.
// Sequence: an instance starts again while the store is away; it answers its
// peers' probes at once, and they name it in look-ups. Cause: taking a process
// that runs for one that serves.
TEST(NodeProcess, WhoeverIsNamedInLookUpsServes) {
  small_fleet Fleet;
  node_process &Second = Fleet.addNode("n2", "a1", "a");
  Fleet.start(Second);
  const auto IsNamed = [&] {
    return Fleet
               .askSmall(Fleet.Node->Lookups,
                         "/amaranthhoist/resolve?name=h&region=a&zone=a1")
               .Body.find(Second.Callers) != std::string::npos;
  };
  CHECK(Fleet.runUntil(IsNamed));
  Fleet.signal(Second, SIGKILL);
  CHECK(Fleet.runUntil([&] { return !IsNamed(); }));
  Fleet.Store.setMode(store_stand_in::mode::Refusing);
  // Nobody tells the new process anything: its peer can't be reached at the
  // address that its settings give.
  Fleet.signal(*Fleet.Node, SIGSTOP);
  Fleet.HasSeeds = false;
  Fleet.start(Second);
  CHECK(Fleet.runUntil([&] {
    return Fleet.askSmall(Second.Readiness, "/amaranthhoist/readiness")
               .Status == 503;
  }));
  Fleet.signal(*Fleet.Node, SIGCONT);
  CHECK(Fleet.runUntil([&] {
    return IsNamed() && Fleet.ask(Second, "/safe/x", "id-1").Status == 200;
  }));
  // From its first naming on it never refused for want of a configuration.
  CHECK(Fleet.logOf(Second).find("not_configured") == std::string::npos);
}

// Symptom: nodes that don't ask the store themselves miss a change when the one
// that they learn from dies. Cause: one source only.
TEST(NodeProcess, ChangesArriveWhenASourceDies) {
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
        return Fleet.ask(*Fleet.Nodes[Alive], "/extra/x", "id").Status ==
               Wanted;
      }));
    ++Version;
  }
}

int main(int ArgumentCount, char **Arguments) {
  // Libraries keep statics of their own, which it takes for leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  std::signal(SIGPIPE, SIG_IGN);
  return CommandLineTestRunner::RunAllTests(ArgumentCount, Arguments);
}
