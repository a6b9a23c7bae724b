/// Reconstructs one request from the log lines of any number of nodes: the
/// lines of the request in order, the state of each node involved at the time,
/// and the cause of its outcome as far as the lines show it. Only reads log
/// text; takes no part in handling requests and performs no I/O.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// One line of a node's log.
struct log_line {
  /// Wall clock of the node in milliseconds; the clocks of nodes may differ.
  std::int64_t TimeMs = 0;
  /// Monotonic clock of the node's process in microseconds. Comparable only
  /// among lines of the same process.
  std::int64_t SteadyUs = 0;
  /// Number of starts of the node's process that were read up to this line.
  int Incarnation = 0;
  std::string Instance;
  std::string Event;
  nlohmann::ordered_json Fields;

  /// Returns the value of a field; empty or 0 if the line has no such field of
  /// that type.
  [[nodiscard]] std::string text(std::string_view Name) const;
  [[nodiscard]] std::int64_t number(std::string_view Name) const;
  /// The field as a number with at most one decimal; "?" if it is absent.
  [[nodiscard]] std::string decimal(std::string_view Name) const;
};

/// Collects log lines: those of one request, and those about the state of nodes
/// and their processes.
class trace_reader {
public:
  explicit trace_reader(std::string RequestId)
      : RequestId(std::move(RequestId)) {}

  /// Parses one line. Counts and skips anything that is not a log line.
  void addLine(std::string_view Line);

  [[nodiscard]] const std::string &requestId() const { return RequestId; }
  /// Lines of the request, in the order in which they were added.
  [[nodiscard]] const std::vector<log_line> &requestLines() const {
    return RequestLines;
  }
  /// Lines about the state of nodes and processes.
  [[nodiscard]] const std::vector<log_line> &stateLines() const {
    return StateLines;
  }
  [[nodiscard]] std::int64_t skippedLines() const { return SkippedLines; }

private:
  std::string RequestId;
  std::vector<log_line> RequestLines;
  std::vector<log_line> StateLines;
  std::map<std::string, int> StartCounts;
  std::int64_t SkippedLines = 0;
};

/// State of one node when the request arrived there.
struct node_context {
  std::string Instance;
  std::int64_t ConfigurationVersion = 0;
  /// How long before the request the version was applied, in microseconds; -1
  /// if the logs do not show it.
  std::int64_t ConfigurationAgeUs = -1;
  bool StoreIsUnreachable = false;
  bool IsShuttingDown = false;
  std::vector<std::string> UnreachablePeers;
  std::vector<std::string> EvacuatedDomains;
  /// Lines about the servers of this request, from shortly before it to shortly
  /// after it.
  std::vector<log_line> ServerLines;
  /// Lines about API keys that a configuration revoked.
  std::vector<log_line> RevocationLines;
  /// Lines that show that the process stopped or was restarted while the
  /// request ran.
  std::vector<log_line> ProcessLines;
};

struct request_trace {
  std::string RequestId;
  /// Ordered by wall clock; lines of one process by its monotonic clock.
  std::vector<log_line> Steps;
  std::vector<node_context> Nodes;
  /// Sentences for operators, the most likely cause first.
  std::vector<std::string> Causes;
};

request_trace makeTrace(const trace_reader &Reader);

/// Derives the causes of the request's outcome from its steps and the state of
/// its nodes.
std::vector<std::string> findCauses(const request_trace &Trace);

/// Formats the trace as text for operators.
std::string describe(const request_trace &Trace);

} // namespace amaranthhoist
