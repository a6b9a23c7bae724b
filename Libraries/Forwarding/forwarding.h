/// Requests that this instance can't send to any backend server, while other
/// instances can: when it counts as isolated from the servers, and which
/// instance serves its requests meanwhile. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Fleet/fleet.h"
#include "Text/text.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// Which backend servers this instance has failed to reach since one of them
/// last responded.
struct server_reachability {
  int ConnectFailures = 0;
  text_set FailedDomains;
  /// While isolated, the earliest time at which a request is sent to a server
  /// to find out whether the isolation has ended.
  instant NextTrialAt{};
};

/// Records a connection to a server in \p FailureDomain that could not be
/// established. Returns whether the instance counts as isolated from now on.
bool recordConnectFailure(server_reachability &Reachability,
                          const std::string &FailureDomain, instant Now);

/// Records a response of a server. Returns whether this ends an isolation.
bool recordServerResponse(server_reachability &Reachability);

/// Whether the instance reaches no server: connections to several servers in
/// several failure domains failed, and none responded in between. Servers of
/// one failure domain that are down together don't look like it.
bool isIsolated(const server_reachability &Reachability);

/// Whether a request is sent to a server although the instance is isolated;
/// true once in a trial period.
bool admitsTrial(server_reachability &Reachability, instant Now);

/// The instances that requests are forwarded to.
struct forwarding {
  server_reachability Reachability;
  /// Instances that refused or failed, and until when they are left out.
  text_map<instant> UnavailableUntil;
  /// Refusals in a row from instances that reach no server either.
  int FruitlessInRow = 0;
  /// No request is forwarded before this time: no server runs anywhere, so
  /// that forwarding only multiplies the requests.
  instant SuspendedUntil{};
};

/// Chooses the instance for a request: one of the own failure domain, else of
/// the own region, else any; among them in proportion to capacity, by \p Hash.
/// Only instances in one of \p HomeRegions are chosen, unless that is empty.
/// \p Tried are left out, and their failure domains come last. Returns nullptr
/// if there is none.
const fleet_member *choosePeer(const forwarding &Forwarding, const fleet &Fleet,
                               std::span<const std::string> HomeRegions,
                               std::span<const std::string> Tried,
                               std::uint64_t Hash, instant Now);

/// The result of a request at the instance that it was forwarded to.
enum class forwarding_result : std::uint8_t {
  Served,
  /// Refused for a reason that concerns that instance alone.
  Refused,
  /// No connection, or one that broke.
  Failed,
};

void recordForwarding(forwarding &Forwarding, const std::string &Peer,
                      forwarding_result Result, instant Now);

/// Whether an instance with so many requests in flight accepts one that another
/// forwards. Its own callers come first.
bool acceptsForwarded(std::size_t ForwardedInFlight, std::size_t OwnInFlight);

} // namespace amaranthhoist
