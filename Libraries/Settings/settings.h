/// The settings of one instance, read by all its daemons from one YAML file.
/// All faults are found at once, each with line, field and permitted values.
#pragma once

#include "Core/core.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Settings of `amaranthhoist-entry`.
struct entry_daemon_settings {
  /// `ip:port` for callers, HTTP.
  std::string Listen;
  /// How long a caller may keep a look-up's answer, in milliseconds.
  std::int64_t LookupTtlMs = 30'000;
  /// Longest request body, in bytes.
  std::int64_t MaxBodyBytes = 1'073'741'824;
  /// Connections from callers at a time.
  std::int64_t MaxConnections = 2'000;
  /// Deadline of a request that names none, in milliseconds.
  std::int64_t DefaultDeadlineMs = 10'000;
};

/// Settings of `amaranthhoist-gateway`.
struct gateway_daemon_settings {
  /// `ip:port` for the system's own processes.
  std::string Listen;
  /// `ip:port` for metrics, HTTP.
  std::string MetricsListen;
  /// Sites whose backend servers it sends to.
  std::vector<std::string> Sites;
  /// Longest deadline told to a backend server, in milliseconds.
  std::int64_t MaxWorkMs = 120'000;
  /// Waiting requests per customer and service.
  std::int64_t QueuePerCustomer = 64;
  /// Waiting requests per service.
  std::int64_t QueueTotal = 256;
  /// Idempotency keys held per site.
  std::int64_t MaxKeys = 200'000;
  /// Path of the backend servers' health answer; empty: they have none.
  std::string ProbePath;
  /// Time between probes of one target, in milliseconds.
  std::int64_t ProbePeriodMs = 1'000;
};

/// Settings of `amaranthhoist-control`.
struct control_daemon_settings {
  /// `ip:port` for the system's own processes and the command line.
  std::string Listen;
  /// `ip:port` for metrics, HTTP.
  std::string MetricsListen;
  /// Base address of the platform's object API.
  std::string Platform;
  /// Controls asked for state before any member is known, `ip:port`.
  std::vector<std::string> Seeds;
  /// How many controls of a region watch the platform.
  std::int64_t WatchersPerRegion = 2;
};

/// One instance's settings.
struct instance_settings {
  std::string Instance;
  std::string Region;
  std::string FailureDomain;
  /// One way to each region, in milliseconds.
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

/// What a check found. The settings are usable only without faults.
struct settings_check {
  instance_settings Settings;
  std::vector<settings_fault> Faults;
};

/// Checks the text of a settings file.
settings_check checkSettings(std::string_view Text);

/// A fault as `FILE:LINE: FIELD: MESSAGE`.
std::string describe(const settings_fault &Fault, std::string_view File);

/// The text of a settings file.
result<std::string> readSettingsFile(const std::string &File);

/// All faults as one error, a line each.
error faultsAsError(const std::vector<settings_fault> &Faults,
                    std::string_view File);

/// Loads and checks \p File; all faults in the error's message.
result<instance_settings> loadSettings(const std::string &File);

/// Splits `ip:port`; Invalid when it isn't one.
struct socket_address {
  std::string Ip;
  std::uint16_t Port = 0;
};
result<socket_address> parseAddress(std::string_view Text);

} // namespace amaranthhoist
