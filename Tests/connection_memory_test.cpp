// The memory for responses that callers have not taken yet, and for requests.

#include "ConnectionMemory/connection_memory.h"

#include <CppUTest/TestHarness.h>
#include <memory>
#include <vector>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(ConnectionMemory) {};
// clang-format on

TEST(ConnectionMemory, FewSlowCallersHaveLongBuffers) {
  memory_account Memory;
  setMemoryLimit(Memory, 260);
  LONGS_EQUAL(65'000'000, Memory.LimitBytes);
  memory_share One(Memory);
  One.set(262'144);
  LONGS_EQUAL(262'144, unsentAllowance(Memory));
}

// Failure: each slow caller has a limit, and all together exceed the memory of
// the instance.
TEST(ConnectionMemory, SumOfAllowancesStaysWithinTheLimit) {
  memory_account Memory;
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

TEST(ConnectionMemory, NothingIsAllowedBeyondTheLimit) {
  memory_account Memory;
  setMemoryLimit(Memory, 32);
  memory_share One(Memory);
  One.set(Memory.LimitBytes + 1);
  LONGS_EQUAL(0, unsentAllowance(Memory));
  CHECK(isUsedUp(Memory));
  One.set(0);
  CHECK_FALSE(isUsedUp(Memory));
}

namespace {

/// A connection that holds some bytes of an account.
struct test_holder : memory_holder {
  test_holder(memory_account &Memory, std::size_t Bytes)
      : Memory(Memory), Share(Memory) {
    Share.set(Bytes);
    Memory.Holders.insert(this);
  }
  ~test_holder() override { Memory.Holders.erase(this); }
  [[nodiscard]] std::size_t heldBytes() const override { return Share.bytes(); }
  void drop() override { Share.set(0); }

  memory_account &Memory;
  memory_share Share;
};

} // namespace

// Failure: a crowd of callers takes the memory for requests, and ordinary
// callers are closed for it.
TEST(ConnectionMemory, ThoseThatHoldMostAreDropped) {
  memory_account Memory;
  setRequestLimit(Memory, /*OwnMb=*/1, /*MemoryMb=*/260);
  std::vector<std::unique_ptr<test_holder>> All;
  All.reserve(100);
  for (int Caller = 0; Caller < 50; ++Caller)
    All.push_back(std::make_unique<test_holder>(Memory, 2'000));
  CHECK(holdersToDrop(Memory).empty());
  for (int Caller = 0; Caller < 50; ++Caller)
    All.push_back(std::make_unique<test_holder>(Memory, 20'000));
  CHECK(isUsedUp(Memory));
  for (memory_holder *Holder : holdersToDrop(Memory)) {
    LONGS_EQUAL(20'000, Holder->heldBytes());
    Holder->drop();
  }
  CHECK(Memory.UsedBytes <= Memory.LimitBytes * 7 / 8);
  CHECK(Memory.UsedBytes > Memory.LimitBytes * 3 / 4);
  CHECK(holdersToDrop(Memory).empty());
}

TEST(ConnectionMemory, RequestsHaveAPartOfTheMemoryOrTheirOwnLimit) {
  memory_account Memory;
  setRequestLimit(Memory, /*OwnMb=*/0, /*MemoryMb=*/260);
  LONGS_EQUAL(32'500'000, Memory.LimitBytes);
  setRequestLimit(Memory, /*OwnMb=*/5, /*MemoryMb=*/260);
  LONGS_EQUAL(5'000'000, Memory.LimitBytes);
}

TEST(ConnectionMemory, AllowancesForInputShrinkWithTheCallers) {
  memory_account Memory;
  setRequestLimit(Memory, /*OwnMb=*/4, /*MemoryMb=*/260);
  LONGS_EQUAL(65'536, inputAllowance(Memory));
  std::vector<std::unique_ptr<test_holder>> All;
  All.reserve(200);
  for (int Caller = 0; Caller < 200; ++Caller)
    All.push_back(std::make_unique<test_holder>(Memory, 0));
  LONGS_EQUAL(10'000, inputAllowance(Memory));
  for (const auto &Holder : All)
    Holder->Share.set(inputAllowance(Memory));
  CHECK_FALSE(isUsedUp(Memory));
  memory_share Rest(Memory);
  Rest.set(Memory.LimitBytes);
  LONGS_EQUAL(4'096, inputAllowance(Memory));
}
