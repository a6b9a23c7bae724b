// An operator has a request id and the nodes' logs. Each test causes one kind
// of failed request and determines the cause from the log lines alone.

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
      Reader.addLine(Line);
  }
  return makeTrace(Reader);
}

/// Waits until the node has logged the final line of the request.
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

TEST(Explain, RequestRefusedUnderLoad) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::seconds(30);
  constexpr int MoreThanFits = 60;
  std::vector<std::unique_ptr<caller_call>> Calls;
  Calls.reserve(MoreThanFits);
  const auto WasRefused = [&](const auto &Call) {
    return Call->response().Status == 503;
  };
  // Both servers reach capacity; the next request is refused.
  for (int Index = 0; Index < MoreThanFits; ++Index)
    Calls.push_back(
        Fleet.startRequest(*Fleet.Node, "/safe/x", cat("id-", Index)));
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

TEST(Explain, ResponseLostAfterExecution) {
  small_fleet Fleet;
  Fleet.setAll(behavior::LosesResponses);
  LONGS_EQUAL(502, Fleet.fetch(*Fleet.Node, "/once/x", "id-1", "POST").Status);
  CHECK(waitForCause(Fleet, "id-1"));
  const request_trace Trace = explain(Fleet, "id-1");
  CHECK(says(Trace, "its response was lost or invalid; it may have run"));
  CHECK(says(Trace, "failed after"));
}

// Failure: a request is aborted by the exit of its node, and the log holds its
// arrival but no outcome.
TEST(Explain, RequestAbortedByNodeExit) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::seconds(30);
  Fleet.DeadlineMs = 30'000;
  auto Call =
      Fleet.startRequest(*Fleet.Node, "/slow/x", "id-1", "POST", "body");
  CHECK(Fleet.runUntil([&] { return runsOf(Fleet, "id-1") == 1; }));
  Fleet.signal(*Fleet.Node, SIGTERM);
  CHECK(Fleet.runUntil([&] { return Fleet.hasExited(*Fleet.Node); }));
  CHECK(waitForCause(Fleet, "id-1"));
  const request_trace Trace = explain(Fleet, "id-1");
  CHECK(says(Trace, "the node's process exited before the request completed"));
  CHECK(says(Trace, "under_way after"));
}

// Failure: requests spill over to another region, and the node's log records
// neither when nor why.
TEST(Explain, SpilloverIsLoggedWithItsCause) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Load = "4,8,4";
  constexpr int Requests = 30;
  for (int Index = 0; Index < Requests; ++Index)
    LONGS_EQUAL(200,
                Fleet.fetch(*Fleet.Node, "/safe/x", cat("id-", Index)).Status);
  const auto IsLogged = [&] {
    const std::string Log = Fleet.logOf(*Fleet.Node);
    const std::size_t Line = Log.find("\"region_spread\"");
    return Line != std::string::npos &&
           Log.find("\"occupation\":", Line) != std::string::npos;
  };
  CHECK(Fleet.runUntil([&] {
    // The spillover is adjusted when requests arrive.
    Fleet.fetch(*Fleet.Node, "/safe/x", "id-last");
    return IsLogged();
  }));
}
