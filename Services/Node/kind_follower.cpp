#include "kind_follower.h"

#include "codec.h"

namespace amaranthhoist {

/// Maximum time a watch waits at the store. A watch that is dropped undetected
/// misses changes until then. Each call has a cost.
static constexpr duration WatchWait = std::chrono::seconds(4);
/// The same for kinds whose changes are also found otherwise: instances by the
/// probes between them, the configuration by checks.
static constexpr duration LongWatchWait = std::chrono::seconds(15);
/// Longer than the store's slowest responses during an outage.
static constexpr duration ListTimeout = std::chrono::milliseconds(1'500);
/// Delay between the list and the first watch: a node that does not have to
/// watch stops before it.
static constexpr duration DelayAfterList = std::chrono::milliseconds(250);
/// Time for a response to arrive after the store's wait.
static constexpr duration WatchMargin = std::chrono::milliseconds(1'000);

kind_follower::kind_follower(node &Node, replicated_state &State,
                             object_kind Kind, std::function<void()> OnFailure)
    : Node(Node), State(State), Kind(Kind), OnFailure(std::move(OnFailure)),
      Connection(Node, Node.Settings.Store) {}

kind_follower::~kind_follower() { stop(); }

void kind_follower::startOrRestart() {
  if (IsRunning) {
    if (Connection.abandon()) {
      restartList(Watch);
      step();
    }
    return;
  }
  IsRunning = true;
  // State received from peers in the meantime does not have to be fetched
  // again.
  const auto &Known = State.cache().Kinds[static_cast<std::size_t>(Kind)];
  if (MustList) {
    restartList(Watch);
    MustList = false;
  } else if (Known.HasFullState &&
             isLater(Known.position(), {Watch.Era, Watch.Revision})) {
    Watch.Era = Known.Era;
    Watch.Revision = Known.AtRevision;
    Watch.Next = store_verb::Watch;
  }
  step();
}

void kind_follower::setServer(const std::string &Address) {
  const bool WasBusy = Connection.isBusy();
  Connection.setServer(Address);
  if (!IsRunning || !WasBusy)
    return;
  // The pages of one list come from one address. A watch continues from its
  // revision.
  if (Watch.Next == store_verb::List)
    restartList(Watch);
  step();
}

void kind_follower::onStoreEra(std::uint64_t Era) {
  if (!IsRunning || Era <= Watch.Era || Watch.Era == 0)
    return;
  Node.Loop.cancel(NextStep);
  Connection.abandon();
  restartList(Watch);
  step();
}

void kind_follower::stop() {
  IsRunning = false;
  Node.Loop.cancel(NextStep);
  Connection.abandon();
}

void kind_follower::pause() {
  MustList = MustList || IsRunning;
  stop();
}

void kind_follower::step() {
  const store_request Request = nextRequest(Watch);
  const bool IsWatch = Request.Verb == store_verb::Watch;
  const bool IsFoundOtherwise =
      Kind == object_kind::Instance || Kind == object_kind::Configuration;
  const duration WatchTime = IsFoundOtherwise ? LongWatchWait : WatchWait;
  Connection.call("GET", platform::encodeRequestPath(Kind, Request, WatchTime),
                  {}, IsWatch ? WatchTime + WatchMargin : ListTimeout,
                  [this, IsWatch](const store_response &Response) {
                    handleResponse(Response, IsWatch);
                  });
}

void kind_follower::stepAfter(duration Delay) {
  // Never called directly: the connection is still finishing its last call.
  NextStep = Node.Loop.runAfter(Delay, [this] {
    NextStep = 0;
    step();
  });
}

void kind_follower::handleResponse(const store_response &Response,
                                   bool IsWatch) {
  if (Response.Status == 410)
    return retry(store_failure::HistoryExpired);
  if (Response.Status == 429 || Response.Status == 503)
    return retry(store_failure::Refused);
  if (Response.Status == 0)
    return retry(store_failure::NoResponse);
  if (Response.Status != 200)
    return retry(store_failure::Malformed);
  if (!acceptEra(Watch, Response.Era)) {
    stepAfter(duration::zero());
    return;
  }
  const bool IsSound =
      IsWatch ? handleBatch(Response.Body) : handlePage(Response.Body);
  if (!IsSound)
    return retry(store_failure::Malformed);
  onStoreResponse();
  stepAfter(NextDelay);
}

bool kind_follower::handlePage(std::string_view Body) {
  auto Page = platform::decodePage(Body);
  if (!Page)
    return false;
  for (const stored_object &Object : Page->Items)
    logIfUndecodable(Object);
  NextDelay = DelayAfterList;
  auto *All = applyPage(Watch, std::move(*Page));
  if (!All)
    return true;
  kind_changes Changes{Kind, Watch.Revision, /*IsFull=*/true, {}, Watch.Era};
  for (stored_object &Object : *All)
    Changes.Changes.push_back({std::move(Object.Name), false, Object.Revision,
                               std::move(Object.Text)});
  All->clear();
  State.update(std::move(Changes));
  return true;
}

static kind_changes changesIn(object_kind Kind, change_batch Batch,
                              std::uint64_t Era) {
  kind_changes Changes{Kind, Batch.AtRevision, /*IsFull=*/false, {}, Era};
  for (stored_change &Change : Batch.Changes)
    Changes.Changes.push_back(
        {std::move(Change.Object.Name), Change.IsDeleted,
         Change.Object.Revision,
         Change.IsDeleted ? std::string() : std::move(Change.Object.Text)});
  return Changes;
}

std::optional<kind_changes>
decodeBatchOf(object_kind Kind, std::string_view Body, std::uint64_t Era) {
  auto Batch = platform::decodeBatch(Body);
  if (!Batch)
    return std::nullopt;
  return changesIn(Kind, std::move(*Batch), Era);
}

bool kind_follower::handleBatch(std::string_view Body) {
  auto Batch = platform::decodeBatch(Body);
  if (!Batch)
    return false;
  for (const stored_change &Change : Batch->Changes)
    logIfUndecodable(Change.Object);
  NextDelay = applyBatch(Watch, *Batch);
  Batch->AtRevision = Watch.Revision;
  State.update(changesIn(Kind, std::move(*Batch), Watch.Era));
  return true;
}

void kind_follower::logIfUndecodable(const stored_object &Object) {
  if (Object.WhyUndecodable.empty())
    return;
  Node.Metrics.incrementCounter(
      cat("amaranthhoist_store_objects_undecodable_total{kind=\"",
          platform::encodeKind(Kind), "\"}"));
  Node.Log.write(log_kind::ClusterState, "object_undecodable",
                 {{"kind", platform::encodeKind(Kind)},
                  {"name", Object.Name},
                  {"revision", static_cast<std::int64_t>(Object.Revision)},
                  {"why", Object.WhyUndecodable}},
                 Node.Loop.now());
}

void kind_follower::onStoreResponse() {
  if (IsStoreLost)
    Node.Log.write(log_kind::ClusterState, "store_regained",
                   {{"kind", platform::encodeKind(Kind)}}, Node.Loop.now());
  IsStoreLost = false;
  RespondedAt = Node.Loop.now();
}

void kind_follower::retry(store_failure Failure) {
  const duration Delay = handleFailure(Watch, Failure);
  if (Failure != store_failure::HistoryExpired) {
    if (!IsStoreLost)
      Node.Log.write(log_kind::ClusterState, "store_lost",
                     {{"kind", platform::encodeKind(Kind)},
                      {"failure", static_cast<std::int64_t>(Failure)}},
                     Node.Loop.now());
    IsStoreLost = true;
    OnFailure();
  }
  stepAfter(Delay);
}

} // namespace amaranthhoist
