// Tests the guarantee for contracts: an accepted contract is in force on all
// nodes within 3 s and never reverts. Runs the replica logic of many nodes on
// in-memory links and checks the recorded history.

#include "History/history.h"
#include "fleet_loop.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A fleet whose nodes 0 and 1 watch the platform, and its history.
struct contract_run {
  explicit contract_run(std::uint64_t Seed, int LossPercent = 2)
      : Fleet(optionsOf(Seed, LossPercent)) {
    for (int Node = 0; Node < Fleet.nodes(); ++Node)
      History.Nodes.push_back(fleet_loop::nameOf(Node));
    Fleet.OnApply = [this](int Node, const item &Item, instant At) {
      History.Effective.push_back(
          {At, fleet_loop::nameOf(Node), Item.Key, Item.Version});
    };
    Fleet.runFor(seconds(1));
  }

  static fleet_options optionsOf(std::uint64_t Seed, int LossPercent) {
    fleet_options Options;
    Options.Nodes = 60;
    Options.Regions = 6;
    Options.Seed = Seed;
    Options.LossPercent = LossPercent;
    return Options;
  }

  static item make(std::int64_t Version, bool Deleted = false) {
    return {"contract/c", Version, Deleted, "v" + std::to_string(Version)};
  }

  /// The platform accepts a contract, and the operator's command sends it to
  /// two controls.
  void accept(std::int64_t Version, bool Deleted = false) {
    History.Accepted.push_back({Fleet.now(), "contract/c", Version});
    Fleet.deliver(0, make(Version, Deleted));
    Fleet.deliver(1, make(Version, Deleted));
  }

  void expectHolds() {
    Fleet.runFor(seconds(8));
    History.End = Fleet.now();
    for (const violation &Violation : checkHistory(History))
      FAIL(Violation.What.c_str());
  }

  fleet_loop Fleet;
  history History;
};

constexpr std::uint64_t Seeds = 20;

} // namespace

// clang-format off
TEST_GROUP(ContractSpread) {};
// clang-format on

TEST(ContractSpread, IsInForceOnAllNodesDespiteLoss) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    contract_run Run(Seed, 10);
    Run.accept(5);
    Run.expectHolds();
  }
}

// Guards against an old contract that takes effect again: after the new version
// has spread, a lagging watcher delivers old versions to other nodes in any
// order, and a copy is treated as new because it arrived last.
TEST(ContractSpread, OldVersionsFromLaggingWatchAreIgnored) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    contract_run Run(Seed);
    Run.accept(9);
    for (std::int64_t Version : {7, 8, 3, 9})
      Run.Fleet.at(Run.Fleet.now() + milliseconds(40 * Version),
                   [&Run, Version] {
                     Run.Fleet.deliver(30, contract_run::make(Version));
                   });
    Run.expectHolds();
  }
}

// Guards against a replaced instance that serves an old contract or none: the
// platform becomes unreachable right after it accepted the contract, and the
// instance can only sync from its peers.
TEST(ContractSpread, ReplacedInstanceSyncsFromPeersDuringPlatformOutage) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    contract_run Run(Seed);
    Run.accept(4);
    Run.Fleet.runFor(seconds(2));
    Run.Fleet.kill(33);
    Run.Fleet.runFor(milliseconds(300));
    Run.Fleet.restart(33);
    Run.Fleet.runFor(seconds(3));
    LONGS_EQUAL(4, Run.Fleet.replicaOf(33).Items.at("contract/c").Version);
    Run.expectHolds();
  }
}

// Guards against a deleted contract that stays in force, or a successor that is
// treated as old, when a contract is deleted and created again before either
// change has reached all nodes.
TEST(ContractSpread, LastVersionWinsAfterDeletionAndRecreation) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    contract_run Run(Seed);
    Run.accept(2);
    Run.Fleet.runFor(milliseconds(15));
    Run.accept(3, true);
    Run.Fleet.runFor(milliseconds(15));
    Run.accept(4);
    Run.expectHolds();
    for (int Node = 0; Node < Run.Fleet.nodes(); ++Node)
      CHECK(!Run.Fleet.replicaOf(Node).Items.at("contract/c").Deleted);
  }
}

// Guards against regions that stay different after a partition: one is cut off
// while changes are made, and both sides compare after it has healed.
TEST(ContractSpread, PartitionedRegionCatchesUp) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    contract_run Run(Seed);
    Run.Fleet.cutRegion(4);
    for (std::int64_t Version = 1; Version <= 40; ++Version)
      Run.Fleet.deliver(0, contract_run::make(Version));
    Run.Fleet.runFor(seconds(5));
    Run.Fleet.healRegion(4);
    // From here on the guarantee applies to all nodes again.
    Run.History.Accepted.push_back({Run.Fleet.now(), "contract/c", 40});
    Run.expectHolds();
  }
}

// Checks the checker: without replication it reports violations.
TEST(ContractSpread, CheckerDetectsMissingReplication) {
  contract_run Run(1, 100);
  Run.accept(5);
  Run.Fleet.runFor(seconds(8));
  Run.History.End = Run.Fleet.now();
  CHECK(!checkHistory(Run.History).empty());
}
