#include "relay_link.h"

#include "PeerMessages/peer_messages.h"
#include "StateSpread/spread_tree.h"
#include "StateSpread/store_duty.h"
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
/// Tries with the regular sources before others are asked.
static constexpr std::size_t TriesWithRegular = 4;
/// After so many answers from others the regular ones are tried again.
static constexpr int AnswersBeforeReturn = 10;

relay_link::relay_link(node &Node, beliefs &Beliefs)
    : Node(Node), Beliefs(Beliefs), Caller(Node, {}) {}

void relay_link::start() {
  if (IsRunning)
    return;
  IsRunning = true;
  Misses = 0;
  SourceName.clear();
  poll();
}

void relay_link::stop() {
  IsRunning = false;
  Node.Loop.cancel(NextPoll);
  Caller.abandon();
}

/// The regular sources by turns, then everybody, one after the other; the seeds
/// while nobody is listed, as at the very first start.
void relay_link::chooseSource() {
  auto Sources = regularSources(Node.Fleet);
  std::size_t At = Misses;
  if (Sources.empty() || Misses >= TriesWithRegular) {
    // Each from a place of its own, so that not all ask the same one.
    At += stableHash(Node.Settings.Instance);
    Sources = furtherSources(Node.Fleet);
  }
  if (!Sources.empty()) {
    const fleet_member &Source = *Sources[At % Sources.size()];
    setSource(Source.Name, Source.Control);
    return;
  }
  std::vector<std::string> Seeds = Node.Settings.Seeds;
  std::erase(Seeds, Node.Settings.Listen.Control);
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
    ++Misses;
    return;
  }
  if (Misses < TriesWithRegular || ++FurtherAnswers >= AnswersBeforeReturn) {
    Misses = 0;
    FurtherAnswers = 0;
  }
  Beliefs.notePeer(Changes->ListIsSure);
  FreshAt = Node.Loop.now() - Changes->Age;
  for (kind_changes &Kind : Changes->Kinds)
    Beliefs.take(std::move(Kind));
}

} // namespace amaranthhoist
