#include "relay_link.h"

#include "Fleet/relays.h"
#include "PeerMessages/peer_messages.h"

namespace amaranthhoist {

/// Time between two polls. A change passes the watcher's pause and one poll on
/// its way, 0.7 s together, well under the 2.5 s in which it must be in force.
static constexpr duration PollPeriod = std::chrono::milliseconds(400);
/// A source answers within a round trip between the farthest regions, and some
/// time for its own work.
static constexpr duration PollTime = std::chrono::milliseconds(350);
/// State older than this at its source is no use: another source is asked.
static constexpr duration OldState = std::chrono::milliseconds(1'500);

relay_link::relay_link(node &Node, beliefs &Beliefs,
                       std::function<duration()> OwnAge)
    : Node(Node), Beliefs(Beliefs), OwnAge(std::move(OwnAge)),
      Caller(Node, {}) {}

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

std::string relay_link::answer(std::uint64_t ForIncarnation,
                               std::uint64_t Since) const {
  cache_changes Changes = changesSince(Beliefs.cache(), ForIncarnation, Since);
  Changes.Age = OwnAge();
  Changes.ListIsSure = Beliefs.listIsSure();
  return encodeChanges(Changes);
}

/// The region's watchers first, then everybody, one after the other.
void relay_link::chooseSource() {
  auto Sources = watchers(Node.Fleet);
  std::erase(Sources, &Node.Fleet.Own);
  const auto Further = furtherSources(Node.Fleet);
  Sources.insert(Sources.end(), Further.begin(), Further.end());
  if (Sources.empty()) {
    SourceName.clear();
    return;
  }
  const fleet_member &Source = *Sources[Misses % Sources.size()];
  if (Source.Name == SourceName)
    return;
  SourceName = Source.Name;
  Incarnation = 0;
  Sequence = 0;
  Caller.setServer(Source.Peer);
  Node.Log.write(log_kind::Belief, "relay_source", {{"peer", SourceName}},
                 Node.Loop.now());
}

void relay_link::nextSource() { ++Misses; }

void relay_link::poll() {
  chooseSource();
  NextPoll = Node.Loop.after(PollPeriod, [this] {
    NextPoll = 0;
    Caller.abandon();
    poll();
  });
  if (SourceName.empty())
    return;
  Caller.call("GET",
              cat("/v1/changes?incarnation=", Incarnation,
                  "&sequence=", Sequence),
              {}, PollTime,
              [this](const store_answer &Answer) { take(Answer); });
}

void relay_link::take(const store_answer &Answer) {
  auto Changes = Answer.Status == 200
                     ? decodeChanges(Answer.Body)
                     : std::optional<cache_changes>();
  if (!Changes || Changes->Age > OldState) {
    nextSource();
    return;
  }
  if (Changes->ListIsSure)
    Beliefs.clearTrouble();
  else
    Beliefs.noteTrouble();
  Incarnation = Changes->Incarnation;
  Sequence = Changes->Sequence;
  FreshAt = Node.Loop.now() - Changes->Age;
  for (kind_changes &Kind : Changes->Kinds)
    Beliefs.take(std::move(Kind));
}

} // namespace amaranthhoist
