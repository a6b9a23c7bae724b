// Tests the bound on the retries of all instances together while instances
// start, restart and don't know each other.

#include "Pacing/pacing.h"
#include "RetryBudget/retry_budget_world.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration Step = milliseconds(100);
constexpr duration Window = seconds(10);
constexpr std::size_t StepsPerWindow = Window / Step;
constexpr double Ratio = 0.2;
constexpr double Slack = 58;
const retry_bounds Bounds = {Ratio, Window, Slack};
const instant Start{seconds(1'000)};

/// Instances whose servers fail all the time, so that each retry that the
/// budget permits is sent.
struct failing_fleet {
  explicit failing_fleet(std::size_t Count) : Random(3) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Budgets.push_back(makeRetryBudget(Bounds, Now));
  }

  void restartAll() {
    for (windowed_retry_budget &Budget : Budgets)
      Budget = makeRetryBudget(Bounds, Now);
  }

  /// Serves requests for one step, up to \p MaxPerInstance at each instance,
  /// with \p KnownInstances in each instance's view.
  void serve(std::uint64_t MaxPerInstance, std::size_t KnownInstances) {
    Requests.push_back(0);
    Retries.push_back(0);
    for (windowed_retry_budget &Budget : Budgets) {
      const std::uint64_t Arrivals = Random() % (MaxPerInstance + 1);
      for (std::uint64_t Index = 0; Index < Arrivals; ++Index) {
        countRequest(Budget, "desk", Now);
        Requests.back() += 1;
        while (ServersFail &&
               tryAcquireRetry(Budget, "desk", KnownInstances, Now))
          Retries.back() += 1;
      }
    }
    Now += Step;
  }

  /// Number of windows in which the retries exceed the bound.
  [[nodiscard]] int brokenWindows() const {
    int Broken = 0;
    for (std::size_t End = 1; End <= Requests.size(); ++End) {
      const std::size_t From = End - std::min(End, StepsPerWindow);
      double Asked = 0;
      double Retried = 0;
      for (std::size_t At = From; At < End; ++At) {
        Asked += Requests[At];
        Retried += Retries[At];
      }
      Broken += Retried > Ratio * Asked + Slack ? 1 : 0;
    }
    return Broken;
  }

  bool ServersFail = true;
  instant Now = Start;
  std::mt19937_64 Random;
  std::vector<windowed_retry_budget> Budgets;
  std::vector<double> Requests;
  std::vector<double> Retries;
};

/// Number of schedules of faults that break the bound.
int brokenSchedules(retry_world_options Options, std::uint64_t Count) {
  int Broken = 0;
  for (std::uint64_t Seed = 1; Seed <= Count; ++Seed) {
    Options.Seed = Seed;
    Broken += runRetryWorld(Options).WorstUse > 1 ? 1 : 0;
  }
  return Broken;
}

} // namespace

// clang-format off
TEST_GROUP(RetryBudget) {};
// clang-format on

// Failure: instances that are killed within a window start again with the
// slack that their predecessors have spent, and retries exceed the bound.
TEST(RetryBudget, RestartsDoNotGrantSlackAgain) {
  constexpr std::size_t Count = 9;
  constexpr std::size_t StepsPerRestart = 30;
  failing_fleet Fleet(Count);
  for (std::size_t At = 0; At < 4 * StepsPerWindow; ++At) {
    if (At % StepsPerRestart == 0)
      Fleet.restartAll();
    Fleet.serve(2, Count);
  }
  LONGS_EQUAL(0, Fleet.brokenWindows());
}

// Failure: servers begin to fail, all instances spend the budget of a whole
// window at once, are killed, and their successors spend that of their
// requests.
TEST(RetryBudget, RestartsDoNotGrantTheRatioAgain) {
  constexpr std::size_t Count = 9;
  constexpr std::size_t StepsPerRestart = 30;
  failing_fleet Fleet(Count);
  Fleet.ServersFail = false;
  for (std::size_t At = 0; At < 2 * StepsPerWindow; ++At)
    Fleet.serve(40, Count);
  Fleet.ServersFail = true;
  for (std::size_t At = 1; At <= 3 * StepsPerWindow; ++At) {
    Fleet.serve(40, Count);
    if (At % StepsPerRestart == 0)
      Fleet.restartAll();
  }
  LONGS_EQUAL(0, Fleet.brokenWindows());
}

