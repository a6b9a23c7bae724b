/// The weight that an instance gives to the servers of each region for a
/// service. Every region mostly requests objects of its own; processing them in
/// the region saves bytes and latency between regions, as far as the capacity
/// of its servers allows. Work beyond that goes to regions with spare slots.
/// Sans-I/O.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

namespace amaranthhoist {

/// Weights of the regions' servers for work requested in region \p Own. \p
/// Slots are the service's slots by region. \p Locality ranges from 0, where
/// all servers are weighted alike, to 1, where work stays in its region as long
/// as it fits if all regions request the same amount.
std::vector<double> regionWeights(std::span<const double> Slots,
                                  std::size_t Own, double Locality);

/// The share, 0 to 1, of its own work that region \p Own has slots for if all
/// regions request the same amount.
double ownCoverage(std::span<const double> Slots, std::size_t Own);

} // namespace amaranthhoist
