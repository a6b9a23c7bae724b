// Tests the failure detector in fleets whose instances lose datagrams.

#include "lossy_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(Membership) {};
// clang-format on

// Guards against lookups that leave out live instances for 4 to 6 s, two or
// three at a time, on a day without a fault. The saturated link of a small
// instance drops datagrams; one prober suspects it, all others accept the
// suspicion without verifying it and without notifying the suspected instance,
// whose refutation reaches each of them seconds later. Of 295 instances, one in
// thirty loses a third of its datagrams in either direction for ten seconds.
TEST(Membership, LiveMemberIsNotDroppedForLong) {
  lossy_fleet Fleet({.Instances = 295, .Delay = milliseconds(20)});
  for (std::size_t Saturated = 0; Saturated < 295; Saturated += 30)
    Fleet.Losses[nameOf(Saturated)] = 0.33;
  Fleet.run(seconds(10));
  Fleet.Losses.clear();
  Fleet.run(seconds(3));
  CHECK_COMPARE(Fleet.longestFalseDown().count(), <=,
                duration(milliseconds(1'500)).count());
}

// Dead members are dropped by all instances within the time after which lookups
// must no longer return them.
TEST(Membership, DeadMembersAreDroppedByAll) {
  lossy_fleet Fleet({.Instances = 295, .Delay = milliseconds(20)});
  Fleet.run(seconds(2));
  for (std::size_t Dead = 0; Dead < 33; ++Dead)
    Fleet.Losses[nameOf(Dead)] = 1;
  Fleet.run(seconds(6));
  std::size_t NotDropped = 0;
  for (std::size_t Dead = 0; Dead < 33; ++Dead)
    // The 33 dead instances have no current view of each other.
    NotDropped += Fleet.countUpViews(nameOf(Dead)) > 33 ? 1 : 0;
  UNSIGNED_LONGS_EQUAL(0, NotDropped);
}
