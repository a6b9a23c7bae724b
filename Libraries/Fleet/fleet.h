/// The instances that serve callers, and which of them a caller is told to
/// use. Who is up is Membership's; here are their places. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Membership/membership.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// What an instance tells of itself through the platform's store.
struct fleet_member {
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  /// `ip:port` for callers.
  std::string Ingress;
  /// `ip:port` for datagrams between instances.
  std::string Peer;
  /// `ip:port` for instances that ask for the store's objects.
  std::string Control;
  /// Share of a core, to weigh instances by.
  double Processor = 1;
  bool operator==(const fleet_member &) const = default;
};

struct fleet {
  /// All known instances but this one, by name.
  std::map<std::string, fleet_member> Members;
  fleet_member Own;
  /// Whether this instance takes callers.
  bool OwnIsReady = false;
  bool OwnIsLeaving = false;
  membership Membership;
};

/// The most addresses in one answer.
inline constexpr std::size_t MaxAddresses = 64;

/// Addresses for callers in \p FailureDomain of \p Region: the instances that
/// are up in their failure domain if there are some, else in their region, else
/// anywhere.
std::vector<std::string> addressesFor(const fleet &Fleet,
                                      std::string_view FailureDomain,
                                      std::string_view Region);

/// Sets the known instances from the platform's store.
void setFleet(fleet &Fleet, std::vector<fleet_member> Members);

/// Hashes of all known instances, this one included.
std::vector<std::uint64_t> instanceHashes(const fleet &Fleet);

} // namespace amaranthhoist
