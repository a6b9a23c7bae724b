#include "store_sync.h"

#include "StateSpread/spread_tree.h"
#include "codec.h"

namespace amaranthhoist {

/// Timeout of a write.
static constexpr duration WriteTimeout = std::chrono::milliseconds(1'500);
static constexpr duration UnconfirmedProbePeriod =
    std::chrono::milliseconds(300);
/// Time for which a check waits for changes: none, since the store states at
/// once whether there are any.
static constexpr duration CheckWait = std::chrono::milliseconds(1);
/// Time for a watch to deliver a change that a check has shown: its pause after
/// earlier changes, and a round trip.
static constexpr duration MissedChangeTime = std::chrono::milliseconds(500);
/// Longer than the store's responses take while it is slow.
static constexpr duration ProbeTimeout = std::chrono::milliseconds(700);
static constexpr duration DecisionPeriod = std::chrono::milliseconds(150);
/// Maximum time a node that has just started holds requests: the lists take two
/// round trips over the longest links, 170 ms, and as much again when all
/// instances start together.
static constexpr duration BootstrapTimeout = std::chrono::milliseconds(400);
/// An instance that was down for this long counts as removed; its object is
/// deleted. Far longer than a restart takes.
static constexpr duration DeadInstanceTimeout = std::chrono::seconds(30);

store_sync::store_sync(node &Node,
                       std::function<void(const std::string &)> AnnounceState)
    : Node(Node), AnnounceState(std::move(AnnounceState)), State(Node),
      Followers{
          {{Node, State, object_kind::Configuration, [this] { probeNow(); }},
           {Node, State, object_kind::Target, [this] { probeNow(); }},
           {Node, State, object_kind::Evacuation, [this] { probeNow(); }},
           {Node, State, object_kind::Instance, [this] { probeNow(); }}}},
      Bootstrap(Node, State), Relay(Node, State),
      Server(Node, State, [this] { return age(); }), Registration(Node, State),
      Prober(Node, Node.Settings.Store), Cleaner(Node, Node.Settings.Store),
      Move(Node, [this](const auto &Address) { onStoreMoved(Address); }) {}

void store_sync::start() {
  const instant Now = Node.Loop.now();
  Node.BootstrapDeadline = Now + BootstrapTimeout;
  State.notifyFullState(
      [this] { Node.Loop.runAfter(duration::zero(), [this] { decide(); }); });
  Bootstrap.start();
  decide();
  Node.Loop.runAfter(Bootstrap.storeFallbackAt() - Now, [this] { decide(); });
  Node.Loop.runEvery(DecisionPeriod, [this] { decide(); });
}

void store_sync::onStoreMoved(const std::string &Address) {
  Node.Settings.Store = Address;
  for (kind_follower &Follower : Followers)
    Follower.setServer(Address);
  Registration.setServer(Address);
  Prober.setServer(Address);
  Cleaner.setServer(Address);
  // What followers wait for may have changed at the former address.
  probe();
}

instant store_sync::freshAt() const {
  return std::max(
      {Freshness.ConfirmedAt, Relay.freshAt(), Bootstrap.freshAt()});
}

bool store_sync::isCurrent() const {
  return UsesStore && !IsStoreUnconfirmed && State.hasFullState() &&
         isConfirmed(Freshness, Node.Loop.now());
}

duration store_sync::age() const {
  return isCurrent() ? duration::zero() : Node.Loop.now() - freshAt();
}

static std::string_view roleName(distribution_role Role) {
  switch (Role) {
  case distribution_role::Watcher:
    return "watcher";
  case distribution_role::Relay:
    return "relay";
  case distribution_role::Leaf:
    return "leaf";
  }
  return "leaf";
}

store_status store_sync::status() const {
  return {UsesStore ? "store" : Relay.sourceName(),
          roleName(ownRole(Node.Fleet)),
          age(),
          State.configurationAge(),
          HadProbeTimeout,
          State.isTargetListComplete()};
}

void store_sync::decide() {
  if (!State.hasFullState())
    return decideDuringBootstrap();
  if (!HasFullState)
    onBootstrapFinished();
  const instant Now = Node.Loop.now();
  renewSlackLease(Node.Steering.RetryBudget, Now - age(), Now);
  updateInformed();
  const watch_inputs View{
      updatePlace(Place, Node.Fleet).Rank,
      age(),
      Now - std::max({BootstrappedAt, RespondedAt, Relay.respondedAt()}),
      Now - BootstrappedAt,
      UsesStore,
      WasListed};
  setUsesStore(shouldWatchStore(Duty, View, Now));
  if (!isCurrent())
    Relay.start(/*StoreIsUnresponsive=*/UsesStore);
  else
    Relay.stop();
  if (UsesStore && View.Rank && *View.Rank < WatchersPerRegion)
    removeDeadInstances();
  Registration.maintain();
  queryLaterVersion();
}

/// Time since \p Membership's instance was last isolated.
static std::optional<duration> sinceIsolation(const membership &Membership,
                                              instant Now) {
  if (Membership.IsIsolated)
    return duration::zero();
  if (!Membership.IsolationEndedAt)
    return std::nullopt;
  return Now - *Membership.IsolationEndedAt;
}

void store_sync::updateInformed() {
  const instant Now = Node.Loop.now();
  const membership &Membership = Node.Fleet.Membership;
  const informed_inputs Inputs{
      age(), Now - BootstrappedAt, Node.Fleet.Members.size(),
      downMembers(Membership).size(), sinceIsolation(Membership, Now)};
  const bool IsUninformed = isUninformed(Inputs);
  if (Node.Steering.IsUninformed == IsUninformed)
    return;
  Node.Steering.IsUninformed = IsUninformed;
  Node.Steering.UninformedSince = Node.Loop.now();
  Node.Log.write(
      log_kind::ClusterState,
      IsUninformed ? "state_unconfirmed" : "state_confirmed",
      {{"age_ms", Inputs.StateAge.count() / 1'000},
       {"up_ms", Inputs.SinceBootstrap.count() / 1'000},
       {"others", static_cast<std::int64_t>(Inputs.OtherInstances)},
       {"others_down", static_cast<std::int64_t>(Inputs.InstancesDown)}},
      Node.Loop.now());
}

void store_sync::decideDuringBootstrap() {
  if (Bootstrap.mayAskStore())
    setUsesStore(true);
}

/// Called when the node has full state for the first time. Notifies other
/// instances that it can serve that state (StateSpread).
void store_sync::onBootstrapFinished() {
  HasFullState = true;
  BootstrappedAt = Node.Loop.now();
  WasListed = Registration.isListed();
  const bool FromStore = Bootstrap.source().empty();
  // The lists may have been stale by permission.
  if (FromStore)
    Node.Loop.runAfter(duration::zero(), [this] { probeNow(); });
  Node.Log.write(log_kind::ClusterState, "state_learned",
                 {{"from", FromStore ? "store" : Bootstrap.source()},
                  {"age_ms", FromStore ? -1 : age().count() / 1'000}},
                 Node.Loop.now());
  for (const std::string &Address : Server.popWaiting())
    AnnounceState(Address);
  std::size_t AnnouncedCount = 0;
  for (const std::string &Name : membersToNotify(Node.Fleet, FromStore))
    Node.Loop.runAfter(Server.timeToHandOut(AnnouncedCount++),
                       [this, Peer = Node.Fleet.Members.at(Name).Peer] {
                         AnnounceState(Peer);
                       });
}

void store_sync::startFollowers() {
  for (kind_follower &Follower : Followers)
    Follower.startOrRestart();
}

void store_sync::setUsesStore(bool IsWanted) {
  if (IsWanted == UsesStore)
    return;
  UsesStore = IsWanted;
  HadProbeTimeout = false;
  // Calls to an unresponsive store would hang undetected, so it has to respond
  // to a probe first. Without full state there is no pending watch to lose, and
  // the lists don't have to wait for a first probe: with 35 ms one way to the
  // store a node has the state in force 170 ms after its start instead of 330
  // ms.
  IsStoreUnconfirmed = UsesStore && State.hasFullState();
  if (UsesStore)
    probe();
  if (UsesStore && !IsStoreUnconfirmed)
    startFollowers();
  if (!UsesStore)
    for (kind_follower &Follower : Followers)
      Follower.stop();
  Node.Log.write(log_kind::ClusterState,
                 UsesStore ? "asks_store_itself" : "asks_peers", {},
                 Node.Loop.now());
}

/// Called when a call failed. Probes the store immediately instead of waiting
/// for the next probe, which would delay changes in its watchers' region by a
/// second.
void store_sync::probeNow() {
  if (UsesStore && !IsStoreUnconfirmed && !Prober.isBusy())
    probe();
}

void store_sync::probe() {
  Node.Loop.cancel(NextProbe);
  if (!UsesStore)
    return;
  NextProbe = Node.Loop.runAfter(IsStoreUnconfirmed ? UnconfirmedProbePeriod
                                                    : CheckPeriod,
                                 [this] { probe(); });
  // A slow response may take longer than the period while the store is
  // unconfirmed.
  if (!Prober.isBusy())
    sendProbe();
}

void store_sync::sendProbe() {
  Node.Metrics.incrementCounter("amaranthhoist_store_probes_total");
  // A read that may be stale costs a tenth of a check, and shows as well
  // whether the store responds.
  if (IsStoreUnconfirmed || !State.hasFullState()) {
    Prober.call("GET", platform::encodeProbePath(object_kind::Evacuation), {},
                ProbeTimeout, [this](const store_response &Response) {
                  checkEra(Response.Era);
                  handleProbeResult(Response.Status == 200);
                  if (State.hasFullState())
                    Node.Loop.runAfter(duration::zero(),
                                       [this] { probeNow(); });
                });
    return;
  }
  const store_request Check{
      store_verb::Watch, {}, configurationPosition().Revision};
  Prober.call(
      "GET",
      platform::encodeRequestPath(object_kind::Configuration, Check, CheckWait),
      {}, ProbeTimeout,
      [this, SentAt = Node.Loop.now()](const store_response &Response) {
        checkEra(Response.Era);
        handleProbeResult(handleCheck(Response, SentAt));
      });
}

store_position store_sync::configurationPosition() const {
  return State.cache()
      .Kinds[static_cast<std::size_t>(object_kind::Configuration)]
      .position();
}

bool store_sync::handleCheck(const store_response &Response, instant SentAt) {
  // The history since the held revision is gone, so the check says nothing.
  if (Response.Status == 410) {
    onMissedChange();
    return true;
  }
  if (Response.Status != 200)
    return false;
  const auto Changes =
      decodeBatchOf(object_kind::Configuration, Response.Body, Response.Era);
  if (!Changes) {
    Node.Log.write(log_kind::ClusterState, "check_unreadable", {},
                   Node.Loop.now());
    return true;
  }
  // A list follows, and confirms the state of the new era.
  if (Response.Era != configurationPosition().Era)
    return true;
  if (!Changes->Changes.empty()) {
    State.update(*Changes);
    onMissedChange();
  }
  recordCheck(Freshness, SentAt, Node.Loop.now());
  return true;
}

void store_sync::onMissedChange() {
  const kind_follower &Follower =
      Followers[static_cast<std::size_t>(object_kind::Configuration)];
  const instant NoticedAt = Node.Loop.now();
  Node.Loop.runAfter(MissedChangeTime, [this, &Follower, NoticedAt] {
    if (isCurrent() && Follower.respondedAt() < NoticedAt)
      restartFollowers();
  });
}

/// The store may have dropped all watches, if it dropped one.
void store_sync::restartFollowers() {
  Node.Log.write(log_kind::ClusterState, "watch_missed_change", {},
                 Node.Loop.now());
  startFollowers();
}

void store_sync::onPeerVersion(const std::string &Control,
                               std::int64_t Version) {
  recordPeerVersion(Node.ConfigurationLag, configurationVersion(Node), Version,
                    Control, Node.Loop.now());
}

void store_sync::queryLaterVersion() {
  const std::int64_t Own = configurationVersion(Node);
  configuration_lag &Lag = Node.ConfigurationLag;
  const auto Control = popDueQuery(Lag, Own, Node.Loop.now());
  if (!Control)
    return;
  Node.Log.write(log_kind::ClusterState, "configuration_behind",
                 {{"version", Own},
                  {"later", Lag.LatestVersion},
                  {"from", *Control},
                  {"age_ms", age().count() / 1'000}},
                 Node.Loop.now());
  Relay.query(*Control);
}

void store_sync::checkEra(std::uint64_t Era) {
  if (Era == 0 || Era == StatedEra)
    return;
  StatedEra = Era;
  Move.onStoreEra(Era);
  Node.Log.write(log_kind::ClusterState, "store_era",
                 {{"era", static_cast<std::int64_t>(Era)}}, Node.Loop.now());
  for (kind_follower &Follower : Followers)
    Follower.onStoreEra(Era);
}

void store_sync::handleProbeResult(bool IsAnswered) {
  if (!UsesStore)
    return;
  if (!IsAnswered) {
    if (!HadProbeTimeout)
      Node.Log.write(log_kind::ClusterState, "store_silent", {},
                     Node.Loop.now());
    IsStoreUnconfirmed = true;
    HadProbeTimeout = true;
    // An unresponsive store charges for each call that it doesn't respond to;
    // the probes alone detect its recovery.
    for (kind_follower &Follower : Followers)
      Follower.pause();
    State.onStoreOutage();
    decide();
    return;
  }
  RespondedAt = Node.Loop.now();
  if (IsStoreUnconfirmed)
    onStoreResponsive();
  State.onStoreResponse();
}

/// Called when the store responds, for the first time or again.
void store_sync::onStoreResponsive() {
  IsStoreUnconfirmed = false;
  if (HadProbeTimeout) {
    Node.Log.write(log_kind::ClusterState, "store_answers", {},
                   Node.Loop.now());
    State.onStoreOutage();
  }
  HadProbeTimeout = false;
  startFollowers();
}

/// Deletes the objects of dead instances. Nothing in the store expires by
/// itself: they would be listed, probed and counted forever.
void store_sync::removeDeadInstances() {
  const instant Now = Node.Loop.now();
  const auto &Down = downMembers(Node.Fleet.Membership);
  std::erase_if(DownSince,
                [&](const auto &Entry) { return !Down.contains(Entry.first); });
  for (const std::string &Name : Down) {
    const instant Since = DownSince.try_emplace(Name, Now).first->second;
    if (Now - Since < DeadInstanceTimeout || IsStoreUnconfirmed ||
        Cleaner.isBusy())
      continue;
    DownSince[Name] = Now;
    Node.Log.write(log_kind::ClusterState, "instance_gone", {{"peer", Name}},
                   Now);
    Cleaner.call(
        "DELETE",
        platform::encodeObjectPath(object_kind::Instance, Name, std::nullopt),
        {}, WriteTimeout, [](const store_response & /*Answer*/) {});
  }
}

} // namespace amaranthhoist
