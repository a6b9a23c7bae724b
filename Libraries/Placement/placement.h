/// Rendezvous hashing of objects to backend servers. All instances compute the
/// same ranking of a service's servers for an object, without communication, so
/// that a server receives the same objects while they are warm there. A server
/// that joins or leaves moves only its own objects. Sans-I/O.
#pragma once

#include "Targets/targets.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace amaranthhoist {

/// The maximum number of servers that an object is ranked on.
inline constexpr std::size_t MaxRankedTargets = 6;

/// The highest-ranked servers for an object, best first.
struct ranking {
  std::array<target *, MaxRankedTargets> Targets{};
  std::size_t Count = 0;
  [[nodiscard]] std::span<target *const> targets() const {
    return {Targets.data(), Count};
  }
};

/// An object's servers in order of preference for its primary, and for the
/// secondary, which takes what the primary has no capacity for.
struct candidate_rankings {
  ranking Primary;
  ranking Secondary;
};

/// Inputs of an object's rankings other than the servers. Weights are by
/// failure domain: a server with twice the weight ranks first for twice as many
/// objects. Empty weights: all failure domains are equal.
struct rank_request {
  std::uint64_t KeyHash = 0;
  /// Only servers in these regions are ranked; empty: all are.
  std::span<const std::string> HomeRegions;
  std::span<const double> PrimaryWeights;
  std::span<const double> SecondaryWeights;
  /// Ranks servers although this instance doesn't reach them.
  bool IgnoresPaths = false;
};

/// Whether work with these home regions may run in \p Region; without home
/// regions it may run anywhere.
bool isHomeRegion(std::span<const std::string> HomeRegions,
                  const std::string &Region);

/// Ranks the usable servers among \p Targets for primary and secondary.
candidate_rankings rankTargets(const target_directory &Directory,
                               std::span<target *const> Targets,
                               const rank_request &Request, instant Now);

} // namespace amaranthhoist
