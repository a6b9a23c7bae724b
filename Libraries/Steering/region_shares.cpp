// The weights of the failure domains for the primary and secondary of objects:
// those of their regions, and for large bodies the own failure domain first.
#include "Steering/candidates.h"

#include "Placement/region_weights.h"

#include <algorithm>

namespace amaranthhoist {

/// Share of its work that a region without any slots spills over to all
/// regions; other regions in proportion to the slots they lack. A region with
/// its even share spills nothing while its servers have capacity: a request is
/// in flight to another region for up to three crossings, and when the region's
/// traffic falls, most of what still arrives is what was sent away.
static constexpr double SpilloverWithoutSlots = 0.2;
/// The largest share of a region's work that may leave the region when its
/// servers fill up, however suddenly they do.
static constexpr double MaxOverflow = 0.15;
/// Weight of all regions alike in the choice of the secondary candidate. The
/// secondary is the best server after an object's primary, which is mostly in
/// the own region, so the secondary is in another region up to twice as often.
static constexpr double OverflowSpread = MaxOverflow / 2;
/// Ranks the servers of other regions behind those of the own region when
/// nothing spills over.
static constexpr double MinSpillover = 1e-9;
/// Interval between updates of the region weights. They follow the list of
/// servers, which changes once a second at most.
static constexpr duration WeightsUpdatePeriod = std::chrono::milliseconds(500);

/// Slots by failure domain that are neither draining nor evacuated.
static std::vector<double>
usableSlotsByDomain(const target_directory &Directory,
                    std::span<target *const> Targets) {
  std::vector<double> Slots(Directory.Domains.size() + 1, 0.0);
  for (const target *Target : Targets)
    if (!Target->Entry.IsDraining &&
        !Directory.EvacuatedDomains.contains(Target->Entry.FailureDomain))
      Slots[Target->DomainIndex] += Target->Entry.Slots;
  return Slots;
}

/// Listed slots by region. Temporary conditions, such as the ejection of a
/// server, are ignored because they must not move the objects of all other
/// servers.
static std::vector<double> slotsByRegion(const target_directory &Directory,
                                         std::span<target *const> Targets) {
  std::vector<double> Slots(Directory.Regions.size() + 1, 0.0);
  for (const target *Target : Targets)
    if (!Target->Entry.IsDraining)
      Slots[Target->RegionIndex] += Target->Entry.Slots;
  Slots.pop_back();
  return Slots;
}

/// The weight of each region for the servers of its failure domains.
static std::vector<double> byDomain(const target_directory &Directory,
                                    std::span<const double> RegionWeights) {
  std::vector<double> Weights;
  for (const std::size_t Region : Directory.RegionByDomain)
    Weights.push_back(RegionWeights[Region]);
  return Weights;
}

/// Moves the weight of the own region to the own failure domain, as far as that
/// has the slots for its callers if all failure domains of the region request
/// the same amount. Large bodies fill the links between failure domains; an
/// object then has a server in each one, which costs a first run each.
static std::vector<double> nearFirst(const steering &Steering,
                                     std::span<target *const> Targets,
                                     std::vector<double> Weights) {
  const target_directory &Directory = Steering.Targets;
  const auto SlotsByDomain = usableSlotsByDomain(Directory, Targets);
  std::vector<double> Slots;
  std::vector<std::size_t> Near;
  std::size_t Own = Directory.Domains.size();
  for (std::size_t Domain = 0; Domain < Weights.size(); ++Domain) {
    if (Directory.RegionByDomain[Domain] != Steering.OwnRegion)
      continue;
    if (Domain == Steering.OwnDomain)
      Own = Near.size();
    Near.push_back(Domain);
    Slots.push_back(SlotsByDomain[Domain]);
  }
  const auto Factors = regionWeights(Slots, Own, Steering.BulkLocality);
  for (std::size_t Index = 0; Index < Near.size(); ++Index)
    Weights[Near[Index]] *= Factors[Index];
  return Weights;
}

const service_weights &updateWeights(steering &Steering,
                                     const std::string &Service,
                                     std::span<target *const> Targets,
                                     instant Now) {
  service_weights &Weights = Steering.Weights[Service];
  if (!Weights.Primary.empty() && Now - Weights.UpdatedAt < WeightsUpdatePeriod)
    return Weights;
  Weights.UpdatedAt = Now;
  updateSpillover(Weights.Spillover, Now);
  updateShares(Weights.HomeDemand, Steering.ExpectedHomeShares);
  const std::vector<double> AllSlots = slotsByRegion(Steering.Targets, Targets);
  const std::vector<double> Slots =
      slotsForOthers(AllSlots, Weights.HomeDemand);
  const double Lacking = 1 - ownCoverage(Slots, Steering.OwnRegion);
  const double Spread = std::max(
      {MinSpillover, SpilloverWithoutSlots * Lacking, Weights.Spillover.Share});
  std::vector<double> Primary =
      regionWeights(Slots, Steering.OwnRegion, 1 - Spread);
  std::vector<double> Secondary = regionWeights(
      Slots, Steering.OwnRegion, 1 - OverflowSpread - Weights.Spillover.Share);
  // Weights count per slot, and all slots of a region are ranked.
  for (std::size_t Region = 0; Region < AllSlots.size(); ++Region)
    if (AllSlots[Region] > 0) {
      const double Share = Slots[Region] / AllSlots[Region];
      Primary[Region] *= Share;
      Secondary[Region] *= Share;
    }
  Weights.Primary = byDomain(Steering.Targets, Primary);
  Weights.Secondary = byDomain(Steering.Targets, Secondary);
  Weights.BulkPrimary = nearFirst(Steering, Targets, Weights.Primary);
  return Weights;
}

} // namespace amaranthhoist
