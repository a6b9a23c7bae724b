#include "NodeSettings/node_settings.h"

#include "Settings/section_reader.h"

namespace amaranthhoist {

using std::chrono::milliseconds;
using std::chrono::seconds;

static void finish(section_reader &Reader, node_settings_check &Check) {
  Reader.rejectUnknown();
  Reader.appendKeys(Check.KnownKeys);
}

static void readAddresses(const YAML::Node &Node, node_settings_check &Check) {
  node_addresses &Listen = Check.Settings.Listen;
  section_reader Reader(Node, "listen.", Check.Faults);
  Reader.readAddress("callers", Listen.Callers, true);
  Reader.readAddress("readiness", Listen.Readiness, true);
  Reader.readAddress("lookups", Listen.Lookups, true);
  Reader.readAddress("peers", Listen.Peers, true);
  Reader.readAddress("control", Listen.Control, true);
  Reader.readAddress("metrics", Listen.Metrics, false);
  finish(Reader, Check);
}

static void readBounds(const YAML::Node &Node, node_settings_check &Check) {
  node_bounds &Bounds = Check.Settings.Bounds;
  section_reader Reader(Node, "bounds.", Check.Faults);
  Reader.readReal("repeat_ratio", Bounds.RetryRatio, 0, 10);
  Reader.readDuration("repeat_window", Bounds.RetryWindow, milliseconds(100),
                      seconds(600));
  Reader.readReal("repeat_slack", Bounds.RetrySlack, 0, 1e6);
  Reader.readDuration("quota_window", Bounds.QuotaWindow, milliseconds(100),
                      seconds(3'600));
  Reader.readReal("quota_overshoot", Bounds.QuotaOvershoot, 0, 10);
  Reader.readReal("quota_slack", Bounds.QuotaSlack, 0, 1e6);
  Reader.readFlag("strict_revocation", Bounds.RefusesUnconfirmedKeys);
  Reader.readDuration("revocation", Bounds.RevocationTime, milliseconds(100),
                      seconds(3'600));
  Reader.readReal("cold_overshoot", Bounds.ColdOvershoot, 0, 100);
  Reader.readReal("cold_slack", Bounds.ColdSlack, 0, 1e6);
  Reader.readDuration("server_heartbeat", Bounds.ServerHeartbeat,
                      milliseconds(10), seconds(600));
  Reader.readDuration("grace_period", Bounds.GracePeriod, milliseconds(500),
                      seconds(3'600));
  Reader.readDuration("lookup_ttl", Bounds.LookupTimeToLive, milliseconds(100),
                      seconds(3'600));
  finish(Reader, Check);
}

static void readPlacement(const YAML::Node &Node, node_settings_check &Check) {
  node_settings &Settings = Check.Settings;
  section_reader Reader(Node, "placement.", Check.Faults);
  Reader.readReal("bulk_locality", Settings.BulkLocality, 0, 1);
  finish(Reader, Check);
}

static void readLimits(const YAML::Node &Node, node_settings_check &Check) {
  node_settings &Settings = Check.Settings;
  section_reader Reader(Node, "limits.", Check.Faults);
  Reader.readReal("processor", Settings.CpuShare, 0.01, 1'024);
  Reader.readReal("link_mbps", Settings.LinkMbps, 0.1, 1e6);
  Reader.readNumber("memory_mb", Settings.MemoryMb, 32, 1'048'576);
  Reader.readNumber("file_descriptors", Settings.FileDescriptors, 64,
                    10'000'000);
  Reader.readNumber("request_memory_mb", Settings.RequestMemoryMb, 0,
                    1'048'576);
  Reader.readNumber("auxiliary_memory_mb", Settings.AuxiliaryMemoryMb, 0,
                    1'048'576);
  Reader.readNumber("requests_per_turn", Settings.RequestsPerTurn, 1, 10'000);
  finish(Reader, Check);
}

static void readAll(const YAML::Node &Root, node_settings_check &Check) {
  node_settings &Settings = Check.Settings;
  section_reader Reader(Root, "", Check.Faults);
  Reader.readName("instance", Settings.Instance);
  Reader.readName("failure_domain", Settings.FailureDomain);
  Reader.readName("region", Settings.Region);
  Reader.readTextMap("failure_domains", Settings.FailureDomains);
  Reader.readAddress("store", Settings.Store, true);
  Reader.readNames("seeds", Settings.Seeds, false);
  Reader.readText("log_level", Settings.LogLevel,
                  {"debug", "info", "warn", "error"});
  readAddresses(Reader.section("listen"), Check);
  readLimits(Reader.section("limits"), Check);
  readBounds(Reader.section("bounds"), Check);
  readPlacement(Reader.optionalSection("placement"), Check);
  finish(Reader, Check);
}

bool isNodeSettings(std::string_view Text) {
  std::vector<settings_fault> Faults;
  const YAML::Node Root = parseYaml(Text, Faults);
  return Root["listen"].IsDefined();
}

node_settings_check checkNodeSettings(std::string_view Text) {
  node_settings_check Check;
  const YAML::Node Root = parseYaml(Text, Check.Faults);
  if (Check.Faults.empty())
    readAll(Root, Check);
  return Check;
}

result<node_settings> loadNodeSettings(const std::string &File) {
  node_settings_check Check = checkNodeSettings(TRY(readSettingsFile(File)));
  if (Check.Faults.empty())
    return Check.Settings;
  return tl::unexpected(faultsAsError(Check.Faults, File));
}

} // namespace amaranthhoist
