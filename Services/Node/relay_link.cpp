#include "relay_link.h"

#include "PeerMessages/peer_messages.h"
#include "StateSpread/spread_tree.h"
#include "StateSpread/watch_duty.h"
#include "state_server.h"

namespace amaranthhoist {

/// Time between two polls. On its longest way a change passes a watcher's
/// pause, a relay's poll and another one, 0.9 s together; it must be in force
/// within 2.5 s.
static constexpr duration PollPeriod = std::chrono::milliseconds(400);
/// Of a relay, of which there are few.
static constexpr duration RelayPollPeriod = std::chrono::milliseconds(200);
/// A source answers within a round trip between the farthest regions, and the
/// time that a small machine needs to make its answer.
static constexpr duration PollTime = std::chrono::milliseconds(700);
/// After an answer that was no use the next source is asked at once, so that a
/// region whose watchers can't reach the store finds fresh state within a few
/// trips. But for so many times only: nobody has any while the store is away.
static constexpr std::size_t QuickTries = 8;
static constexpr duration QuickPoll = std::chrono::milliseconds(50);
/// After so many answers from others the regular ones are tried again.
static constexpr int AnswersBeforeReturn = 10;

relay_link::relay_link(node &Node, beliefs &Beliefs)
    : Node(Node), Beliefs(Beliefs), Caller(Node, {}) {}

void relay_link::start(bool OwnCallsAreInVain) {
  if (IsRunning && IsBlind == OwnCallsAreInVain)
    return;
  stop();
  IsRunning = true;
  IsBlind = OwnCallsAreInVain;
  Misses = 0;
  SourceName.clear();
  poll();
}

void relay_link::stop() {
  IsRunning = false;
  Node.Loop.cancel(NextPoll);
  Caller.abandon();
}

/// The seeds stand for sources while nobody is listed, as at the very first
/// start.
void relay_link::chooseSource() {
  auto Sources = regularSources(Node.Fleet);
  // The whole order takes a look at all instances.
  if (IsBlind || Misses >= Sources.size())
    Sources = sourcesInOrder(Node.Fleet, IsBlind);
  if (!Sources.empty()) {
    const fleet_member &Source = *Sources[Misses % Sources.size()];
    setSource(Source.Name, Source.Control);
    return;
  }
  std::vector<std::string> Seeds = Node.Settings.Seeds;
  std::erase(Seeds, Node.Settings.Listen.Control);
  const std::size_t At = Misses + stableHash(Node.Settings.Instance);
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
  Caller.setServer(Control);
  Node.Log.write(log_kind::Belief, "relay_source", {{"peer", Name}},
                 Node.Loop.now());
}

void relay_link::pollSoon() {
  // Never straight on: the caller is still at the end of its last call.
  Node.Loop.cancel(NextPoll);
  NextPoll = Node.Loop.after(QuickPoll, [this] {
    NextPoll = 0;
    poll();
  });
}

void relay_link::poll() {
  const bool IsRelay = ownRole(Node.Fleet) == spread_role::Relay;
  NextPoll = Node.Loop.after(IsRelay ? RelayPollPeriod : PollPeriod, [this] {
    NextPoll = 0;
    poll();
  });
  // A slow answer may take longer than a period.
  if (Caller.isBusy())
    return;
  chooseSource();
  if (SourceName.empty())
    return;
  Caller.call("GET", changesQuestion(Node, Beliefs.cache()), {}, PollTime,
              [this](const store_answer &Answer) { take(Answer); });
}

void relay_link::take(const store_answer &Answer) {
  auto Changes = Answer.Status == 200 ? decodeChanges(Answer.Body)
                                      : std::optional<cache_changes>();
  if (Changes)
    AnsweredAt = Node.Loop.now();
  if (!Changes || Changes->Age > OldState) {
    if (++Misses <= QuickTries)
      pollSoon();
    return;
  }
  // From a source that isn't a regular one the way back is tried sometimes.
  const bool IsRegular = Misses < regularSources(Node.Fleet).size() || IsBlind;
  if (!IsRegular && ++FurtherAnswers >= AnswersBeforeReturn) {
    Misses = 0;
    FurtherAnswers = 0;
  }
  Beliefs.notePeer(Changes->ListIsSure);
  FreshAt = Node.Loop.now() - Changes->Age;
  for (kind_changes &Kind : Changes->Kinds)
    Beliefs.take(std::move(Kind));
}

} // namespace amaranthhoist
