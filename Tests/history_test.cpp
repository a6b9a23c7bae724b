// The checker itself: one planted violation of each kind, and a clean history.

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

/// Within every limit.
history cleanHistory() {
  history History;
  History.Sites["site"] = {50'000, 30'000, {{"region", 2}}};
  History.TargetSlots["target"] = 2;
  History.Executions = {runOf(1, 2, "a", "key-a"), runOf(1, 3, "b", "")};
  History.Told = {{at(2), "a", "key-a", outcome::Answered, "a", true},
                  {at(3), "b", "", outcome::Answered, "b", true}};
  History.Accepted = {{at(1), "contract/c", 7}};
  History.Effective = {{at(2), "node", "contract/c", 7}};
  History.Nodes = {"node"};
  History.End = at(20);
  return History;
}

bool shows(const history &History, promise Promise) {
  for (const violation &Violation : checkHistory(History))
    if (Violation.Promise == Promise)
      return true;
  return false;
}

} // namespace

// clang-format off
TEST_GROUP(History) {};
// clang-format on

TEST(History, CleanHasNoViolation) {
  CHECK(checkHistory(cleanHistory()).empty());
}

TEST(History, SeesTooMuchPower) {
  history History = cleanHistory();
  History.Executions.push_back(runOf(1, 2, "c", ""));
  CHECK(shows(History, promise::Power));
}

TEST(History, SeesAnEndBeforeAStartAtTheSameInstant) {
  history History = cleanHistory();
  History.Executions.push_back(runOf(2, 3, "c", ""));
  CHECK(checkHistory(History).empty());
}

TEST(History, SeesTooManySlots) {
  history History = cleanHistory();
  History.TargetSlots["target"] = 1;
  CHECK(shows(History, promise::Region));
}

TEST(History, SeesTooMuchOnALink) {
  history History = cleanHistory();
  History.Sites["site"].LinkLimits["region"] = 1;
  CHECK(shows(History, promise::Region));
}

TEST(History, SeesSomebodyElsesAnswer) {
  history History = cleanHistory();
  History.Told[0].ContentOf = "b";
  CHECK(shows(History, promise::WholeAnswer));
}

TEST(History, SeesAPartPassedAsTheWhole) {
  history History = cleanHistory();
  History.Told[0].Whole = false;
  CHECK(shows(History, promise::WholeAnswer));
}

TEST(History, SeesARunAgainstNotRun) {
  history History = cleanHistory();
  History.Told[0].Outcome = outcome::NotRun;
  CHECK(shows(History, promise::NotRun));
}

TEST(History, SeesADoubleRun) {
  history History = cleanHistory();
  History.Executions.push_back(runOf(5, 6, "a", "key-a"));
  CHECK(shows(History, promise::AtMostOnce));
}

TEST(History, SeesWorkAtATargetThatLeft) {
  history History = cleanHistory();
  History.Departures = {{at(1), "target"}};
  History.Executions.push_back(runOf(5, 6, "c", ""));
  CHECK(shows(History, promise::LeavingTarget));
}

TEST(History, SeesWorkCutOff) {
  history History = cleanHistory();
  History.Executions[1].EndedAs = execution_end::CutOff;
  CHECK(shows(History, promise::DrainCutsNothing));
}

TEST(History, SeesAContractThatReverts) {
  history History = cleanHistory();
  History.Effective.push_back({at(3), "node", "contract/c", 6});
  CHECK(shows(History, promise::Contract));
}

TEST(History, SeesAContractNotInForceInTime) {
  history History = cleanHistory();
  History.Nodes.push_back("late node");
  CHECK(shows(History, promise::Contract));
}
