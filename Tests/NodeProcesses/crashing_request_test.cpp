// Tests the quarantine of requests that crash backend servers, on several real
// nodes.

#include "Text/text.h"
#include "node_fleet.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <csignal>

using namespace amaranthhoist;

namespace {

constexpr const char *DeadlyPath = "/safe/deadly";
constexpr int Servers = 12;
/// Servers that a request may crash before it is quarantined.
constexpr int CrashThreshold = 3;
/// Further crashes allowed after the quarantine announcements have spread.
constexpr int RetriesAllowed = 3;
/// Time within which connected nodes synchronize their state.
constexpr duration Touch = std::chrono::seconds(4);

struct deadly_fleet : node_fleet {
  deadly_fleet() : node_fleet(nodeProgram()) {
    putConfiguration(1);
    ObjectKey = "17";
    for (int Index = 0; Index < Servers; ++Index)
      addTarget(cat("s", Index)).CrashingPath = DeadlyPath;
    for (const char *Name : {"n1", "n2", "n3"})
      addNode(Name, "a1", "a");
    for (auto &Node : Nodes)
      start(*Node);
    IsReady = std::all_of(Nodes.begin(), Nodes.end(),
                          [&](auto &Node) { return waitReady(*Node); });
  }

  int crashes() const {
    return static_cast<int>(
        std::count_if(Targets.begin(), Targets.end(), [](const auto &Entry) {
          return Entry.second->HasCrashed;
        }));
  }

  /// Removes the store entries of crashed servers.
  void removeCrashed() {
    for (const auto &[Id, Target] : Targets)
      if (Target->HasCrashed && Store.has("servers", Id))
        Store.remove("servers", Id);
  }

  /// Sends the request until three servers have crashed.
  void crashThree() {
    while (crashes() < CrashThreshold && Asked < Servers)
      askDeadly(*Nodes[0]);
    removeCrashed();
  }

  caller_response askDeadly(node_process &Node) {
    return fetch(Node, DeadlyPath, cat("deadly-", ++Asked));
  }

  bool IsReady = false;
  int Asked = 0;
};

} // namespace

// clang-format off
TEST_GROUP(CrashProbe) {};
TEST_GROUP(CrashingRequest) {};
// clang-format on

// Failure: a server that lost one response is recorded as crashed.
TEST(CrashProbe, CrashIsDistinguishedFromLostResponse) {
  small_fleet Fleet;
  Fleet.Targets["s1"]->Behavior = target_stand_in::behavior::LosesResponses;
  Fleet.Targets["s2"]->CrashingPath = DeadlyPath;
  Fleet.fetch(*Fleet.Node, DeadlyPath, "id-1");
  CHECK(Fleet.Targets["s2"]->HasCrashed);
  const auto Says = [&](const char *Text) {
    return Fleet.logOf(*Fleet.Node).find(Text) != std::string::npos;
  };
  CHECK(Fleet.runUntil([&] { return Says("server_crashed"); }));
  CHECK(Says(R"("event":"server_crashed","server":"s2")"));
  CHECK_FALSE(Says(R"("event":"server_crashed","server":"s1")"));
}

// Failure: a request that crashes the servers executing it is retried at any
// node and crashes one server after the other.
TEST(CrashingRequest, RequestThatCrashedThreeServersIsRefusedAtAllNodes) {
  deadly_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.crashThree();
  Fleet.runFor(Touch);
  const int Before = Fleet.crashes();
  std::vector<caller_response> Answers;
  for (int Round = 0; Round < 2; ++Round)
    for (auto &Node : Fleet.Nodes) {
      Answers.push_back(Fleet.askDeadly(*Node));
      Fleet.removeCrashed();
    }
  CHECK_COMPARE(Fleet.crashes(), <=, Before + RetriesAllowed);
  for (const caller_response &Answer : Answers) {
    LONGS_EQUAL(503, Answer.Status);
    CHECK(!Answer.RetryAfter.empty());
  }
  LONGS_EQUAL(200,
              Fleet.fetch(*Fleet.Nodes[1], "/safe/harmless", "id-1").Status);
}

// Failure: a restarted node has lost the quarantine and crashes further servers
// with the request.
TEST(CrashingRequest, RestartedNodeReceivesQuarantine) {
  deadly_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.crashThree();
  node_process &Again = *Fleet.Nodes[1];
  Fleet.signal(Again, SIGKILL);
  Fleet.start(Again);
  CHECK(Fleet.waitReady(Again));
  Fleet.runFor(Touch);
  const int Before = Fleet.crashes();
  LONGS_EQUAL(503, Fleet.askDeadly(Again).Status);
  LONGS_EQUAL(Before, Fleet.crashes());
}
