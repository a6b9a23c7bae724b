#include "learner.h"

#include "PeerMessages/peer_messages.h"
#include "state_server.h"

#include <algorithm>

namespace amaranthhoist {

/// A new instance looks this often for somebody to ask: an address that was
/// heard waits half of it, less than the trip to the nearest peer's answer on a
/// small machine.
static constexpr duration TickPeriod = std::chrono::milliseconds(20);
/// Silence after which another instance is asked: three trips between regions
/// and back (70 ms) and the pause of a small machine that packs its lists.
static constexpr duration AskTime = std::chrono::milliseconds(500);

learner::learner(node &Node, beliefs &Beliefs)
    : Node(Node), Beliefs(Beliefs), HeardCaller(Node, {}),
      SeedCaller(Node, {}) {}

void learner::start() {
  Learning = startLearning({Node.Settings.Listen.Control, Node.Settings.Seeds,
                            Node.Settings.LinkMbps,
                            stableHash(Node.Settings.Instance)},
                           Node.Loop.now());
  tick();
}

void learner::hear(const std::string &Control) {
  if (!Beliefs.knowsAll() && Control != Node.Settings.Listen.Control)
    hearOfSource(Learning, Control);
}

bool learner::mayAskStore() const {
  return amaranthhoist::mayAskStore(Learning, Node.Loop.now());
}

void learner::tick() {
  NextTick = 0;
  if (Beliefs.knowsAll()) {
    HeardCaller.abandon();
    SeedCaller.abandon();
    return;
  }
  if (!HeardCaller.isBusy())
    if (const auto Control = takeHeard(Learning))
      ask(HeardCaller, *Control);
  if (!SeedCaller.isBusy())
    if (const auto Control = takeSeed(Learning, Node.Loop.now()))
      ask(SeedCaller, *Control);
  NextTick = Node.Loop.after(TickPeriod, [this] { tick(); });
}

void learner::ask(store_caller &Caller, const std::string &Control) {
  Caller.setServer(Control);
  Caller.call(
      "GET", changesQuestion(Node, Beliefs.cache()), {}, AskTime,
      [this, Control](const store_answer &Answer) { take(Answer, Control); });
}

void learner::take(const store_answer &Answer, const std::string &Control) {
  if (Answer.Status == 0 || Beliefs.knowsAll())
    return;
  auto Changes = decodeChanges(Answer.Body);
  if (!Changes) {
    Node.Log.write(log_kind::Belief, "state_unreadable", {{"from", Control}},
                   Node.Loop.now());
    return;
  }
  for (const std::string &Other : Changes->Sources)
    hear(Other);
  if (Answer.Status != 200) {
    if (!mayAskStore())
      noteSignOfLife(Learning, Node.Loop.now());
    return;
  }
  Source = Control;
  FreshAt = Node.Loop.now() - Changes->Age;
  Beliefs.notePeer(Changes->ListIsSure);
  for (kind_changes &Kind : Changes->Kinds)
    Beliefs.take(std::move(Kind));
}

} // namespace amaranthhoist
