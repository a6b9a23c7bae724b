// How the descriptors of a process are divided among its listeners.

#include "ConnectionLimits/connection_limits.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(ConnectionLimits) {};
// clang-format on

// Failure: two listeners may have the same descriptors, and a small limit wraps
// around.
TEST(ConnectionLimits, ListenersTogetherLeaveSomeToTheInstance) {
  for (std::int64_t Descriptors : {64, 100, 600, 1'200, 4'100, 1'000'000}) {
    const connection_limits Limits = connectionLimits(Descriptors);
    const std::size_t Sum = Limits.Callers + Limits.Peers + Limits.Lookups +
                            Limits.Control + Limits.Readiness + Limits.Metrics;
    CHECK(Sum <= static_cast<std::size_t>(Descriptors) -
                     std::min<std::size_t>(600, Descriptors / 2));
    CHECK(Limits.Callers > Limits.Peers);
    CHECK(Limits.Metrics >= 4);
  }
}
