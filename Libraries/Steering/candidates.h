/// The servers that a request may be sent to, and which of them is used;
/// internal to Steering.
#pragma once

#include "Steering/steering.h"

namespace amaranthhoist {

/// The weights of the regions for \p Service, updated when they are due.
const service_weights &updateWeights(steering &Steering,
                                     const std::string &Service,
                                     std::span<target *const> Targets,
                                     instant Now);

/// Records a request that is sent to \p Target if the rate of such requests is
/// limited there.
void recordPacedRequest(const steering &Steering, target &Target, instant Now);

/// Predicts the wait of \p Plan for a slot of \p Target at \p Load.
duration predictedWait(const steering &Steering, const request_plan &Plan,
                       const target &Target, double Load);

/// Selects the candidate to use, or nullptr if none has capacity.
const candidate *selectCandidate(const candidate_list &List,
                                 duration Objective);

/// The earliest time at which a server in backoff may receive the request, or
/// nullopt if no otherwise usable server is in backoff.
std::optional<instant> earliestBackoffEnd(const steering &Steering,
                                          const request_plan &Plan,
                                          instant Now);

} // namespace amaranthhoist
