// Requests that end the backend servers which run them, at several real nodes.

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
/// Servers that a request may end before it is known.
constexpr int CrashesAllowed = 3;
/// Attempts that may follow by nodes that had time to learn of it.
constexpr int RetriesAllowed = 3;
/// In which nodes that are in touch learn what the others know.
constexpr duration Touch = std::chrono::seconds(4);

struct deadly_fleet : node_fleet {
  deadly_fleet() : node_fleet(nodeProgram()) {
    putConfiguration(1);
    ObjectKey = "17";
    for (int Index = 0; Index < Servers; ++Index)
      addTarget(cat("s", Index)).DeadlyPath = DeadlyPath;
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

  /// Entries of servers that have ended lapse.
  void removeCrashed() {
    for (const auto &[Id, Target] : Targets)
      if (Target->HasCrashed && Store.has("servers", Id))
        Store.remove("servers", Id);
  }

  /// Asks until three servers have ended.
  void crashThree() {
    while (crashes() < CrashesAllowed && Asked < Servers)
      askDeadly(*Nodes[0]);
    removeCrashed();
  }

  caller_answer askDeadly(node_process &Node) {
    return ask(Node, DeadlyPath, cat("deadly-", ++Asked));
  }

  bool IsReady = false;
  int Asked = 0;
};

} // namespace

// clang-format off
TEST_GROUP(CrashProbe) {};
TEST_GROUP(CrashingRequest) {};
// clang-format on

// Failure: a server that lost one answer counts as crashed.
TEST(CrashProbe, ACrashIsToldFromALostAnswer) {
  small_fleet Fleet;
  Fleet.Targets["s1"]->Behavior = target_stand_in::behavior::LosesAnswers;
  Fleet.Targets["s2"]->DeadlyPath = DeadlyPath;
  Fleet.ask(*Fleet.Node, DeadlyPath, "id-1");
  CHECK(Fleet.Targets["s2"]->HasCrashed);
  const auto Says = [&](const char *Text) {
    return Fleet.logOf(*Fleet.Node).find(Text) != std::string::npos;
  };
  CHECK(Fleet.runUntil([&] { return Says("server_crashed"); }));
  CHECK(Says(R"("event":"server_crashed","server":"s2")"));
  CHECK_FALSE(Says(R"("event":"server_crashed","server":"s1")"));
}

// Failure: a request that ends the servers which run it comes again at any node
// and ends one server after the other.
TEST(CrashingRequest, WhatEndedThreeServersIsRefusedAtAllNodes) {
  deadly_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.crashThree();
  Fleet.runFor(Touch);
  const int Before = Fleet.crashes();
  std::vector<caller_answer> Answers;
  for (int Round = 0; Round < 2; ++Round)
    for (auto &Node : Fleet.Nodes) {
      Answers.push_back(Fleet.askDeadly(*Node));
      Fleet.removeCrashed();
    }
  CHECK_COMPARE(Fleet.crashes(), <=, Before + RetriesAllowed);
  for (const caller_answer &Answer : Answers) {
    LONGS_EQUAL(503, Answer.Status);
    CHECK(!Answer.RetryAfter.empty());
  }
  LONGS_EQUAL(200, Fleet.ask(*Fleet.Nodes[1], "/safe/harmless", "id-1").Status);
}

// Failure: a node that starts again has forgotten the request, and ends servers
// with it anew.
TEST(CrashingRequest, ANodeThatStartsAgainLearnsOfIt) {
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
