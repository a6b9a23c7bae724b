/// The configuration in force: which service a request goes to, what may be
/// repeated, and what callers may send. Sans-I/O.
#pragma once

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
  /// Longest time from the request to its final answer.
  duration Timeout = std::chrono::seconds(10);
  /// An answer within this time is worth most to the caller.
  duration Objective = std::chrono::seconds(1);
  /// 0 is the most urgent.
  int Priority = 0;
  /// Targets that one request may be sent to, the first included.
  int MaxAttempts = 1;
  /// Whether a target works faster on an object that it handled lately.
  bool HasAffinity = false;
  /// Regions that may see its requests; empty: all.
  std::vector<std::string> HomeRegions;
  /// One part, or several with weights.
  std::vector<route_part> Parts;
};

struct service {
  std::string Name;
  std::string HealthPath;
  /// Connections that a target takes from all instances together.
  int MaxConnections = 100;
  /// Requests a second that a cold target bears, from all instances together.
  double ColdRequestsPerSecond = 1;
  /// How long a target is cold after its start.
  duration ColdTime{};
};

/// What a caller may send.
struct request_limits {
  std::size_t MaxHeadBytes = 16'384;
  std::size_t MaxBodyBytes = 1'048'576;
  /// From a request's first byte to the end of its head.
  duration HeadTimeout = std::chrono::seconds(5);
  /// A kept connection without a request is closed after this.
  duration IdleTimeout = std::chrono::seconds(15);
};

struct configuration {
  /// A higher version replaces a lower one, never the other way.
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::vector<service> Services;
  request_limits Limits;
};

/// A configuration made ready for look-ups.
struct route_table {
  configuration Configuration;
  /// Indices of Routes by host, longest prefix first.
  text_map<std::vector<std::size_t>> ByHost;
  text_map<std::size_t> ServiceByName;
  /// Requests that each part of each route got, as Routes and their Parts;
  /// kept apart so that the split is exact over time.
  std::vector<std::vector<double>> SentByPart;
};

/// Makes the table of \p Configuration.
route_table makeRouteTable(configuration Configuration);

/// Index of the route of a request, or npos. \p Host may carry a port, which is
/// ignored; \p Path is without its query.
std::size_t findRoute(const route_table &Table, std::string_view Host,
                      std::string_view Path);

/// The service of the next request of route \p Index, and counts it. An object
/// (\p KeyHash) goes to the same part each time, so that it stays warm there,
/// as long as no part's share is off its weight by more than SplitSlack.
const std::string &choosePart(route_table &Table, std::size_t Index,
                              std::uint64_t KeyHash);

/// The service of that name, or nullptr.
const service *findService(const route_table &Table, std::string_view Name);

} // namespace amaranthhoist
