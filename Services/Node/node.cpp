#include "node.h"

#include <unistd.h>

namespace amaranthhoist {

/// Log lines wait at most this long for the kernel.
static constexpr duration LogFlushPeriod = std::chrono::milliseconds(200);

node::node(node_settings InitialSettings, const wire_names &Wire)
    : Settings(std::move(InitialSettings)), Wire(Wire),
      Log(STDOUT_FILENO, Settings.Instance) {
  Loop.atEndOfRound([this] { Retired.clear(); });
  Loop.every(LogFlushPeriod, [this] { Log.flush(); });
  Steering.Repeats.Bounds = {Settings.Bounds.RepeatRatio,
                             Settings.Bounds.RepeatWindow,
                             Settings.Bounds.RepeatSlack};
  setDomains(Steering.Targets, Settings.FailureDomains);
  Steering.OwnRegion = regionIndex(Steering.Targets, Settings.Region);
  Steering.Instances = {stableHash(Settings.Instance)};
}

bool node::isReady() const {
  return Steering.Routes.has_value() && !Steering.Targets.ById.empty() &&
         !IsLeaving;
}

} // namespace amaranthhoist
