#include "ResponseMemory/response_memory.h"

#include <algorithm>

namespace amaranthhoist {

/// One part in this many of the instance's memory. Request bodies may use as
/// much, and each connection may exceed its share by one read from its server.
static constexpr std::int64_t MemoryDivisor = 4;
/// One part in this many of what is free.
static constexpr std::size_t FreeDivisor = 4;
/// No more is of use to one caller: several windows of a far one.
static constexpr std::size_t MaxAllowance = 262'144;

void setMemoryLimit(response_memory &Memory, std::int64_t MemoryMb) {
  Memory.LimitBytes =
      static_cast<std::size_t>(MemoryMb * 1'000'000 / MemoryDivisor);
}

std::size_t unsentAllowance(const response_memory &Memory) {
  const std::size_t Free =
      Memory.LimitBytes - std::min(Memory.UsedBytes, Memory.LimitBytes);
  return std::min(Free / FreeDivisor, MaxAllowance);
}

bool isUsedUp(const response_memory &Memory) {
  return Memory.UsedBytes >= Memory.LimitBytes;
}

} // namespace amaranthhoist
