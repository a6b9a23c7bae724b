// What an instance believes of the backend servers.

#include "Targets/list_trust.h"
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
    putTarget(Directory, makeEntry("s" + std::to_string(Index)), instant());
  return Directory;
}

target &get(target_directory &Directory, const std::string &Id) {
  return *Directory.ById.at(Id);
}

void attempt(target_directory &Directory, target &Target, attempt_result Result,
             instant Now) {
  noteSent(Target, Now);
  noteResult(Directory, Target, Result, milliseconds(100), Now);
}

} // namespace

// clang-format off
TEST_GROUP(Targets) {};
// clang-format on

// Symptom: after an outage of the store there is nobody to send to. Sequence:
// the store is away, entries lapse, the list comes back without them, and two
// seconds later they are there again. Cause: taking a lapse for an end.
TEST(Targets, ALapseOfTheListIsNoEnd) {
  target_directory Directory = makeDirectory(2);
  removeTarget(Directory, "s0", /*ListIsSure=*/false);
  CHECK(isUsable(Directory, get(Directory, "s0"), instant()));
  putTarget(Directory, makeEntry("s0"), instant(seconds(2)));
  removeMissing(Directory);
  CHECK(Directory.ById.contains("s0"));
}

// Symptom: a server that left gets requests 2.5 s later. Sequence: its removal
// comes just after trouble with the store. Cause: keeping it for longer than
// the list can be in doubt.
TEST(Targets, WhatIsStillMissingIsGone) {
  target_directory Directory = makeDirectory(2);
  removeTarget(Directory, "s0", /*ListIsSure=*/false);
  removeMissing(Directory);
  CHECK_FALSE(Directory.ById.contains("s0"));
  LONGS_EQUAL(1, Directory.ByService["desk"].size());
}

// Symptom: a server that left gets requests 2.9 s later. Sequence: the store
// turns some instances away and serves the others; one of those turned away
// learns of the removal from a peer in touch, between two unanswered questions
// of its own to the store, and hands it on as unsure. Cause: its own trouble
// counted again with each unanswered question, against the peer's word.
TEST(Targets, APeerInTouchKnowsThatTheStoreWasNotAway) {
  list_trust Trust;
  noteStoreTrouble(Trust, instant(seconds(10)));
  CHECK_FALSE(isListSure(Trust, instant(seconds(11))));
  for (int Step = 0; Step < 40; ++Step) {
    const instant Now = instant(seconds(11)) + milliseconds(100 * Step);
    if (Step % 4 == 0)
      notePeerTrust(Trust, /*PeerIsSure=*/true, Now);
    if (Step % 3 == 0)
      noteStoreTrouble(Trust, Now);
    CHECK(isListSure(Trust, Now));
  }
}

TEST(Targets, AStoreThatWasAwayIsNotBelievedAtOnce) {
  list_trust Trust;
  CHECK(isListSure(Trust, instant(seconds(1))));
  notePeerTrust(Trust, /*PeerIsSure=*/false, instant(seconds(5)));
  noteStoreTrouble(Trust, instant(seconds(10)));
  CHECK_FALSE(isListSure(Trust, instant(seconds(12))));
  CHECK(isListSure(Trust, instant(seconds(13))));
}

TEST(Targets, AWholeListRemovesTheOthers) {
  target_directory Directory = makeDirectory(3);
  keepOnly(Directory, {"s1"}, /*ListIsSure=*/true);
  LONGS_EQUAL(1, Directory.ById.size());
}

TEST(Targets, ARequestKeepsADepartedServerInMemory) {
  target_directory Directory = makeDirectory(1);
  target &Target = get(Directory, "s0");
  noteSent(Target, instant());
  removeTarget(Directory, "s0", /*ListIsSure=*/true);
  freeDeparted(Directory);
  LONGS_EQUAL(1, Directory.Departed.size());
  noteResult(Directory, Target, attempt_result::Answered, milliseconds(1),
             instant());
  freeDeparted(Directory);
  LONGS_EQUAL(0, Directory.Departed.size());
}

TEST(Targets, AServerThatLeavesDoesNotComeBackAsTheSame) {
  target_directory Directory = makeDirectory(1);
  target_entry Entry = makeEntry("s0");
  Entry.IsLeaving = true;
  putTarget(Directory, Entry, instant());
  putTarget(Directory, makeEntry("s0"), instant());
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant()));
}

