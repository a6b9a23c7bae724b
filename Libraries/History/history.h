/// Checks the eight promises against a recorded history: the outcomes that
/// callers received, the executions at backend servers, the power drawn by
/// sites, and the contracts that were accepted and where they took effect. Pure
/// function; used by tests and tools.
#pragma once

#include "Core/core.h"

#include <map>
#include <string>
#include <vector>

namespace amaranthhoist {

/// The promises, in the order in which docs/PROMISES.md lists them.
enum class promise : std::uint8_t {
  Power,
  Region,
  WholeAnswer,
  NotRun,
  AtMostOnce,
  LeavingTarget,
  DrainCutsNothing,
  Contract,
};

std::string_view toString(promise Promise);

/// A caller's request and its final outcome.
struct reported_outcome {
  instant At{};
  std::string Operation;
  /// Empty for idempotent work.
  std::string Key;
  outcome Outcome = outcome::Unknown;
  /// Answered only: the operation that the body belongs to according to its
  /// content, and whether the body was complete.
  std::string ContentOf;
  bool Whole = true;
};

/// Reason for the end of an execution.
enum class execution_end : std::uint8_t {
  Completed,
  /// The caller disconnected or its deadline passed.
  CallerDisconnected,
  /// The backend server itself failed, or a process died.
  Fault,
  /// The system cancelled it.
  CutOff,
};

/// One execution, as recorded by the backend server.
struct recorded_execution {
  instant Start{};
  instant End{};
  std::string Operation;
  std::string Key;
  std::string Target;
  std::string Site;
  /// Region of the entry that the request came through.
  std::string SourceRegion;
  std::int64_t Milliwatts = 0;
  execution_end EndedAs = execution_end::Completed;
};

/// Limits of a site, as set by an operator.
struct site_limits {
  std::int64_t CapMilliwatts = 0;
  std::int64_t IdleMilliwatts = 0;
  std::map<std::string, std::int64_t> LinkLimits;
};

/// A target started to drain.
struct target_departure {
  instant At{};
  std::string Target;
};

/// A configuration change whose acceptance was confirmed to an operator.
struct accepted_change {
  instant At{};
  std::string Key;
  std::int64_t Version = 0;
};

/// A version took effect at a node.
struct effective_change {
  instant At{};
  std::string Node;
  std::string Key;
  std::int64_t Version = 0;
};

struct history {
  std::vector<reported_outcome> Outcomes;
  std::vector<recorded_execution> Executions;
  std::map<std::string, site_limits> Sites;
  std::map<std::string, std::int64_t> TargetSlots;
  std::vector<target_departure> Departures;
  std::vector<accepted_change> Accepted;
  std::vector<effective_change> Effective;
  /// Nodes at which accepted changes have to take effect.
  std::vector<std::string> Nodes;
  /// End of the recording; nothing is expected after this.
  instant End{};
};

/// Maximum times that the promises allow.
struct promise_times {
  duration LeavingGrace = std::chrono::seconds(3);
  duration ContractGrace = std::chrono::seconds(3);
};

struct violation {
  promise Promise = promise::Power;
  instant At{};
  std::string What;
};

/// Returns all violations, in the order of the promises.
std::vector<violation> checkHistory(const history &History,
                                    const promise_times &Times = {});

} // namespace amaranthhoist
