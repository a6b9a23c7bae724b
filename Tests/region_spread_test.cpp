// The share of a region's work that spills over to other regions as its servers
// fill.

#include "Placement/region_spillover.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration Tick = milliseconds(100);
constexpr int Slots = 6;
/// More reports than the moving average effectively covers.
constexpr int ManyReports = 1'000;

void settleAt(region_spillover &Spread, int Requests) {
  for (int Report = 0; Report < ManyReports; ++Report)
    recordUtilization(Spread, Requests, Slots);
}

/// The largest change of the share within any window as long as the step
/// period, while the servers fill and empty.
double largestChange(region_spillover &Spread, instant From, instant Until) {
  double Largest = 0;
  std::deque<double> Shares;
  for (instant Now = From; Now < Until; Now += Tick) {
    updateSpillover(Spread, Now);
    Shares.push_back(Spread.Share);
    if (Shares.size() > static_cast<std::size_t>(SpilloverStepPeriod / Tick))
      Shares.pop_front();
    const auto [Least, Most] =
        std::minmax_element(Shares.begin(), Shares.end());
    Largest = std::max(Largest, *Most - *Least);
  }
  return Largest;
}

} // namespace

// clang-format off
TEST_GROUP(RegionSpread) {};
// clang-format on

TEST(RegionSpread, NoSpilloverWhileServersHaveCapacity) {
  region_spillover Spread;
  settleAt(Spread, Slots);
  largestChange(Spread, instant(), instant(seconds(60)));
  DOUBLES_EQUAL(0, Spread.Share, 0);
}

// Guards against moving the work in one step when servers fill or empty at
// once.
TEST(RegionSpread, AtMostOneStepPerWindow) {
  region_spillover Spread;
  settleAt(Spread, 4 * Slots);
  const double WhenFilling =
      largestChange(Spread, instant(), instant(seconds(30)));
  DOUBLES_EQUAL(MaxSpillover, Spread.Share, 1e-9);
  settleAt(Spread, 0);
  const double WhenEmptying =
      largestChange(Spread, instant(seconds(30)), instant(seconds(60)));
  DOUBLES_EQUAL(0, Spread.Share, 1e-9);
  DOUBLES_EQUAL(SpilloverStep, WhenFilling, 1e-9);
  DOUBLES_EQUAL(SpilloverStep, WhenEmptying, 1e-9);
}

// Guards against objects moving away and back each time that the load
// oscillates around a threshold.
TEST(RegionSpread, ShareIsConstantBetweenThresholds) {
  region_spillover Spread;
  settleAt(Spread, 2 * Slots);
  updateSpillover(Spread, instant());
  const double Before = Spread.Share;
  settleAt(Spread, Slots - 1);
  CHECK(Before > 0);
  DOUBLES_EQUAL(
      0, largestChange(Spread, instant(seconds(2)), instant(seconds(60))), 0);
  DOUBLES_EQUAL(Before, Spread.Share, 0);
}

TEST(RegionSpread, IgnoresReportWithoutSlots) {
  region_spillover Spread;
  recordUtilization(Spread, 3, 0);
  DOUBLES_EQUAL(0, Spread.Utilization, 0);
}
