// The memory for responses that callers have not taken yet.

#include "ResponseMemory/response_memory.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(ResponseMemory) {};
// clang-format on

TEST(ResponseMemory, FewSlowCallersHaveLongBuffers) {
  response_memory Memory;
  setMemoryLimit(Memory, 260);
  LONGS_EQUAL(65'000'000, Memory.LimitBytes);
  memory_share One(Memory);
  One.set(262'144);
  LONGS_EQUAL(262'144, unsentAllowance(Memory));
}

// Failure: each slow caller has a limit, and all together exceed the memory of
// the instance.
TEST(ResponseMemory, SumOfAllowancesStaysWithinTheLimit) {
  response_memory Memory;
  setMemoryLimit(Memory, 260);
  std::vector<std::unique_ptr<memory_share>> All;
  for (int Caller = 0; Caller < 5'000; ++Caller) {
    All.push_back(std::make_unique<memory_share>(Memory));
    All.back()->set(unsentAllowance(Memory));
  }
  CHECK(Memory.UsedBytes < Memory.LimitBytes);
  CHECK_FALSE(isUsedUp(Memory));
  All.clear();
  LONGS_EQUAL(0, Memory.UsedBytes);
}

TEST(ResponseMemory, NothingIsAllowedBeyondTheLimit) {
  response_memory Memory;
  setMemoryLimit(Memory, 32);
  memory_share One(Memory);
  One.set(Memory.LimitBytes + 1);
  LONGS_EQUAL(0, unsentAllowance(Memory));
  CHECK(isUsedUp(Memory));
  One.set(0);
  CHECK_FALSE(isUsedUp(Memory));
}
