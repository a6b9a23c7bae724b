#include "node.h"

#include <unistd.h>

namespace amaranthhoist {

/// Maximum time a log line is buffered before it is written.
static constexpr duration LogFlushPeriod = std::chrono::milliseconds(200);

node::node(node_settings InitialSettings, const wire_names &Wire)
    : Settings(std::move(InitialSettings)), Wire(Wire),
      Log(STDOUT_FILENO, Settings.Instance) {
  Loop.runEvery(LogFlushPeriod, [this] { Log.flush(); });
  Steering.RetryBudget =
      makeRetryBudget({Settings.Bounds.RetryRatio, Settings.Bounds.RetryWindow,
                       Settings.Bounds.RetrySlack},
                      Loop.now());
  applySettings(*this);
}

void applySettings(node &Node) {
  const node_settings &Settings = Node.Settings;
  steering &Steering = Node.Steering;
  Steering.RetryBudget.Bounds = {Settings.Bounds.RetryRatio,
                                 Settings.Bounds.RetryWindow,
                                 Settings.Bounds.RetrySlack};
  setDomains(Steering.Targets, Settings.FailureDomains);
  Steering.OwnRegion = regionIndex(Steering.Targets, Settings.Region);
  Steering.OwnDomain = domainIndex(Steering.Targets, Settings.FailureDomain);
  Steering.ColdBounds = {Settings.Bounds.ColdOvershoot,
                         Settings.Bounds.ColdSlack};
  Steering.BulkLocality = Settings.BulkLocality;
  Node.Fleet.Own.Processor = Settings.CpuShare;
  setMemoryLimit(Node.ResponseMemory, Settings.MemoryMb);
  setRequestLimit(Node.RequestMemory, Settings.RequestMemoryMb,
                  Settings.MemoryMb);
  setRequestLimit(Node.AuxiliaryMemory, Settings.AuxiliaryMemoryMb,
                  Settings.MemoryMb);
}

std::int64_t configurationVersion(const node &Node) {
  const auto &Routes = Node.Steering.Routes;
  return Routes ? static_cast<std::int64_t>(Routes->Configuration.Version) : 0;
}

void logQuarantine(node &Node, const std::optional<quarantine_change> &Change) {
  if (!Change)
    return;
  Node.Log.write(log_kind::ClusterState,
                 Change->IsQuarantined ? "content_quarantined"
                                       : "content_released",
                 {{"content", contentName(Change->Content)},
                  {"crashes", static_cast<std::int64_t>(Change->Crashes)}},
                 Node.Loop.now());
}

void abortConnection(connection_handle &Connection) {
  if (Connection)
    Connection->abort();
  Connection.reset();
}

bool node::isReady() const {
  return Steering.Routes.has_value() && !Steering.Targets.ById.empty() &&
         !IsShuttingDown;
}

} // namespace amaranthhoist
