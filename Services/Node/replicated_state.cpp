#include "replicated_state.h"

#include "codec.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr duration HousekeepingPeriod = std::chrono::milliseconds(150);

replicated_state::replicated_state(node &Node) : Node(Node) {
  Node.Loop.runEvery(HousekeepingPeriod, [this] { runMaintenance(); });
}

void replicated_state::runMaintenance() {
  if (isTargetListComplete())
    removeMissing(Node.Steering.Targets);
  freeRetired(Node.Steering.Targets);
  logRegionSpillover();
}

void replicated_state::logRegionSpillover() {
  for (const auto &[Service, Weights] : Node.Steering.Weights) {
    double &LoggedShare = LoggedSpillover[Service];
    if (LoggedShare == Weights.Spillover.Share)
      continue;
    LoggedShare = Weights.Spillover.Share;
    Node.Log.write(log_kind::ClusterState, "region_spread",
                   {{"service", Service},
                    {"share", Weights.Spillover.Share},
                    {"occupation", Weights.Spillover.Utilization}},
                   Node.Loop.now());
  }
}

void replicated_state::onStoreOutage() {
  recordStoreOutage(Trust, Node.Loop.now());
}

void replicated_state::onPeerListState(bool ListIsSure) {
  recordPeerView(Trust, ListIsSure, Node.Loop.now());
}

duration replicated_state::configurationAge() const {
  return Node.Steering.Routes ? Node.Loop.now() - ConfigurationAppliedAt
                              : duration::zero();
}

bool replicated_state::isTargetListComplete() const {
  return isListComplete(Trust, Node.Loop.now());
}

bool replicated_state::hasFullState() const {
  return std::all_of(Cache.Kinds.begin(), Cache.Kinds.end(),
                     [](const auto &Kind) { return Kind.HasFullState; });
}

void replicated_state::update(kind_changes Changes) {
  const bool IsFull = Changes.IsFull;
  if (!applyChanges(Cache, Changes)) {
    logRejected(Changes);
    return;
  }
  for (const object_change &Change : Changes.Changes)
    apply(Changes.Kind, Change);
  // An empty full list is the first one of a new fleet.
  if (Changes.Kind == object_kind::Instance &&
      (IsFull || !Changes.Changes.empty()))
    applyInstances();
  Node.HasFullState = Node.HasFullState || hasFullState();
  if (IsFull)
    Node.Log.write(
        log_kind::ClusterState, "listed",
        {{"kind", platform::encodeKind(Changes.Kind)},
         {"objects", static_cast<std::int64_t>(Changes.Changes.size())},
         {"revision", static_cast<std::int64_t>(Changes.AtRevision)},
         {"sure", isTargetListComplete()}},
        Node.Loop.now());
}

void replicated_state::logRejected(const kind_changes &Changes) {
  const auto &Held = Cache.Kinds[static_cast<std::size_t>(Changes.Kind)];
  Node.Log.write(
      log_kind::ClusterState, "state_rejected",
      {{"kind", platform::encodeKind(Changes.Kind)},
       {"full", Changes.IsFull},
       {"objects", static_cast<std::int64_t>(Changes.Changes.size())},
       {"revision", static_cast<std::int64_t>(Changes.AtRevision)},
       {"held_revision", static_cast<std::int64_t>(Held.AtRevision)}},
      Node.Loop.now());
}

void replicated_state::apply(object_kind Kind, const object_change &Change) {
  switch (Kind) {
  case object_kind::Configuration:
    if (!Change.IsDeleted)
      applyConfigurationText(Change.Text);
    return;
  case object_kind::Target:
    applyTarget(Change);
    return;
  case object_kind::Evacuation:
    applyEvacuation(Change);
    return;
  case object_kind::Instance:
    return;
  }
}

