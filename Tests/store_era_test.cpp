// Tests the order of states from different eras of the store: it came back from
// an earlier copy of itself, and assigns its revisions again.

#include "ObjectCache/deferred_changes.h"
#include "ObjectCache/object_cache.h"
#include "PeerMessages/peer_messages.h"
#include "StoreClient/list_watch.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <random>

using namespace amaranthhoist;
using std::chrono::seconds;

namespace {

constexpr auto Kind = object_kind::Target;

object_change makeChange(std::string Name, std::uint64_t Revision,
                         std::string Text = "{}") {
  return {std::move(Name), false, Revision, std::move(Text)};
}

object_change makeRemoval(std::string Name) {
  return {std::move(Name), true, 0, {}};
}

kind_changes fullList(std::uint64_t Era, std::uint64_t At,
                      std::vector<object_change> List) {
  return {Kind, At, /*IsFull=*/true, std::move(List), Era};
}

kind_changes increment(std::uint64_t Era, std::uint64_t At,
                       std::vector<object_change> List) {
  return {Kind, At, /*IsFull=*/false, std::move(List), Era};
}

bool applyTo(object_cache &Cache, kind_changes Changes) {
  return applyChanges(Cache, Changes);
}

const object_cache::kind_state &stateOf(const object_cache &Cache) {
  return Cache.Kinds[static_cast<std::size_t>(Kind)];
}

using object_texts = std::map<std::string, std::string>;

object_texts liveObjects(const object_cache &Cache) {
  object_texts Live;
  for (const auto &[Name, Entry] : stateOf(Cache).Entries)
    if (!Entry.IsDeleted)
      Live[Name] = Entry.Text;
  return Live;
}

void poll(object_cache &Reader, const object_cache &Source) {
  for (kind_changes &Changes :
       changesSince(Source, knownPositions(Reader)).Kinds)
    applyChanges(Reader, Changes);
}

} // namespace

// clang-format off
TEST_GROUP(StoreEra) {};
// clang-format on

// Failure: a watch continues in the next era and misses what was written
// between the copy and its own revision, which was assigned again.
TEST(StoreEra, WatchResponseOfNextEraCausesList) {
  list_watch Watch;
  CHECK(acceptEra(Watch, 1));
  applyPage(Watch, {{}, false, 10});
  CHECK(acceptEra(Watch, 1));
  CHECK_FALSE(acceptEra(Watch, 2));
  CHECK(nextRequest(Watch).Verb == store_verb::List);
  CHECK_FALSE(nextRequest(Watch).AllowStale);
  CHECK(acceptEra(Watch, 2));
}

TEST(StoreEra, PagesOfTwoErasCauseNewList) {
  list_watch Watch;
  CHECK(acceptEra(Watch, 1));
  applyPage(Watch, {{{"a", 3, "{}"}}, /*HasMore=*/true, 10});
  CHECK_FALSE(acceptEra(Watch, 2));
  CHECK(nextRequest(Watch).After.empty());
}

// Failure: the list of a restored store is rejected because its revision is
// lower, and so is every change until the revisions have passed the old ones.
TEST(StoreEra, LowerRevisionOfNextEraReplacesState) {
  object_cache Cache;
  CHECK(applyTo(Cache, fullList(1, 50, {makeChange("a", 40, "old")})));
  CHECK_FALSE(applyTo(Cache, increment(2, 60, {makeChange("b", 60)})));
  CHECK(applyTo(Cache, fullList(2, 30, {makeChange("a", 20, "new")})));
  CHECK(applyTo(Cache, increment(2, 31, {makeChange("b", 31)})));
  CHECK(liveObjects(Cache) == (object_texts{{"a", "new"}, {"b", "{}"}}));
}

// Failure: a peer that still holds the earlier era looks fresher than the
// store, and its state comes back.
TEST(StoreEra, EarlierEraIsRejectedWhateverItsRevision) {
  object_cache Cache;
  applyTo(Cache, fullList(2, 30, {makeChange("a", 20)}));
  CHECK_FALSE(applyTo(Cache, fullList(1, 90, {makeChange("b", 80)})));
  CHECK_FALSE(applyTo(Cache, increment(1, 90, {makeChange("b", 80)})));
  CHECK(liveObjects(Cache) == (object_texts{{"a", "{}"}}));
}

