// Tests changes that arrive while a node shuts down.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

using namespace amaranthhoist;
using std::chrono::milliseconds;

namespace {

/// Longer than the shortest shutdown, so that requests keep the node busy, and
/// twice as long as servers may take with the longer timeout.
constexpr const char *Grace = "8s";
constexpr duration WorkTime = milliseconds(2'200);
constexpr duration RequestPeriod = milliseconds(150);
constexpr int Servers = 8;

} // namespace

// clang-format off
TEST_GROUP(Shutdown) {};
// clang-format on

// Failure: a longer timeout that is applied during a shutdown lets requests in
// that the end of the process cuts off.
TEST(Shutdown, LongerTimeoutsLetNoRequestsInThatAreCutOff) {
  node_fleet Fleet(nodeProgram());
  Fleet.GracePeriod = Grace;
  Fleet.DeadlineMs = 4'000;
  Fleet.RouteTimeout = "1000ms";
  Fleet.putConfiguration(1);
  for (int Server = 1; Server <= Servers; ++Server)
    Fleet.addTarget(cat("s", Server));
  node_process &Node = Fleet.addNode("n1", "a1", "a");
  Fleet.start(Node);
  CHECK(Fleet.waitReady(Node));

  Fleet.signal(Node, SIGTERM);
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(Node).find("\"leaving\"") != std::string::npos;
  }));
  Fleet.RouteTimeout = "4000ms";
  Fleet.putConfiguration(2, /*HasExtra=*/true);
  int Tries = 0;
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(Node, "/extra/x", cat("try-", ++Tries)).Status == 200;
  }));

  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = WorkTime;
  std::vector<std::unique_ptr<caller_call>> Calls;
  while (!Fleet.hasExited(Node)) {
    Calls.push_back(Fleet.startRequest(Node, "/once/x",
                                       cat("id-", Calls.size()), "POST", "b"));
    Fleet.runFor(RequestPeriod);
  }
  CHECK(Fleet.runUntil([&] {
    return std::all_of(Calls.begin(), Calls.end(), [](const auto &Call) {
      return Call->response().IsCompleted;
    });
  }));
  int Served = 0;
  int Refused = 0;
  int CutOff = 0;
  for (std::size_t Call = 0; Call < Calls.size(); ++Call) {
    const int Status = Calls[Call]->response().Status;
    Served += Status == 200 ? 1 : 0;
    Refused += Status == 503 ? 1 : 0;
    CutOff += Status == 0 && runsOf(Fleet, cat("id-", Call)) > 0 ? 1 : 0;
  }
  CHECK(Served > 0);
  CHECK(Refused > 0);
  LONGS_EQUAL(0, CutOff);
}
