/// Decides the eight promises over a recorded history: what callers were told,
/// what backend servers executed, what sites drew, which contracts were
/// accepted and where they were in force. Pure; used by tests and tools.
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

/// A caller's request and the last word on it.
struct told_answer {
  instant At{};
  std::string Operation;
  /// Empty for idempotent work.
  std::string Key;
  outcome Outcome = outcome::Unknown;
  /// Answered only: the operation that the body belongs to, as its content
  /// says, and whether it was whole.
  std::string ContentOf;
  bool Whole = true;
};

/// Why an execution ended.
enum class execution_end : std::uint8_t {
  Completed,
  /// The caller went away or its deadline passed.
  CallerLeft,
  /// The backend server itself failed, or a process died.
  Fault,
  /// The system broke it off.
  CutOff,
};

/// One execution, as the backend server counted it.
struct recorded_execution {
  instant Start{};
  instant End{};
  std::string Operation;
  std::string Key;
  std::string Target;
  std::string Site;
  /// Region of the entry that it came through.
  std::string SourceRegion;
  std::int64_t Milliwatts = 0;
  execution_end EndedAs = execution_end::Completed;
};

/// Limits of a site, as an operator set them.
struct site_limits {
  std::int64_t CapMilliwatts = 0;
  std::int64_t IdleMilliwatts = 0;
  std::map<std::string, std::int64_t> LinkLimits;
};

/// A target that began to leave.
struct target_departure {
  instant At{};
  std::string Target;
};

/// A configuration change that an operator was told is accepted.
struct accepted_change {
  instant At{};
  std::string Key;
  std::int64_t Version = 0;
};

/// A node began to act on a version.
struct effective_change {
  instant At{};
  std::string Node;
  std::string Key;
  std::int64_t Version = 0;
};

struct history {
  std::vector<told_answer> Told;
  std::vector<recorded_execution> Executions;
  std::map<std::string, site_limits> Sites;
  std::map<std::string, std::int64_t> TargetSlots;
  std::vector<target_departure> Departures;
  std::vector<accepted_change> Accepted;
  std::vector<effective_change> Effective;
  /// Nodes in which accepted changes have to be in force.
  std::vector<std::string> Nodes;
  /// End of the record: nothing is expected later than this.
  instant End{};
};

/// The longest times that the promises allow.
struct promise_times {
  duration LeavingGrace = std::chrono::seconds(3);
  duration ContractGrace = std::chrono::seconds(3);
};

struct violation {
  promise Promise = promise::Power;
  instant At{};
  std::string What;
};

/// All violations, in the order of the promises.
std::vector<violation> checkHistory(const history &History,
                                    const promise_times &Times = {});

} // namespace amaranthhoist
