/// The instances that serve callers, and the choice of the addresses that a
/// caller's lookup returns. Membership tracks which instances are up; this file
/// holds their failure domains, regions and capacities. Sans-I/O.
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

/// What an instance publishes about itself through the platform's store.
struct fleet_member {
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  /// Address for callers, `ip:port`.
  std::string Ingress;
  /// Address for datagrams between instances, `ip:port`.
  std::string Peer;
  /// Address at which other instances fetch the store's objects, `ip:port`.
  std::string Control;
  /// Processor capacity, in cores.
  double Processor = 1;
  /// Bandwidth of its link, Mbit/s.
  double LinkMbps = 1'000;
  bool operator==(const fleet_member &) const = default;
};

struct fleet {
  /// All listed instances except this one, by name.
  std::map<std::string, fleet_member> Members;
  fleet_member Own;
  /// Whether this instance accepts callers.
  bool OwnIsReady = false;
  bool OwnIsShuttingDown = false;
  membership Membership;
  /// Draws the addresses of lookups.
  std::mt19937_64 Random;
};

/// Upper bound of the addresses in one lookup response.
inline constexpr std::size_t MaxAddresses = 64;

/// Returns the requests per second that an instance can forward, limited by its
/// processor and its link.
double capacityOf(const fleet_member &Member);

/// Returns addresses for callers in \p FailureDomain of \p Region: the
/// instances that are up in their failure domain if there are at least two,
/// else in their region, else anywhere. Callers pick one of them at random;
/// among instances of unequal capacity a few are therefore drawn in proportion
/// to capacity.
std::vector<std::string> addressesFor(fleet &Fleet,
                                      std::string_view FailureDomain,
                                      std::string_view Region);

/// Returns a random other instance that is up; nullptr if none was found.
const fleet_member *pickRandomUpMember(fleet &Fleet);

/// Returns the first \p Count instances that are up, ranked by rendezvous
/// hashing of \p Hash, without this instance.
std::vector<const fleet_member *>
rendezvousMembers(const fleet &Fleet, std::uint64_t Hash, std::size_t Count);

/// Replaces the listed instances with those from the platform's store.
void setFleet(fleet &Fleet, std::vector<fleet_member> Members);

/// Returns the hashes of all listed instances, this one included.
std::vector<std::uint64_t> instanceHashes(const fleet &Fleet);

} // namespace amaranthhoist
