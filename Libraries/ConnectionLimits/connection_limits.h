/// Connections that each listener of an instance may have. Each has descriptors
/// of its own, so that a crowd at one leaves the others theirs. Sans-I/O.
#pragma once

#include <cstddef>
#include <cstdint>

namespace amaranthhoist {

struct connection_limits {
  std::size_t Callers = 0;
  std::size_t Peers = 0;
  std::size_t Lookups = 0;
  std::size_t Control = 0;
  std::size_t Readiness = 0;
  std::size_t Metrics = 0;
};

/// Divides the \p FileDescriptors that the process may use. Some are left for
/// connections to servers, peers and the store, and for files.
connection_limits connectionLimits(std::int64_t FileDescriptors);

} // namespace amaranthhoist
