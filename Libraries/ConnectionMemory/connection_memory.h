/// Accounts of the memory that connections of others cause at an instance. Each
/// connection alone has limits; an account bounds their sum. A connection may
/// use a share of what is free (dynamic thresholds), so that a few have long
/// buffers, and thousands fit. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <absl/container/flat_hash_set.h>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranthhoist {

/// A connection that may be closed to free memory.
class memory_holder {
public:
  virtual ~memory_holder() = default;
  /// Bytes of the account that are free once it was closed.
  [[nodiscard]] virtual std::size_t heldBytes() const = 0;
  /// Closes the connection.
  virtual void drop() = 0;
};

struct memory_account {
  std::size_t LimitBytes = 0;
  std::size_t UsedBytes = 0;
  /// Connections that may be closed; empty if none may.
  absl::flat_hash_set<memory_holder *> Holders;
};

/// Bytes of one connection or request that count towards an account.
class memory_share {
public:
  explicit memory_share(memory_account &Memory) : Memory(Memory) {}
  ~memory_share() { set(0); }
  memory_share(const memory_share &) = delete;
  memory_share &operator=(const memory_share &) = delete;

  /// Sets the number of bytes that are held.
  void set(std::size_t NewBytes) {
    Memory.UsedBytes = Memory.UsedBytes - Bytes + NewBytes;
    Bytes = NewBytes;
  }
  [[nodiscard]] std::size_t bytes() const { return Bytes; }

private:
  memory_account &Memory;
  std::size_t Bytes = 0;
};

/// Sets the limit for unsent responses of an instance that may use \p MemoryMb
/// megabytes in all.
void setMemoryLimit(memory_account &Memory, std::int64_t MemoryMb);

/// Sets the limit for requests: \p OwnMb megabytes or, if that is 0, a part of
/// the \p MemoryMb megabytes that the instance may use in all.
void setRequestLimit(memory_account &Memory, std::int64_t OwnMb,
                     std::int64_t MemoryMb);

/// Bytes that one connection may hold before it takes no more from servers.
std::size_t unsentAllowance(const memory_account &Memory);

/// Bytes that one connection may buffer, out of an equal part of what is free,
/// but for a minimum, which an ordinary request fits into.
std::size_t inputAllowance(const memory_account &Memory);

/// Whether no further request can be served, because it or its response would
/// find no room.
bool isUsedUp(const memory_account &Memory);

/// Returns the connections to be closed, those that hold most first; none while
/// the account is within its limit. They leave some room, so that not every
/// byte that comes next closes another one.
std::vector<memory_holder *> holdersToDrop(const memory_account &Memory);

} // namespace amaranthhoist
