// Tests following the platform's store (paged lists, watches, expired history)
// and the changes that instances send to each other.

#include "ObjectCache/object_cache.h"
#include "PeerMessages/peer_messages.h"
#include "StoreClient/list_watch.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace amaranthhoist;

namespace {

object_change makeChange(std::string Name, std::uint64_t Revision,
                         bool IsDeleted = false) {
  return {std::move(Name), IsDeleted, Revision, IsDeleted ? "" : "{}"};
}

kind_changes changes(std::uint64_t At, bool IsFull,
                     std::vector<object_change> List) {
  return {object_kind::Target, At, IsFull, std::move(List)};
}

std::size_t countLive(const object_cache &Cache) {
  std::size_t Count = 0;
  for (const auto &[Name, Entry] :
       Cache.Kinds[static_cast<std::size_t>(object_kind::Target)].Entries)
    Count += Entry.IsDeleted ? 0 : 1;
  return Count;
}

} // namespace

// clang-format off
TEST_GROUP(Store) {};
// clang-format on

TEST(Store, WatchStartsAtRevisionOfFirstPage) {
  list_watch Watch;
  POINTERS_EQUAL(nullptr,
                 applyPage(Watch, {{{"a", 3, "{}"}}, /*HasMore=*/true, 10}));
  CHECK_EQUAL(std::string("a"), nextRequest(Watch).After);
  const auto *All = applyPage(Watch, {{{"b", 4, "{}"}}, false, 12});
  LONGS_EQUAL(2, All->size());
  CHECK(nextRequest(Watch).Verb == store_verb::Watch);
  LONGS_EQUAL(10, nextRequest(Watch).Revision);
}

// Failure: the last object of a page has no name that can be decoded, and the
// list begins again for good.
TEST(Store, ListGoesOnAfterTheLastName) {
  list_watch Watch;
  applyPage(Watch, {{{"a", 3, "{}"}, {"", 0, ""}}, /*HasMore=*/true, 10});
  CHECK_EQUAL(std::string("a"), nextRequest(Watch).After);
  const auto *All = applyPage(Watch, {{{"b", 4, "{}"}}, false, 12});
  LONGS_EQUAL(3, All->size());
}

TEST(Store, ExpiredHistoryCausesList) {
  list_watch Watch;
  applyPage(Watch, {{}, false, 10});
  CHECK(handleFailure(Watch, store_failure::HistoryExpired) ==
        duration::zero());
  CHECK(nextRequest(Watch).Verb == store_verb::List);
}

// Guards against a route that is refused 5 s after it was accepted. Watches get
// no response while a configuration is accepted, and the history is dropped; a
// watch that ended just before is restarted at its old revision and waits in
// vain. After a watch without a response the client must list instead of
// resuming from the revision.
TEST(Store, MissingResponseCausesList) {
  list_watch Watch;
  applyPage(Watch, {{}, false, 10});
  handleFailure(Watch, store_failure::NoResponse);
  CHECK(nextRequest(Watch).Verb == store_verb::List);
  applyPage(Watch, {{}, false, 12});
  handleFailure(Watch, store_failure::Refused);
  CHECK(nextRequest(Watch).Verb == store_verb::Watch);
}

TEST(Store, RetriesBackOffExponentially) {
  list_watch Watch;
  const duration First = handleFailure(Watch, store_failure::NoResponse);
  duration Last = First;
  for (int Failure = 0; Failure < 20; ++Failure)
    Last = handleFailure(Watch, store_failure::Refused);
  CHECK(First == Watch.Delays.InitialRetryDelay);
  CHECK(Last == Watch.Delays.MaxRetryDelay);
  CHECK(applyBatch(Watch, {}) == duration::zero());
  CHECK(handleFailure(Watch, store_failure::NoResponse) == First);
}

// Guards against the use of a server that was removed: a node gets the removal,
// then polls a lagging peer and must not apply that peer's older state.
TEST(Store, OlderStateIsIgnored) {
  object_cache Cache;
  kind_changes New = changes(20, true, {makeChange("a", 3)});
  CHECK(applyChanges(Cache, New));
  kind_changes Old =
      changes(15, true, {makeChange("a", 3), makeChange("b", 4)});
  CHECK_FALSE(applyChanges(Cache, Old));
  LONGS_EQUAL(1, countLive(Cache));
}

TEST(Store, FullListImpliesRemovals) {
  object_cache Cache;
  kind_changes First =
      changes(5, true, {makeChange("a", 3), makeChange("b", 4)});
  applyChanges(Cache, First);
  kind_changes Second = changes(9, true, {makeChange("b", 4)});
  CHECK(applyChanges(Cache, Second));
  LONGS_EQUAL(2, Second.Changes.size());
  CHECK(Second.Changes[1].IsDeleted);
  LONGS_EQUAL(1, countLive(Cache));
}

