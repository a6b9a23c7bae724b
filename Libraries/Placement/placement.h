/// Where the work on an object belongs. All instances rank the servers of a
/// service the same way for an object, without talking (rendezvous hashing),
/// so that a server meets the same objects again while they are warm. A server
/// that joins or leaves moves only its own objects. Sans-I/O.
#pragma once

#include "Targets/targets.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace amaranthhoist {

/// The most servers that an object is ever ranked on.
inline constexpr std::size_t MaxPlaces = 6;

/// The best servers for an object, best first.
struct ranking {
  std::array<target *, MaxPlaces> Targets{};
  std::size_t Count = 0;
  [[nodiscard]] std::span<target *const> targets() const {
    return {Targets.data(), Count};
  }
};

/// An object's servers in the order of preference for its first place, and for
/// the place that takes what the first has no room for.
struct place_rankings {
  ranking First;
  ranking Overflow;
};

/// What the rankings of an object depend on beside the servers. Weights are by
/// region: a server with twice the weight is first for twice as many objects;
/// empty: all alike.
struct rank_request {
  std::uint64_t KeyHash = 0;
  /// Servers elsewhere aren't ranked; empty: all are.
  std::span<const std::string> HomeRegions;
  std::span<const double> FirstWeights;
  std::span<const double> OverflowWeights;
};

/// Whether work with these home regions may go to \p Region; with none it may
/// go anywhere.
bool isHome(std::span<const std::string> HomeRegions,
            const std::string &Region);

/// Ranks the usable servers among \p Targets for both places.
place_rankings rankTargets(const target_directory &Directory,
                           std::span<target *const> Targets,
                           const rank_request &Request, instant Now);

} // namespace amaranthhoist
