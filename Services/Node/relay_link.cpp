#include "relay_link.h"

#include "Fleet/relays.h"
#include "HttpConnection/small_server.h"
#include "PeerMessages/peer_messages.h"

namespace amaranthhoist {

/// Time between two polls. A change passes the watcher's pause and one poll on
/// its way, 0.7 s together, well under the 2.5 s in which it must be in force.
static constexpr duration PollPeriod = std::chrono::milliseconds(400);
/// A source answers within a round trip between the farthest regions, and the
/// time that a small machine needs to make a whole list.
static constexpr duration PollTime = std::chrono::milliseconds(700);
/// Tries with the watchers before others are asked.
static constexpr std::size_t TriesWithWatchers = 4;
/// After so many answers from others the watchers are tried again.
static constexpr int AnswersBeforeReturn = 10;
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

std::string relay_link::answer(std::string_view Query) const {
  known_revisions Known{};
  const std::string Value = queryValue(Query, "known");
  const auto Texts = split(Value, ',');
  for (std::size_t Index = 0; Index < Known.size() && Index < Texts.size();
       ++Index)
    Known[Index] = parseNumber<std::uint64_t>(Texts[Index]).value_or(0);
  cache_changes Changes = changesSince(Beliefs.cache(), Known);
  Changes.Age = OwnAge();
  Changes.ListIsSure = Beliefs.listIsSure();
  return encodeChanges(Changes);
}

/// The region's watchers by turns, then everybody, one after the other.
void relay_link::chooseSource() {
  auto Sources = watchers(Node.Fleet);
  std::erase(Sources, &Node.Fleet.Own);
  std::size_t At = Misses;
  if (Sources.empty() || Misses >= TriesWithWatchers) {
    At = Misses >= TriesWithWatchers ? Misses - TriesWithWatchers : Misses;
    Sources = furtherSources(Node.Fleet);
  }
  const std::string Before = SourceName;
  if (Sources.empty()) {
    chooseSeed();
    return;
  }
  const fleet_member &Source = *Sources[At % Sources.size()];
  SourceName = Source.Name;
  if (SourceName == Before)
    return;
  Caller.setServer(Source.Control);
  Node.Log.write(log_kind::Belief, "relay_source", {{"peer", SourceName}},
                 Node.Loop.now());
}

/// Without the list of instances there are those that sent a datagram, which
/// know more than a node that has just started, and those in the settings,
/// which may be as new as this one or gone.
void relay_link::chooseSeed() {
  std::vector<std::string> Seeds = Node.Fleet.Sources;
  Seeds.insert(Seeds.end(), Node.Settings.Seeds.begin(),
               Node.Settings.Seeds.end());
  std::erase(Seeds, Node.Settings.Listen.Control);
  SourceName = Seeds.empty() ? "" : Seeds[Misses % Seeds.size()];
  if (!SourceName.empty())
    Caller.setServer(SourceName);
}

static std::string encodeKnown(const object_cache &Cache) {
  std::string Text = "/v1/changes?known=";
  for (std::uint64_t Revision : knownRevisions(Cache))
    append(Text, Revision, ",");
  return Text;
}

void relay_link::poll() {
  NextPoll = Node.Loop.after(PollPeriod, [this] {
    NextPoll = 0;
    poll();
  });
  // A slow answer may take longer than a period.
  if (Caller.isBusy())
    return;
  chooseSource();
  if (SourceName.empty())
    return;
  Caller.call("GET", encodeKnown(Beliefs.cache()), {}, PollTime,
              [this](const store_answer &Answer) { take(Answer); });
}

void relay_link::take(const store_answer &Answer) {
  auto Changes = Answer.Status == 200 ? decodeChanges(Answer.Body)
                                      : std::optional<cache_changes>();
  if (!Changes || Changes->Age > OldState) {
    ++Misses;
    return;
  }
  if (Misses < TriesWithWatchers || ++FurtherAnswers >= AnswersBeforeReturn) {
    Misses = 0;
    FurtherAnswers = 0;
  }
  Beliefs.notePeer(Changes->ListIsSure);
  FreshAt = Node.Loop.now() - Changes->Age;
  for (kind_changes &Kind : Changes->Kinds)
    Beliefs.take(std::move(Kind));
}

} // namespace amaranthhoist
