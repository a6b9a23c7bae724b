/// Tells the story of one request from the log lines of any number of nodes:
/// its own lines in order, what each node involved believed at the time, and
/// the cause of its end as far as the lines show it. Reads text, decides
/// nothing about requests. Sans-I/O.
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
  /// Time of day at the node, milliseconds; nodes may differ.
  std::int64_t TimeMs = 0;
  /// The monotonic clock of one process of the node, microseconds: orders the
  /// lines of that process and no others.
  std::int64_t SteadyUs = 0;
  /// Starts of the node's process that were read before this line.
  int Incarnation = 0;
  std::string Instance;
  std::string Event;
  nlohmann::ordered_json Fields;

  /// A field's value; empty, or 0, when the line has none of that type.
  [[nodiscard]] std::string text(std::string_view Name) const;
  [[nodiscard]] std::int64_t number(std::string_view Name) const;
};

/// What is kept while lines are read: those of the request, and those that tell
/// what nodes believed or what became of their processes.
class trace_reader {
public:
  explicit trace_reader(std::string RequestId)
      : RequestId(std::move(RequestId)) {}

  /// Takes one line; anything that is no log line is counted and left out.
  void take(std::string_view Line);

  [[nodiscard]] const std::string &requestId() const { return RequestId; }
  /// Lines of the request, in the order in which they were read.
  [[nodiscard]] const std::vector<log_line> &own() const { return Own; }
  /// Lines about beliefs and processes.
  [[nodiscard]] const std::vector<log_line> &beliefs() const { return Beliefs; }
  [[nodiscard]] std::int64_t unreadable() const { return Unreadable; }

private:
  std::string RequestId;
  std::vector<log_line> Own;
  std::vector<log_line> Beliefs;
  std::map<std::string, int> StartsByInstance;
  std::int64_t Unreadable = 0;
};

/// What one node believed when the request came to it.
struct node_background {
  std::string Instance;
  std::int64_t ConfigurationVersion = 0;
  /// How long the version was in force, microseconds; -1: not in the logs.
  std::int64_t ConfigurationAgeUs = -1;
  bool StoreIsSilent = false;
  bool IsLeaving = false;
  std::vector<std::string> LostPeers;
  std::vector<std::string> EvacuatedDomains;
  /// Lines about servers of this request, from shortly before it.
  std::vector<log_line> ServerLines;
  /// The process stopped or was started again while the request ran.
  std::vector<log_line> ProcessLines;
};

struct request_trace {
  std::string RequestId;
  /// By time of day, those of one node in its own order.
  std::vector<log_line> Steps;
  std::vector<node_background> Nodes;
  /// Sentences, the likeliest cause first.
  std::vector<std::string> Causes;
};

request_trace makeTrace(const trace_reader &Reader);

/// Why the request ended as it did, from its steps and its nodes' beliefs.
std::vector<std::string> findCauses(const request_trace &Trace);

/// The trace as text for a person.
std::string describe(const request_trace &Trace);

} // namespace amaranthhoist
