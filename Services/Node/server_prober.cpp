#include "server_prober.h"

#include "target_pool.h"

namespace amaranthhoist {

static constexpr duration TickPeriod = std::chrono::milliseconds(25);

server_prober::server_prober(node &Node, target_pool &Pool)
    : Node(Node), Pool(Pool) {}

void server_prober::onPathChange(path_change Change, const target &Target) {
  if (Change == path_change::None)
    return;
  if (Change != path_change::Suspected)
    Node.Log.write(
        log_kind::ClusterState,
        Change == path_change::Impaired ? "servers_unreachable"
                                        : "servers_reachable",
        {{"service", Target.Entry.Service}, {"server", Target.Entry.Id}},
        Node.Loop.now());
  // A request on a connection that has gone silent would last until its
  // deadline.
  if (Change == path_change::Impaired)
    Pool.closeIdle(Target.Entry.Service);
  if (NextTick == 0)
    NextTick = Node.Loop.runAfter(duration::zero(), [this] { tick(); });
}

void server_prober::tick() {
  NextTick = 0;
  if (!needsTrials(Node.Steering.Reachability))
    return;
  NextTick = Node.Loop.runAfter(TickPeriod, [this] { tick(); });
  for (const target *Target :
       popDueTrials(Node.Steering.Reachability, Node.Steering.Targets,
                    stableHash(Node.Settings.Instance), Node.Loop.now()))
    if (!Trials.contains(Target->Serial))
      begin(*Target);
}

void server_prober::begin(const target &Target) {
  Node.Metrics.incrementCounter("amaranthhoist_path_trials_total");
  const auto OnEnd = [this, Serial = Target.Serial, Id = Target.Entry.Id](
                         bool IsReached) { finish(Serial, Id, IsReached); };
  auto &Trial = Trials[Target.Serial];
  Trial = std::make_unique<connect_trial>(Node.Loop, OnEnd);
  if (!Trial->begin(Target.Entry.Address))
    finish(Target.Serial, Target.Entry.Id, /*IsReached=*/false);
}

void server_prober::finish(std::uint64_t Serial, const std::string &Id,
                           bool IsReached) {
  const auto Trial = Trials.find(Serial);
  // The trial's own code may still be on the stack.
  Node.Loop.retire(std::move(Trial->second));
  Trials.erase(Trial);
  const auto Found = Node.Steering.Targets.ById.find(Id);
  if (Found == Node.Steering.Targets.ById.end() ||
      Found->second->Serial != Serial)
    return;
  target &Target = *Found->second;
  if (IsReached)
    recordConnected(Target);
  onPathChange(recordTrial(Node.Steering.Reachability, Node.Steering.Targets,
                           Target, IsReached, Node.Loop.now()),
               Target);
}

} // namespace amaranthhoist
