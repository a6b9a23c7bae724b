#include "state_server.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr const char *ContentType = "application/octet-stream";
/// Status when this instance can't serve a full snapshot now.
static constexpr int StatusUnavailable = 503;

std::string changesRequest(const node &Node, const object_cache &Known) {
  std::string Text = cat(ChangesPath, "?known=");
  bool KnowsNothing = true;
  std::string Eras;
  for (const store_position &Position : knownPositions(Known)) {
    append(Text, Position.Revision, ",");
    append(Eras, Position.Era, ",");
    KnowsNothing = KnowsNothing && Position.Revision == 0;
  }
  append(Text, "&eras=", Eras);
  if (KnowsNothing)
    append(Text, "&domain=", Node.Settings.FailureDomain,
           "&region=", Node.Settings.Region,
           "&control=", Node.Settings.Listen.Control,
           "&peer=", Node.Settings.Listen.Peers);
  return Text;
}

/// Parses a query parameter with one number for each kind.
static std::array<std::uint64_t, ObjectKinds>
parseNumbers(std::string_view Value) {
  std::array<std::uint64_t, ObjectKinds> Numbers{};
  const auto Texts = split(Value, ',');
  for (std::size_t Index = 0; Index < Numbers.size() && Index < Texts.size();
       ++Index)
    Numbers[Index] = parseNumber<std::uint64_t>(Texts[Index]).value_or(0);
  return Numbers;
}

/// Parses the positions that a query states. An instance of an earlier build
/// states no eras; it is served as if they were those of \p Own.
static known_positions parseKnownPositions(std::string_view Query,
                                           const known_positions &Own) {
  const std::string Eras = queryValue(Query, "eras");
  const auto EraNumbers = parseNumbers(Eras);
  const auto Revisions = parseNumbers(queryValue(Query, "known"));
  known_positions Known{};
  for (std::size_t Index = 0; Index < Known.size(); ++Index)
    Known[Index] = {Eras.empty() ? Own[Index].Era : EraNumbers[Index],
                    Revisions[Index]};
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
  Head.ContactAge = State.storeContactAge();
  return Head;
}

small_response state_server::handleQuery(std::string_view Query) {
  const known_positions Known =
      parseKnownPositions(Query, knownPositions(State.cache()));
  const bool IsNew =
      std::all_of(Known.begin(), Known.end(),
                  [](const store_position &At) { return At.Revision == 0; });
  if (IsNew)
    return serveNewInstance(Query);
  cache_changes Changes = responseHead();
  Changes.Kinds = changesSince(State.cache(), Known).Kinds;
  Node.Metrics.incrementCounter("amaranthhoist_state_polls_answered_total");
  return {200, ContentType, encodeChanges(Changes)};
}

const packed_kinds &state_server::fullSnapshot() {
  const known_positions At = knownPositions(State.cache());
  if (At != SnapshotPositions) {
    FullSnapshot = packKinds(changesSince(State.cache(), {}).Kinds);
    SnapshotPositions = At;
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
