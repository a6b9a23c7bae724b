/// The settings of one node of the fleet: the single program that serves
/// callers, look-ups and its peers. Read from one YAML file and validated as a
/// whole.
#pragma once

#include "Core/core.h"
#include "Settings/settings.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Addresses that a node listens on, `ip:port`.
struct node_addresses {
  /// For callers' requests.
  std::string Callers;
  std::string Readiness;
  /// For callers' look-ups.
  std::string Lookups;
  /// For datagrams between nodes.
  std::string Peers;
  /// For nodes that fetch the store's objects.
  std::string Control;
  std::string Metrics;
};

/// Limits set by operators, for all nodes together.
struct node_bounds {
  double RetryRatio = 0.1;
  duration RetryWindow = std::chrono::seconds(10);
  double RetrySlack = 0;
  /// How far client accounts may exceed their limits: in any window no more
  /// than (rate x window + burst) x (1 + overshoot) + slack requests.
  duration QuotaWindow = std::chrono::seconds(5);
  double QuotaOvershoot = 0.1;
  double QuotaSlack = 0;
  /// Whether requests with API keys are refused when the configuration may be
  /// older than RevocationTime; otherwise the last known one stays in force.
  bool RefusesUnconfirmedKeys = false;
  duration RevocationTime = std::chrono::seconds(5);
  /// How far all nodes together may exceed what a cold server sustains: in one
  /// second at most rate x overshoot + slack requests. An overshoot of 0: not
  /// stated.
  double ColdOvershoot = 0;
  double ColdSlack = 0;
  /// Period of the backend servers' heartbeats to the store.
  duration ServerHeartbeat = std::chrono::milliseconds(1'500);
  /// Time from SIGTERM until the process is killed.
  duration GracePeriod = std::chrono::seconds(6);
  /// Maximum time callers cache a look-up's response.
  duration LookupTimeToLive = std::chrono::seconds(5);
};

struct node_settings {
  std::string Instance;
  std::string FailureDomain;
  std::string Region;
  /// Failure domains of the whole deployment, mapped to their regions.
  std::map<std::string, std::string> FailureDomains;
  node_addresses Listen;
  /// `ip:port` of the platform's store.
  std::string Store;
  /// Control addresses of some nodes, possibly outdated: used when the store
  /// can't be reached and no other node is known.
  std::vector<std::string> Seeds;
  /// Share of one core that this node may use.
  double CpuShare = 1;
  /// Bandwidth of this node's link, Mbit/s.
  double LinkMbps = 1'000;
  /// Memory that this node may use, in MB.
  std::int64_t MemoryMb = 256;
  /// File descriptors that this node may use.
  std::int64_t FileDescriptors = 1'024;
  /// Memory for requests of callers and peers without their bodies, and for the
  /// other servers (look-ups, readiness, control, metrics), in MB; 0: a part of
  /// MemoryMb.
  std::int64_t RequestMemoryMb = 0;
  std::int64_t AuxiliaryMemoryMb = 0;
  /// Requests of one connection that are begun in one iteration of the event
  /// loop; those behind them wait for the next.
  std::int64_t RequestsPerTurn = 8;
  node_bounds Bounds;
  /// How far requests with large bodies stay in the failure domain of the node
  /// that serves them, 0 to 1. The rest keeps the other servers of the region
  /// ranked before those of other regions.
  double BulkLocality = 0.95;
  /// debug, info, warn or error.
  std::string LogLevel = "info";
};

struct node_settings_check {
  node_settings Settings;
  std::vector<settings_fault> Faults;
  /// Keys that a file may have, with the sections' names.
  std::vector<std::string> KnownKeys;
};

/// Returns whether \p Text is a node's settings file, valid or not, rather than
/// one of the three daemons.
bool isNodeSettings(std::string_view Text);

/// Validates the text of a node's settings file.
node_settings_check checkNodeSettings(std::string_view Text);

/// Loads and validates \p File. The error's message lists all faults.
result<node_settings> loadNodeSettings(const std::string &File);

} // namespace amaranthhoist
