// What operators read from the metrics address.

#include "Metrics/metrics.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(Metrics) {};
// clang-format on

// Work that changes its region can't be told apart by its reason: other
// decisions, slower ways there, or repeats.
TEST(Metrics, AttemptsAreCountedByRegionConnectionAndRepeat) {
  metrics_registry Metrics;
  Metrics.countAttempt({"north", false, false});
  Metrics.countAttempt({"north", false, false});
  Metrics.countAttempt({"south", true, true});
  const std::string Text = Metrics.expose();
  const char *First = "amaranthhoist_attempts_total{region=\"north\","
                      "connection=\"new\",attempt=\"first\"} 2\n";
  const char *Repeat = "amaranthhoist_attempts_total{region=\"south\","
                       "connection=\"kept\",attempt=\"repeat\"} 1\n";
  CHECK(Text.find(First) != std::string::npos);
  CHECK(Text.find(Repeat) != std::string::npos);
}
