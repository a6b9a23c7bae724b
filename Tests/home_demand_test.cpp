// Room for requests that may run in one region only, in a region with few
// servers and many requests of its own.

#include "Placement/home_demand.h"
#include "Steering/steering.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

/// A small region beside two large ones.
const std::vector<double> Slots = {160, 640, 800};

} // namespace

// clang-format off
TEST_GROUP(HomeDemand) {};
// clang-format on

TEST(HomeDemand, WithoutHomesAllSlotsAreLeft) {
  home_demand Demand;
  for (int Request = 0; Request < 100; ++Request)
    countRequest(Demand, {}, 3);
  updateShares(Demand, {});
  CHECK(slotsForOthers(Slots, Demand) == Slots);
}

// Guards against a small region whose servers are filled by requests that could
// run elsewhere, while an account may run only there.
TEST(HomeDemand, RegionOfAHomedAccountKeepsRoomForIt) {
  home_demand Demand;
  const std::vector<double> Expected = {0.1, 0, 0};
  updateShares(Demand, Expected);
  const std::vector<double> Left = slotsForOthers(Slots, Demand);
  DOUBLES_EQUAL(160 - 0.7 * 0.1 * 1'600, Left[0], 1e-6);
  DOUBLES_EQUAL(640, Left[1], 1e-6);
}

TEST(HomeDemand, SharesFollowTheRequestsInSmallSteps) {
  home_demand Demand;
  const std::vector<std::size_t> Home = {0};
  double Before = 0;
  for (int Interval = 0; Interval < 100; ++Interval) {
    for (int Request = 0; Request < 10; ++Request)
      countRequest(Demand,
                   Request < 2 ? std::span(Home) : std::span<std::size_t>(), 3);
    updateShares(Demand, {});
    CHECK(Demand.Shares[0] - Before <= 0.011);
    Before = Demand.Shares[0];
  }
  DOUBLES_EQUAL(0.2, Demand.Shares[0], 0.01);
}

// Guards against a region that is given up entirely.
TEST(HomeDemand, SomeSlotsAreAlwaysLeft) {
  home_demand Demand;
  const std::vector<double> Expected = {0.9, 0, 0};
  updateShares(Demand, Expected);
  CHECK(slotsForOthers(Slots, Demand)[0] > 0);
}

TEST(HomeDemand, LimitsOfAccountsSuggestTheShares) {
  steering Steering;
  Steering.Targets.Regions = {"x", "y"};
  configuration Configuration;
  Configuration.Version = 1;
  client_account Homed;
  Homed.Name = "one";
  Homed.RequestsPerSecond = 25;
  Homed.HomeRegions = {"y"};
  client_account Other;
  Other.Name = "two";
  Other.RequestsPerSecond = 75;
  Configuration.Accounts = {Homed, Other};
  applyConfiguration(Steering, Configuration);
  DOUBLES_EQUAL(0, Steering.ExpectedHomeShares[0], 0);
  DOUBLES_EQUAL(0.25, Steering.ExpectedHomeShares[1], 1e-9);
}