// Symptom: requests go to a server that is behind a cut, each losing a connect
// time. Cause: nobody remembers that it was unreachable a moment ago.
TEST(Targets, AnUnreachableServerIsLeftOutAndTriedAgain) {
  target_directory Directory = makeDirectory(3);
  target &Target = get(Directory, "s0");
  attempt(Directory, Target, attempt_result::Unreachable, instant());
  CHECK_FALSE(isUsable(Directory, Target, instant(milliseconds(100))));
  const instant Later(milliseconds(500));
  CHECK(isUsable(Directory, Target, Later));
  noteSent(Target, Later);
  // One trial at a time.
  CHECK_FALSE(isUsable(Directory, Target, Later));
  noteResult(Directory, Target, attempt_result::Unreachable, {}, Later);
  CHECK_FALSE(isUsable(Directory, Target, Later + milliseconds(700)));
  const instant Back = Later + seconds(1);
  attempt(Directory, Target, attempt_result::Answered, Back);
  CHECK(isUsable(Directory, Target, Back));
}

// Symptom: a failing dependency of all servers takes them all out of use, and
// what still worked stops. Cause: leaving servers out without a bound.
TEST(Targets, ShareOfServersLeftOutForFailuresIsBounded) {
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

TEST(Targets, AnEvacuatedDomainComesBackCold) {
  target_directory Directory = makeDirectory(1);
  setEvacuated(Directory, "a1", true, seconds(3), instant());
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant()));
  setEvacuated(Directory, "a1", false, seconds(3), instant(seconds(10)));
  CHECK(isUsable(Directory, get(Directory, "s0"), instant(seconds(10))));
  CHECK(get(Directory, "s0").ColdUntil == instant(seconds(13)));
}

TEST(Targets, LoadOfOthersIsKnownFromReportsAndFades) {
  target_directory Directory = makeDirectory(1);
  target &Target = get(Directory, "s0");
  noteSent(Target, instant());
  noteLoad(Target, {4, 2, 4}, instant());
  noteResult(Directory, Target, attempt_result::Answered, milliseconds(1),
             instant());
  DOUBLES_EQUAL(6, estimatedLoad(Target, instant()), 0.01);
  noteSent(Target, instant());
  DOUBLES_EQUAL(7, estimatedLoad(Target, instant()), 0.01);
  DOUBLES_EQUAL(1, estimatedLoad(Target, instant(seconds(5))), 0.01);
}

// Symptom: a healthy server gets no request for the rest of its life.
// Sequence: a server leaves, fails and reports a full load; it starts again
// under the same id, ready and empty. Cause: state kept by id.
TEST(Targets, AServerThatStartsAgainBeginsAFreshRecord) {
  target_directory Directory = makeDirectory(2);
  target &Before = get(Directory, "s0");
  const std::uint64_t SerialBefore = Before.Serial;
  noteLoad(Before, {4, 9, 4}, instant());
  noteLeaving(Directory, Before);
  noteSent(Before, instant());
  target_entry Entry = makeEntry("s0");
  Entry.StartedAtMs = 1'700'000'000'000;
  Entry.ColdFor = seconds(3);
  putTarget(Directory, Entry, instant(seconds(1)));
  target &After = get(Directory, "s0");
  CHECK(After.Serial != SerialBefore);
  CHECK(isUsable(Directory, After, instant(seconds(1))));
  DOUBLES_EQUAL(0, estimatedLoad(After, instant(seconds(1))), 0);
  CHECK(After.ColdUntil == instant(seconds(4)));
  LONGS_EQUAL(2, Directory.ByService.at("desk").size());
  // What was under way at the earlier start still ends on its own record.
  LONGS_EQUAL(1, Directory.Departed.size());
  freeDeparted(Directory);
  LONGS_EQUAL(1, Directory.Departed.size());
  noteResult(Directory, *Directory.Departed[0], attempt_result::Failed,
             milliseconds(5), instant(seconds(1)));
  freeDeparted(Directory);
  LONGS_EQUAL(0, Directory.Departed.size());
}

// The same start, said again with another state, stays the same record.
TEST(Targets, AnotherEntryOfTheSameStartKeepsWhatWasLearned) {
  target_directory Directory = makeDirectory(1);
  target_entry Entry = makeEntry("s0");
  Entry.StartedAtMs = 7;
  putTarget(Directory, Entry, instant());
  const std::uint64_t Serial = get(Directory, "s0").Serial;
  noteLeaving(Directory, get(Directory, "s0"));
  putTarget(Directory, Entry, instant(seconds(1)));
  LONGS_EQUAL(Serial, get(Directory, "s0").Serial);
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
}

