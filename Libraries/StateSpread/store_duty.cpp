#include "StateSpread/store_duty.h"

#include "StateSpread/spread_tree.h"

#include <algorithm>

namespace amaranthhoist {

/// A new instance doesn't act as a watcher for so long, unless it asked the
/// store to learn. While a fleet starts for the first time each of its
/// instances knows few others and finds itself among the first: 209 of 295 took
/// up the watch 0.7 s after they had learned. Their objects are known to all
/// after a write, a watcher's pause and two polls, 1.2 s together. Not when its
/// own object was listed before: two watchers of a region that are restarted
/// one after the other would leave it without any for so long.
static constexpr duration SettlingTime = std::chrono::milliseconds(1'500);
/// Others step in for watchers when their own state is that old: two polls, and
/// half as much again.
static constexpr duration StepInAge = std::chrono::milliseconds(1'200);
/// The number of askers doubles each time state has grown older by this.
static constexpr duration StepInEvery = std::chrono::milliseconds(1'500);
/// Whoever stepped in goes on for so long, so that a source that comes and goes
/// doesn't cost calls each time.
static constexpr duration StepInAtLeast = std::chrono::seconds(3);
/// A watcher goes on for so long after another one has taken its place, which
/// has to hear from the store first.
static constexpr duration StepBackAfter = std::chrono::seconds(1);
/// Silence of all peers for so long: several questions to different ones.
static constexpr duration AloneAfter = std::chrono::milliseconds(2'500);

/// One that asked the store to learn goes on at least for so long, whatever its
/// place: until those who are to watch have settled, there is nobody else.
static constexpr duration HandOverTime = std::chrono::seconds(3);

static bool isWatcher(const duty_view &View) {
  if (View.IsAsking && View.SinceLearned < HandOverTime)
    return true;
  const bool IsRanked = View.Rank && *View.Rank < WatchersPerRegion;
  return IsRanked && (View.WasListed || View.SinceLearned >= SettlingTime);
}

/// How many of a region's instances ask while their state is that old.
static std::size_t askersAt(duration StateAge) {
  if (StateAge < StepInAge)
    return WatchersPerRegion;
  // Enough to pass the most from one asker.
  constexpr std::int64_t MostDoublings = 8;
  const std::int64_t Doublings =
      std::min(1 + (StateAge - StepInAge) / StepInEvery, MostDoublings);
  return std::min(WatchersPerRegion << static_cast<std::size_t>(Doublings),
                  MostAskers);
}

bool isOnDuty(store_duty &Duty, const duty_view &View, instant Now) {
  if (isWatcher(View)) {
    Duty.Until = std::max(Duty.Until, Now + StepBackAfter);
    return true;
  }
  const bool StepsIn = View.SinceLearned >= SettlingTime && View.Rank &&
                       *View.Rank < askersAt(View.StateAge) &&
                       View.StateAge >= StepInAge;
  if (StepsIn || View.SinceAnswer >= AloneAfter)
    Duty.Until = Now + StepInAtLeast;
  return Now < Duty.Until;
}

} // namespace amaranthhoist
