/// The settings of one instance, which all its daemons read from one YAML file.
/// A check reports all faults at once, each with line, field and permitted
/// values.
#pragma once

#include "Core/core.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Settings of `amaranthhoist-entry`.
struct entry_daemon_settings {
  /// `ip:port` of the HTTP server for callers.
  std::string Listen;
  /// How long a caller may cache a look-up response, in milliseconds.
  std::int64_t LookupTtlMs = 30'000;
  /// Maximum size of a request body, in bytes.
  std::int64_t MaxBodyBytes = 1'073'741'824;
  /// Maximum number of concurrent connections from callers.
  std::int64_t MaxConnections = 2'000;
  /// Deadline of a request that does not specify one, in milliseconds.
  std::int64_t DefaultDeadlineMs = 10'000;
};

/// Settings of `amaranthhoist-gateway`.
struct gateway_daemon_settings {
  /// `ip:port` of the RPC server for the processes of the system.
  std::string Listen;
  /// `ip:port` of the HTTP server for metrics.
  std::string MetricsListen;
  /// Sites to whose backend servers the gateway sends work.
  std::vector<std::string> Sites;
  /// Maximum deadline passed to a backend server, in milliseconds.
  std::int64_t MaxWorkMs = 120'000;
  /// Maximum number of queued requests per customer and service.
  std::int64_t QueuePerCustomer = 64;
  /// Maximum number of queued requests per service.
  std::int64_t QueueTotal = 256;
  /// Maximum number of idempotency keys stored per site.
  std::int64_t MaxKeys = 200'000;
  /// Path of the backend servers' health check. Empty when they have none.
  std::string ProbePath;
  /// Interval between probes of one target, in milliseconds.
  std::int64_t ProbePeriodMs = 1'000;
};

/// Settings of `amaranthhoist-control`.
struct control_daemon_settings {
  /// `ip:port` of the RPC server for the processes of the system and the
  /// command line.
  std::string Listen;
  /// `ip:port` of the HTTP server for metrics.
  std::string MetricsListen;
  /// Base URL of the platform's object API.
  std::string Platform;
  /// `ip:port` of the controls that are queried for state before any member is
  /// known.
  std::vector<std::string> Seeds;
  /// Number of controls per region that watch the platform.
  std::int64_t WatchersPerRegion = 2;
};

/// One instance's settings.
struct instance_settings {
  std::string Instance;
  std::string Region;
  std::string FailureDomain;
  /// One-way latency to each region, in milliseconds.
  std::map<std::string, double> LinkMs;
  /// trace, debug, info, warn or error.
  std::string LogLevel = "info";
  entry_daemon_settings Entry;
  gateway_daemon_settings Gateway;
  control_daemon_settings Control;
};

/// One fault in a settings file.
struct settings_fault {
  /// Counted from 1.
  int Line = 0;
  std::string Field;
  std::string Message;
};

/// The result of a check. The settings are usable only when there are no
/// faults.
struct settings_check {
  instance_settings Settings;
  std::vector<settings_fault> Faults;
};

/// Parses and checks the text of a settings file.
settings_check checkSettings(std::string_view Text);

/// Formats a fault as `FILE:LINE: FIELD: MESSAGE`.
std::string describe(const settings_fault &Fault, std::string_view File);

/// Reads the text of a settings file.
result<std::string> readSettingsFile(const std::string &File);

/// Combines all faults into one error, with one line for each.
error faultsAsError(const std::vector<settings_fault> &Faults,
                    std::string_view File);

/// Loads and checks \p File. The error's message lists all faults.
result<instance_settings> loadSettings(const std::string &File);

/// Splits `ip:port`. Returns Invalid when the text has another form.
struct socket_address {
  std::string Ip;
  std::uint16_t Port = 0;
};
result<socket_address> parseAddress(std::string_view Text);

} // namespace amaranthhoist
