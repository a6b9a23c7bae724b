// An instance's current view of the backend servers.

#include "Targets/list_completeness.h"
#include "Targets/targets.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

target_entry makeEntry(std::string Id) {
  return {std::move(Id), "desk", "127.0.0.1:1", "a1", 4, false, {}};
}

target_directory makeDirectory(int Count) {
  target_directory Directory;
  setDomains(Directory, {{"a1", "a"}, {"b1", "b"}});
  for (int Index = 0; Index < Count; ++Index)
    upsertTarget(Directory, makeEntry("s" + std::to_string(Index)), instant());
  return Directory;
}

target &get(target_directory &Directory, const std::string &Id) {
  return *Directory.ById.at(Id);
}

void attempt(target_directory &Directory, target &Target, attempt_result Result,
             instant Now) {
  recordAttemptStart(Target, Now);
  recordResult(Directory, Target, Result, milliseconds(100), Now);
}

} // namespace

// clang-format off
TEST_GROUP(Targets) {};
// clang-format on

// Guards against treating expired entries as the end of their servers: in a
// store outage, entries expire, the list returns without them, and two seconds
// later they are registered again. The symptom is that no server is left to
// send to after the outage.
TEST(Targets, KeepsServerWhoseEntryExpiredInOutage) {
  target_directory Directory = makeDirectory(2);
  removeTarget(Directory, "s0", /*ListIsComplete=*/false);
  CHECK(isUsable(Directory, get(Directory, "s0"), instant()));
  upsertTarget(Directory, makeEntry("s0"), instant(seconds(2)));
  removeMissing(Directory);
  CHECK(Directory.ById.contains("s0"));
}

// Guards against keeping a removed server for longer than the list can be
// incomplete: its removal arrives just after a store outage, and it still
// receives requests 2.5 s later.
TEST(Targets, RemovesServerStillMissingFromCompleteList) {
  target_directory Directory = makeDirectory(2);
  removeTarget(Directory, "s0", /*ListIsComplete=*/false);
  removeMissing(Directory);
  CHECK_FALSE(Directory.ById.contains("s0"));
  LONGS_EQUAL(1, Directory.ByService["desk"].size());
}

// Guards against local connection failures overriding a connected peer's
// report. The store rejects some instances and serves the others; a rejected
// instance receives the removal from a connected peer between two unanswered
// polls of its own, and forwards it as incomplete. If each unanswered poll
// counts as a new outage, a removed server still receives requests 2.9 s later.
TEST(Targets, ConnectedPeerOverridesLocalStoreOutage) {
  list_completeness Trust;
  recordStoreOutage(Trust, instant(seconds(10)));
  CHECK_FALSE(isListComplete(Trust, instant(seconds(11))));
  for (int Step = 0; Step < 40; ++Step) {
    const instant Now = instant(seconds(11)) + milliseconds(100 * Step);
    if (Step % 4 == 0)
      recordPeerView(Trust, /*PeerListIsComplete=*/true, std::nullopt, Now);
    if (Step % 3 == 0)
      recordStoreOutage(Trust, Now);
    CHECK(isListComplete(Trust, Now));
  }
}

TEST(Targets, ListIsIncompleteAfterStoreOutage) {
  list_completeness Trust;
  CHECK(isListComplete(Trust, instant(seconds(1))));
  recordPeerView(Trust, /*PeerListIsComplete=*/false, std::nullopt,
                 instant(seconds(5)));
  recordStoreOutage(Trust, instant(seconds(10)));
  CHECK_FALSE(isListComplete(Trust, instant(seconds(12))));
  CHECK(isListComplete(Trust, instant(seconds(13))));
}

