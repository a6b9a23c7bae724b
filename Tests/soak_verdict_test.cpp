// The soak's verdict must see each kind of broken promise: one is planted in
// an otherwise sound history.

#include "Soak/schedule.h"
#include "Soak/verdict.h"
#include "target_stand_in.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

attempt_seen sound(const std::string &Id, bool IsIdempotent = false) {
  return {Id, IsIdempotent, 200, true, target_stand_in::bodyFor(Id), true};
}

std::size_t broken(const attempt_seen &Attempt, int Runs) {
  const std::vector<attempt_seen> Attempts = {sound("other"), Attempt};
  return checkAttempts(Attempts, {{"other", 1}, {Attempt.Id, Runs}}).size();
}

} // namespace

// clang-format off
TEST_GROUP(SoakVerdict) {};
// clang-format on

TEST(SoakVerdict, ASoundHistoryBreaksNothing) {
  LONGS_EQUAL(0, broken(sound("a"), 1));
  LONGS_EQUAL(0, broken(sound("a", /*IsIdempotent=*/true), 2));
  attempt_seen Refused = sound("a");
  Refused.Status = 503;
  Refused.HasSignature = false;
  LONGS_EQUAL(0, broken(Refused, 0));
}

TEST(SoakVerdict, EachBrokenPromiseIsSeen) {
  // Non-idempotent and run twice.
  LONGS_EQUAL(1, broken(sound("a"), 2));
  // Answered, and never run.
  LONGS_EQUAL(1, broken(sound("a"), 0));
  attempt_seen Refused = sound("a");
  Refused.Status = 503;
  Refused.HasSignature = false;
  LONGS_EQUAL(1, broken(Refused, 1));
  attempt_seen Denied = Refused;
  Denied.Status = 404;
  LONGS_EQUAL(1, broken(Denied, 0));
  attempt_seen Short = sound("a");
  Short.Body.resize(Short.Body.size() / 2);
  LONGS_EQUAL(1, broken(Short, 1));
  attempt_seen Unsigned = sound("a");
  Unsigned.HasSignature = false;
  LONGS_EQUAL(1, broken(Unsigned, 1));
  attempt_seen Forged = Refused;
  Forged.Status = 502;
  Forged.HasSignature = true;
  LONGS_EQUAL(1, broken(Forged, 1));
}

TEST(SoakVerdict, WorkThatNobodySentIsSeen) {
  const std::vector<attempt_seen> Attempts = {sound("a")};
  LONGS_EQUAL(1, checkAttempts(Attempts, {{"a", 1}, {"b", 1}}).size());
}

TEST(SoakVerdict, ASeedAlwaysGivesTheSameFaults) {
  const auto First = makeSchedule(7, {});
  const auto Second = makeSchedule(7, {});
  LONGS_EQUAL(First.size(), Second.size());
  for (std::size_t Index = 0; Index < First.size(); ++Index) {
    CHECK(First[Index].Kind == Second[Index].Kind);
    CHECK(First[Index].At == Second[Index].At);
    CHECK(First[Index].Subject == Second[Index].Subject);
  }
}
