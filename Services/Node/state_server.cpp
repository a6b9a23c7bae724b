#include "state_server.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr const char *ContentType = "application/octet-stream";
/// Status when this instance can't serve a full snapshot now.
static constexpr int StatusUnavailable = 503;

std::string changesRequest(const node &Node, const object_cache &Known) {
  std::string Text = cat(ChangesPath, "?known=");
  bool KnowsNothing = true;
  for (std::uint64_t Revision : knownRevisions(Known)) {
    append(Text, Revision, ",");
    KnowsNothing = KnowsNothing && Revision == 0;
  }
  if (KnowsNothing)
    append(Text, "&domain=", Node.Settings.FailureDomain,
           "&region=", Node.Settings.Region,
           "&control=", Node.Settings.Listen.Control,
           "&peer=", Node.Settings.Listen.Peers);
  return Text;
}

static known_revisions parseKnownRevisions(std::string_view Query) {
  known_revisions Known{};
  const std::string Value = queryValue(Query, "known");
  const auto Texts = split(Value, ',');
  for (std::size_t Index = 0; Index < Known.size() && Index < Texts.size();
       ++Index)
    Known[Index] = parseNumber<std::uint64_t>(Texts[Index]).value_or(0);
  return Known;
}

state_server::state_server(node &Node, const replicated_state &State,
                           std::function<duration()> StateAge)
    : Node(Node), State(State), StateAge(std::move(StateAge)),
      HandOut(makeSnapshotThrottle(Node.Settings.LinkMbps, Node.Loop.now())) {}

cache_changes state_server::responseHead() const {
  cache_changes Head;
  Head.Age = StateAge();
  Head.ListIsComplete = State.isTargetListComplete();
  return Head;
}

small_response state_server::handleQuery(std::string_view Query) {
  const known_revisions Known = parseKnownRevisions(Query);
  const bool IsNew = std::all_of(Known.begin(), Known.end(),
                                 [](std::uint64_t At) { return At == 0; });
  if (IsNew)
    return serveNewInstance(Query);
  cache_changes Changes = responseHead();
  Changes.Kinds = changesSince(State.cache(), Known).Kinds;
  Node.Metrics.incrementCounter("amaranthhoist_state_polls_answered_total");
  return {200, ContentType, encodeChanges(Changes)};
}

const packed_kinds &state_server::fullSnapshot() {
  const known_revisions At = knownRevisions(State.cache());
  if (At != SnapshotRevisions) {
    FullSnapshot = packKinds(changesSince(State.cache(), {}).Kinds);
    SnapshotRevisions = At;
  }
  return FullSnapshot;
}

small_response state_server::serveNewInstance(std::string_view Query) {
  const snapshot_requester Asker{
      queryValue(Query, "domain"), queryValue(Query, "region"),
      queryValue(Query, "control"), queryValue(Query, "peer")};
  cache_changes Head = responseHead();
  if (!State.hasFullState()) {
    recordWaiting(HandOut, Asker);
    return {StatusUnavailable, ContentType, encodeChanges(Head, {})};
  }
  const packed_kinds &Kinds = fullSnapshot();
  if (!mayServeSnapshot(HandOut, Asker, Kinds.Bytes.size(), Node.Loop.now())) {
    Head.Sources = referralsFor(HandOut, Asker);
    Node.Metrics.incrementCounter("amaranthhoist_whole_lists_referred_total");
    return {StatusUnavailable, ContentType, encodeChanges(Head, {})};
  }
  Node.Metrics.incrementCounter("amaranthhoist_whole_lists_handed_out_total");
  return {200, ContentType, encodeChanges(Head, Kinds)};
}

duration state_server::timeToHandOut(std::size_t Lists) {
  return amaranthhoist::snapshotSendTime(HandOut, Lists,
                                         fullSnapshot().Bytes.size());
}

std::vector<std::string> state_server::popWaiting() {
  std::vector<std::string> Addresses;
  for (const snapshot_requester &Waiting : HandOut.Waiting)
    Addresses.push_back(Waiting.Peer);
  HandOut.Waiting.clear();
  return Addresses;
}

} // namespace amaranthhoist
