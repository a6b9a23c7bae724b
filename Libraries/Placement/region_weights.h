/// How strongly an instance prefers the servers of each region for a service.
/// Every region asks mostly for objects of its own; doing their work there
/// saves bytes and time between regions, as far as the region's servers reach.
/// What goes beyond goes to regions with slots to spare. Sans-I/O.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace amaranthhoist {

/// Weights of the regions' servers for work that region \p Own asks for.
/// \p Slots are the slots of the service by region. \p Locality goes from 0,
/// all servers alike, to 1, work stays where it is asked for as long as it fits
/// if all regions ask for the same amount.
std::vector<double> regionWeights(std::span<const double> Slots,
                                  std::size_t Own, double Locality);

/// The share, 0 to 1, of its own work that region \p Own has slots for if all
/// regions ask for the same amount.
double ownCoverage(std::span<const double> Slots, std::size_t Own);

} // namespace amaranthhoist
