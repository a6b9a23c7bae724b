/// An instance that has just started and knows nothing: whom it asks for the
/// state of the platform's store, and from when on it asks the store itself.
///
/// What goes wrong otherwise: all instances start together, each lists the
/// store, and the lists fill the store's link. 295 instances with 1,080 servers
/// of 350 bytes are 0.9 Gbit; the last ones know their servers after over a
/// second and refuse callers until then. So only the instances that the
/// settings name as seeds list the store at once. Others wait to be told where
/// the state is, and turn to the store after a time that grows with the time
/// which their own link needs for the lists: the best placed go first.
/// Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhoist {

struct learning_setup {
  /// Control address of this instance, `ip:port`.
  std::string OwnControl;
  /// Control addresses from the settings; may be stale or down.
  std::vector<std::string> Seeds;
  /// Bandwidth of this instance's link, Mbit/s.
  double LinkMbps = 1'000;
  /// Spreads instances over the time to wait, and over the seeds.
  std::uint64_t Seed = 0;
};

struct learning {
  /// Seeds but this instance, in this instance's own order.
  std::vector<std::string> Seeds;
  std::size_t NextSeed = 0;
  instant NextSeedAt{};
  /// Addresses that are said to have the state, the last heard at the end.
  std::vector<std::string> Heard;
  instant StartedAt{};
  /// The longest time to wait before the store is asked.
  std::chrono::duration<double> MostWait{};
  /// From then on the store itself is asked.
  instant AskStoreAt{};
};

learning startLearning(const learning_setup &Setup, instant Now);

/// Somebody has the state at \p Control: it told so itself, or another one did.
void hearOfSource(learning &Learning, const std::string &Control);

/// Takes the next address that is said to have the state; none: nobody is known
/// that hasn't been asked.
std::optional<std::string> takeHeard(learning &Learning);

/// Takes the next seed to ask, if it is time for one.
std::optional<std::string> takeSeed(learning &Learning, instant Now);

/// A peer answered that it is learning itself, or has no time now: the state is
/// on its way, and the store is left in peace a while longer. Not for an
/// instance that asks the store already.
void noteSignOfLife(learning &Learning, instant Now);

/// Whether it is time to ask the store itself.
bool mayAskStore(const learning &Learning, instant Now);

} // namespace amaranthhoist
