#include "relay_link.h"

#include "PeerMessages/peer_messages.h"
#include "StateSpread/watch_duty.h"
#include "state_server.h"

#include <algorithm>

namespace amaranthhoist {

relay_link::relay_link(node &Node, replicated_state &State)
    : Node(Node), State(State), Connections{{{Node, {}}, {Node, {}}}},
      Direct(Node, {}) {}

void relay_link::start(bool StoreIsUnresponsive) {
  if (IsRunning && Polls.IsDisconnected == StoreIsUnresponsive)
    return;
  stop();
  IsRunning = true;
  Polls = {};
  Polls.IsDisconnected = StoreIsUnresponsive;
  SourceName.clear();
  poll();
}

void relay_link::stop() {
  IsRunning = false;
  Node.Loop.cancel(NextPoll);
  for (store_connection &Connection : Connections)
    Connection.abandon();
}

void relay_link::schedulePoll() {
  Node.Loop.cancel(NextPoll);
  if (!IsRunning)
    return;
  // Never polled directly: the connection may be finishing its last call.
  const duration Delay =
      std::max(nextPollTime(Polls) - Node.Loop.now(), duration::zero());
  NextPoll = Node.Loop.runAfter(Delay, [this] {
    NextPoll = 0;
    poll();
  });
}

void relay_link::poll() {
  const auto Start =
      startDuePoll(Polls, Node.Fleet, Node.Settings.Seeds, Node.Loop.now());
  if (Start) {
    logSource(Start->Source);
    store_connection &Connection = Connections[Start->Slot];
    Connection.abandon();
    Connection.setServer(Start->Control);
    Connection.call("GET", changesRequest(Node, State.cache()), {}, PollTimeout,
                    [this, Slot = Start->Slot](const store_response &Response) {
                      const bool IsFresh =
                          applyResponse(Response, Polls.InFlight[Slot].Source);
                      recordPollEnd(Polls, Node.Fleet, Slot, IsFresh,
                                    Node.Loop.now());
                      schedulePoll();
                    });
  }
  schedulePoll();
}

void relay_link::logSource(const std::string &Name) {
  if (SourceName == Name)
    return;
  SourceName = Name;
  Node.Log.write(log_kind::ClusterState, "relay_source", {{"peer", Name}},
                 Node.Loop.now());
}

void relay_link::query(const std::string &Control) {
  if (Direct.isBusy())
    return;
  Direct.setServer(Control);
  Direct.call("GET", changesRequest(Node, State.cache()), {}, PollTimeout,
              [this, Control](const store_response &Response) {
                applyResponse(Response, Control);
              });
}

bool relay_link::applyResponse(const store_response &Response,
                               const std::string &Source) {
  auto Changes = Response.Status == 200 ? decodeChanges(Response.Body)
                                        : std::optional<cache_changes>();
  if (!Changes)
    return false;
  RespondedAt = Node.Loop.now();
  const instant WasFreshAt = RespondedAt - Changes->Age;
  const bool IsStale = Changes->Age > StaleStateAge;
  if (!IsStale)
    State.onPeerListState(*Changes);
  // Also from a stale source, which may have later state than this instance.
  bool IsApplied = true;
  for (kind_changes &Kind : Changes->Kinds)
    IsApplied = State.update(std::move(Kind)) && IsApplied;
  // A source that holds an earlier era of the store has nothing fresh.
  if (!IsStale && IsApplied) {
    FreshAt = std::max(FreshAt, WasFreshAt);
    FreshSource = Source;
    return true;
  }
  // The source has found out that what it stated before was older.
  if (Source == FreshSource)
    FreshAt = std::min(FreshAt, WasFreshAt);
  return false;
}

} // namespace amaranthhoist
