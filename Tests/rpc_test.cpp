// Tests the event loop that runs the daemons' decisions and calls.

#include "Rpc/rpc.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(Rpc) {};
// clang-format on

// Guards against a caller's request that stays in an entry forever. The failure
// occurs when the request is posted to the loop, its caller disconnects at
// once, and the disconnect is passed to the loop by run(): the loop processes
// the disconnect first, finds no such request, and starts the request
// afterwards. The cause was that run() overtook functions that the same thread
// had posted before.
TEST(Rpc, RunExecutesAfterEarlierPosts) {
  rpc_loop Loop;
  constexpr int Rounds = 2'000;
  int Overtaken = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    bool IsPostedDone = false;
    Loop.post([&] { IsPostedDone = true; });
    Loop.run([&] { Overtaken += IsPostedDone ? 0 : 1; });
    // Completes this round, so that no posted function is left.
    Loop.run([] {});
  }
  LONGS_EQUAL(0, Overtaken);
}

// Functions posted by several threads run in the order of each thread's calls.
TEST(Rpc, PreservesPostOrderPerThread) {
  rpc_loop Loop;
  std::vector<int> Seen;
  constexpr int Posts = 1'000;
  for (int Number = 0; Number < Posts; ++Number)
    Loop.post([&Seen, Number] { Seen.push_back(Number); });
  Loop.run([] {});
  LONGS_EQUAL(Posts, Seen.size());
  for (int Number = 0; Number < Posts; ++Number)
    LONGS_EQUAL(Number, Seen[static_cast<std::size_t>(Number)]);
}