TEST(StoreEra, InstanceOfEarlierEraGetsFullList) {
  object_cache Source;
  applyTo(Source, fullList(2, 30, {makeChange("a", 20)}));
  object_cache Reader;
  applyTo(Reader, fullList(1, 90, {makeChange("b", 80)}));
  CHECK(changesSince(Reader, knownPositions(Source)).Kinds.empty());
  poll(Reader, Source);
  CHECK(liveObjects(Reader) == (object_texts{{"a", "{}"}}));
}

// Failure: an object that was removed between two lists of an era stays at the
// instance that has the first list, since the source never had it.
TEST(StoreEra, RemovalBeforeFirstListReachesOthers) {
  object_cache Early;
  applyTo(Early, fullList(2, 30, {makeChange("a", 20), makeChange("b", 21)}));
  object_cache Late;
  applyTo(Late, fullList(1, 90, {}));
  applyTo(Late, fullList(2, 35, {makeChange("a", 20)}));
  poll(Early, Late);
  CHECK(liveObjects(Early) == (object_texts{{"a", "{}"}}));
}

// Instances of an earlier build state no era. Their changes are applied until
// the store was restored; after that they may belong to the earlier era.
TEST(StoreEra, UnknownEraIsAppliedUntilStoreIsRestored) {
  object_cache Cache;
  applyTo(Cache, fullList(1, 30, {}));
  CHECK(applyTo(Cache, increment(0, 31, {makeChange("a", 31)})));
  LONGS_EQUAL(1, stateOf(Cache).Era);
  applyTo(Cache, fullList(2, 20, {}));
  CHECK_FALSE(applyTo(Cache, increment(0, 90, {makeChange("b", 90)})));
}

TEST(StoreEra, IsEncodedAndDecoded) {
  cache_changes Original;
  Original.Kinds.push_back(fullList(3, 7, {makeChange("a", 3)}));
  const auto Decoded = decodeChanges(encodeChanges(Original));
  LONGS_EQUAL(3, Decoded.value().Kinds.at(0).Era);
}

// Failure: what the copy lacks is taken as removed, and what was removed since
// the copy is used again, before the writers have written again.
TEST(StoreEra, UnconfirmedChangesAreDeferred) {
  const instant Now{seconds(100)};
  deferred_changes Deferred;
  kind_changes List = fullList(
      2, 30,
      {makeChange("kept", 9), makeChange("back", 10), makeRemoval("lost")});
  deferUnconfirmed(Deferred, List, {"back"}, Now + seconds(2));
  LONGS_EQUAL(1, List.Changes.size());
  STRCMP_EQUAL("kept", List.Changes[0].Name.c_str());
  CHECK(popDeferred(Deferred, Now).empty());
  LONGS_EQUAL(2, popDeferred(Deferred, Now + seconds(2)).size());
  CHECK(popDeferred(Deferred, Now + seconds(3)).empty());
}

// Failure: an object that two restores in a row lack is never removed, because
// the second list doesn't imply its removal again.
TEST(StoreEra, SecondRestoreKeepsDeferredRemovals) {
  const instant Now{seconds(100)};
  deferred_changes Deferred;
  kind_changes First =
      fullList(2, 30, {makeRemoval("lost"), makeRemoval("back")});
  deferUnconfirmed(Deferred, First, {}, Now + seconds(2));
  kind_changes Second = fullList(3, 20, {makeChange("back", 15)});
  deferUnconfirmed(Deferred, Second, {}, Now + seconds(3));
  const auto Due = popDeferred(Deferred, Now + seconds(3));
  LONGS_EQUAL(1, Due.size());
  STRCMP_EQUAL("lost", Due[0].Name.c_str());
  LONGS_EQUAL(1, Second.Changes.size());
}

