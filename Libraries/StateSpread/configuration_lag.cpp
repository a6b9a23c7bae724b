#include "StateSpread/configuration_lag.h"

namespace amaranthhoist {

/// Time in which the regular paths deliver a version: a watcher's delay and two
/// polls.
static constexpr duration RegularDelay = std::chrono::milliseconds(700);
/// Time between two queries, so that few are in flight while all instances
/// state the later version.
static constexpr duration QueryInterval = std::chrono::milliseconds(400);

/// Notes since when the own version is behind. An instance that has progressed
/// since is not stuck.
static void updateBehindSince(configuration_lag &Lag, std::int64_t OwnVersion,
                              instant Now) {
  if (Lag.OwnVersion == OwnVersion && Lag.BehindSince != instant())
    return;
  Lag.OwnVersion = OwnVersion;
  Lag.BehindSince = Now;
}

void recordPeerVersion(configuration_lag &Lag, std::int64_t OwnVersion,
                       std::int64_t PeerVersion, const std::string &Control,
                       instant Now) {
  if (PeerVersion <= OwnVersion || PeerVersion < Lag.LatestVersion)
    return;
  Lag.LatestVersion = PeerVersion;
  Lag.Holder = Control;
  updateBehindSince(Lag, OwnVersion, Now);
}

std::optional<std::string> popDueQuery(configuration_lag &Lag,
                                       std::int64_t OwnVersion, instant Now) {
  if (!isBehind(Lag, OwnVersion)) {
    Lag.BehindSince = {};
    return std::nullopt;
  }
  updateBehindSince(Lag, OwnVersion, Now);
  if (Now - Lag.BehindSince < RegularDelay || Now < Lag.NextQueryAt)
    return std::nullopt;
  Lag.NextQueryAt = Now + QueryInterval;
  return Lag.Holder;
}

bool isBehind(const configuration_lag &Lag, std::int64_t OwnVersion) {
  return Lag.LatestVersion > OwnVersion;
}

} // namespace amaranthhoist
