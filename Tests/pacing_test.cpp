// Rates that all instances share without communication: the sums stay within
// the bounds.

#include "Pacing/pacing.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(Pacing) {};
// clang-format on

// Guards against overloading a server that has just started: if each of many
// instances rounds its part of less than one request a second up, the server
// receives too many requests and fails again.
TEST(Pacing, SumOfColdRatesStaysWithinBound) {
  for (std::size_t Count : {1U, 9U, 84U}) {
    for (double Rate : {1.0, 2.5, 7.2}) {
      std::vector<std::uint64_t> Instances;
      for (std::size_t Index = 0; Index < Count; ++Index)
        Instances.push_back(stableHash(std::to_string(Index)));
      std::vector<target> Views(Count);
      for (target &View : Views) {
        View.Hash = stableHash("cold");
        View.ColdUntil = instant(seconds(10));
      }
      // Requests of each tenth of a second; every instance sends what it is
      // permitted.
      std::vector<int> Sent;
      for (int Step = 0; Step < 100; ++Step) {
        const instant Now = instant(milliseconds(100 * Step));
        Sent.push_back(0);
        for (std::size_t Index = 0; Index < Count; ++Index) {
          const double Own =
              coldRate(Rate, Views[Index].Hash, Instances[Index], Instances);
          if (!admitsPacedRequest(Views[Index], Own, Now))
            continue;
          recordPacedRequest(Views[Index], Own, Now);
          ++Sent.back();
        }
      }
      int InSecond = 0;
      int Total = 0;
      for (std::size_t Step = 0; Step < Sent.size(); ++Step) {
        InSecond += Sent[Step] - (Step >= 10 ? Sent[Step - 10] : 0);
        Total += Sent[Step];
        CHECK(InSecond <= Rate * 1.5 + 5);
      }
      // The server does receive requests; otherwise it would never become warm.
      CHECK(Total >= 5);
    }
  }
}

// Guards against unbounded retries: a failing service receives twice the
// requests when each instance retries what failed.
TEST(Pacing, SumOfRetriesStaysWithinBudget) {
  constexpr std::size_t Count = 9;
  constexpr double Ratio = 0.2;
  constexpr double Slack = 58;
  std::mt19937_64 Random(3);
  std::vector<windowed_retry_budget> Budgets(Count);
  for (windowed_retry_budget &Budget : Budgets)
    Budget.Bounds = {Ratio, seconds(10), Slack};
  std::vector<int> Requests;
  std::vector<int> RetryBudget;
  for (int Step = 0; Step < 400; ++Step) {
    const instant Now = instant(seconds(1'000) + milliseconds(100 * Step));
    Requests.push_back(0);
    RetryBudget.push_back(0);
    for (windowed_retry_budget &Budget : Budgets) {
      const auto Arrivals = static_cast<int>(Random() % 4);
      for (int Index = 0; Index < Arrivals; ++Index) {
        countRequest(Budget, "desk", Now);
        ++Requests.back();
        // Every attempt fails and is retried as often as permitted.
        while (tryAcquireRetry(Budget, "desk", Count, Now))
          ++RetryBudget.back();
      }
    }
    int RequestsInWindow = 0;
    int RepeatsInWindow = 0;
    for (int Back = 0; Back < 100 && Back <= Step; ++Back) {
      RequestsInWindow += Requests[static_cast<std::size_t>(Step - Back)];
      RepeatsInWindow += RetryBudget[static_cast<std::size_t>(Step - Back)];
    }
    CHECK(RepeatsInWindow <= Ratio * RequestsInWindow + Slack);
  }
}

TEST(Pacing, SlackIsAvailableInEmptyWindow) {
  windowed_retry_budget Budget;
  Budget.Bounds = {0.2, seconds(10), 18};
  CHECK(tryAcquireRetry(Budget, "desk", 9, instant(seconds(5))));
  CHECK_FALSE(tryAcquireRetry(Budget, "desk", 9, instant(seconds(5))));
  CHECK(tryAcquireRetry(Budget, "desk", 9, instant(seconds(30))));
}

TEST(Pacing, UsageReportsInputsOfTheDecision) {
  windowed_retry_budget Budget;
  Budget.Bounds = {0.2, seconds(10), 18};
  const instant Now{seconds(5)};
  for (int Request = 0; Request < 10; ++Request)
    countRequest(Budget, "desk", Now);
  CHECK(tryAcquireRetry(Budget, "desk", 9, Now));
  recordUnchargedRetry(Budget, "desk");
  const retry_usage Usage = retryUsage(Budget, "desk", 9, Now);
  DOUBLES_EQUAL(10, Usage.Requests, 0);
  DOUBLES_EQUAL(1, Usage.Retries, 0);
  DOUBLES_EQUAL(0.5 * 0.2 * 10 + 0.8 * 18 / 9 - 1, Usage.Available, 1e-9);
  LONGS_EQUAL(1, Budget.ByService["desk"].Uncharged);
}
