/// Requests that this instance can't send to the backend servers that other
/// instances reach: which instance serves them, and how many of others'
/// requests an instance accepts. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Fleet/fleet.h"
#include "Text/text.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// What an instance has refused to this one, or failed to respond to.
struct peer_backoff {
  /// Refusals and failures since it last served a request.
  int InRow = 0;
  /// It is left out before this time.
  instant Until{};
};

/// The instances that requests are forwarded to.
struct forwarding {
  /// By service and instance: an instance may reach the servers of one service
  /// alone.
  text_map<text_map<peer_backoff>> Backoffs;
  /// Times at which the forwardings in flight began.
  std::multiset<instant> InFlight;
  /// Refusals in a row from instances that reach no server either.
  int RefusedInRow = 0;
  /// No request is forwarded before this time: no server runs anywhere, so
  /// that forwarding only multiplies the requests.
  instant SuspendedUntil{};
};

/// A request that another instance is to serve.
struct forwarded_work {
  std::string_view Service;
  /// Only instances in one of these are chosen, unless there are none.
  std::span<const std::string> HomeRegions;
  /// Instances that are left out; their failure domains come last.
  std::span<const std::string> Tried;
  std::uint64_t Hash = 0;
};

/// Chooses the instance for a request: one of the own failure domain, else of
/// the own region, else any; among them in proportion to capacity, by hash.
/// Returns nullptr if there is none.
const fleet_member *choosePeer(const forwarding &Forwarding, const fleet &Fleet,
                               const forwarded_work &Work, instant Now);

/// The result of a request at the instance that it was forwarded to.
enum class forwarding_result : std::uint8_t {
  Served,
  /// Refused for a reason that concerns that instance alone.
  Refused,
  /// The same, for the number of requests that it serves for others.
  Busy,
  /// No connection, or one that broke.
  Failed,
};

/// The end of a forwarding.
struct ended_forwarding {
  forwarding_result Result = forwarding_result::Served;
  instant StartedAt{};
};

void recordForwardingStart(forwarding &Forwarding, instant Now);
/// Records that a forwarding ended because the caller has left.
void recordForwardingCancelled(forwarding &Forwarding, instant StartedAt);
void recordForwarding(forwarding &Forwarding, const std::string &Service,
                      const std::string &Peer, const ended_forwarding &Ended,
                      instant Now);

/// What decides whether an instance accepts a request that another forwards.
struct forwarding_room {
  /// Requests in flight for other instances, and for own callers.
  std::size_t Forwarded = 0;
  std::size_t Own = 0;
  /// Requests per second that the instance can forward.
  double Capacity = 0;
  std::int64_t MemoryMb = 0;
};

/// Whether an instance accepts another forwarded request. Its own callers come
/// first.
bool acceptsForwarded(const forwarding_room &Room);

} // namespace amaranthhoist
