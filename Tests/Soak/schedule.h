/// The faults of one run, drawn from its seed. Pure.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthhoist {

enum class fault_kind : std::uint8_t {
  // Processes of nodes.
  Kill,
  Terminate,
  Pause,
  Reload,
  // The store, and one node's link to it.
  StoreSilent,
  StoreRefuses,
  StoreAway,
  StoreForgets,
  StoreLinkSilent,
  StoreLinkDelayed,
  StoreLinkOneWay,
  StoreLinkReset,
  // Backend servers and the links to them.
  ServerSheds,
  ServerLosesAnswers,
  ServerBreaksOff,
  ServerGarbles,
  ServerAnswersTwice,
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
  // Servers that ask for rest, or say themselves that they leave; a request
  // that crashes those which run it.
  ServerRests,
  ServerLeaves,
  DeadlyRequest,
};
inline constexpr std::size_t FaultKinds = 31;

std::string_view toString(fault_kind Kind);

struct fault {
  fault_kind Kind = fault_kind::Kill;
  /// From the start of traffic.
  duration At{};
  duration For{};
  /// Which node or server, modulo their number.
  std::size_t Subject = 0;
};

struct schedule_limits {
  duration Length = std::chrono::seconds(6);
  std::size_t Fewest = 3;
  std::size_t Most = 12;
};

/// Faults in the order of their beginnings; they may overlap, also on one
/// subject.
std::vector<fault> makeSchedule(std::uint64_t Seed,
                                const schedule_limits &Limits);

} // namespace amaranthhoist
