#include "kind_follower.h"

#include "codec.h"

namespace amaranthhoist {

/// The longest that a watch waits at the store. A store that is silent for less
/// than the time between two probes may forget a watch unnoticed; the node is
/// blind until the watch times out, which has to be over within the 6.5 s in
/// which nodes are allowed to settle after trouble. Each call costs.
static constexpr duration WatchWait = std::chrono::seconds(4);
/// Instances are known from each other's probes as well.
static constexpr duration InstanceWatchWait = std::chrono::seconds(15);
/// Longer than the store's slowest answers while it is in trouble.
static constexpr duration ListTime = std::chrono::milliseconds(1'500);
/// Between the list and the first watch: a node that needn't watch stops
/// before it.
static constexpr duration AfterList = std::chrono::milliseconds(250);
/// For an answer to come back after the store's wait.
static constexpr duration WatchMargin = std::chrono::milliseconds(1'000);

kind_follower::kind_follower(node &Node, beliefs &Beliefs, object_kind Kind,
                             std::function<void()> Failed)
    : Node(Node), Beliefs(Beliefs), Kind(Kind), Failed(std::move(Failed)),
      Caller(Node, Node.Settings.Store) {}

kind_follower::~kind_follower() { stop(); }

void kind_follower::startOrRestart() {
  if (IsRunning) {
    if (Caller.abandon()) {
      listAnew(Watch);
      step();
    }
    return;
  }
  IsRunning = true;
  // What came from others meanwhile needn't be asked for again.
  const auto &Known = Beliefs.cache().Kinds[static_cast<std::size_t>(Kind)];
  if (MustList) {
    listAnew(Watch);
    MustList = false;
  } else if (Known.HasState && Known.AtRevision > Watch.Revision) {
    Watch.Revision = Known.AtRevision;
    Watch.Next = store_verb::Watch;
  }
  step();
}

void kind_follower::stop() {
  IsRunning = false;
  Node.Loop.cancel(NextStep);
  Caller.abandon();
}

void kind_follower::pause() {
  MustList = MustList || IsRunning;
  stop();
}

void kind_follower::step() {
  const store_request Request = nextRequest(Watch);
  const bool IsWatch = Request.Verb == store_verb::Watch;
  const duration Wait =
      Kind == object_kind::Instance ? InstanceWatchWait : WatchWait;
  Caller.call(
      "GET", platform::encodeRequestPath(Kind, Request, Wait), {},
      IsWatch ? Wait + WatchMargin : ListTime,
      [this, IsWatch](const store_answer &Answer) { take(Answer, IsWatch); });
}

void kind_follower::stepAfter(duration Delay) {
  // Never straight on: the caller is still at the end of its last call.
  NextStep = Node.Loop.after(Delay, [this] {
    NextStep = 0;
    step();
  });
}

void kind_follower::take(const store_answer &Answer, bool IsWatch) {
  if (Answer.Status == 410)
    return retry(store_failure::HistoryGone);
  if (Answer.Status == 429 || Answer.Status == 503)
    return retry(store_failure::Refused);
  if (Answer.Status == 0)
    return retry(store_failure::Silent);
  if (Answer.Status != 200)
    return retry(store_failure::Garbled);
  const bool IsSound =
      IsWatch ? takeBatchFrom(Answer.Body) : takePageFrom(Answer.Body);
  if (!IsSound)
    return retry(store_failure::Garbled);
  noteAnswered();
  stepAfter(Wait);
}

bool kind_follower::takePageFrom(std::string_view Body) {
  auto Page = platform::decodePage(Body);
  if (!Page)
    return false;
  Wait = AfterList;
  auto *All = takePage(Watch, std::move(*Page));
  if (!All)
    return true;
  kind_changes Changes{Kind, Watch.Revision, /*IsFull=*/true, {}};
  for (stored_object &Object : *All)
    Changes.Changes.push_back({std::move(Object.Name), false, Object.Revision,
                               std::move(Object.Text)});
  All->clear();
  Beliefs.take(std::move(Changes));
  return true;
}

bool kind_follower::takeBatchFrom(std::string_view Body) {
  auto Batch = platform::decodeBatch(Body);
  if (!Batch)
    return false;
  Wait = takeBatch(Watch, *Batch);
  kind_changes Changes{Kind, Watch.Revision, /*IsFull=*/false, {}};
  for (stored_change &Change : Batch->Changes)
    Changes.Changes.push_back(
        {std::move(Change.Object.Name), Change.IsDeleted,
         Change.Object.Revision,
         Change.IsDeleted ? std::string() : std::move(Change.Object.Text)});
  Beliefs.take(std::move(Changes));
  return true;
}

void kind_follower::noteAnswered() {
  if (IsAway)
    Node.Log.write(log_kind::Belief, "store_regained",
                   {{"kind", platform::encodeKind(Kind)}}, Node.Loop.now());
  IsAway = false;
}

void kind_follower::retry(store_failure Failure) {
  const duration Delay = takeFailure(Watch, Failure);
  if (Failure != store_failure::HistoryGone) {
    if (!IsAway)
      Node.Log.write(log_kind::Belief, "store_lost",
                     {{"kind", platform::encodeKind(Kind)},
                      {"failure", static_cast<std::int64_t>(Failure)}},
                     Node.Loop.now());
    IsAway = true;
    Failed();
  }
  stepAfter(Delay);
}

} // namespace amaranthhoist
