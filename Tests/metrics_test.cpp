// Tests the text that operators scrape from the metrics address.

#include "Metrics/metrics.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(Metrics) {};
// clang-format on

// Guards against metrics that do not show why requests move to another region:
// different routing decisions, slower connections, or retries.
TEST(Metrics, CountsAttemptsByRegionConnectionAndRetry) {
  metrics_registry Metrics;
  Metrics.countAttempt({"north", false, false});
  Metrics.countAttempt({"north", false, false});
  Metrics.countAttempt({"south", true, true});
  const std::string Text = Metrics.expose();
  const char *First = "amaranthhoist_attempts_total{region=\"north\","
                      "connection=\"new\",attempt=\"first\"} 2\n";
  const char *Retry = "amaranthhoist_attempts_total{region=\"south\","
                      "connection=\"kept\",attempt=\"repeat\"} 1\n";
  CHECK(Text.find(First) != std::string::npos);
  CHECK(Text.find(Retry) != std::string::npos);
}
