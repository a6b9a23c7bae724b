#include "state_bootstrap.h"

#include "PeerMessages/peer_messages.h"
#include "state_server.h"

#include <algorithm>

namespace amaranthhoist {

/// Interval at which a new instance looks for a source to ask. An announced
/// address waits half of it on average, less than the response of the nearest
/// peer takes on a small machine.
static constexpr duration TickPeriod = std::chrono::milliseconds(20);
/// Time without a response after which another instance is asked: three round
/// trips between regions (70 ms) and the pause of a small machine that packs
/// its lists.
static constexpr duration StateRequestTimeout = std::chrono::milliseconds(500);

state_bootstrap::state_bootstrap(node &Node, replicated_state &State)
    : Node(Node), State(State), AnnouncedConnection(Node, {}),
      SeedConnection(Node, {}) {}

void state_bootstrap::start() {
  Learning = startBootstrap({Node.Settings.Listen.Control, Node.Settings.Seeds,
                             Node.Settings.LinkMbps,
                             stableHash(Node.Settings.Instance)},
                            Node.Loop.now());
  tick();
}

void state_bootstrap::onSourceAnnounced(const std::string &Control) {
  if (!State.hasFullState() && Control != Node.Settings.Listen.Control)
    addSource(Learning, Control);
}

bool state_bootstrap::mayAskStore() const {
  return amaranthhoist::mayListStore(Learning, Node.Loop.now());
}

void state_bootstrap::tick() {
  NextTick = 0;
  if (State.hasFullState()) {
    AnnouncedConnection.abandon();
    SeedConnection.abandon();
    return;
  }
  if (!AnnouncedConnection.isBusy())
    if (const auto Control = popSource(Learning))
      requestState(AnnouncedConnection, *Control);
  if (!SeedConnection.isBusy())
    if (const auto Control = nextSeed(Learning, Node.Loop.now()))
      requestState(SeedConnection, *Control);
  NextTick = Node.Loop.runAfter(TickPeriod, [this] { tick(); });
}

void state_bootstrap::requestState(store_connection &Connection,
                                   const std::string &Control) {
  Connection.setServer(Control);
  Connection.call("GET", changesRequest(Node, State.cache()), {},
                  StateRequestTimeout,
                  [this, Control](const store_response &Response) {
                    handleResponse(Response, Control);
                  });
}

void state_bootstrap::handleResponse(const store_response &Response,
                                     const std::string &Control) {
  if (Response.Status == 0 || State.hasFullState())
    return;
  auto Changes = decodeChanges(Response.Body);
  if (!Changes) {
    Node.Log.write(log_kind::ClusterState, "state_unreadable",
                   {{"from", Control}}, Node.Loop.now());
    return;
  }
  for (const std::string &Other : Changes->Sources)
    onSourceAnnounced(Other);
  if (Response.Status != 200) {
    if (!mayAskStore())
      postponeStoreList(Learning, Node.Loop.now());
    return;
  }
  Source = Control;
  FreshAt = Node.Loop.now() - Changes->Age;
  State.onPeerListState(*Changes);
  for (kind_changes &Kind : Changes->Kinds)
    State.update(std::move(Kind));
}

} // namespace amaranthhoist
