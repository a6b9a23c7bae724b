/// What a run showed of the promises. Pure.
#pragma once

#include "soak_caller.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace amaranthhoist {

/// How often each request was run, by its id.
using run_counts = std::map<std::string, int>;

/// The broken promises of callers and servers, a sentence each.
std::vector<std::string> checkAttempts(std::span<const attempt_seen> Attempts,
                                       const run_counts &Runs);

} // namespace amaranthhoist
