/// Shares an instance's memory for responses that callers have not taken yet.
/// A connection may hold a share of what is free (dynamic thresholds), so that
/// a few slow callers have long buffers, and thousands fit. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <cstdint>

namespace amaranthhoist {

struct response_memory {
  std::size_t LimitBytes = 0;
  std::size_t UsedBytes = 0;
};

/// Bytes of one connection that count towards a response_memory.
class memory_share {
public:
  explicit memory_share(response_memory &Memory) : Memory(Memory) {}
  ~memory_share() { set(0); }
  memory_share(const memory_share &) = delete;
  memory_share &operator=(const memory_share &) = delete;

  /// Sets the number of bytes that the connection holds.
  void set(std::size_t NewBytes) {
    Memory.UsedBytes = Memory.UsedBytes - Bytes + NewBytes;
    Bytes = NewBytes;
  }
  [[nodiscard]] std::size_t bytes() const { return Bytes; }

private:
  response_memory &Memory;
  std::size_t Bytes = 0;
};

/// Sets the limit of an instance that may use \p MemoryMb megabytes in all.
void setMemoryLimit(response_memory &Memory, std::int64_t MemoryMb);

/// Bytes that one connection may hold before it takes no more from servers.
std::size_t unsentAllowance(const response_memory &Memory);

/// Whether no further request can be served, because its response would find no
/// room.
bool isUsedUp(const response_memory &Memory);

} // namespace amaranthhoist
