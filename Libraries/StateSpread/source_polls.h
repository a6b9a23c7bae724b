/// Polls of other instances for changes of the store's state: which instance is
/// polled next, and when. A source that stays silent doesn't hold up the next
/// one: both polls are in flight then. Sans-I/O.
#pragma once

#include "Fleet/fleet.h"
#include "StateSpread/spread_tree.h"

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace amaranthhoist {

/// Polls in flight at most.
inline constexpr std::size_t MaxPolls = 2;
/// Time after which a poll without a response fails.
inline constexpr duration PollTimeout = std::chrono::milliseconds(700);

struct source_poll {
  /// Name of the source; empty if no poll is in flight.
  std::string Source;
  /// Sources that had failed when it was sent.
  std::size_t Position = 0;
  instant SentAt{};
};

struct source_polls {
  /// The own calls to the store fail, as those of the regular sources may.
  bool IsDisconnected = false;
  /// Sources passed over since the first one; the position of the current one.
  std::size_t Position = 0;
  /// Consecutive polls without fresh state.
  std::size_t Failures = 0;
  /// Consecutive fresh responses from a source that isn't a regular one.
  int FallbackResponses = 0;
  instant NextPollAt{};
  std::array<source_poll, MaxPolls> InFlight;
  tree_place Place;
};

/// A poll to send in the slot \p Slot of InFlight, which replaces the poll in
/// flight there, if any.
struct poll_start {
  std::size_t Slot = 0;
  std::string Source;
  std::string Control;
};

/// Starts the next poll if it is due. \p Seeds are control addresses, used as
/// sources while no instance is listed.
std::optional<poll_start> startDuePoll(source_polls &Polls, const fleet &Fleet,
                                       std::span<const std::string> Seeds,
                                       instant Now);

/// Records the end of the poll in \p Slot: with fresh state, or with old state
/// or none.
void recordPollEnd(source_polls &Polls, const fleet &Fleet, std::size_t Slot,
                   bool IsFresh, instant Now);

/// Time at which startDuePoll() is to be called next.
instant nextPollTime(const source_polls &Polls);

} // namespace amaranthhoist
