/// The instances that serve callers, and which of them a caller is told to
/// use. Who is up is Membership's; here are their places. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Membership/membership.h"

#include <cstddef>
#include <map>
#include <random>
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
  /// Share of a core.
  double Processor = 1;
  /// Bandwidth of its link, Mbit/s.
  double LinkMbps = 1'000;
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
  /// Draws the addresses of look-ups.
  std::mt19937_64 Random;
};

/// The most addresses in one answer.
inline constexpr std::size_t MaxAddresses = 64;

/// Requests a second that an instance can pass on, by its processor and link.
double capacityOf(const fleet_member &Member);

/// Addresses for callers in \p FailureDomain of \p Region: the instances that
/// are up in their failure domain if there are some, else in their region, else
/// anywhere. Callers pick one of them by chance, so that of instances of
/// unequal capacity a few are drawn by it.
std::vector<std::string> addressesFor(fleet &Fleet,
                                      std::string_view FailureDomain,
                                      std::string_view Region);

/// Another instance that is up, by chance; nullptr: none was found.
const fleet_member *pickUpMember(fleet &Fleet);

/// The others among the first \p Count instances that are up in the order that
/// \p Hash gives them.
std::vector<const fleet_member *>
rendezvousMembers(const fleet &Fleet, std::uint64_t Hash, std::size_t Count);

/// Sets the known instances from the platform's store.
void setFleet(fleet &Fleet, std::vector<fleet_member> Members);

/// Hashes of all known instances, this one included.
std::vector<std::uint64_t> instanceHashes(const fleet &Fleet);

} // namespace amaranthhoist
