/// Decides whether this instance watches the platform's store itself.
///
/// During a store outage every instance finds its source's state stale and
/// would query the store. 295 instances queried it three times a second each
/// throughout the outage (12,809 calls on a day with eight such seconds), and
/// all of them hit the store on its return. Therefore the number of instances
/// that query it is bounded, whatever the size of the fleet: the region's
/// watchers, and while those are disconnected a few more, doubled at intervals,
/// since the store may be reachable for them. Only an instance without a
/// response from any peer queries the store regardless of its rank. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <optional>

namespace amaranthhoist {

/// Age from which state is stale for other instances: two polls along the
/// longest way from a watcher, a trip between regions, and a third as much
/// again.
inline constexpr duration StaleStateAge = std::chrono::milliseconds(1'000);
/// Upper bound of the instances of one region that watch the store at a time.
inline constexpr std::size_t MaxStoreWatchers = 8;

/// Inputs of the decision.
struct watch_inputs {
  /// Rank among the region's instances by preference; none while shutting down.
  std::optional<std::size_t> Rank;
  /// Age of this instance's state.
  duration StateAge{};
  /// Time since a peer or the store last responded.
  duration SinceLastResponse{};
  /// Time since this instance first had the full state.
  duration SinceBootstrap{};
  /// Whether it watches the store now.
  bool IsWatching = false;
  /// Whether its own object was listed when it bootstrapped. If so, the fleet
  /// has run before and the instance list is complete.
  bool WasListed = false;
};

struct watch_duty {
  /// An instance that took over for others watches at least until then.
  instant Until{};
};

/// Returns whether to watch the store until the next decision.
bool shouldWatchStore(watch_duty &Duty, const watch_inputs &Inputs,
                      instant Now);

} // namespace amaranthhoist
