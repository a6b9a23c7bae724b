#include "relay_link.h"

#include "PeerMessages/peer_messages.h"
#include "StateSpread/spread_tree.h"
#include "StateSpread/watch_duty.h"
#include "state_server.h"

namespace amaranthhoist {

/// Time between two polls. On the longest path a change takes a watcher's
/// delay, a relay's poll and another poll, 0.9 s together; it must be in force
/// within 2.5 s.
static constexpr duration PollPeriod = std::chrono::milliseconds(400);
/// Poll period of a relay, of which there are few.
static constexpr duration RelayPollPeriod = std::chrono::milliseconds(200);
/// A source responds within a round trip between the farthest regions plus the
/// time that a small machine needs to build its response.
static constexpr duration PollTimeout = std::chrono::milliseconds(700);
/// After a poll without fresh state the next source is polled immediately, so
/// that a region whose watchers can't reach the store finds fresh state within
/// a few round trips. The number is bounded, since no instance has fresh state
/// while the store is unavailable.
static constexpr std::size_t MaxQuickRetries = 8;
static constexpr duration QuickPollDelay = std::chrono::milliseconds(50);
/// Number of responses from other sources after which the regular ones are
/// tried again.
static constexpr int ResponsesBeforeReturn = 10;

relay_link::relay_link(node &Node, replicated_state &State)
    : Node(Node), State(State), Connection(Node, {}) {}

void relay_link::start(bool StoreIsUnresponsive) {
  if (IsRunning && IsDisconnectedFromStore == StoreIsUnresponsive)
    return;
  stop();
  IsRunning = true;
  IsDisconnectedFromStore = StoreIsUnresponsive;
  FailedSources = 0;
  SourceName.clear();
  poll();
}

void relay_link::stop() {
  IsRunning = false;
  Node.Loop.cancel(NextPoll);
  Connection.abandon();
}

/// Uses the seeds as sources while no instance is listed, as at the very first
/// start.
void relay_link::chooseSource() {
  auto Sources = primarySources(Node.Fleet);
  // Computing the whole order visits all instances.
  if (IsDisconnectedFromStore || FailedSources >= Sources.size())
    Sources = orderedSources(Node.Fleet, IsDisconnectedFromStore);
  if (!Sources.empty()) {
    const fleet_member &Source = *Sources[FailedSources % Sources.size()];
    setSource(Source.Name, Source.Control);
    return;
  }
  std::vector<std::string> Seeds = Node.Settings.Seeds;
  std::erase(Seeds, Node.Settings.Listen.Control);
  const std::size_t At = FailedSources + stableHash(Node.Settings.Instance);
  const std::string Seed = Seeds.empty() ? "" : Seeds[At % Seeds.size()];
  setSource(Seed, Seed);
}

void relay_link::setSource(const std::string &Name,
                           const std::string &Control) {
  if (SourceName == Name)
    return;
  SourceName = Name;
  if (Name.empty())
    return;
  Connection.setServer(Control);
  Node.Log.write(log_kind::ClusterState, "relay_source", {{"peer", Name}},
                 Node.Loop.now());
}

void relay_link::pollSoon() {
  // Never called directly: the connection is still finishing its last call.
  Node.Loop.cancel(NextPoll);
  NextPoll = Node.Loop.runAfter(QuickPollDelay, [this] {
    NextPoll = 0;
    poll();
  });
}

void relay_link::poll() {
  const bool IsRelay = ownRole(Node.Fleet) == distribution_role::Relay;
  NextPoll = Node.Loop.runAfter(IsRelay ? RelayPollPeriod : PollPeriod, [this] {
    NextPoll = 0;
    poll();
  });
  // A slow response may take longer than a period.
  if (Connection.isBusy())
    return;
  chooseSource();
  if (SourceName.empty())
    return;
  Connection.call(
      "GET", changesRequest(Node, State.cache()), {}, PollTimeout,
      [this](const store_response &Response) { handleResponse(Response); });
}

void relay_link::handleResponse(const store_response &Response) {
  auto Changes = Response.Status == 200 ? decodeChanges(Response.Body)
                                        : std::optional<cache_changes>();
  if (Changes)
    RespondedAt = Node.Loop.now();
  if (!Changes || Changes->Age > StaleStateAge)
    return tryNextSource();
  // While polling a source that isn't a regular one, periodically tries to
  // return to the regular ones.
  const bool IsRegular = FailedSources < primarySources(Node.Fleet).size() ||
                         IsDisconnectedFromStore;
  if (!IsRegular && ++FallbackResponses >= ResponsesBeforeReturn) {
    FailedSources = 0;
    FallbackResponses = 0;
  }
  State.onPeerListState(*Changes);
  bool IsApplied = true;
  for (kind_changes &Kind : Changes->Kinds)
    IsApplied = State.update(std::move(Kind)) && IsApplied;
  // A source that holds an earlier era of the store has nothing fresh.
  if (!IsApplied)
    return tryNextSource();
  FreshAt = Node.Loop.now() - Changes->Age;
}

void relay_link::tryNextSource() {
  if (++FailedSources <= MaxQuickRetries)
    pollSoon();
}

} // namespace amaranthhoist