void replicated_state::logUnreadable(object_kind Kind, std::string_view Name,
                                     std::string_view Why) {
  Node.Log.write(
      log_kind::ClusterState, "object_unreadable",
      {{"kind", platform::encodeKind(Kind)}, {"name", Name}, {"why", Why}},
      Node.Loop.now());
}

void replicated_state::applyConfigurationText(const std::string &Text) {
  auto Configuration = platform::decodeConfiguration(Text);
  if (!Configuration) {
    logUnreadable(object_kind::Configuration, {},
                  Configuration.error().Message);
    return;
  }
  const std::uint64_t Version = Configuration->Version;
  const std::size_t Routes = Configuration->Routes.size();
  const bool IsNew =
      applyConfiguration(Node.Steering, std::move(*Configuration));
  if (IsNew)
    ConfigurationAppliedAt = Node.Loop.now();
  Node.Log.write(log_kind::ClusterState,
                 IsNew ? "configuration_applied" : "configuration_kept",
                 {{"version", static_cast<std::int64_t>(Version)},
                  {"routes", static_cast<std::int64_t>(Routes)}},
                 Node.Loop.now());
}

/// Decodes an entry and checks that its address can be connected to.
static result<target_entry> decodeServer(const std::string &Text) {
  target_entry Entry = TRY(platform::decodeTarget(Text));
  TRY(parseEndpoint(Entry.Address));
  return Entry;
}

void replicated_state::applyTarget(const object_change &Change) {
  const instant Now = Node.Loop.now();
  if (Change.IsDeleted) {
    removeTarget(Node.Steering.Targets, Change.Name, isTargetListComplete());
    Node.Log.write(log_kind::ClusterState, "server_removed",
                   {{"server", Change.Name}, {"sure", isTargetListComplete()}},
                   Now);
    return;
  }
  auto Entry = decodeServer(Change.Text);
  if (!Entry) {
    // An entry that can't be decoded names no usable server, whichever writer
    // made it.
    removeTarget(Node.Steering.Targets, Change.Name, /*ListIsComplete=*/true);
    logUnreadable(object_kind::Target, Change.Name, Entry.error().Message);
    return;
  }
  upsertTarget(Node.Steering.Targets, *Entry, Now);
  Node.Log.write(
      log_kind::ClusterState, "server_listed",
      {{"server", Entry->Id},
       {"service", Entry->Service},
       {"leaving", Entry->IsDraining},
       {"cold_ms", static_cast<std::int64_t>(Entry->ColdFor.count() / 1'000)}},
      Now);
}

void replicated_state::applyEvacuation(const object_change &Change) {
  duration ColdTime{};
  if (Node.Steering.Routes)
    for (const service &Service : Node.Steering.Routes->Configuration.Services)
      ColdTime = std::max(ColdTime, Service.ColdTime);
  setEvacuated(Node.Steering.Targets, Change.Name, !Change.IsDeleted, ColdTime,
               Node.Loop.now());
  Node.Log.write(log_kind::ClusterState,
                 Change.IsDeleted ? "domain_back" : "domain_evacuated",
                 {{"failure_domain", Change.Name}}, Node.Loop.now());
}

void replicated_state::applyInstances() {
  const auto &Entries =
      Cache.Kinds[static_cast<std::size_t>(object_kind::Instance)].Entries;
  std::vector<fleet_member> Members;
  for (const auto &[Name, Entry] : Entries) {
    if (Entry.IsDeleted)
      continue;
    auto Member = platform::decodeMember(Entry.Text);
    if (Member)
      Members.push_back(std::move(*Member));
    else
      logUnreadable(object_kind::Instance, Name, Member.error().Message);
  }
  setFleet(Node.Fleet, std::move(Members));
  Node.Steering.Instances = instanceHashes(Node.Fleet);
  Node.Log.write(
      log_kind::ClusterState, "instances_known",
      {{"others", static_cast<std::int64_t>(Node.Fleet.Members.size())}},
      Node.Loop.now());
}

} // namespace amaranthhoist
