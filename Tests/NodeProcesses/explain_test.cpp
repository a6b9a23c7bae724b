// An operator on call has a request's id and the nodes' logs. Each test plays
// one kind of failed request and reads its cause from the lines alone.

#include "RequestTrace/request_trace.h"
#include "Text/text.h"
#include "node_fleet.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>
#include <csignal>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

request_trace explain(const node_fleet &Fleet, const std::string &Id) {
  trace_reader Reader(Id);
  for (const auto &Node : Fleet.Nodes) {
    const std::string Log = Fleet.logOf(*Node);
    for (std::string_view Line : split(Log, '\n'))
      Reader.take(Line);
  }
  return makeTrace(Reader);
}

/// Waits until the node has handed on a line that ends the request.
bool waitForCause(node_fleet &Fleet, const std::string &Id) {
  return Fleet.runUntil([&] { return !explain(Fleet, Id).Causes.empty(); });
}

bool says(const request_trace &Trace, std::string_view Text) {
  return describe(Trace).find(Text) != std::string::npos;
}

} // namespace

// clang-format off
TEST_GROUP(Explain) {};
// clang-format on

TEST(Explain, ARequestRefusedUnderLoad) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::seconds(30);
  constexpr int MoreThanFits = 60;
  std::vector<std::unique_ptr<caller_call>> Calls;
  Calls.reserve(MoreThanFits);
  const auto WasRefused = [&](const auto &Call) {
    return Call->answer().Status == 503;
  };
  // Both servers fill up; the next one is refused.
  for (int Index = 0; Index < MoreThanFits; ++Index)
    Calls.push_back(Fleet.get(*Fleet.Node, "/safe/x", cat("id-", Index)));
  CHECK(Fleet.runUntil(
      [&] { return std::any_of(Calls.begin(), Calls.end(), WasRefused); }));
  const auto Refused = std::find_if(Calls.begin(), Calls.end(), WasRefused);
  const std::string Id = cat("id-", Refused - Calls.begin());
  CHECK(waitForCause(Fleet, Id));
  const request_trace Trace = explain(Fleet, Id);
  CHECK(says(Trace, "refused: overloaded"));
  CHECK(says(Trace, "s1 had an estimated wait of"));
  CHECK(says(Trace, "s2 had an estimated wait of"));
  LONGS_EQUAL(1, Trace.Nodes[0].ConfigurationVersion);
}

TEST(Explain, AnAnswerLostAtAServerThatRanTheRequest) {
  small_fleet Fleet;
  Fleet.setAll(behavior::LosesAnswers);
  LONGS_EQUAL(502, Fleet.ask(*Fleet.Node, "/once/x", "id-1", "POST").Status);
  CHECK(waitForCause(Fleet, "id-1"));
  const request_trace Trace = explain(Fleet, "id-1");
  CHECK(says(Trace, "its response was lost or invalid; it may have run"));
  CHECK(says(Trace, "failed after"));
}

// The last line of a request that the node's own end cuts off: without it an
// operator would find a request that came and no word of what became of it.
TEST(Explain, ARequestCutByTheEndOfItsNode) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::seconds(30);
  Fleet.DeadlineMs = 30'000;
  auto Call = Fleet.get(*Fleet.Node, "/slow/x", "id-1", "POST", "body");
  CHECK(Fleet.runUntil([&] { return runsOf(Fleet, "id-1") == 1; }));
  Fleet.signal(*Fleet.Node, SIGTERM);
  CHECK(Fleet.runUntil([&] { return Fleet.hasEnded(*Fleet.Node); }));
  CHECK(waitForCause(Fleet, "id-1"));
  const request_trace Trace = explain(Fleet, "id-1");
  CHECK(says(Trace, "the node's process exited before the request completed"));
  CHECK(says(Trace, "under_way after"));
}

// Work of a region goes elsewhere and the node's log doesn't say when or why.
TEST(Explain, TheSpreadOfARegionsWorkIsLoggedWithItsCause) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Load = "4,8,4";
  constexpr int Requests = 30;
  for (int Index = 0; Index < Requests; ++Index)
    LONGS_EQUAL(200,
                Fleet.ask(*Fleet.Node, "/safe/x", cat("id-", Index)).Status);
  const auto IsLogged = [&] {
    const std::string Log = Fleet.logOf(*Fleet.Node);
    const std::size_t Line = Log.find("\"region_spread\"");
    return Line != std::string::npos &&
           Log.find("\"occupation\":", Line) != std::string::npos;
  };
  CHECK(Fleet.runUntil([&] {
    // Steps are taken as requests come.
    Fleet.ask(*Fleet.Node, "/safe/x", "id-last");
    return IsLogged();
  }));
}