// Failure: instances that don't know the others yet each use the slack of all.
TEST(RetryBudget, UnknownInstancesPermitNoSlack) {
  failing_fleet Fleet(9);
  for (std::size_t At = 0; At < 4 * StepsPerWindow; ++At)
    Fleet.serve(2, /*KnownInstances=*/0);
  LONGS_EQUAL(0, Fleet.brokenWindows());
}

// Failure: the slack is spent in two bursts that are less than a window apart,
// because the first one has left the counts already.
TEST(RetryBudget, BurstsWithinOneWindowShareTheSlack) {
  constexpr std::size_t Count = 9;
  constexpr std::size_t StepsApart = StepsPerWindow - 1;
  failing_fleet Fleet(Count);
  for (std::size_t At = 0; At < 2 * StepsPerWindow; ++At)
    Fleet.serve(0, Count);
  // Each offset between the bursts and the slices of the window.
  for (int Offset = 0; Offset < 8; ++Offset) {
    Fleet.serve(3, Count);
    for (std::size_t At = 1; At < StepsApart; ++At)
      Fleet.serve(0, Count);
    Fleet.serve(3, Count);
    for (std::size_t At = 0; At < StepsPerWindow + 1; ++At)
      Fleet.serve(0, Count);
  }
  LONGS_EQUAL(0, Fleet.brokenWindows());
}

// The slack is for bursts of failures; it must not be withheld for good.
TEST(RetryBudget, SlackIsAvailableAfterOneWindow) {
  constexpr std::size_t Count = 9;
  windowed_retry_budget Budget = makeRetryBudget(Bounds, Start);
  const instant Later = Start + Window + Window / 10;
  int Permitted = 0;
  while (tryAcquireRetry(Budget, "desk", Count, Later))
    ++Permitted;
  CHECK_COMPARE(Permitted, >=, 5);
}

// Failure: callers move to other instances while servers fail; those they left
// spend what they earned, the others spend it again, and retries exceed the
// bound.
TEST(RetryBudget, BoundHoldsWhileCallersMove) {
  for (const double Rate : {10.0, 30.0, 120.0, 300.0})
    LONGS_EQUAL(0, brokenSchedules({.Rate = Rate}, 60));
  LONGS_EQUAL(0, brokenSchedules({.Instances = 30, .Rate = 600}, 20));
}

// The check must find each of these faults.
TEST(RetryBudget, FaultySharesBreakTheBound) {
  CHECK(brokenSchedules({.Way = retry_way::OwnWindow}, 60) > 0);
  for (const retry_mutant Mutant :
       {retry_mutant::StartsWithSlack, retry_mutant::KeepsSlackWhileIsolated,
        retry_mutant::CountsItselfAlone})
    CHECK(brokenSchedules({.Rate = 10, .Mutant = Mutant}, 60) > 0);
}

// A whole token must be left of the requests of a quiet instance.
TEST(RetryBudget, TokensOfAQuietInstancePermitRetries) {
  windowed_retry_budget Budget = makeRetryBudget(Bounds, Start);
  int Permitted = 0;
  for (int At = 0; At < 100; ++At) {
    countRequest(Budget, "desk", Start + milliseconds(400 * At));
    Permitted += tryAcquireRetry(Budget, "desk", /*Instances=*/0,
                                 Start + milliseconds(400 * At))
                     ? 1
                     : 0;
  }
  CHECK_COMPARE(Permitted, >=, 9);
}

// Failure: an instance that the others have removed from their lists goes on
// spending the part of the slack that they have divided among themselves.
TEST(RetryBudget, SlackEndsWithTheLease) {
  constexpr std::size_t Count = 9;
  windowed_retry_budget Budget = makeRetryBudget(Bounds, Start);
  renewSlackLease(Budget, Start, Start);
  const instant Leased = Start + Window + seconds(1);
  CHECK(tryAcquireRetry(Budget, "desk", Count, Leased));
  const instant Ended = Start + InstanceListLease;
  CHECK_FALSE(tryAcquireRetry(Budget, "desk", Count, Ended));
  // A list that is already too old renews nothing.
  renewSlackLease(Budget, Start, Ended);
  CHECK_FALSE(tryAcquireRetry(Budget, "desk", Count, Ended));
  // The others may have used this part until the lease is renewed.
  renewSlackLease(Budget, Ended, Ended);
  CHECK_FALSE(tryAcquireRetry(Budget, "desk", Count, Ended));
  renewSlackLease(Budget, Ended + Window, Ended + Window);
  CHECK(tryAcquireRetry(Budget, "desk", Count, Ended + Window));
}
