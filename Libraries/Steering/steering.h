/// Decides what happens to each request of a caller: which backend server gets
/// it, whether it is sent once more, and when it is refused. Pulls together the
/// route table, the servers, placement and the shared rates. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Pacing/pacing.h"
#include "Placement/region_spread.h"
#include "Quarantine/quarantine.h"
#include "RouteTable/route_table.h"
#include "Targets/targets.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Weights of the regions for one service, and what they depend on.
struct service_weights {
  region_spread Spread;
  /// For the first place of an object.
  std::vector<double> First;
  /// For what the first place has no room for.
  std::vector<double> Overflow;
  instant Made{};
};

/// Everything that decisions on requests depend on.
struct steering {
  /// None until the first configuration has come.
  std::optional<route_table> Routes;
  target_directory Targets;
  repeat_budget Repeats;
  /// Requests that crash the servers which run them.
  quarantine Quarantine;
  /// Hashes of all instances, this one's first.
  std::vector<std::uint64_t> Instances;
  /// Index of this instance's region.
  std::size_t OwnRegion = 0;
  /// By service.
  text_map<service_weights> Weights;
  /// The least urgent priority among the routes.
  int LeastUrgent = 0;
};

/// Puts a configuration in force. False, and nothing happens, when it is not
/// newer than the one in force: what callers have seen must not revert.
bool applyConfiguration(steering &Steering, configuration Configuration);

/// One request on its way. Holds what its route said when it came, so that a
/// new configuration doesn't change it halfway.
struct request_plan {
  std::string Service;
  std::uint64_t KeyHash = 0;
  /// Names what it asks for (contentHash()).
  std::uint64_t Content = 0;
  work_class Class = work_class::NonIdempotent;
  int Priority = 0;
  int MaxAttempts = 1;
  std::vector<std::string> HomeRegions;
  instant Arrived{};
  /// When its final answer is due: the route's timeout or the caller's.
  instant Deadline{};
  duration Objective{};
  /// Servers that it was sent to.
  int Attempts = 0;
  /// Attempts that reached a server, or may have.
  int Arrivals = 0;
  /// Whether a server may have run it.
  bool MayHaveRun = false;
  /// Servers that didn't answer it, not to be asked again.
  std::vector<std::string> Tried;
};

/// Why a request was refused.
enum class refusal : std::uint8_t {
  /// No configuration yet.
  NotConfigured,
  NoRoute,
  /// No server of its service may be used.
  NoTarget,
  /// Those that could be used asked for rest.
  Resting,
  /// Its servers have no room.
  NoRoom,
  /// Too little time is left to run it.
  TooLate,
  /// Repeats are used up.
  NoRepeats,
  /// Servers crash under requests of its content.
  Quarantined,
  /// This instance leaves and couldn't end the request in time.
  Leaving,
};

/// The name of a refusal in logs and metrics.
std::string_view toString(refusal Reason);

/// The parts of a request that route it.
struct request_facts {
  std::string_view Host;
  /// Without its query.
  std::string_view Path;
  /// Names the object that it concerns; empty: none.
  std::string_view ObjectKey;
  std::string_view RequestId;
  /// How long the caller will wait, if it says so.
  std::optional<duration> TimeLeft;
  instant Arrived{};
  /// Names what it asks for (contentHash()).
  std::uint64_t Content = 0;
};

/// The longest time that a request may take by the routes in force.
duration longestTimeout(const steering &Steering);

/// What may be done with a request of this host and path; non-idempotent while
/// no route is known for it.
work_class classOf(const steering &Steering, std::string_view Host,
                   std::string_view Path);

/// Finds the route of a request and makes its plan.
tl::expected<request_plan, refusal> planRequest(steering &Steering,
                                                const request_facts &Facts);

/// Servers of an object that are tried for room before a request for it is
/// refused. With two a hot object has a second place; with more, it pushes out
/// what is warm elsewhere and everybody gets slower (measured:
/// docs/PLATFORM-DESIGN.md).
inline constexpr std::size_t PlacesPerObject = 2;

/// A server that a request may go to, with what decides whether it has room.
struct weighed_place {
  target *Target = nullptr;
  /// Requests estimated to be under way there, all instances together.
  double Load = 0;
  /// Predicted wait for a slot, and the longest at which there is room.
  duration Wait{};
  duration LongestWait{};
  bool HasRoom = false;
};

/// The places of one request, the preferred one first.
struct weighed_places {
  std::array<weighed_place, PlacesPerObject> Places{};
  std::size_t Count = 0;
  /// Whether any server of the service may be used at all.
  bool HasServers = false;

  [[nodiscard]] std::span<const weighed_place> places() const {
    return {Places.data(), Count};
  }
};

/// Weighs the places of a request. The same state and time give the same
/// result, so that a refusal can be explained after it was decided.
weighed_places weighPlaces(steering &Steering, const request_plan &Plan,
                           instant Now);

/// The server that the request goes to next. Counts nothing yet.
tl::expected<target *, refusal>
chooseTarget(steering &Steering, const request_plan &Plan, instant Now);

/// Takes in what \p Target says of its load.
void noteServerLoad(steering &Steering, target &Target, const target_load &Load,
                    instant Now);

/// Counts an attempt that begins at \p Target.
void beginAttempt(steering &Steering, request_plan &Plan, target &Target,
                  instant Now);

/// Whether another attempt may follow the one that has just failed; takes its
/// token from the budget of repeats if it needs one. Non-idempotent work is
/// never sent again once a byte of it may have reached a server, unless that
/// server itself says that it did not run it.
bool mayRepeat(steering &Steering, const request_plan &Plan, instant Now);

/// An attempt whose connection ended without a whole answer.
struct broken_attempt {
  /// The connection never stood.
  bool NotConnected = false;
  /// It had served other requests before.
  bool WasKept = false;
  /// Bytes came, sound or not.
  bool HadAnswer = false;
  /// From sending to the end.
  duration Took{};
};

/// What a broken attempt says of its server. Cancelled: nothing, since a kept
/// connection that ends at once was most likely closed for having been idle.
attempt_result resultOf(const broken_attempt &Attempt);

/// When a caller who was refused for \p Reason should come back. Mostly spread,
/// so that those refused together don't return together, and soon enough that
/// there is time left to serve them; for a quarantined content, when it is
/// tried again; while all servers rest, spread after the first of them is back.
duration retryAfter(const steering &Steering, const request_plan &Plan,
                    refusal Reason, std::string_view RequestId, instant Now);

} // namespace amaranthhoist
