#include "state_server.h"

#include <algorithm>

namespace amaranthhoist {

static constexpr const char *ContentType = "application/octet-stream";
/// This instance has no whole lists to give now.
static constexpr int NotNow = 503;

std::string changesQuestion(const node &Node, const object_cache &Known) {
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

static known_revisions readKnown(std::string_view Query) {
  known_revisions Known{};
  const std::string Value = queryValue(Query, "known");
  const auto Texts = split(Value, ',');
  for (std::size_t Index = 0; Index < Known.size() && Index < Texts.size();
       ++Index)
    Known[Index] = parseNumber<std::uint64_t>(Texts[Index]).value_or(0);
  return Known;
}

state_server::state_server(node &Node, const beliefs &Beliefs,
                           std::function<duration()> OwnAge)
    : Node(Node), Beliefs(Beliefs), OwnAge(std::move(OwnAge)),
      HandOut(makeHandOut(Node.Settings.LinkMbps, Node.Loop.now())) {}

cache_changes state_server::head() const {
  cache_changes Head;
  Head.Age = OwnAge();
  Head.ListIsSure = Beliefs.listIsSure();
  return Head;
}

small_answer state_server::answer(std::string_view Query) {
  const known_revisions Known = readKnown(Query);
  const bool IsNew = std::all_of(Known.begin(), Known.end(),
                                 [](std::uint64_t At) { return At == 0; });
  if (IsNew)
    return answerNewInstance(Query);
  cache_changes Changes = head();
  Changes.Kinds = changesSince(Beliefs.cache(), Known).Kinds;
  Node.Metrics.count("amaranthhoist_state_polls_answered_total");
  return {200, ContentType, encodeChanges(Changes)};
}

const packed_kinds &state_server::wholeLists() {
  const known_revisions At = knownRevisions(Beliefs.cache());
  if (At != WholeListsAt) {
    WholeLists = packKinds(changesSince(Beliefs.cache(), {}).Kinds);
    WholeListsAt = At;
  }
  return WholeLists;
}

small_answer state_server::answerNewInstance(std::string_view Query) {
  const new_instance Asker{
      queryValue(Query, "domain"), queryValue(Query, "region"),
      queryValue(Query, "control"), queryValue(Query, "peer")};
  cache_changes Head = head();
  if (!Beliefs.knowsAll()) {
    noteWaiting(HandOut, Asker);
    return {NotNow, ContentType, encodeChanges(Head, {})};
  }
  const packed_kinds &Kinds = wholeLists();
  if (!mayHandOut(HandOut, Asker, Kinds.Bytes.size(), Node.Loop.now())) {
    Head.Sources = referralsFor(HandOut, Asker);
    Node.Metrics.count("amaranthhoist_whole_lists_referred_total");
    return {NotNow, ContentType, encodeChanges(Head, {})};
  }
  Node.Metrics.count("amaranthhoist_whole_lists_handed_out_total");
  return {200, ContentType, encodeChanges(Head, Kinds)};
}

duration state_server::timeToHandOut(std::size_t Lists) {
  return amaranthhoist::timeToHandOut(HandOut, Lists,
                                      wholeLists().Bytes.size());
}

std::vector<std::string> state_server::takeWaiting() {
  std::vector<std::string> Addresses;
  for (const new_instance &Waiting : HandOut.Waiting)
    Addresses.push_back(Waiting.Peer);
  HandOut.Waiting.clear();
  return Addresses;
}

} // namespace amaranthhoist