// Guards against a server that left being kept because its instance's sources
// lost the store right after: entries expire after three heartbeats of silence,
// so one that is missing earlier was removed.
TEST(Targets, RemovalSoonAfterLostContactIsCertain) {
  list_completeness Trust;
  recordPeerView(Trust, /*PeerListIsComplete=*/true, milliseconds(100),
                 instant(milliseconds(20'500)));
  recordPeerView(Trust, /*PeerListIsComplete=*/false, milliseconds(700),
                 instant(milliseconds(21'100)));
  CHECK(isListComplete(Trust, instant(milliseconds(22'100))));
  recordPeerView(Trust, /*PeerListIsComplete=*/false, milliseconds(2'600),
                 instant(milliseconds(23'000)));
  CHECK_FALSE(isListComplete(Trust, instant(milliseconds(23'100))));
}

// Guards against a list being called complete by instances that only quote each
// other: each report is given after the reporter's own contact ended.
TEST(Targets, ReportsOfCompletenessDoNotExtendTheContact) {
  list_completeness Trust;
  recordPeerView(Trust, /*PeerListIsComplete=*/true, milliseconds(2'500),
                 instant(milliseconds(12'500)));
  recordStoreOutage(Trust, instant(milliseconds(14'000)));
  CHECK_FALSE(isListComplete(Trust, instant(milliseconds(14'000))));
}

// Guards against servers that still run being dropped after an outage:
// responses of a store that has just returned say nothing about entries that
// expired.
TEST(Targets, ResponsesAfterAnOutageAreNoContactBeforeRecovery) {
  list_completeness Trust;
  recordStoreResponse(Trust, instant(seconds(10)));
  recordStoreOutage(Trust, instant(seconds(11)));
  recordStoreOutage(Trust, instant(seconds(16)));
  recordStoreResponse(Trust, instant(seconds(16)));
  CHECK_FALSE(isListComplete(Trust, instant(seconds(17))));
  recordStoreResponse(Trust, instant(seconds(19)));
  recordStoreOutage(Trust, instant(seconds(20)));
  CHECK(isListComplete(Trust, instant(seconds(20))));
}

// Guards against servers that an earlier copy of the store lacks being dropped.
TEST(Targets, RestoredStoreIsIncompleteAtOnce) {
  list_completeness Trust;
  recordStoreResponse(Trust, instant(seconds(10)));
  recordStoreRestored(Trust, instant(seconds(10)));
  CHECK_FALSE(isListComplete(Trust, instant(milliseconds(10'100))));
}

TEST(Targets, FullSnapshotRemovesUnlistedServers) {
  target_directory Directory = makeDirectory(3);
  removeUnlisted(Directory, {"s1"}, /*ListIsComplete=*/true);
  LONGS_EQUAL(1, Directory.ById.size());
}

TEST(Targets, RequestInFlightKeepsRetiredServerAllocated) {
  target_directory Directory = makeDirectory(1);
  target &Target = get(Directory, "s0");
  recordAttemptStart(Target, instant());
  removeTarget(Directory, "s0", /*ListIsComplete=*/true);
  freeRetired(Directory);
  LONGS_EQUAL(1, Directory.Retired.size());
  recordResult(Directory, Target, attempt_result::Answered, milliseconds(1),
               instant());
  freeRetired(Directory);
  LONGS_EQUAL(0, Directory.Retired.size());
}

TEST(Targets, DrainingServerStaysUnusable) {
  target_directory Directory = makeDirectory(1);
  target_entry Entry = makeEntry("s0");
  Entry.IsDraining = true;
  upsertTarget(Directory, Entry, instant());
  upsertTarget(Directory, makeEntry("s0"), instant());
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant()));
}

// Guards against sending repeatedly to a server behind a network partition,
// where each request loses a connect timeout because its unreachability is not
// recorded.
TEST(Targets, EjectsUnreachableServerAndTriesAgain) {
  target_directory Directory = makeDirectory(3);
  target &Target = get(Directory, "s0");
  attempt(Directory, Target, attempt_result::Unreachable, instant());
  CHECK_FALSE(isUsable(Directory, Target, instant(milliseconds(100))));
  const instant Later(milliseconds(500));
  CHECK(isUsable(Directory, Target, Later));
  recordAttemptStart(Target, Later);
  // Only one trial at a time is permitted.
  CHECK_FALSE(isUsable(Directory, Target, Later));
  recordResult(Directory, Target, attempt_result::Unreachable, {}, Later);
  CHECK_FALSE(isUsable(Directory, Target, Later + milliseconds(700)));
  const instant Back = Later + seconds(1);
  attempt(Directory, Target, attempt_result::Answered, Back);
  CHECK(isUsable(Directory, Target, Back));
}

// Guards against ejecting all servers when a dependency that they share fails,
// which also stops what still works.
TEST(Targets, BoundsShareOfEjectedServers) {
  target_directory Directory = makeDirectory(12);
  for (int Round = 0; Round < 30; ++Round)
    for (const auto &[Id, Target] : Directory.ById)
      if (isUsable(Directory, *Target, instant()))
        attempt(Directory, *Target, attempt_result::Failed, instant());
  int Usable = 0;
  for (const auto &[Id, Target] : Directory.ById)
    Usable += isUsable(Directory, *Target, instant()) ? 1 : 0;
  CHECK(Usable >= 7);
  CHECK(Usable < 12);
}

TEST(Targets, EvacuatedDomainReturnsCold) {
  target_directory Directory = makeDirectory(1);
  setEvacuated(Directory, "a1", true, seconds(3), instant());
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant()));
  setEvacuated(Directory, "a1", false, seconds(3), instant(seconds(10)));
  CHECK(isUsable(Directory, get(Directory, "s0"), instant(seconds(10))));
  CHECK(get(Directory, "s0").ColdUntil == instant(seconds(13)));
}

TEST(Targets, EstimatesLoadOfOtherInstancesFromReports) {
  target_directory Directory = makeDirectory(1);
  target &Target = get(Directory, "s0");
  recordAttemptStart(Target, instant());
  recordLoadReport(Target, {4, 2, 4}, instant());
  recordResult(Directory, Target, attempt_result::Answered, milliseconds(1),
               instant());
  DOUBLES_EQUAL(6, estimatedLoad(Target, instant()), 0.01);
  recordAttemptStart(Target, instant());
  DOUBLES_EQUAL(7, estimatedLoad(Target, instant()), 0.01);
  DOUBLES_EQUAL(1, estimatedLoad(Target, instant(seconds(5))), 0.01);
}

// Guards against keeping state by id across restarts: a server drains, fails
// and reports full load, then restarts under the same id, ready and empty, and
// receives no requests for the rest of its life.
TEST(Targets, RestartedServerGetsNewRecord) {
  target_directory Directory = makeDirectory(2);
  target &Before = get(Directory, "s0");
  const std::uint64_t SerialBefore = Before.Serial;
  recordLoadReport(Before, {4, 9, 4}, instant());
  recordDraining(Directory, Before);
  recordAttemptStart(Before, instant());
  target_entry Entry = makeEntry("s0");
  Entry.StartedAtMs = 1'700'000'000'000;
  Entry.ColdFor = seconds(3);
  upsertTarget(Directory, Entry, instant(seconds(1)));
  target &After = get(Directory, "s0");
  CHECK(After.Serial != SerialBefore);
  CHECK(isUsable(Directory, After, instant(seconds(1))));
  DOUBLES_EQUAL(0, estimatedLoad(After, instant(seconds(1))), 0);
  CHECK(After.ColdUntil == instant(seconds(4)));
  LONGS_EQUAL(2, Directory.ByService.at("desk").size());
  // A request in flight at the previous incarnation completes on its own
  // record.
  LONGS_EQUAL(1, Directory.Retired.size());
  freeRetired(Directory);
  LONGS_EQUAL(1, Directory.Retired.size());
  recordResult(Directory, *Directory.Retired[0], attempt_result::Failed,
               milliseconds(5), instant(seconds(1)));
  freeRetired(Directory);
  LONGS_EQUAL(0, Directory.Retired.size());
}

// Another entry for the same incarnation, with a different state, keeps the
// record.
TEST(Targets, EntryOfSameIncarnationKeepsRecord) {
  target_directory Directory = makeDirectory(1);
  target_entry Entry = makeEntry("s0");
  Entry.StartedAtMs = 7;
  upsertTarget(Directory, Entry, instant());
  const std::uint64_t Serial = get(Directory, "s0").Serial;
  recordDraining(Directory, get(Directory, "s0"));
  upsertTarget(Directory, Entry, instant(seconds(1)));
  LONGS_EQUAL(Serial, get(Directory, "s0").Serial);
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
}

// Guards against using a server before its requested backoff ends because a
// trial is due or an older response requested a shorter one.
TEST(Targets, LongestRequestedBackoffHolds) {
  target_directory Directory = makeDirectory(1);
  target &Target = get(Directory, "s0");
  attempt(Directory, Target, attempt_result::Unreachable, instant());
  recordBackoff(Directory, Target, instant(seconds(3)));
  recordBackoff(Directory, Target, instant(seconds(1)));
  CHECK_FALSE(isUsable(Directory, Target, instant(milliseconds(2'999))));
  CHECK(isUsable(Directory, Target, instant(seconds(3))));
}

// Guards against ejecting a server that requests backoff as if it had failed.
TEST(Targets, BackoffRequestIsNotAFailure) {
  target_directory Directory = makeDirectory(4);
  target &Target = get(Directory, "s0");
  for (int Second = 0; Second < 20; ++Second) {
    const instant Now{seconds(Second)};
    recordAttemptStart(Target, Now);
    recordBackoff(Directory, Target, Now + milliseconds(500));
    recordResult(Directory, Target, attempt_result::Shed, milliseconds(1), Now);
  }
  CHECK(isUsable(Directory, Target, instant(seconds(20))));
}

// Guards against losing a server's backoff when its entry expires and returns,
// and against its next incarnation inheriting it.
TEST(Targets, BackoffAppliesToOneIncarnation) {
  for (bool IsReportedLate : {false, true}) {
    target_directory Directory = makeDirectory(1);
    target &Target = get(Directory, "s0");
    // A request in flight keeps the record alive after its entry is removed.
    recordAttemptStart(Target, instant());
    if (!IsReportedLate)
      recordBackoff(Directory, Target, instant(seconds(3)));
    removeTarget(Directory, "s0", /*ListIsComplete=*/true);
    if (IsReportedLate)
      recordBackoff(Directory, Target, instant(seconds(3)));
    upsertTarget(Directory, makeEntry("s0"), instant(seconds(1)));
    CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
    target_entry Again = makeEntry("s0");
    Again.StartedAtMs = 7;
    upsertTarget(Directory, Again, instant(seconds(1)));
    CHECK(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
  }
}

// Guards against losing state from the response to a request that was sent
// before the server's entry expired and returned: the response refers to the
// old record.
TEST(Targets, BackoffOnRetiredRecordAppliesToCurrent) {
  target_directory Directory = makeDirectory(1);
  target &Old = get(Directory, "s0");
  recordAttemptStart(Old, instant());
  removeTarget(Directory, "s0", /*ListIsComplete=*/true);
  upsertTarget(Directory, makeEntry("s0"), instant());
  recordBackoff(Directory, Old, instant(seconds(3)));
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
}

// Guards against using a server again after it reported that it is draining, or
// after another server took over its address, when its entry expires and
// returns as ready.
TEST(Targets, DrainingStateSurvivesListChanges) {
  for (bool IsReplaced : {false, true}) {
    target_directory Directory = makeDirectory(1);
    target &Old = get(Directory, "s0");
    recordAttemptStart(Old, instant());
    if (!IsReplaced)
      recordDraining(Directory, Old);
    removeTarget(Directory, "s0", /*ListIsComplete=*/true);
    upsertTarget(Directory, makeEntry("s0"), instant());
    if (IsReplaced)
      recordResult(Directory, Old, attempt_result::Replaced, {}, instant());
    CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant()));
  }
}

// Guards against an old record without a backoff clearing the backoff of the
// current record.
TEST(Targets, RetiredRecordDoesNotClearState) {
  target_directory Directory = makeDirectory(1);
  target &Old = get(Directory, "s0");
  recordAttemptStart(Old, instant());
  removeTarget(Directory, "s0", /*ListIsComplete=*/true);
  upsertTarget(Directory, makeEntry("s0"), instant());
  target &Current = get(Directory, "s0");
  recordBackoff(Directory, Current, instant(seconds(9)));
  recordBackoff(Directory, Old, instant(seconds(3)));
  CHECK_FALSE(isUsable(Directory, Current, instant(seconds(8))));
  recordDraining(Directory, Current);
  recordBackoff(Directory, Old, instant(seconds(3)));
  CHECK_FALSE(isUsable(Directory, Current, instant(seconds(60))));
}

// Guards against unbounded growth of the state retained for removed servers.
TEST(Targets, BoundsRetainedStates) {
  target_directory Directory = makeDirectory(0);
  for (int Index = 0; Index < 2'000; ++Index) {
    const std::string Id = "s" + std::to_string(Index);
    upsertTarget(Directory, makeEntry(Id), instant());
    recordDraining(Directory, get(Directory, Id));
    removeTarget(Directory, Id, /*ListIsComplete=*/true);
  }
  CHECK_COMPARE(Directory.RetainedStates.size(), <=, std::size_t{512});
  upsertTarget(Directory, makeEntry("s1999"), instant());
  CHECK_FALSE(isUsable(Directory, get(Directory, "s1999"), instant()));
}
