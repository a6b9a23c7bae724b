// Tests that the soak's verdict detects each kind of violated guarantee: each
// case adds one violation to an otherwise valid history.

#include "Soak/schedule.h"
#include "Soak/verdict.h"
#include "target_stand_in.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

observed_attempt sound(const std::string &Id, bool IsIdempotent = false) {
  return {Id, IsIdempotent, 200, true, target_stand_in::bodyFor(Id), true};
}

std::size_t broken(const observed_attempt &Attempt, int Runs) {
  const std::vector<observed_attempt> Attempts = {sound("other"), Attempt};
  return checkAttempts(Attempts, {{"other", 1}, {Attempt.Id, Runs}}).size();
}

} // namespace

// clang-format off
TEST_GROUP(SoakVerdict) {};
// clang-format on

TEST(SoakVerdict, ValidHistoryHasNoViolations) {
  LONGS_EQUAL(0, broken(sound("a"), 1));
  LONGS_EQUAL(0, broken(sound("a", /*IsIdempotent=*/true), 2));
  observed_attempt Refused = sound("a");
  Refused.Status = 503;
  Refused.HasSignature = false;
  LONGS_EQUAL(0, broken(Refused, 0));
}

TEST(SoakVerdict, EachViolationIsDetected) {
  // A non-idempotent request that ran twice.
  LONGS_EQUAL(1, broken(sound("a"), 2));
  // A successful response to a request that never ran.
  LONGS_EQUAL(1, broken(sound("a"), 0));
  observed_attempt Refused = sound("a");
  Refused.Status = 503;
  Refused.HasSignature = false;
  LONGS_EQUAL(1, broken(Refused, 1));
  observed_attempt Denied = Refused;
  Denied.Status = 404;
  LONGS_EQUAL(1, broken(Denied, 0));
  observed_attempt Short = sound("a");
  Short.Body.resize(Short.Body.size() / 2);
  LONGS_EQUAL(1, broken(Short, 1));
  observed_attempt Unsigned = sound("a");
  Unsigned.HasSignature = false;
  LONGS_EQUAL(1, broken(Unsigned, 1));
  observed_attempt Forged = Refused;
  Forged.Status = 502;
  Forged.HasSignature = true;
  LONGS_EQUAL(1, broken(Forged, 1));
}

TEST(SoakVerdict, ExecutionWithoutRequestIsDetected) {
  const std::vector<observed_attempt> Attempts = {sound("a")};
  LONGS_EQUAL(1, checkAttempts(Attempts, {{"a", 1}, {"b", 1}}).size());
}

TEST(SoakVerdict, SeedDeterminesFaults) {
  const auto First = makeSchedule(7, {});
  const auto Second = makeSchedule(7, {});
  LONGS_EQUAL(First.size(), Second.size());
  for (std::size_t Index = 0; Index < First.size(); ++Index) {
    CHECK(First[Index].Kind == Second[Index].Kind);
    CHECK(First[Index].At == Second[Index].At);
    CHECK(First[Index].Subject == Second[Index].Subject);
  }
}
