/// Checks the guarantees against the observations of a run. Has no side
/// effects.
#pragma once

#include "soak_caller.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Number of executions by request id.
using run_counts = std::map<std::string, int>;

/// Returns the violated guarantees, one sentence each.
std::vector<std::string>
checkAttempts(std::span<const observed_attempt> Attempts,
              const run_counts &Runs);

} // namespace amaranthhoist
