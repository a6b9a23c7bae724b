/// The share of a service's requests that may run in one region only, by home
/// regions. Such requests cannot move when their region's servers fill, so
/// other requests have to leave room for them there. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <span>
#include <vector>

namespace amaranthhoist {

struct home_demand {
  /// Requests since the last update, and those of them that are bound to a
  /// region.
  double Requests = 0;
  std::vector<double> Bound;
  /// Share of all requests that is bound to each region, averaged over about
  /// ten seconds.
  std::vector<double> Shares;
};

/// Counts a request that may run in \p Homes; empty: everywhere.
void countRequest(home_demand &Demand, std::span<const std::size_t> Homes,
                  std::size_t Regions);

/// Updates the shares. Called at regular intervals. \p Expected are the shares
/// that the limits of the accounts suggest; an instance that has seen no
/// requests begins with them.
void updateShares(home_demand &Demand, std::span<const double> Expected);

/// The slots of each region that are left to requests which may run anywhere,
/// if all regions receive bound requests like this instance does.
std::vector<double> slotsForOthers(std::span<const double> Slots,
                                   const home_demand &Demand);

} // namespace amaranthhoist