// Guards against small instances' links saturated by full lists. Changes are
// numbered by the store's revisions, so that a new source can continue where
// the previous one ended; if each source numbered changes itself, a new one
// would have to send the full list.
TEST(Store, AnyPeerCanServeMissingChanges) {
  std::mt19937_64 Random(5);
  object_cache One;
  object_cache Two;
  object_cache Reader;
  std::uint64_t Revision = 1;
  for (object_cache *Cache : {&One, &Two, &Reader}) {
    kind_changes Empty = changes(Revision, true, {});
    applyChanges(*Cache, Empty);
  }
  for (int Step = 0; Step < 500; ++Step) {
    ++Revision;
    const kind_changes Change =
        changes(Revision, false,
                {makeChange("o" + std::to_string(Random() % 30), Revision,
                            Random() % 3 == 0)});
    for (object_cache *Cache : {&One, &Two}) {
      kind_changes Copy = Change;
      applyChanges(*Cache, Copy);
    }
    if (Step % 7 != 0)
      continue;
    const object_cache &Source = Random() % 2 == 0 ? One : Two;
    cache_changes Missing = changesSince(Source, knownPositions(Reader));
    for (kind_changes &Kind : Missing.Kinds) {
      CHECK_FALSE(Kind.IsFull);
      CHECK(Kind.Changes.size() <= 7);
      applyChanges(Reader, Kind);
    }
    LONGS_EQUAL(countLive(Source), countLive(Reader));
  }
}

// Guards against the use of a server that was removed: a node that has missed
// the removal polls an instance that has just bootstrapped, which never had the
// server and has no tombstone of it.
TEST(Store, RemovalBeforeBootstrapReachesOthers) {
  object_cache Late;
  kind_changes First =
      changes(5, true, {makeChange("a", 3), makeChange("b", 4)});
  applyChanges(Late, First);
  object_cache Bootstrapped;
  kind_changes List = changes(9, true, {makeChange("a", 3)});
  applyChanges(Bootstrapped, List);
  for (kind_changes &Kind :
       changesSince(Bootstrapped, knownPositions(Late)).Kinds)
    CHECK(applyChanges(Late, Kind));
  LONGS_EQUAL(1, countLive(Late));
}

TEST(Store, UpToDateInstanceGetsNoChanges) {
  object_cache Cache;
  kind_changes First = changes(5, true, {makeChange("a", 3)});
  applyChanges(Cache, First);
  LONGS_EQUAL(0, changesSince(Cache, knownPositions(Cache)).Kinds.size());
}

TEST(Store, ChangesAreEncodedAndDecoded) {
  cache_changes Original;
  Original.Age = std::chrono::milliseconds(120);
  Original.ListIsComplete = false;
  Original.ContactAge = std::chrono::milliseconds(900);
  Original.Kinds.push_back(
      changes(7, true, {makeChange("a", 3), makeChange("b", 7, true)}));
  const auto Decoded = decodeChanges(encodeChanges(Original));
  CHECK(Decoded.has_value());
  CHECK(Decoded->Age == Original.Age);
  CHECK_FALSE(Decoded->ListIsComplete);
  CHECK(Decoded->ContactAge == Original.ContactAge);
  LONGS_EQUAL(1, Decoded->Kinds.size());
  LONGS_EQUAL(7, Decoded->Kinds[0].AtRevision);
  CHECK(Decoded->Kinds[0].Changes[1].IsDeleted);
  LONGS_EQUAL(3, Decoded->Kinds[0].Changes[0].Revision);
}

TEST(Store, MalformedMessagesDontCrash) {
  std::mt19937_64 Random(11);
  peer_datagram Datagram;
  Datagram.Sender = "node-1";
  Datagram.Message.Subject = "node-2";
  Datagram.Message.Updates.push_back({"node-3", member_status::Suspect, 4});
  const std::string Valid = encodeDatagram(Datagram);
  const auto Decoded = decodeDatagram(Valid);
  CHECK(Decoded.has_value());
  CHECK_EQUAL(std::string("node-3"), Decoded->Message.Updates[0].Name);
  for (int Round = 0; Round < 5'000; ++Round) {
    std::string Bytes = Valid;
    for (int Change = 0; Change < 3; ++Change)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    Bytes.resize(Random() % (Bytes.size() + 1));
    decodeDatagram(Bytes);
    decodeChanges(Bytes);
  }
}
