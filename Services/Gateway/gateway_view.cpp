// Applies changes of the platform's objects to the gateway daemon, and reports
// its state.

#include "gateway_daemon.h"

#include "Logging/logging.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace amaranthhoist {

static gateway_settings nodeSettings(const instance_settings &Settings,
                                     const std::string &Site,
                                     std::int64_t Incarnation) {
  gateway_settings Node;
  Node.Id = gatewayNodeId(Settings.Instance, Site, Incarnation);
  Node.FailureDomain = Settings.FailureDomain;
  Node.Queue.MaxPerCustomer =
      static_cast<std::size_t>(Settings.Gateway.QueuePerCustomer);
  Node.Queue.MaxTotal = static_cast<std::size_t>(Settings.Gateway.QueueTotal);
  Node.Keys.MaxKeys = static_cast<std::size_t>(Settings.Gateway.MaxKeys);
  Node.MaxBackendDeadline =
      std::chrono::milliseconds(Settings.Gateway.MaxWorkMs);
  Node.Budget.ReclaimDelay = Node.MaxBackendDeadline + Node.CompletionMargin +
                             4 * Node.Budget.LoanLease;
  return Node;
}

static std::vector<target_settings> targetsOf(const object_view &View,
                                              const std::string &Site) {
  const active_drains Drains = activeDrains(View);
  std::vector<target_settings> Targets;
  for (const item *Item : itemsOf(View, kinds::Target)) {
    result<target_settings> Target = parseTarget(Item->Value);
    if (!Target || Target->Site != Site)
      continue;
    const bool Drained = std::find(Drains.Targets.begin(), Drains.Targets.end(),
                                   Target->Name) != Drains.Targets.end();
    Target->Draining = Target->Draining || Drained;
    Targets.push_back(std::move(*Target));
  }
  return Targets;
}

peers_changed gateway_daemon::peersOf(const std::string &Site,
                                      const object_view &View,
                                      const std::set<std::string> &Down) const {
  peers_changed Peers;
  for (const item *Item : itemsOf(View, kinds::Gateway)) {
    const result<daemon_record> Record = parseDaemon(Item->Value);
    if (!Record || Record->Instance == Settings.Instance ||
        Down.contains(Item->Key))
      continue;
    for (const std::string &Served : Record->Sites) {
      const std::string Id =
          gatewayNodeId(Record->Instance, Served, Item->Version);
      Peers.Witnesses.push_back(Id);
      if (Served == Site)
        Peers.Peers.push_back(Id);
    }
  }
  return Peers;
}

void gateway_daemon::applyView(const view_change &Change) {
  const object_view &View = Change.View;
  const bool GatewaysChanged =
      Change.touches(kinds::Gateway) || Change.DownChanged;
  if (GatewaysChanged) {
    // The address of an unregistered gateway is kept until its object's
    // tombstone is removed: the gateway waits for the return of its loans, and
    // without an address the return would be dropped. Messages contain the
    // incarnation, so a later incarnation is not affected.
    std::erase_if(Addresses, [&](const auto &Entry) {
      return !View.Items.contains(objectKey(kinds::Gateway, Entry.first));
    });
    for (const item *Item : itemsOf(View, kinds::Gateway))
      if (const auto Record = parseDaemon(Item->Value))
        Addresses[Record->Instance] = {Record->Address, Item->Version};
  }
  // The incarnation is 0 before the registration and, for sites that are
  // already served, after its end: a gateway that shuts down gives up its share
  // by a conditional update, which would fail forever on a record that others
  // have changed since.
  const std::int64_t Incarnation = Control.incarnation();
  const bool DrainsChanged = Change.touches(kinds::Drain);
  const bool TargetsChanged = Change.touches(kinds::Target) || DrainsChanged;
  for (const std::string &Site : Settings.Gateway.Sites) {
    auto Item = View.Items.find(objectKey(kinds::Site, Site));
    if (Item == View.Items.end() || Item->second.Deleted)
      continue;
    // A new site receives the complete current state.
    const bool Fresh = !Shards.contains(Site);
    if (Fresh && Incarnation == 0)
      continue;
    node_shard &Shard = shardFor(Site, Incarnation);
    if (Fresh || TargetsChanged || Change.touches(kinds::Site))
      if (const auto Parsed = parseSite(Item->second.Value))
        step(Shard, site_changed{*Parsed, targetsOf(View, Site)});
    if (Fresh || GatewaysChanged)
      step(Shard, peersOf(Site, View, Change.Down));
    if (Fresh || GatewaysChanged || Change.touches(kinds::Pool))
      applyPool(Shard, Site, View);
    if (Fresh || DrainsChanged)
      applyDrains(Shard, Site, View);
  }
}

node_shard &gateway_daemon::shardFor(const std::string &Site,
                                     std::int64_t Incarnation) {
  auto Found = Shards.find(Site);
  if (Found != Shards.end())
    return *Found->second;
  auto Shard =
      std::make_unique<node_shard>(Loop, [this, Site](gateway_action &Action) {
        perform(*Shards.at(Site), Action);
      });
  Shard->Node = makeGateway(nodeSettings(Settings, Site, Incarnation));
  logLine(log_level::Info, "serving site",
          {{"site", Site}, {"node", Shard->Node.Settings.Id}});
  const std::lock_guard Guard(ShardsLock);
  return *(Shards[Site] = std::move(Shard));
}

