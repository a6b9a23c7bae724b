/// Choice of site and gateway at an entry, and of target at a gateway.
#pragma once

#include "Core/core.h"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace amaranthhoist {

/// What a gateway can take for one service at one site, as last heard.
struct offer {
  std::string Site;
  std::string Region;
  std::string Gateway;
  /// Where the gateway itself runs, which may serve a neighbouring site.
  std::string FailureDomain;
  /// Requests that could start at once.
  std::int64_t FreeUnits = 0;
  duration PredictedWait{};
  /// One way from this entry, from the settings of the regions.
  duration LinkLatency{};
  /// When it was heard; the default means never.
  instant Heard{};
  /// Its last use failed, or the site drains: used only as a last resort.
  bool Suspect = false;
};

/// How one of the ranked offers is chosen.
enum class offer_choice : std::uint8_t {
  /// Two drawn by free units, the cheaper of them.
  CheaperOfTwo,
  /// Always the cheapest; kept to compare with (docs/DESIGN.md).
  Cheapest,
};

/// Knobs of the site choice.
struct routing_policy {
  offer_choice Choice = offer_choice::CheaperOfTwo;
  /// After this an offer is worth a probing trickle only.
  duration StaleAfter = std::chrono::seconds(6);
  /// Cost of a site this customer doesn't usually use: its caches are cold.
  duration ColdPenalty = std::chrono::milliseconds(4);
  /// Cost added to offers that are stale.
  duration StalePenalty = std::chrono::milliseconds(50);
};

/// Expected time to the answer's start, besides the work itself.
duration offerCost(const offer &Offer, std::string_view Customer,
                   std::string_view PreferredSite, const routing_policy &Policy,
                   instant Now);

/// The site that \p Customer's caches are warm at: first by rendezvous hashing
/// among \p Sites.
std::string preferredSite(std::span<const std::string> Sites,
                          std::string_view Customer);

/// Offers in the order to try. Two are drawn weighted by free units; the
/// cheaper goes first; the rest follow by cost. \p Random is the caller's. The
/// result points to what \p Offers points to.
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
  /// Leaving by the list, its health, a header or a refusal: no new work.
  bool Leaving = false;
  /// Consecutive failures; from MaxFailures on it is quarantined.
  std::int32_t Failures = 0;
  /// No new work before this, but for one trial from then on.
  instant QuarantinedUntil{};
  /// In quarantine, and its connections are refused or a trial has failed: it
  /// isn't known when it comes back. A first quarantine alone may come from a
  /// few lost answers and is worth waiting for.
  bool Down = false;
  /// When it began to take work; until warm it takes fewer requests.
  instant Since{};
  /// Smoothed time of a request.
  duration Typical = std::chrono::milliseconds(20);
};

/// What a target costs.
enum class target_choice : std::uint8_t {
  /// Own requests in flight per slot. A slow target holds its requests longer,
  /// so this sees its speed too.
  Load,
  /// The same times its typical time; kept to compare with (docs/DESIGN.md).
  LoadAndSpeed,
};

/// Knobs of the target choice.
struct target_policy {
  target_choice Choice = target_choice::Load;
  std::int32_t MaxFailures = 3;
  duration Quarantine = std::chrono::milliseconds(500);
  duration WarmUp = std::chrono::seconds(2);
};

/// Whether \p Target may take one more request at \p Now.
bool takesWork(const target_state &Target, const target_policy &Policy,
               instant Now);

/// Busy part of a target's slots, and its speed; lower is better. Own counts
/// only: a reported load may lag or mislead.
double targetCost(const target_state &Target, const target_policy &Policy);

/// Notes how a request at \p Target ended.
void noteTargetResult(target_state &Target, const target_policy &Policy,
                      bool Healthy, duration Took, instant Now);

/// Notes, after its result, that a request could not be sent at all.
void noteNotReached(target_state &Target, const target_policy &Policy);

} // namespace amaranthhoist
