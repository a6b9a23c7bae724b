#include "ConnectionMemory/connection_memory.h"

#include <algorithm>
#include <utility>

namespace amaranthhoist {

/// One part in this many of the instance's memory is for unsent responses.
/// Request bodies may use as much, and each connection may exceed its share by
/// one read from its server.
static constexpr std::int64_t ResponseDivisor = 4;
/// One part in this many is for requests without their bodies.
static constexpr std::int64_t RequestDivisor = 8;
/// One part in this many of what is free.
static constexpr std::size_t FreeDivisor = 4;
/// No more is of use to one caller: several windows of a far one.
static constexpr std::size_t MaxAllowance = 262'144;
/// Several ordinary requests.
static constexpr std::size_t MinInput = 4'096;
/// More is left to the kernel's buffers.
static constexpr std::size_t MaxInput = 65'536;
/// An account that exceeds its limit is brought below it by one part in this
/// many.
static constexpr std::size_t RoomDivisor = 8;

static std::size_t freeBytes(const memory_account &Memory) {
  return Memory.LimitBytes - std::min(Memory.UsedBytes, Memory.LimitBytes);
}

void setMemoryLimit(memory_account &Memory, std::int64_t MemoryMb) {
  Memory.LimitBytes =
      static_cast<std::size_t>(MemoryMb * 1'000'000 / ResponseDivisor);
}

void setRequestLimit(memory_account &Memory, std::int64_t OwnMb,
                     std::int64_t MemoryMb) {
  const std::int64_t Limit =
      OwnMb > 0 ? OwnMb * 1'000'000 : MemoryMb * 1'000'000 / RequestDivisor;
  Memory.LimitBytes = static_cast<std::size_t>(Limit);
}

std::size_t unsentAllowance(const memory_account &Memory) {
  return std::min(freeBytes(Memory) / FreeDivisor, MaxAllowance);
}

std::size_t inputAllowance(const memory_account &Memory) {
  const std::size_t Connections =
      std::max<std::size_t>(Memory.Holders.size(), 1);
  return std::clamp(freeBytes(Memory) / (2 * Connections), MinInput, MaxInput);
}

bool isUsedUp(const memory_account &Memory) {
  return Memory.UsedBytes >= Memory.LimitBytes;
}

std::vector<memory_holder *> holdersToDrop(const memory_account &Memory) {
  std::vector<memory_holder *> Chosen;
  if (Memory.UsedBytes <= Memory.LimitBytes)
    return Chosen;
  std::vector<std::pair<std::size_t, memory_holder *>> BySize;
  BySize.reserve(Memory.Holders.size());
  for (memory_holder *Holder : Memory.Holders)
    BySize.emplace_back(Holder->heldBytes(), Holder);
  std::sort(BySize.begin(), BySize.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  const std::size_t Wanted =
      Memory.LimitBytes - Memory.LimitBytes / RoomDivisor;
  std::size_t Left = Memory.UsedBytes;
  for (const auto &[Bytes, Holder] : BySize) {
    if (Left <= Wanted || Bytes == 0)
      break;
    Left -= std::min(Bytes, Left);
    Chosen.push_back(Holder);
  }
  return Chosen;
}

} // namespace amaranthhoist