void gateway_daemon::applyPool(node_shard &Shard, const std::string &Site,
                               const object_view &View) {
  auto Pool = View.Items.find(objectKey(kinds::Pool, Site));
  if (Pool == View.Items.end())
    return;
  const auto Record = parsePool(Pool->second.Value, Pool->second.Version);
  if (!Record) {
    logLine(log_level::Error, "pool record can't be read",
            {{"site", Site}, {"reason", Record.error().Message}});
    return;
  }
  step(Shard, record_received{*Record});
  for (const auto &[Holder, Row] : Record->Shares)
    if (isProvedDead(View, Holder))
      step(Shard, holder_dead{Holder});
}

void gateway_daemon::applyDrains(node_shard &Shard, const std::string &Site,
                                 const object_view &View) {
  const active_drains Drains = activeDrains(View);
  const auto Contains = [](const std::vector<std::string> &Names,
                           const std::string &Name) {
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  };
  const bool Draining = Contains(Drains.Sites, Site) ||
                        Contains(Drains.Instances, Settings.Instance);
  step(Shard, drain_changed{Draining || ShuttingDown, ShuttingDown});
}

/// Whether this gateway probes the target. Exactly one gateway probes each
/// target, since a probe costs a target several milliseconds.
static bool isProber(const gateway_node &Node, const std::string &Target) {
  const std::uint64_t Own = stableHash(Target, stableHash(Node.Settings.Id));
  for (const std::string &Peer : Node.Peers)
    if (stableHash(Target, stableHash(Peer)) > Own)
      return false;
  return true;
}

void gateway_daemon::probeTargets() {
  struct probe {
    node_shard *Shard;
    std::string Target;
    std::string Address;
  };
  std::vector<probe> Probes;
  {
    const std::lock_guard Guard(ShardsLock);
    for (auto &[Site, Shard] : Shards) {
      const std::lock_guard NodeGuard(Shard->Lock);
      for (const auto &[Name, Target] : Shard->Node.Targets)
        if (!Target.Draining && isProber(Shard->Node, Name))
          Probes.push_back({Shard.get(), Name, Target.Address});
    }
  }
  http_client Client;
  for (const probe &Probe : Probes)
    if (probeReportsDraining(Client, Probe.Address, Settings.Gateway.ProbePath))
      step(*Probe.Shard, target_draining{Probe.Target});
}

void gateway_daemon::logPendingShutdown() {
  const std::lock_guard Guard(ShardsLock);
  for (const auto &[Site, Shard] : Shards) {
    const std::lock_guard NodeGuard(Shard->Lock);
    const gateway_node &Node = Shard->Node;
    if (hasShutDown(Node))
      continue;
    const budget_holder &Budget = Node.Budget;
    const auto Count = [](const auto &Held) {
      return std::to_string(Held.size());
    };
    logLine(log_level::Info, "still leaving",
            {{"site", Site},
             {"work", Count(Node.Work)},
             {"work_of_unknown_end", Count(Node.UnconfirmedWork)},
             {"loans_given", Count(Budget.LoansGiven)},
             {"loans_taken", Count(Budget.LoansTaken)},
             {"loans_returning", Count(Budget.LoansReturning)},
             {"record_version", std::to_string(Budget.Record.Version)},
             {"update_under_way", Budget.Pending ? "yes" : "no"}});
  }
}

std::vector<service_offer> gateway_daemon::offers() {
  std::vector<service_offer> Offers;
  const instant Now = currentInstant();
  for (auto &[Site, Shard] : Shards) {
    const std::lock_guard Guard(Shard->Lock);
    std::set<std::string> Services;
    for (const auto &[Name, Target] : Shard->Node.Targets)
      Services.insert(Target.Service);
    for (const std::string &Service : Services)
      Offers.push_back({Service, makeOffer(Shard->Node, Service, Now)});
  }
  return Offers;
}

static nlohmann::ordered_json targetStatus(const target_state &Target) {
  return {{"service", Target.Service},
          {"slots", Target.Slots},
          {"in_flight", Target.InFlight},
          {"leaving", Target.Draining},
          {"failures", Target.Failures}};
}

static nlohmann::ordered_json resourceStatus(const gateway_node &Node,
                                             const std::string &Resource,
                                             const share &Share) {
  return {
      {"granted", Share.Granted},
      {"lent", Share.Lent},
      {"used", Share.Used},
      {"available", availableUnits(Node.Budget, Resource, currentInstant())}};
}

std::string gateway_daemon::statusJson() {
  using json = nlohmann::ordered_json;
  json Nodes = json::array();
  for (auto &[Site, Shard] : Shards) {
    const std::lock_guard Guard(Shard->Lock);
    const gateway_node &Node = Shard->Node;
    json Entry = {{"node", Node.Settings.Id},
                  {"site", Site},
                  {"region", Node.Site.Region},
                  {"cap_mw", Node.Site.CapMilliwatts},
                  {"idle_mw", Node.Site.IdleMilliwatts},
                  {"guard_mw", Node.Site.GuardMilliwatts},
                  {"draining", Node.Draining},
                  {"in_progress", workInProgress(Node)},
                  {"waiting", Node.Work.size()},
                  {"keys", Node.Owned.Keys.size()},
                  {"pool_version", Node.Budget.Record.Version}};
    for (const auto &[Name, Target] : Node.Targets)
      Entry["targets"][Name] = targetStatus(Target);
    for (const auto &[Resource, Share] : Node.Budget.Shares)
      Entry["budget"][Resource] = resourceStatus(Node, Resource, Share);
    Nodes.push_back(std::move(Entry));
  }
  return json{{"instance", Settings.Instance}, {"nodes", Nodes}}.dump();
}

} // namespace amaranthhoist
