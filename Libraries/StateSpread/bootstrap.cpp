#include "StateSpread/bootstrap.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace amaranthhoist {

/// Largest size of the snapshot, in megabits: one megabyte, the store's longest
/// response.
static constexpr double MaxSnapshotMegabits = 8;
/// The delay before listing the store is at most this multiple of the time that
/// the own link needs for the snapshot: 64 ms at 1,000 Mbit/s, 0.32 s at 200,
/// 3.2 s at 20. By then peers have responded if any of them is alive.
static constexpr double MaxDelayFactor = 8;
/// Number of times that the count of instances whose delay has passed doubles
/// within the longest delay. Few instances list the store early, however large
/// the fleet is: of 173 with 200 Mbit/s one after 45 ms, and twice as many
/// every 80 ms. With a uniform distribution all of them would saturate the
/// store's link before the first one had the state (888 lists at 1,900
/// instances without seeds).
static constexpr double DelayDoublings = 8;
/// Fraction of the longest delay by which the listing is postponed when a peer
/// shows that the state is on its way: a seed that is bootstrapping, or one
/// that is busy serving snapshots.
static constexpr double PostponeFraction = 0.25;
/// Upper bound of the postponed delay, counted from the start.
static constexpr duration MaxTotalDelay = std::chrono::seconds(4);
/// Interval between queries to seeds. A seed that is new itself records the
/// requesters and notifies them once it has the state, so that frequent queries
/// gain nothing.
static constexpr duration SeedQueryInterval = std::chrono::milliseconds(250);
/// Bound on the remembered sources; the latest ones are kept.
static constexpr std::size_t MaxAnnouncedSources = 8;

static duration drawDelay(const bootstrap &Bootstrap, std::mt19937_64 &Random) {
  const double Draw = std::uniform_real_distribution<double>()(Random);
  const double Fraction = std::max(1 + std::log2(Draw) / DelayDoublings, 0.0);
  return std::chrono::duration_cast<duration>(Fraction * Bootstrap.MaxDelay);
}

bootstrap startBootstrap(const bootstrap_options &Options, instant Now) {
  std::mt19937_64 Random(Options.Seed);
  bootstrap Bootstrap;
  for (const std::string &Seed : Options.Seeds)
    if (Seed != Options.OwnControl)
      Bootstrap.Seeds.push_back(Seed);
  const bool IsSeed = Bootstrap.Seeds.size() != Options.Seeds.size();
  std::shuffle(Bootstrap.Seeds.begin(), Bootstrap.Seeds.end(), Random);
  Bootstrap.StartedAt = Now;
  Bootstrap.MaxDelay = std::chrono::duration<double>(
      MaxDelayFactor * MaxSnapshotMegabits / std::max(Options.LinkMbps, 1.0));
  Bootstrap.NextSeedAt = Now;
  Bootstrap.ListStoreAt = Now;
  // Without other seeds no peer is known at the start.
  if (!IsSeed && !Bootstrap.Seeds.empty())
    Bootstrap.ListStoreAt += drawDelay(Bootstrap, Random);
  return Bootstrap;
}

void addSource(bootstrap &Bootstrap, const std::string &Control) {
  if (Control.empty())
    return;
  std::erase(Bootstrap.AnnouncedSources, Control);
  Bootstrap.AnnouncedSources.push_back(Control);
  if (Bootstrap.AnnouncedSources.size() > MaxAnnouncedSources)
    Bootstrap.AnnouncedSources.erase(Bootstrap.AnnouncedSources.begin());
}

std::optional<std::string> popSource(bootstrap &Bootstrap) {
  if (Bootstrap.AnnouncedSources.empty())
    return std::nullopt;
  std::string Control = std::move(Bootstrap.AnnouncedSources.back());
  Bootstrap.AnnouncedSources.pop_back();
  return Control;
}

std::optional<std::string> nextSeed(bootstrap &Bootstrap, instant Now) {
  if (Bootstrap.Seeds.empty() || Now < Bootstrap.NextSeedAt)
    return std::nullopt;
  Bootstrap.NextSeedAt = Now + SeedQueryInterval;
  return Bootstrap.Seeds[Bootstrap.NextSeed++ % Bootstrap.Seeds.size()];
}

void postponeStoreList(bootstrap &Bootstrap, instant Now) {
  const instant Latest = Bootstrap.StartedAt + MaxTotalDelay;
  const auto Pause = std::chrono::duration_cast<duration>(PostponeFraction *
                                                          Bootstrap.MaxDelay);
  Bootstrap.ListStoreAt =
      std::max(Bootstrap.ListStoreAt, std::min(Now + Pause, Latest));
}

bool mayListStore(const bootstrap &Bootstrap, instant Now) {
  return Now >= Bootstrap.ListStoreAt;
}

} // namespace amaranthhoist