// Failure: a server that asked for rest is used before its end, since a trial
// is due or an older answer asked for less.
TEST(Targets, AServerRestsUntilTheLastTimeItAskedFor) {
  target_directory Directory = makeDirectory(1);
  target &Target = get(Directory, "s0");
  attempt(Directory, Target, attempt_result::Unreachable, instant());
  noteRest(Directory, Target, instant(seconds(3)));
  noteRest(Directory, Target, instant(seconds(1)));
  CHECK_FALSE(isUsable(Directory, Target, instant(milliseconds(2'999))));
  CHECK(isUsable(Directory, Target, instant(seconds(3))));
}

// Failure: a server that asks for rest is left out for longer, as one that
// fails.
TEST(Targets, AskingForRestIsNoFailure) {
  target_directory Directory = makeDirectory(4);
  target &Target = get(Directory, "s0");
  for (int Second = 0; Second < 20; ++Second) {
    const instant Now{seconds(Second)};
    noteSent(Target, Now);
    noteRest(Directory, Target, Now + milliseconds(500));
    noteResult(Directory, Target, attempt_result::Shed, milliseconds(1), Now);
  }
  CHECK(isUsable(Directory, Target, instant(seconds(20))));
}

// Failure: a server's rest is forgotten when its entry lapses and comes back;
// or its next start inherits it.
TEST(Targets, ARestHoldsForOneStartOfAServerWhateverTheListSays) {
  for (bool IsSaidLate : {false, true}) {
    target_directory Directory = makeDirectory(1);
    target &Target = get(Directory, "s0");
    // A request is there, so that the record outlives its entry.
    noteSent(Target, instant());
    if (!IsSaidLate)
      noteRest(Directory, Target, instant(seconds(3)));
    removeTarget(Directory, "s0", /*ListIsSure=*/true);
    if (IsSaidLate)
      noteRest(Directory, Target, instant(seconds(3)));
    putTarget(Directory, makeEntry("s0"), instant(seconds(1)));
    CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
    target_entry Again = makeEntry("s0");
    Again.StartedAtMs = 7;
    putTarget(Directory, Again, instant(seconds(1)));
    CHECK(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
  }
}

// Failure: an answer of a request that was sent before its server's entry
// lapsed and came back says something that is lost with the old record.
TEST(Targets, ARestSaidToAnOldRecordHoldsForTheNewOne) {
  target_directory Directory = makeDirectory(1);
  target &Old = get(Directory, "s0");
  noteSent(Old, instant());
  removeTarget(Directory, "s0", /*ListIsSure=*/true);
  putTarget(Directory, makeEntry("s0"), instant());
  noteRest(Directory, Old, instant(seconds(3)));
  CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant(seconds(1))));
}

// Failure: a server that said it leaves, or whose address another one has, is
// used again when its entry lapses and comes back as ready.
TEST(Targets, ALeavingServerStaysSoWhateverTheListSays) {
  for (bool IsReplaced : {false, true}) {
    target_directory Directory = makeDirectory(1);
    target &Old = get(Directory, "s0");
    noteSent(Old, instant());
    if (!IsReplaced)
      noteLeaving(Directory, Old);
    removeTarget(Directory, "s0", /*ListIsSure=*/true);
    putTarget(Directory, makeEntry("s0"), instant());
    if (IsReplaced)
      noteResult(Directory, Old, attempt_result::Replaced, {}, instant());
    CHECK_FALSE(isUsable(Directory, get(Directory, "s0"), instant()));
  }
}

// Failure: an old record without a rest ends the one that the new record has.
TEST(Targets, AnOldRecordTakesNothingBack) {
  target_directory Directory = makeDirectory(1);
  target &Old = get(Directory, "s0");
  noteSent(Old, instant());
  removeTarget(Directory, "s0", /*ListIsSure=*/true);
  putTarget(Directory, makeEntry("s0"), instant());
  target &Current = get(Directory, "s0");
  noteRest(Directory, Current, instant(seconds(9)));
  noteRest(Directory, Old, instant(seconds(3)));
  CHECK_FALSE(isUsable(Directory, Current, instant(seconds(8))));
  noteLeaving(Directory, Current);
  noteRest(Directory, Old, instant(seconds(3)));
  CHECK_FALSE(isUsable(Directory, Current, instant(seconds(60))));
}

// Failure: what is kept of servers that went grows without end.
TEST(Targets, WhatIsKeptOfFormerServersIsBounded) {
  target_directory Directory = makeDirectory(0);
  for (int Index = 0; Index < 2'000; ++Index) {
    const std::string Id = "s" + std::to_string(Index);
    putTarget(Directory, makeEntry(Id), instant());
    noteLeaving(Directory, get(Directory, Id));
    removeTarget(Directory, Id, /*ListIsSure=*/true);
  }
  CHECK_COMPARE(Directory.Former.size(), <=, std::size_t{512});
  putTarget(Directory, makeEntry("s1999"), instant());
  CHECK_FALSE(isUsable(Directory, get(Directory, "s1999"), instant()));
}
