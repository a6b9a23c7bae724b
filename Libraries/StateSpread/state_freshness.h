/// How recent the state of an instance that asks the store itself is known to
/// be. Only a check that reads the configuration as it is at the store counts:
/// a response to any other call shows that the store responds, and nothing
/// about this state. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <optional>

namespace amaranthhoist {

/// Period of the checks.
inline constexpr duration CheckPeriod = std::chrono::milliseconds(1'000);

struct state_freshness {
  /// The state is at least as recent as the store's was at this time.
  instant ConfirmedAt{};
  /// Time that the last answered check took.
  duration ResponseTime{};
};

/// Records that the check sent at \p SentAt was answered.
void recordCheck(state_freshness &Freshness, instant SentAt, instant Now);

/// Whether the state counts as current: the next check isn't overdue.
bool isConfirmed(const state_freshness &Freshness, instant Now);

/// What an instance knows of the time since its state was confirmed.
struct informed_inputs {
  /// Age of the state.
  duration StateAge{};
  /// Time since this process completed its bootstrap.
  duration SinceBootstrap{};
  std::size_t OtherInstances = 0;
  /// Those of them that count as suspected or down.
  std::size_t InstancesDown = 0;
  /// Time since this instance was last isolated from all others; none if it
  /// never was.
  std::optional<duration> SinceIsolation;
};

/// Whether servers may have become cold without this instance's notice: its
/// state is old, and it has not heard nearly all others ever since.
bool isUninformed(const informed_inputs &Inputs);

} // namespace amaranthhoist
