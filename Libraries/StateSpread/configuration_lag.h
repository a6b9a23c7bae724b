/// What other instances show about later versions of the configuration than the
/// own one. The regular paths deliver a version within a second; a later one
/// that stays unknown for longer has been missed by them, however recent the
/// own state seems. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <optional>
#include <string>

namespace amaranthhoist {

struct configuration_lag {
  /// The latest version that another instance has stated, and the control
  /// address of that instance.
  std::int64_t LatestVersion = 0;
  std::string Holder;
  /// The own version when it was last found behind, and since when it is.
  std::int64_t OwnVersion = 0;
  instant BehindSince{};
  instant NextQueryAt{};
};

/// Records the version that the instance with the control address \p Control
/// states.
void recordPeerVersion(configuration_lag &Lag, std::int64_t OwnVersion,
                       std::int64_t PeerVersion, const std::string &Control,
                       instant Now);

/// The control address of an instance to query for a later version now; none
/// if there is no later one, or it may still arrive on the regular paths.
std::optional<std::string> popDueQuery(configuration_lag &Lag,
                                       std::int64_t OwnVersion, instant Now);

/// Whether another instance has a later version than \p OwnVersion.
bool isBehind(const configuration_lag &Lag, std::int64_t OwnVersion);

} // namespace amaranthhoist
