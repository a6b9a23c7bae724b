// Tests changes that arrive while a node shuts down.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>
#include <sys/wait.h>

using namespace amaranthhoist;
using std::chrono::milliseconds;

namespace {

/// Longer than the shortest shutdown, so that requests keep the node busy, and
/// twice as long as servers may take with the longer timeout.
constexpr const char *Grace = "8s";
constexpr duration WorkTime = milliseconds(2'200);
constexpr duration RequestPeriod = milliseconds(150);
constexpr int Servers = 8;
/// Enough that the node itself doesn't coordinate the nearest pool of all.
constexpr int LimitedAccounts = 12;

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

// Failure: a node crashes when its process ends, because requests that wait for
// tokens of their accounts give them up after the link to the coordinators is
// gone.
TEST(Shutdown, RequestsThatWaitForTokensEndWithTheProcess) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  // Shorter than the wait for three coordinators that don't respond.
  Fleet.GracePeriod = "1s";
  node_process &Node = Fleet.addNode("n0", "a1", "a");
  std::vector<node_process *> Coordinators = {Fleet.Node,
                                              &Fleet.addNode("n2", "a2", "a"),
                                              &Fleet.addNode("n3", "b1", "b")};
  for (int Account = 0; Account < LimitedAccounts; ++Account)
    Fleet.Accounts[cat("account-", Account)] = {
        {"api_keys", {cat("key-", Account)}},
        {"rate_per_s", 100},
        {"burst", 100}};
  Fleet.putConfiguration(2);
  for (node_process *Each : {&Node, Coordinators[1], Coordinators[2]}) {
    Fleet.start(*Each);
    CHECK(Fleet.waitReady(*Each));
  }
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(Node).find("\"quota_coordinators\",\"instances\":4") !=
           std::string::npos;
  }));
  for (node_process *Each : Coordinators)
    Fleet.signal(*Each, SIGKILL);
  Fleet.signal(Node, SIGTERM);
  std::vector<std::unique_ptr<caller_call>> Calls;
  for (int Account = 0; Account < LimitedAccounts; ++Account) {
    Fleet.Fields = cat("Api-Key: key-", Account, "\r\n");
    Calls.push_back(Fleet.startRequest(Node, "/safe/x", cat("id-", Account)));
  }
  CHECK(Fleet.runUntil([&] { return Fleet.hasExited(Node); }));
  CHECK(WIFEXITED(Node.ExitStatus));
  LONGS_EQUAL(0, WEXITSTATUS(Node.ExitStatus));
  CHECK(Fleet.logOf(Node).find("process_ended") != std::string::npos);
}
