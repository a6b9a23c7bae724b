#include "StateSpread/watch_duty.h"

#include "StateSpread/spread_tree.h"

#include <algorithm>

namespace amaranthhoist {

/// A new instance doesn't act as a watcher for this long, unless it
/// bootstrapped from the store. While a fleet starts for the first time each of
/// its instances has seen few others and ranks itself among the first: 209 of
/// 295 started to watch 0.7 s after they had bootstrapped. Their objects have
/// reached all instances after a write, a watcher's pause and two polls, 1.2 s
/// together. Does not apply when its own object was listed before: two watchers
/// of a region that are restarted one after the other would leave the region
/// without any for this long.
static constexpr duration SettlingTime = std::chrono::milliseconds(1'500);
/// Other instances take over from watchers when their own state has this age:
/// two polls, and half as much again.
static constexpr duration TakeoverAge = std::chrono::milliseconds(1'200);
/// The number of watching instances doubles each time the state's age grows by
/// this.
static constexpr duration TakeoverDoublingInterval =
    std::chrono::milliseconds(200);
/// An instance that took over watches at least this long, so that a flapping
/// source doesn't cost calls each time.
static constexpr duration MinTakeoverTime = std::chrono::seconds(3);
/// A watcher continues for this long after another one has taken its place,
/// since the new one needs a first response from the store.
static constexpr duration HandbackDelay = std::chrono::seconds(1);
/// Time without a response from any peer after which this instance counts as
/// isolated: several queries to different peers.
static constexpr duration IsolatedAfter = std::chrono::milliseconds(2'500);

/// An instance that bootstrapped from the store watches at least this long,
/// whatever its rank: until the designated watchers have settled, no other
/// instance does.
static constexpr duration BootstrapWatchTime = std::chrono::seconds(3);

static bool isWatcher(const watch_inputs &Inputs) {
  if (Inputs.IsWatching && Inputs.SinceBootstrap < BootstrapWatchTime)
    return true;
  const bool IsRanked = Inputs.Rank && *Inputs.Rank < WatchersPerRegion;
  return IsRanked &&
         (Inputs.WasListed || Inputs.SinceBootstrap >= SettlingTime);
}

/// Returns the number of a region's instances that watch the store while their
/// state has this age.
static std::size_t watcherCountAt(duration StateAge) {
  if (StateAge < TakeoverAge)
    return WatchersPerRegion;
  // Enough doublings to exceed the upper bound from one watcher.
  constexpr std::int64_t MaxDoublings = 8;
  const std::int64_t Doublings = std::min(
      1 + (StateAge - TakeoverAge) / TakeoverDoublingInterval, MaxDoublings);
  return std::min(WatchersPerRegion << static_cast<std::size_t>(Doublings),
                  MaxStoreWatchers);
}

bool shouldWatchStore(watch_duty &Duty, const watch_inputs &Inputs,
                      instant Now) {
  if (isWatcher(Inputs)) {
    Duty.Until = std::max(Duty.Until, Now + HandbackDelay);
    return true;
  }
  const bool TakesOver = Inputs.SinceBootstrap >= SettlingTime && Inputs.Rank &&
                         *Inputs.Rank < watcherCountAt(Inputs.StateAge) &&
                         Inputs.StateAge >= TakeoverAge;
  if (TakesOver || Inputs.SinceLastResponse >= IsolatedAfter)
    Duty.Until = Now + MinTakeoverTime;
  return Now < Duty.Until;
}

} // namespace amaranthhoist
