// Tests from when on an instance that shuts down refuses requests.

#include "Shutdown/shutdown.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

// clang-format off
TEST_GROUP(ShutdownSchedule) {};
// clang-format on

// Failure: a request is accepted that may last longer than the process.
TEST(ShutdownSchedule, AcceptedRequestsEndBeforeTheProcess) {
  const shutdown_schedule Shutdown{instant(seconds(100)), seconds(6)};
  for (const duration Timeout : {milliseconds(0), milliseconds(500),
                                 milliseconds(1'000), milliseconds(2'600)})
    CHECK_COMPARE((refusesRequestsFrom(Shutdown, Timeout) + Timeout)
                      .time_since_epoch()
                      .count(),
                  <=, processEnd(Shutdown).time_since_epoch().count());
}

// Callers with older look-ups are served in the first half of the grace period,
// whatever the timeouts are.
TEST(ShutdownSchedule, RequestsAreAcceptedInTheFirstHalf) {
  const shutdown_schedule Shutdown{instant(seconds(100)), seconds(6)};
  for (const duration Timeout : {seconds(3), seconds(4), seconds(60)})
    CHECK(refusesRequestsFrom(Shutdown, Timeout) == instant(seconds(103)));
}
