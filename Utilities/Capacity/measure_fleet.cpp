// Measures many nodes together: convergence, traffic, and calls to the
// platform.

#include "Budget/budget.h"
#include "fleet_loop.h"
#include "measures.h"

#include <algorithm>
#include <cstdio>

namespace amaranthhoist {

static constexpr int Regions = 12;
static constexpr int TargetNodes = 1'900;
static constexpr int Watchers = 2 * Regions;
static constexpr int ChangesPerDay = 8'300;
static constexpr double SecondsPerDay = 86'400;

namespace {

/// Convergence times and traffic of one change.
struct spread_result {
  double P50Ms = 0;
  double P99Ms = 0;
  double AllMs = 0;
  double MessagesPerNode = 0;
  double BytesPerNode = 0;
  int Missing = 0;
};

struct spread_options {
  int Nodes = TargetNodes;
  int DeadPercent = 0;
  int LossPercent = 0;
};

} // namespace

static item makeItem(std::int64_t Version) {
  return {"contract/changed", Version, false, std::string(220, 'x')};
}

/// Delivers a write to all watchers: their long polls return within 20 ms of
/// the write.
static void writeAtPlatform(fleet_loop &Fleet, const item &Item) {
  for (int Watcher = 0; Watcher < Watchers; ++Watcher)
    Fleet.at(Fleet.now() + std::chrono::milliseconds(5 + Watcher % 16),
             [&Fleet, Watcher, Item] { Fleet.deliver(Watcher, Item); });
}

static spread_result summarize(std::vector<double> &Times, int Alive) {
  std::sort(Times.begin(), Times.end());
  spread_result Result;
  Result.Missing = Alive - static_cast<int>(Times.size());
  const auto Percentile = [&](double Part) {
    return Times[static_cast<std::size_t>(
        Part * static_cast<double>(Times.size() - 1))];
  };
  Result.P50Ms = Percentile(0.5);
  Result.P99Ms = Percentile(0.99);
  Result.AllMs = Percentile(1);
  return Result;
}

static spread_result spreadOnce(const spread_options &Options) {
  fleet_options FleetOptions;
  FleetOptions.Nodes = Options.Nodes;
  FleetOptions.Regions = Regions;
  FleetOptions.LossPercent = Options.LossPercent;
  fleet_loop Fleet(FleetOptions);
  int Alive = Options.Nodes;
  if (Options.DeadPercent > 0)
    for (int Node = Watchers; Node < Options.Nodes;
         Node += 100 / Options.DeadPercent, --Alive)
      Fleet.kill(Node);
  Fleet.runFor(std::chrono::seconds(1));
  const instant Begin = Fleet.now();
  std::vector<double> Times;
  Fleet.OnApply = [&](int, const item &, instant At) {
    Times.push_back(
        std::chrono::duration<double, std::milli>(At - Begin).count());
  };
  const link_counts Before = Fleet.ReplicaTraffic;
  writeAtPlatform(Fleet, makeItem(1));
  Fleet.runFor(std::chrono::seconds(5));
  spread_result Result = summarize(Times, Alive);
  // Excludes the idle traffic of five seconds from the cost of the change.
  const double IdleMessages = 5.0 * Options.Nodes;
  Result.MessagesPerNode =
      (double(Fleet.ReplicaTraffic.Messages - Before.Messages) - IdleMessages) /
      Options.Nodes;
  Result.BytesPerNode =
      double(Fleet.ReplicaTraffic.Bytes - Before.Bytes) / Options.Nodes;
  return Result;
}

static void printSpread(const char *Name, const spread_result &Result) {
  std::printf("  %s: half %.0f ms, 99%% %.0f ms, all %.0f ms, missing %d, "
              "messages per node beyond rest %.2f\n",
              Name, Result.P50Ms, Result.P99Ms, Result.AllMs, Result.Missing,
              Result.MessagesPerNode);
}

static void measureIdleTraffic() {
  std::vector<measured_point> Replica;
  std::vector<measured_point> Members;
  for (const int Nodes : {475, 950, TargetNodes}) {
    fleet_options Options;
    Options.Nodes = Nodes;
    Options.Regions = Regions;
    Options.WithMembership = true;
    fleet_loop Fleet(Options);
    Fleet.runFor(std::chrono::seconds(10));
    Replica.push_back(
        {double(Nodes), double(Fleet.ReplicaTraffic.Bytes) / Nodes / 10});
    Members.push_back(
        {double(Nodes), double(Fleet.MembershipTraffic.Bytes) / Nodes / 10});
  }
  printSlope("comparison at rest", "bytes/s per node", Replica, TargetNodes);
  printSlope("membership at rest", "bytes/s per node", Members, TargetNodes);
}

static void measureDetection() {
  fleet_options Options;
  Options.Nodes = TargetNodes;
  Options.Regions = Regions;
  Options.WithReplicas = false;
  Options.WithMembership = true;
  fleet_loop Fleet(Options);
  Fleet.runFor(std::chrono::seconds(3));
  const int Victim = 1'000;
  Fleet.kill(Victim);
  const instant Begin = Fleet.now();
  int Suspecting = 0;
  double FirstMs = 0;
  while (Suspecting < TargetNodes - 1 &&
         Fleet.now() < Begin + std::chrono::seconds(30)) {
    Fleet.runFor(std::chrono::milliseconds(100));
    Suspecting = 0;
    for (int Node = 0; Node < TargetNodes; ++Node)
      if (Node != Victim &&
          !isUp(Fleet.membershipOf(Node), fleet_loop::nameOf(Victim)))
        ++Suspecting;
    if (Suspecting > 0 && FirstMs == 0)
      FirstMs = std::chrono::duration<double, std::milli>(Fleet.now() - Begin)
                    .count();
  }
  std::printf(
      "  a dead node at %d: first suspected after %.0f ms, by %d "
      "nodes after %.0f ms\n",
      TargetNodes, FirstMs, Suspecting,
      std::chrono::duration<double, std::milli>(Fleet.now() - Begin).count());
}

static void measureRegionCut() {
  fleet_options Options;
  Options.Nodes = TargetNodes;
  Options.Regions = Regions;
  fleet_loop Fleet(Options);
  Fleet.runFor(std::chrono::seconds(1));
  // The watchers in the partitioned region lose the platform as well.
  const int Cut = 3;
  Fleet.cutRegion(Cut);
  for (std::int64_t Version = 1; Version <= 300; ++Version) {
    const item Item{"contract/" + std::to_string(Version), Version, false,
                    std::string(220, 'x')};
    for (int Watcher = 0; Watcher < Watchers; ++Watcher)
      if (Fleet.regionOf(Watcher) != Cut)
        Fleet.deliver(Watcher, Item);
    Fleet.runFor(std::chrono::milliseconds(20));
  }
  Fleet.healRegion(Cut);
  const instant Begin = Fleet.now();
  const link_counts Before = Fleet.ReplicaTraffic;
  const std::uint64_t ExpectedRoot = replicaRoot(Fleet.replicaOf(0));
  int Missing = 1;
  while (Missing > 0 && Fleet.now() < Begin + std::chrono::seconds(60)) {
    Fleet.runFor(std::chrono::milliseconds(50));
    Missing = 0;
    for (int Node = Cut; Node < TargetNodes; Node += Regions)
      Missing += replicaRoot(Fleet.replicaOf(Node)) == ExpectedRoot ? 0 : 1;
  }
  std::printf(
      "  region cut while 300 changes were made, re-joined: all its "
      "nodes equal after %.0f ms, %.0f KB per node of the fleet\n",
      std::chrono::duration<double, std::milli>(Fleet.now() - Begin).count(),
      double(Fleet.ReplicaTraffic.Bytes - Before.Bytes) / TargetNodes / 1'000);
}

static void measureReplacement() {
  std::vector<measured_point> Bytes;
  for (const int Count : {1'000, 3'000, 10'000}) {
    fleet_options Options;
    Options.Nodes = 60;
    Options.Regions = Regions;
    fleet_loop Fleet(Options);
    std::vector<item> Items;
    Items.reserve(static_cast<std::size_t>(Count));
    for (int Number = 0; Number < Count; ++Number)
      Items.push_back({"contract/" + std::to_string(Number), Number + 1, false,
                       std::string(220, 'x')});
    Fleet.preload(Items);
    Fleet.runFor(std::chrono::seconds(1));
    const link_counts Before = Fleet.ReplicaTraffic;
    Fleet.kill(50);
    Fleet.restart(50);
    Fleet.runFor(std::chrono::seconds(5));
    const bool Equal =
        replicaRoot(Fleet.replicaOf(50)) == replicaRoot(Fleet.replicaOf(0));
    if (!Equal)
      std::printf("  a replaced node isn't equal after 5 s\n");
    Bytes.push_back(
        {double(Count), double(Fleet.ReplicaTraffic.Bytes - Before.Bytes)});
  }
  printSlope("state of a replaced node", "bytes", Bytes, 30'000);
}

void measureConvergence() {
  std::printf("many nodes\n");
  measureIdleTraffic();
  std::vector<measured_point> All;
  std::vector<measured_point> Messages;
  for (const int Nodes : {475, 950, TargetNodes}) {
    const spread_result Result = spreadOnce({Nodes, 0, 0});
    All.push_back({double(Nodes), Result.AllMs});
    Messages.push_back({double(Nodes), Result.MessagesPerNode});
  }
  printSlope("a change at all nodes", "ms", All, TargetNodes);
  printSlope("messages per change", "per node", Messages, TargetNodes);
  printSpread("1,900 nodes, healthy", spreadOnce({TargetNodes, 0, 0}));
  printSpread("1,900 nodes, 2 % dead", spreadOnce({TargetNodes, 2, 0}));
  printSpread("1,900 nodes, 2 % dead, 2 % of messages lost",
              spreadOnce({TargetNodes, 2, 2}));
  measureRegionCut();
  measureReplacement();
  measureDetection();
}

namespace {

/// Result of one run of a pool's holders against a store with conditional
/// updates.
struct pool_run {
  std::int64_t Writes = 0;
  std::int64_t Conflicts = 0;
  double DoneMs = 0;
};

} // namespace

/// Starts \p Holders gateways of a site at the same time. An update takes
/// effect after a call of 5 ms, and a new record reaches the gateways through
/// their watches after 20 ms.
static pool_run startTogether(int Holders) {
  std::vector<budget_holder> Nodes(static_cast<std::size_t>(Holders));
  pool_record Store;
  pool_run Run;
  instant Now{std::chrono::seconds(1)};
  struct flight {
    std::size_t Node;
    pool_record Proposed;
  };
  std::vector<flight> Flights;
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
    Nodes[Node].Self = "gw" + std::to_string(Node) + "/site#1";
    Nodes[Node].Limits = {{"power", 300'000}, {"slot/a", 6}, {"slot/b", 3}};
  }
  for (int Round = 0; Round < 2'000; ++Round) {
    Now += std::chrono::milliseconds(5);
    const bool Changed = !Flights.empty();
    for (const flight &Flight : std::exchange(Flights, {})) {
      ++Run.Writes;
      const bool Fits = Flight.Proposed.Version == Store.Version;
      if (Fits) {
        Store = Flight.Proposed;
        ++Store.Version;
      } else {
        ++Run.Conflicts;
      }
      handleUpdateResult(Nodes[Flight.Node], Flight.Proposed,
                         Fits ? update_result::Written
                              : update_result::Conflict,
                         Store.Version, Now);
    }
    if (Changed)
      Run.DoneMs = Round * 5.0;
    if (Round % 4 == 0)
      for (budget_holder &Node : Nodes)
        applyRecord(Node, Store);
    // Each node ticks every 50 ms, at its own offset.
    for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
      if ((static_cast<std::size_t>(Round) + Node) % 10 == 0)
        if (auto Next = planUpdate(Nodes[Node], {}, Now))
          Flights.push_back({Node, *Next});
  }
  return Run;
}

/// Prints the writes per second when the platform recovers from an outage and
/// \p Holders holders all have an update to retry.
static void measureOutageRecovery(int Holders) {
  std::vector<budget_holder> Nodes(static_cast<std::size_t>(Holders));
  instant Now{std::chrono::seconds(1)};
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
    Nodes[Node].Self = "gw" + std::to_string(Node) + "/site#1";
    Nodes[Node].Limits = {{"power", 1}};
  }
  std::vector<int> PerSecond(40, 0);
  const instant Begin = Now;
  const auto Outage = std::chrono::seconds(20);
  while (Now < Begin + Outage + std::chrono::seconds(20)) {
    Now += std::chrono::milliseconds(50);
    const bool IsOutage = Now < Begin + Outage;
    for (budget_holder &Node : Nodes) {
      const auto Next = planUpdate(Node, {}, Now);
      if (!Next)
        continue;
      const auto Second =
          std::chrono::duration_cast<std::chrono::seconds>(Now - Begin);
      ++PerSecond[std::min<std::size_t>(39, std::size_t(Second.count()))];
      handleUpdateResult(
          Node, *Next,
          IsOutage ? update_result::Uncertain : update_result::Written, 1, Now);
    }
  }
  std::printf("  %d holders with an update each, platform away for 20 s; "
              "writes in each second:",
              Holders);
  for (const int Count : PerSecond)
    std::printf(" %d", Count);
  std::printf("\n");
}

void measureStore() {
  std::printf("calls to the platform\n");
  std::vector<measured_point> Writes;
  for (const int Holders : {2, 3, 4, 8}) {
    const pool_run Run = startTogether(Holders);
    Writes.push_back({double(Holders), double(Run.Writes)});
    std::printf("  %d holders of a pool start together: %ld writes, %ld of "
                "them in conflict, quiet after %.0f ms\n",
                Holders, long(Run.Writes), long(Run.Conflicts), Run.DoneMs);
  }
  printSlope("writes per pool when its holders start", "writes", Writes, 3);
  measureOutageRecovery(1'900);
  std::printf("  at rest: %d watches of 10 s, %.1f reads/s; %d changes a day: "
              "%.2f writes/s, %.1f watch answers/s\n",
              Watchers, Watchers / 10.0, ChangesPerDay,
              ChangesPerDay / SecondsPerDay,
              Watchers * ChangesPerDay / SecondsPerDay);
}

} // namespace amaranthhoist
