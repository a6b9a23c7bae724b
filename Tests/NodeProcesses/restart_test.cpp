// Tests what an instance that restarts knows of the others.

#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <csignal>

using namespace amaranthhoist;
using std::chrono::milliseconds;

namespace {

constexpr int Lookups = 100;
constexpr duration LookupPeriod = milliseconds(30);

bool names(node_fleet &Fleet, const node_process &Asked,
           const node_process &Other) {
  return Fleet
             .fetchEndpoint(Asked.Lookups,
                            "/amaranthhoist/resolve?name=h&region=a&zone=a1")
             .Body.find(Other.Callers) != std::string::npos;
}

} // namespace

// clang-format off
TEST_GROUP(Restart) {};
// clang-format on

// Failure: an instance that restarts names another one in look-ups that was
// lost long before, until its own probes reach it.
TEST(Restart, LostInstancesAreNotNamedAgain) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  std::vector<node_process *> Nodes = {Fleet.Node};
  for (const char *Name : {"n2", "n3", "n4", "n5", "n6"}) {
    Nodes.push_back(&Fleet.addNode(Name, "a1", "a"));
    Fleet.start(*Nodes.back());
  }
  node_process &Lost = *Nodes[4];
  node_process &Restarted = *Nodes[5];
  const auto CountNaming = [&] {
    return std::count_if(Nodes.begin(), Nodes.end(), [&](node_process *Node) {
      return Node != &Lost && names(Fleet, *Node, Lost);
    });
  };
  CHECK(Fleet.runUntil([&] { return CountNaming() == 5; }));
  Fleet.signal(Lost, SIGKILL);
  CHECK(Fleet.runUntil([&] { return CountNaming() == 0; }));

  Fleet.signal(Restarted, SIGKILL);
  Fleet.start(Restarted);
  CHECK(Fleet.waitReady(Restarted));
  int Named = 0;
  for (int Lookup = 0; Lookup < Lookups; ++Lookup) {
    Named += names(Fleet, Restarted, Lost) ? 1 : 0;
    Fleet.runFor(LookupPeriod);
  }
  LONGS_EQUAL(0, Named);
  // It names those that run.
  CHECK(Fleet.runUntil([&] { return names(Fleet, Restarted, *Nodes[1]); }));
}
