// The history checker: one planted violation of each kind, and a valid history.

#include "History/history.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::seconds;

namespace {

instant at(int Seconds) { return instant(seconds(Seconds)); }

recorded_execution runOf(int Start, int End, const char *Operation,
                         const char *Key) {
  return {at(Start), at(End), Operation, Key,
          "target",  "site",  "region",  10'000};
}

/// A history within every limit.
history cleanHistory() {
  history History;
  History.Sites["site"] = {50'000, 30'000, {{"region", 2}}};
  History.TargetSlots["target"] = 2;
  History.Executions = {runOf(1, 2, "a", "key-a"), runOf(1, 3, "b", "")};
  History.Outcomes = {{at(2), "a", "key-a", outcome::Answered, "a", true},
                      {at(3), "b", "", outcome::Answered, "b", true}};
  History.Accepted = {{at(1), "contract/c", 7}};
  History.Effective = {{at(2), "node", "contract/c", 7}};
  History.Nodes = {"node"};
  History.End = at(20);
  return History;
}

bool hasViolation(const history &History, promise Promise) {
  for (const violation &Violation : checkHistory(History))
    if (Violation.Promise == Promise)
      return true;
  return false;
}

} // namespace

// clang-format off
TEST_GROUP(History) {};
// clang-format on

TEST(History, ValidHistoryHasNoViolation) {
  CHECK(checkHistory(cleanHistory()).empty());
}

TEST(History, DetectsExceededPowerCap) {
  history History = cleanHistory();
  History.Executions.push_back(runOf(1, 2, "c", ""));
  CHECK(hasViolation(History, promise::Power));
}

TEST(History, CountsEndsBeforeStartsAtSameInstant) {
  history History = cleanHistory();
  History.Executions.push_back(runOf(2, 3, "c", ""));
  CHECK(checkHistory(History).empty());
}

TEST(History, DetectsExceededSlots) {
  history History = cleanHistory();
  History.TargetSlots["target"] = 1;
  CHECK(hasViolation(History, promise::Region));
}

TEST(History, DetectsExceededLinkLimit) {
  history History = cleanHistory();
  History.Sites["site"].LinkLimits["region"] = 1;
  CHECK(hasViolation(History, promise::Region));
}

TEST(History, DetectsResponseOfAnotherOperation) {
  history History = cleanHistory();
  History.Outcomes[0].ContentOf = "b";
  CHECK(hasViolation(History, promise::WholeAnswer));
}

TEST(History, DetectsPartialResponseReportedAsComplete) {
  history History = cleanHistory();
  History.Outcomes[0].Whole = false;
  CHECK(hasViolation(History, promise::WholeAnswer));
}

TEST(History, DetectsExecutionReportedAsNotRun) {
  history History = cleanHistory();
  History.Outcomes[0].Outcome = outcome::NotRun;
  CHECK(hasViolation(History, promise::NotRun));
}

TEST(History, DetectsSecondExecution) {
  history History = cleanHistory();
  History.Executions.push_back(runOf(5, 6, "a", "key-a"));
  CHECK(hasViolation(History, promise::AtMostOnce));
}

TEST(History, DetectsNewWorkAtDrainedTarget) {
  history History = cleanHistory();
  History.Departures = {{at(1), "target"}};
  History.Executions.push_back(runOf(5, 6, "c", ""));
  CHECK(hasViolation(History, promise::LeavingTarget));
}

TEST(History, DetectsCancelledExecution) {
  history History = cleanHistory();
  History.Executions[1].EndedAs = execution_end::CutOff;
  CHECK(hasViolation(History, promise::DrainCutsNothing));
}

TEST(History, DetectsRevertedContract) {
  history History = cleanHistory();
  History.Effective.push_back({at(3), "node", "contract/c", 6});
  CHECK(hasViolation(History, promise::Contract));
}

TEST(History, DetectsContractNotInEffectInTime) {
  history History = cleanHistory();
  History.Nodes.push_back("late node");
  CHECK(hasViolation(History, promise::Contract));
}
