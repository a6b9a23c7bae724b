#include "replicated_state.h"

#include "codec.h"
#include "quota_link.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr duration HousekeepingPeriod = std::chrono::milliseconds(150);

/// How long the objects that a restored store lacks, or has again, stay as they
/// were. Backend servers write again within two seconds, as after an outage;
/// operators have the time by which an outage stretches their bounds at most;
/// an instance counts as removed after the same time as a dead one.
static constexpr duration TargetDeferral = std::chrono::milliseconds(2'200);
static constexpr duration OperatorDeferral = std::chrono::seconds(6);
static constexpr duration InstanceDeferral = std::chrono::seconds(30);

static duration deferralOf(object_kind Kind) {
  switch (Kind) {
  case object_kind::Target:
    return TargetDeferral;
  case object_kind::Instance:
    return InstanceDeferral;
  case object_kind::Configuration:
  case object_kind::Evacuation:
    return OperatorDeferral;
  }
  return OperatorDeferral;
}

replicated_state::replicated_state(node &Node) : Node(Node) {
  applySettings();
  Node.Loop.runEvery(HousekeepingPeriod, [this] { runMaintenance(); });
}

void replicated_state::applySettings() {
  Trust.ServerHeartbeat = Node.Settings.Bounds.ServerHeartbeat;
}

void replicated_state::runMaintenance() {
  applyDeferred();
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

void replicated_state::onStoreResponse() {
  recordStoreResponse(Trust, Node.Loop.now());
}

void replicated_state::onStoreOutage() {
  recordStoreOutage(Trust, Node.Loop.now());
}

void replicated_state::onPeerListState(const cache_changes &Changes) {
  recordPeerView(Trust, Changes.ListIsComplete, Changes.ContactAge,
                 Node.Loop.now());
}

std::optional<duration> replicated_state::storeContactAge() const {
  if (!Trust.LastContact)
    return std::nullopt;
  return Node.Loop.now() - *Trust.LastContact;
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

bool replicated_state::update(kind_changes Changes) {
  const bool IsFull = Changes.IsFull;
  const auto Index = static_cast<std::size_t>(Changes.Kind);
  const object_cache::kind_state &Held = Cache.Kinds[Index];
  const std::uint64_t EraBefore = Held.Era;
  const bool HadFullState = Held.HasFullState;
  text_set RemovedBefore;
  if (Changes.Era > EraBefore)
    RemovedBefore = removedNames(Held);
  if (!applyChanges(Cache, Changes)) {
    logRejected(Changes);
    return false;
  }
  if (HadFullState && Held.Era != EraBefore)
    beginEra(Changes, RemovedBefore);
  else
    reconcileDeferred(Deferred[Index], Changes);
  applyAll(Changes.Kind, Changes.Changes);
  // An empty full list is the first one of a new fleet.
  if (Changes.Kind == object_kind::Instance && IsFull &&
      Changes.Changes.empty())
    applyInstances();
  if (!Node.HasFullState && hasFullState()) {
    Node.HasFullState = true;
    OnFullState();
  }
  if (IsFull)
    Node.Log.write(
        log_kind::ClusterState, "listed",
        {{"kind", platform::encodeKind(Changes.Kind)},
         {"objects", static_cast<std::int64_t>(Changes.Changes.size())},
         {"revision", static_cast<std::int64_t>(Changes.AtRevision)},
         {"sure", isTargetListComplete()}},
        Node.Loop.now());
  return true;
}

void replicated_state::beginEra(kind_changes &Changes,
                                const text_set &RemovedBefore) {
  const instant Now = Node.Loop.now();
  const auto Index = static_cast<std::size_t>(Changes.Kind);
  deferUnconfirmed(Deferred[Index], Changes, RemovedBefore,
                   Now + deferralOf(Changes.Kind));
  if (Changes.Kind == object_kind::Target)
    recordStoreRestored(Trust, Now);
  Node.Log.write(
      log_kind::ClusterState, "store_restored",
      {{"kind", platform::encodeKind(Changes.Kind)},
       {"era", static_cast<std::int64_t>(Cache.Kinds[Index].Era)},
       {"revision", static_cast<std::int64_t>(Changes.AtRevision)},
       {"deferred", static_cast<std::int64_t>(Deferred[Index].Changes.size())}},
      Now);
}

void replicated_state::applyDeferred() {
  for (std::size_t Index = 0; Index < ObjectKinds; ++Index)
    applyAll(static_cast<object_kind>(Index),
             popDeferred(Deferred[Index], Node.Loop.now()));
}

void replicated_state::applyAll(object_kind Kind,
                                std::span<const object_change> Changes) {
  for (const object_change &Change : Changes)
    apply(Kind, Change);
  if (Kind == object_kind::Instance && !Changes.empty())
    applyInstances();
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
    if (!Change.IsDeleted && platform::isConfigurationInForce(Change.Name))
      applyConfigurationText(Change.Text);
    return;
  case object_kind::Target:
    applyTarget(Change);
    return;
  case object_kind::Evacuation:
    applyEvacuation(Change);
    return;
  case object_kind::Instance:
    applyInstance(Change);
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
  account_directory Former;
  if (Node.Steering.Routes)
    Former = Node.Steering.Routes->Accounts;
  const bool IsNew =
      applyConfiguration(Node.Steering, std::move(*Configuration));
  if (IsNew) {
    ConfigurationAppliedAt = Node.Loop.now();
    logRevokedKeys(Former);
  }
  Node.Log.write(log_kind::ClusterState,
                 IsNew ? "configuration_applied" : "configuration_kept",
                 {{"version", static_cast<std::int64_t>(Version)},
                  {"routes", static_cast<std::int64_t>(Routes)}},
                 Node.Loop.now());
}

void replicated_state::logRevokedKeys(const account_directory &Former) {
  const account_directory &Current = Node.Steering.Routes->Accounts;
  for (const auto &[Digest, Index] : Former.ByKey)
    if (!findAccount(Current, Digest))
      Node.Log.write(log_kind::ClusterState, "key_revoked",
                     {{"account", Former.Accounts[Index].Name},
                      {"key", keyName(Digest)},
                      {"version", configurationVersion(Node)}},
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

void replicated_state::applyInstance(const object_change &Change) {
  Instances.erase(Change.Name);
  if (Change.IsDeleted)
    return;
  auto Member = platform::decodeMember(Change.Text);
  if (Member)
    Instances.emplace(Change.Name, std::move(*Member));
  else
    logUnreadable(object_kind::Instance, Change.Name, Member.error().Message);
}

void replicated_state::applyInstances() {
  std::vector<fleet_member> Members;
  Members.reserve(Instances.size());
  for (const auto &[Name, Member] : Instances)
    Members.push_back(Member);
  std::vector<coordinator_candidate> Candidates;
  Candidates.reserve(Members.size());
  for (const fleet_member &Member : Members)
    Candidates.push_back(
        {Member.Name, Member.FailureDomain, Member.Region, Member.Processor});
  Node.Quotas->onInstances(Candidates);
  setFleet(Node.Fleet, std::move(Members));
  Node.Steering.Instances = instanceHashes(Node.Fleet);
  Node.Log.write(
      log_kind::ClusterState, "instances_known",
      {{"others", static_cast<std::int64_t>(Node.Fleet.Members.size())}},
      Node.Loop.now());
}

} // namespace amaranthhoist
