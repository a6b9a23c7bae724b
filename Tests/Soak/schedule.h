/// Draws the faults of one run from its seed. Has no side effects.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthhoist {

enum class fault_kind : std::uint8_t {
  // Node processes.
  Kill,
  Terminate,
  Pause,
  Reload,
  // The store, and the link between one node and the store.
  StoreSilent,
  StoreRefuses,
  StoreAway,
  StoreLosesHistory,
  StoreLinkSilent,
  StoreLinkDelayed,
  StoreLinkOneWay,
  StoreLinkReset,
  // Backend servers and the links to them.
  ServerSheds,
  ServerLosesResponses,
  ServerTruncatesBody,
  ServerSendsGarbage,
  ServerRespondsTwice,
  ServerUnsigned,
  ServerSilent,
  ServerSlow,
  ServerAway,
  ServerLinkSilent,
  ServerLinkDelayed,
  ServerLinkOneWay,
  ServerLinkReset,
  // Planned changes.
  Drain,
  Configure,
  Evacuate,
  // Servers that request backoff or announce that they are draining, and a
  // request that crashes the servers executing it.
  ServerRequestsBackoff,
  ServerAnnouncesDraining,
  DeadlyRequest,
  // The store comes back from an earlier copy.
  StoreRestored,
};
inline constexpr std::size_t FaultKinds = 32;

std::string_view toString(fault_kind Kind);

struct fault {
  fault_kind Kind = fault_kind::Kill;
  /// Offset from the start of traffic.
  duration At{};
  duration For{};
  /// Index of the node or server, modulo their number.
  std::size_t Subject = 0;
};

struct schedule_limits {
  duration Length = std::chrono::seconds(6);
  std::size_t Fewest = 3;
  std::size_t Most = 12;
};

/// Returns the faults ordered by start time. Faults may overlap, also on the
/// same subject.
std::vector<fault> makeSchedule(std::uint64_t Seed,
                                const schedule_limits &Limits);

} // namespace amaranthhoist
