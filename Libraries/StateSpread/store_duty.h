/// Whether this instance asks the platform's store itself.
///
/// What goes wrong otherwise: the store falls silent, every instance finds its
/// source's state old and turns to the store. 295 instances probed it three
/// times a second each for as long as it was away (12,809 calls on a day with
/// eight such seconds), and all of them met it on its return. So the number
/// that asks is bounded, whatever the size of the fleet: the region's watchers,
/// and while they are blind a few more, doubled each while, since the store may
/// serve them. Only one that no peer answers stands for itself. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <optional>

namespace amaranthhoist {

/// State older than this is no use to others: two polls along the longest way
/// from a watcher, a trip between regions, and a third as much again.
inline constexpr duration OldState = std::chrono::milliseconds(1'000);
/// Instances of one region that ask the store at once at the most.
inline constexpr std::size_t MostAskers = 8;

/// What the decision rests on.
struct duty_view {
  /// Place among the region's instances by preference; none: it leaves.
  std::optional<std::size_t> Rank;
  /// How old its state is.
  duration StateAge{};
  /// Since a peer, or the store, last answered it.
  duration SinceAnswer{};
  /// Since it first knew the whole state.
  duration SinceLearned{};
  /// Whether it asks the store now.
  bool IsAsking = false;
  /// Whether its own object was listed when it learned. Then the fleet has run
  /// before, and the list is whole.
  bool WasListed = false;
};

struct store_duty {
  /// Asks at least until then, once it stepped in for others.
  instant Until{};
};

/// Whether to ask the store, from now on until the next decision.
bool isOnDuty(store_duty &Duty, const duty_view &View, instant Now);

} // namespace amaranthhoist
