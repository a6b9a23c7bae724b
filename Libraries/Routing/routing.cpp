#include "Routing/routing.h"

#include <algorithm>

namespace amaranthhoist {

static bool isStale(const offer &Offer, const routing_policy &Policy,
                    instant Now) {
  return Offer.ReceivedAt == instant{} ||
         Now - Offer.ReceivedAt > Policy.StaleAfter;
}

duration offerCost(const offer &Offer, std::string_view Customer,
                   std::string_view PreferredSite, const routing_policy &Policy,
                   instant Now) {
  duration Cost = 2 * Offer.LinkLatency + Offer.PredictedWait;
  if (!Customer.empty() && Offer.Site != PreferredSite)
    Cost += Policy.ColdPenalty;
  if (isStale(Offer, Policy, Now))
    Cost += Policy.StalePenalty;
  return Cost;
}

std::string preferredSite(std::span<const std::string> Sites,
                          std::string_view Customer) {
  std::string Best;
  std::uint64_t BestScore = 0;
  for (const std::string &Site : Sites) {
    const std::uint64_t Score = stableHash(Customer, stableHash(Site));
    if (!Best.empty() && Score <= BestScore)
      continue;
    Best = Site;
    BestScore = Score;
  }
  return Best;
}

/// A stale offer has a weight below one unit: the free units that it reported
/// may no longer exist, and many requests sent to it would reach a full site.
static double drawWeight(const offer &Offer, const routing_policy &Policy,
                         instant Now) {
  if (Offer.Suspect)
    return 0.01;
  if (isStale(Offer, Policy, Now))
    return 0.2;
  return static_cast<double>(std::max<std::int64_t>(Offer.FreeUnits, 0)) + 0.1;
}

/// Sorts the offers by cost; each cost is computed once.
static std::vector<const offer *>
sortByCost(std::span<const offer *const> Offers, std::string_view Customer,
           std::string_view PreferredSite, const routing_policy &Policy,
           instant Now) {
  std::vector<std::pair<duration, const offer *>> Costs;
  Costs.reserve(Offers.size());
  for (const offer *Offer : Offers) {
    duration Cost = offerCost(*Offer, Customer, PreferredSite, Policy, Now);
    if (Offer->Suspect)
      Cost += std::chrono::hours(1);
    Costs.emplace_back(Cost, Offer);
  }
  std::stable_sort(Costs.begin(), Costs.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  std::vector<const offer *> Sorted;
  Sorted.reserve(Costs.size());
  for (const auto &[Cost, Offer] : Costs)
    Sorted.push_back(Offer);
  return Sorted;
}

std::vector<const offer *> rankOffers(std::span<const offer *const> Offers,
                                      std::string_view Customer,
                                      std::string_view PreferredSite,
                                      const routing_policy &Policy, instant Now,
                                      std::mt19937_64 &Random) {
  std::vector<const offer *> Ranked =
      sortByCost(Offers, Customer, PreferredSite, Policy, Now);
  if (Ranked.size() < 2 || Policy.Choice == offer_choice::Cheapest)
    return Ranked;
  std::vector<double> Weights;
  Weights.reserve(Ranked.size());
  for (const offer *Offer : Ranked)
    Weights.push_back(drawWeight(*Offer, Policy, Now));
  std::discrete_distribution<std::size_t> Draw(Weights.begin(), Weights.end());
  // The offers are sorted by cost, so the smaller index is the cheaper of the
  // two.
  const std::size_t Chosen = std::min(Draw(Random), Draw(Random));
  std::rotate(Ranked.begin(), Ranked.begin() + static_cast<long>(Chosen),
              Ranked.begin() + static_cast<long>(Chosen) + 1);
  return Ranked;
}

/// A cold target accepts a quarter of its slots at first, then half (slow
/// start), so that a large shift of traffic does not reach empty caches at
/// once.
static std::int64_t currentSlots(const target_state &Target,
                                 const target_policy &Policy, instant Now) {
  const duration Age = Now - Target.AvailableSince;
  if (Age >= Policy.WarmUp)
    return Target.Slots;
  const std::int64_t Part = Age >= Policy.WarmUp / 2 ? 2 : 4;
  return std::max<std::int64_t>(1, Target.Slots / Part);
}

bool acceptsWork(const target_state &Target, const target_policy &Policy,
                 instant Now) {
  if (Target.Draining || Target.InFlight >= currentSlots(Target, Policy, Now))
    return false;
  if (Target.Failures < Policy.MaxFailures)
    return true;
  // Half-open: one trial request at a time after the quarantine.
  return Now >= Target.QuarantinedUntil && Target.InFlight == 0;
}

double targetCost(const target_state &Target, const target_policy &Policy) {
  const auto Busy = static_cast<double>(Target.InFlight + 1) /
                    static_cast<double>(Target.Slots);
  if (Policy.Choice == target_choice::Load)
    return Busy;
  return Busy * static_cast<double>(Target.SmoothedDuration.count());
}

void recordTargetResult(target_state &Target, const target_policy &Policy,
                        bool Healthy, duration Elapsed, instant Now) {
  if (Healthy) {
    Target.Failures = 0;
    Target.Down = false;
    Target.SmoothedDuration = (Target.SmoothedDuration * 7 + Elapsed) / 8;
    return;
  }
  const bool WasHalfOpen =
      Target.Failures >= Policy.MaxFailures && Now >= Target.QuarantinedUntil;
  Target.Down = Target.Down || WasHalfOpen;
  ++Target.Failures;
  if (Target.Failures >= Policy.MaxFailures)
    Target.QuarantinedUntil = Now + Policy.Quarantine;
}

void recordConnectionRefused(target_state &Target,
                             const target_policy &Policy) {
  Target.Down = Target.Down || Target.Failures >= Policy.MaxFailures;
}

} // namespace amaranthhoist
