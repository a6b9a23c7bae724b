/// A simulated fleet whose instances share a retry budget: callers that move
/// between instances, bursts, kills, links that delay retries, and views of the
/// instances that differ. Checks the operators' bound over each window. Used by
/// the tests and by retry-budget-explorer.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <cstdint>

namespace amaranthhoist {

/// How the instances share the budget.
enum class retry_way : std::uint8_t {
  /// Tokens that requests earn and that expire (Libraries/Pacing).
  Tokens,
  /// Retries up to a share of the instance's own requests of the last window.
  OwnWindow,
  /// One count of requests and retries that all instances know at once: what no
  /// protocol between them can exceed.
  CommonWindow,
};

/// Defects that the check must find.
enum class retry_mutant : std::uint8_t {
  None,
  /// The slack is available from the start of a process.
  StartsWithSlack,
  /// An instance that has no word from the others goes on using its part of the
  /// slack.
  KeepsSlackWhileIsolated,
  /// An instance that doesn't know the others takes itself for the only one.
  CountsItselfAlone,
};

struct retry_world_options {
  std::uint64_t Seed = 1;
  std::size_t Instances = 9;
  /// Mean requests per second for all instances together.
  double Rate = 120;
  /// Share of the ratio that OwnWindow and CommonWindow use.
  double WindowShare = 0.8;
  bool HasFaults = true;
  retry_way Way = retry_way::Tokens;
  retry_mutant Mutant = retry_mutant::None;
};

struct retry_world_result {
  /// Largest number of retries in any window, as a share of the bound.
  double WorstUse = 0;
  /// Requests whose first attempt failed, and how many of them were retried.
  std::uint64_t Failed = 0;
  std::uint64_t Retried = 0;
};

retry_world_result runRetryWorld(const retry_world_options &Options);

} // namespace amaranthhoist
