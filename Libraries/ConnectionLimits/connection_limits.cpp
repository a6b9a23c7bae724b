#include "ConnectionLimits/connection_limits.h"

#include <algorithm>

namespace amaranthhoist {

/// Descriptors for servers, peers, the store and files: this many, or one part
/// in OwnDivisor of a small number.
static constexpr std::size_t OwnDescriptors = 600;
static constexpr std::size_t OwnDivisor = 2;
/// Parts of the rest. Other instances forward requests one a connection, and
/// many callers look up at once.
static constexpr std::size_t PeersDivisor = 8;
static constexpr std::size_t LookupsDivisor = 8;
static constexpr std::size_t ControlDivisor = 32;
/// For readiness and for metrics, which few parties ask for.
static constexpr std::size_t FewDivisor = 64;
static constexpr std::size_t MinConnections = 4;

connection_limits connectionLimits(std::int64_t FileDescriptors) {
  const auto All = static_cast<std::size_t>(FileDescriptors);
  const std::size_t Rest = All - std::min(OwnDescriptors, All / OwnDivisor);
  const auto PartOf = [Rest](std::size_t Divisor) {
    return std::max(Rest / Divisor, MinConnections);
  };
  connection_limits Limits;
  Limits.Peers = PartOf(PeersDivisor);
  Limits.Lookups = PartOf(LookupsDivisor);
  Limits.Control = PartOf(ControlDivisor);
  Limits.Readiness = PartOf(FewDivisor);
  Limits.Metrics = PartOf(FewDivisor);
  const std::size_t Others = Limits.Peers + Limits.Lookups + Limits.Control +
                             Limits.Readiness + Limits.Metrics;
  Limits.Callers = Rest - std::min(Others, Rest - MinConnections);
  return Limits;
}

} // namespace amaranthhoist
