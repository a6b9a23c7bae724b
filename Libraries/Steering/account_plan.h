/// What a request's account contributes to its plan; internal to Steering.
#pragma once

#include "Steering/steering.h"

namespace amaranthhoist {

/// Identifies the caller and applies what its account states. Returns why the
/// request is refused, or nullopt.
std::optional<refusal> applyAccount(const route_table &Table,
                                    const route &Route, std::string_view ApiKey,
                                    request_plan &Plan);

/// Like applyAccount() for a request that another instance forwards with the
/// name of its account.
std::optional<refusal> applyNamedAccount(const route_table &Table,
                                         const route &Route,
                                         std::string_view Name,
                                         request_plan &Plan);

/// Counts the regions that the request is bound to.
void countHomes(steering &Steering, const request_plan &Plan);

/// Shares of the sum of the limits of \p Accounts that are bound to each
/// region.
std::vector<double>
expectedHomeShares(const steering &Steering,
                   const std::vector<client_account> &Accounts);

} // namespace amaranthhoist