TEST(StoreEra, WrittenAgainEndsDeferral) {
  const instant Now{seconds(100)};
  deferred_changes Deferred;
  kind_changes List =
      fullList(2, 30, {makeChange("back", 10), makeRemoval("lost")});
  deferUnconfirmed(Deferred, List, {"back"}, Now + seconds(2));
  // A second list of the era repeats the entry that was removed before.
  kind_changes Again =
      fullList(2, 32, {makeChange("back", 10), makeChange("lost", 32)});
  reconcileDeferred(Deferred, Again);
  LONGS_EQUAL(1, Again.Changes.size());
  STRCMP_EQUAL("lost", Again.Changes[0].Name.c_str());
  kind_changes Removal = increment(2, 33, {makeRemoval("back")});
  reconcileDeferred(Deferred, Removal);
  LONGS_EQUAL(1, Removal.Changes.size());
  CHECK(popDeferred(Deferred, Now + seconds(2)).empty());
}

namespace {

/// A store that can come back from an earlier copy, and caches that follow it
/// by list and watch, or each other.
class restoring_store {
public:
  explicit restoring_store(std::uint64_t Seed) : Random(Seed) {}

  void change() {
    ++Data.Revision;
    const std::string Name = "o" + std::to_string(Random() % 12);
    object_change Change = makeChange(Name, Data.Revision);
    Change.IsDeleted = Random() % 3 == 0;
    Change.Text = Change.IsDeleted ? "" : std::to_string(Random());
    if (Change.IsDeleted)
      Data.Objects.erase(Name);
    else
      Data.Objects[Name] = Change;
    Data.History.push_back(std::move(Change));
  }

  void copy() { Saved = Data; }
  void restore() {
    Data = Saved;
    ++Era;
  }

  /// One call of a cache that follows the store.
  void serve(list_watch &Watch, object_cache &Cache) const {
    const store_request Request = nextRequest(Watch);
    if (Request.Verb == store_verb::Watch && Request.Revision > Data.Revision) {
      handleFailure(Watch, store_failure::HistoryExpired);
      return;
    }
    if (!acceptEra(Watch, Era))
      return;
    if (Request.Verb == store_verb::List) {
      applyPage(Watch, {{}, false, Data.Revision});
      kind_changes List = fullList(Era, Data.Revision, {});
      for (const auto &[Name, Object] : Data.Objects)
        List.Changes.push_back(Object);
      applyTo(Cache, std::move(List));
      return;
    }
    applyBatch(Watch, {{}, Data.Revision});
    kind_changes Changes = increment(Era, Data.Revision, {});
    for (const object_change &Change : Data.History)
      if (Change.Revision > Request.Revision)
        Changes.Changes.push_back(Change);
    applyTo(Cache, std::move(Changes));
  }

  [[nodiscard]] object_texts objects() const {
    object_texts Texts;
    for (const auto &[Name, Object] : Data.Objects)
      Texts[Name] = Object.Text;
    return Texts;
  }

  std::mt19937_64 Random;

private:
  struct contents {
    std::uint64_t Revision = 1;
    std::map<std::string, object_change> Objects;
    std::vector<object_change> History;
  };
  contents Data;
  contents Saved;
  std::uint64_t Era = 1;
};

} // namespace

// Failure: after a restore some instances keep objects of the earlier era, or
// miss objects of the later one, for good.
TEST(StoreEra, AllInstancesConvergeAfterRestores) {
  constexpr std::size_t Watchers = 2;
  constexpr std::size_t Instances = 5;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    restoring_store Store(Seed);
    std::array<list_watch, Watchers> Watches;
    std::array<object_cache, Instances> Caches;
    const auto Step = [&] {
      for (std::size_t Index = 0; Index < Watchers; ++Index)
        if (Store.Random() % 2 == 0)
          Store.serve(Watches[Index], Caches[Index]);
      for (std::size_t Index = Watchers; Index < Instances; ++Index)
        if (Store.Random() % 2 == 0)
          poll(Caches[Index], Caches[Store.Random() % Instances]);
    };
    for (int At = 0; At < 300; ++At) {
      Store.change();
      if (Store.Random() % 10 == 0)
        Store.copy();
      if (Store.Random() % 25 == 0)
        Store.restore();
      Step();
    }
    for (int At = 0; At < 60; ++At)
      Step();
    for (const object_cache &Cache : Caches)
      CHECK(liveObjects(Cache) == Store.objects());
  }
}
