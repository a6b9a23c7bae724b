// Tests that no party can keep the event loop from the others.

#include "EventLoop/event_loop.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(EventLoop) {};
// clang-format on

// Failure: work that goes on by a timer that is due at once keeps the loop from
// all events.
TEST(EventLoop, TimersThatAreDueAtOnceRunInTheNextIteration) {
  constexpr int Runs = 100;
  event_loop Loop;
  int Iterations = 0;
  int Timers = 0;
  std::function<void()> GoOn = [&] {
    if (++Timers == Runs)
      Loop.stop();
    else
      Loop.runAfter(duration(-1), GoOn);
  };
  Loop.atEndOfIteration([&] { ++Iterations; });
  Loop.runAfter(duration::zero(), GoOn);
  Loop.run();
  LONGS_EQUAL(Runs, Timers);
  LONGS_EQUAL(Runs, Iterations);
}
