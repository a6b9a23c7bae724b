// Tests how soon a fleet finds out that one instance is lost, at every size.

#include "lossy_fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// After this time no running instance may name the lost one.
constexpr duration MaxDetectionTime = seconds(3);
constexpr duration Tick = milliseconds(150);

lossy_fleet_options fleetOf(std::size_t Instances, std::uint64_t Seed,
                            double Loss = 0) {
  return {.Instances = Instances,
          .Delay = milliseconds(1),
          .RegionDelay = milliseconds(35),
          .FailureDomains = std::min<std::size_t>(6, Instances),
          .Regions = 3,
          .Loss = Loss,
          .Seed = Seed};
}

/// Times until running instances took the lost one as not up.
struct detection {
  std::vector<duration> First;
  std::vector<duration> Each;
  duration LongestFalseDown{};
};

/// Loses one instance of a fleet, and measures.
void addLoss(detection &Detection, const lossy_fleet_options &Options) {
  lossy_fleet Fleet(Options);
  Fleet.run(seconds(3) + milliseconds(10 * (Options.Seed % 50)));
  const std::size_t Lost = Options.Seed % Options.Instances;
  Fleet.kill(Lost);
  std::size_t Unaware = Options.Instances - 1;
  for (duration Passed = Tick; Unaware > 0 && Passed <= seconds(9);
       Passed += Tick) {
    Fleet.run(Tick);
    const std::size_t Left = Fleet.countUpViews(nameOf(Lost));
    if (Left < Unaware && Unaware == Options.Instances - 1)
      Detection.First.push_back(Passed);
    for (; Unaware > Left; --Unaware)
      Detection.Each.push_back(Passed);
  }
  for (; Unaware > 0; --Unaware)
    Detection.Each.push_back(seconds(9));
  Detection.LongestFalseDown =
      std::max(Detection.LongestFalseDown, Fleet.longestFalseDown());
}

double quantile(std::vector<duration> &Times, double Share) {
  if (Times.empty())
    return 0;
  std::sort(Times.begin(), Times.end());
  const auto Index = std::min(
      Times.size() - 1,
      static_cast<std::size_t>(Share * static_cast<double>(Times.size())));
  return static_cast<double>(Times[Index].count()) / 1e6;
}

void print(std::size_t Instances, double Loss, detection &Detection) {
  std::printf("%4zu instances, loss %.2f: first %.2f %.2f %.2f, each %.2f "
              "%.2f %.2f %.2f s, longest false %.2f s\n",
              Instances, Loss, quantile(Detection.First, 0.5),
              quantile(Detection.First, 0.9), quantile(Detection.First, 0.99),
              quantile(Detection.Each, 0.5), quantile(Detection.Each, 0.9),
              quantile(Detection.Each, 0.99), quantile(Detection.Each, 1),
              static_cast<double>(Detection.LongestFalseDown.count()) / 1e6);
}

} // namespace

// clang-format off
TEST_GROUP(LossDetection) {};
// clang-format on

// Failure: a small fleet names an instance without power for seconds, since
// each node that misses its ack takes itself as cut off.
TEST(LossDetection, OneLostInstanceIsNoticedByAllInTime) {
  for (const std::size_t Instances : {3, 9, 11, 30, 66}) {
    detection Detection;
    for (std::uint64_t Seed = 1; Seed <= 30; ++Seed)
      addLoss(Detection, fleetOf(Instances, Seed));
    print(Instances, 0, Detection);
    UNSIGNED_LONGS_EQUAL(30 * (Instances - 1), Detection.Each.size());
    CHECK_COMPARE(quantile(Detection.Each, 1), <=,
                  static_cast<double>(MaxDetectionTime.count()) / 1e6);
    CHECK_EQUAL(0, Detection.LongestFalseDown.count());
  }
}

// The same on paths that lose one datagram in a hundred, or in five.
TEST(LossDetection, LossyPathsDropNoRunningInstanceForLong) {
  for (const double Loss : {0.01, 0.2}) {
    detection Detection;
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
      addLoss(Detection, fleetOf(11, Seed, Loss));
    print(11, Loss, Detection);
    CHECK_COMPARE(Detection.LongestFalseDown.count(), <=,
                  duration(seconds(1)).count());
  }
}

// By hand: all sizes and further seeds, AMARANTHHOIST_SEEDS of them.
TEST(LossDetection, Table) {
  const char *Seeds = std::getenv("AMARANTHHOIST_SEEDS");
  if (!Seeds)
    return;
  for (const std::size_t Instances : {3, 9, 11, 30, 66, 295, 986}) {
    detection Detection;
    for (std::uint64_t Seed = 1; Seed <= std::strtoull(Seeds, nullptr, 10);
         ++Seed)
      addLoss(Detection, fleetOf(Instances, Seed));
    print(Instances, 0, Detection);
  }
}

// Failure: an instance that restarts names others that were lost long before,
// for nobody tells it: updates are sent a limited number of times.
TEST(LossDetection, RestartedInstancesLearnWhoIsLost) {
  for (const std::size_t Instances : {3, 9, 11, 30, 66})
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      lossy_fleet Fleet(fleetOf(Instances, Seed));
      Fleet.run(seconds(2));
      const std::size_t Lost = Seed % Instances;
      const std::size_t Restarted = (Seed + 1) % Instances;
      Fleet.kill(Lost);
      Fleet.run(seconds(9));
      Fleet.kill(Restarted);
      Fleet.run(milliseconds(500));
      Fleet.restart(Restarted);
      Fleet.run(milliseconds(600));
      UNSIGNED_LONGS_EQUAL(0, Fleet.countUpViews(nameOf(Lost)));
    }
}

// Failure: an instance that was cut off while another one was lost names it
// when it returns, since it missed the updates.
TEST(LossDetection, ReturningInstancesLearnWhoIsLost) {
  for (const std::size_t Instances : {9, 11, 30, 66})
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      lossy_fleet Fleet(fleetOf(Instances, Seed));
      Fleet.run(seconds(2));
      const std::size_t Lost = Seed % Instances;
      const std::size_t CutOff = (Seed + 1) % Instances;
      Fleet.Losses[nameOf(CutOff)] = 1;
      Fleet.kill(Lost);
      Fleet.run(seconds(9));
      Fleet.Losses.clear();
      Fleet.run(seconds(2));
      UNSIGNED_LONGS_EQUAL(0, Fleet.countUpViews(nameOf(Lost)));
      UNSIGNED_LONGS_EQUAL(
          0, Fleet.countWrongViews([&](auto Index) { return Index == Lost; }));
    }
}
