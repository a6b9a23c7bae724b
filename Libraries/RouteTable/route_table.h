/// The current configuration: the service that a request is routed to, what may
/// be retried, the client accounts, and the limits on requests of callers.
/// Sans-I/O.
#pragma once

#include "Accounts/accounts.h"
#include "Core/core.h"
#include "Text/text.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// One of the services that a route's requests are distributed among.
struct route_part {
  std::string Service;
  /// Relative to the other parts of the route.
  double Weight = 1;
};

struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  work_class Class = work_class::NonIdempotent;
  /// Whether its requests or responses are large.
  bool IsBulk = false;
  /// Maximum time from the request to its final response.
  duration Timeout = std::chrono::seconds(10);
  /// A response within this time has the highest worth to the caller.
  duration Objective = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int Priority = 0;
  /// Maximum number of targets that one request may be sent to, including the
  /// first.
  int MaxAttempts = 1;
  /// Whether a target is faster on an object that it processed recently.
  bool HasAffinity = false;
  /// Whether its requests need no API key.
  bool IsPublic = false;
  /// Regions that may process its requests; empty: all.
  std::vector<std::string> HomeRegions;
  /// One part, or several with weights.
  std::vector<route_part> Parts;
};

struct service {
  std::string Name;
  std::string HealthPath;
  /// Connections that a target accepts from all instances together.
  int MaxConnections = 100;
  /// Requests per second that a cold target sustains, from all instances
  /// together.
  double ColdRequestsPerSecond = 1;
  /// How long a target is cold after its start.
  duration ColdTime{};
};

/// Limits on the requests of a caller.
struct request_limits {
  std::size_t MaxHeadBytes = 16'384;
  std::size_t MaxBodyBytes = 1'048'576;
  /// From a request's first byte to the end of its head.
  duration HeadTimeout = std::chrono::seconds(5);
  /// A keep-alive connection without a request is closed after this time.
  duration IdleTimeout = std::chrono::seconds(15);
};

struct configuration {
  /// A higher version replaces a lower one, never the reverse.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service> Services;
  request_limits Limits;
  /// Without any, no request needs an API key.
  std::vector<client_account> Accounts;
};

/// A configuration with indices for look-ups.
struct route_table {
  /// Its accounts are in Accounts.
  configuration Configuration;
  account_directory Accounts;
  /// Indices of Routes by host, longest prefix first.
  text_map<std::vector<std::size_t>> ByHost;
  text_map<std::size_t> ServiceByName;
  /// Requests sent to each part of each route, indexed as Routes and their
  /// Parts; kept separately so that the split is exact over time.
  std::vector<std::vector<double>> SentByPart;
};

/// Builds the table of \p Configuration.
route_table makeRouteTable(configuration Configuration);

/// Returns the name under which routes have \p Host, without its port and in
/// lower case; empty if none has it.
std::string_view findHost(const route_table &Table, std::string_view Host);

/// Index of the route of a request, or npos. A port in \p Host is ignored; \p
/// Path is without the query string.
std::size_t findRoute(const route_table &Table, std::string_view Host,
                      std::string_view Path);

/// Selects the service of the next request of route \p Index and counts the
/// request. An object (\p KeyHash) maps to the same part each time, so that it
/// stays warm there, as long as no part's share deviates from its weight by
/// more than SplitTolerance.
const std::string &chooseService(route_table &Table, std::size_t Index,
                                 std::uint64_t KeyHash);

/// The service of that name, or nullptr.
const service *findService(const route_table &Table, std::string_view Name);

} // namespace amaranthhoist
