/// Selection of site and gateway at an entry, and of the target at a gateway.
#pragma once

#include "Core/core.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Load report of a gateway for one service at one site, as last received.
struct offer {
  std::string Site;
  std::string Region;
  std::string Gateway;
  /// Failure domain of the gateway itself, which may serve a neighbouring site.
  std::string FailureDomain;
  /// Number of requests that could start immediately.
  std::int64_t FreeUnits = 0;
  duration PredictedWait{};
  /// One-way latency from this entry, from the region settings.
  duration LinkLatency{};
  /// Time of receipt; the default value means never.
  instant ReceivedAt{};
  /// The last use of the offer failed, or the site is draining: used only as a
  /// last resort.
  bool Suspect = false;
};

/// How an offer is selected from the ranked offers.
enum class offer_choice : std::uint8_t {
  /// Draws two offers weighted by free units and selects the cheaper one.
  CheaperOfTwo,
  /// Always the cheapest offer; kept for comparison (docs/DESIGN.md).
  Cheapest,
};

/// Parameters of the site selection.
struct routing_policy {
  offer_choice Choice = offer_choice::CheaperOfTwo;
  /// Age after which an offer is stale and gets only a few trial requests.
  duration StaleAfter = std::chrono::seconds(6);
  /// Cost of a site that this customer does not usually use: its caches are
  /// cold.
  duration ColdPenalty = std::chrono::milliseconds(4);
  /// Cost added to stale offers.
  duration StalePenalty = std::chrono::milliseconds(50);
};

/// Expected time to the start of the response, excluding the work itself.
duration offerCost(const offer &Offer, std::string_view Customer,
                   std::string_view PreferredSite, const routing_policy &Policy,
                   instant Now);

/// Returns the site where \p Customer's caches are warm: the first of \p Sites
/// by rendezvous hashing.
std::string preferredSite(std::span<const std::string> Sites,
                          std::string_view Customer);

/// Returns the offers in the order in which to try them. Two are drawn weighted
/// by free units; the cheaper one is first; the others follow by cost. \p
/// Random belongs to the caller. The result points to the elements that \p
/// Offers points to.
std::vector<const offer *> rankOffers(std::span<const offer *const> Offers,
                                      std::string_view Customer,
                                      std::string_view PreferredSite,
                                      const routing_policy &Policy, instant Now,
                                      std::mt19937_64 &Random);

/// State of one backend server at a gateway.
struct target_state {
  std::string Name;
  std::string Site;
  std::string Service;
  std::string Address;
  std::int64_t Slots = 1;
  std::int64_t InFlight = 0;
  /// Draining, as reported by the target list, a health check, a header or a
  /// refusal: gets no new work.
  bool Draining = false;
  /// Consecutive failures; the target is quarantined when they reach
  /// MaxFailures.
  std::int32_t Failures = 0;
  /// No new work before this time; from then on, one trial request.
  instant QuarantinedUntil{};
  /// Quarantined, and its connections are refused or a trial request has
  /// failed: the time of its recovery is unknown. A first quarantine may be
  /// caused by a few lost responses, and requests wait for its end.
  bool Down = false;
  /// Time at which the target became available; until it is warm it accepts
  /// fewer requests.
  instant AvailableSince{};
  /// Smoothed duration of a request.
  duration SmoothedDuration = std::chrono::milliseconds(20);
};

/// Cost function of the target selection.
enum class target_choice : std::uint8_t {
  /// This gateway's requests in flight per slot. A slow target holds its
  /// requests longer, so its speed is included.
  Load,
  /// Load multiplied by the smoothed duration; kept for comparison
  /// (docs/DESIGN.md).
  LoadAndSpeed,
};

/// Parameters of the target selection.
struct target_policy {
  target_choice Choice = target_choice::Load;
  std::int32_t MaxFailures = 3;
  duration Quarantine = std::chrono::milliseconds(500);
  duration WarmUp = std::chrono::seconds(2);
};

/// Whether \p Target accepts one more request at \p Now.
bool acceptsWork(const target_state &Target, const target_policy &Policy,
                 instant Now);

/// Cost of a target from its busy slots and, with LoadAndSpeed, its speed;
/// lower is better. Uses this gateway's own counts only: a reported load may be
/// outdated or misleading.
double targetCost(const target_state &Target, const target_policy &Policy);

/// Records the result of a request at \p Target.
void recordTargetResult(target_state &Target, const target_policy &Policy,
                        bool Healthy, duration Elapsed, instant Now);

/// Records that a request could not be sent at all. Call it after recording the
/// result of the request.
void recordConnectionRefused(target_state &Target, const target_policy &Policy);

} // namespace amaranthhoist
