#include "StateSpread/learning.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace amaranthhoist {

/// What the lists take at most, in bits: a megabyte, the store's longest
/// answer.
static constexpr double ListMegabits = 8;
/// The time to wait for the store is at most this many times that which the own
/// link needs for the lists: 64 ms at 1,000 Mbit/s, 0.32 s at 200, 3.2 s at 20,
/// by when peers have long answered if any of them lives.
static constexpr double MostTurns = 8;
/// How often the number of instances whose wait is over doubles on the way. Few
/// ask early however large the fleet is: of 173 with 200 Mbit/s one after 45
/// ms, and twice as many each 80 ms. Drawn evenly, all would fill the store's
/// link before the first had learned (888 lists at 1,900 instances without
/// seeds).
static constexpr double Doublings = 8;
/// The wait goes on for this part of the most when a peer shows that the state
/// is on its way: a seed that is learning, or one that is busy handing it out.
static constexpr double PartAfterSignOfLife = 0.25;
/// But no longer than this after the start.
static constexpr duration LongestWait = std::chrono::seconds(4);
/// Between two questions to seeds. A seed that is new itself remembers who has
/// asked and tells them once it knows, so that asking often gains nothing.
static constexpr duration SeedPause = std::chrono::milliseconds(250);
/// Addresses that are remembered: a few of those heard last.
static constexpr std::size_t MostHeard = 8;

static duration drawWait(const learning &Learning, std::mt19937_64 &Random) {
  const double Draw = std::uniform_real_distribution<double>()(Random);
  const double Part = std::max(1 + std::log2(Draw) / Doublings, 0.0);
  return std::chrono::duration_cast<duration>(Part * Learning.MostWait);
}

learning startLearning(const learning_setup &Setup, instant Now) {
  std::mt19937_64 Random(Setup.Seed);
  learning Learning;
  for (const std::string &Seed : Setup.Seeds)
    if (Seed != Setup.OwnControl)
      Learning.Seeds.push_back(Seed);
  const bool IsSeed = Learning.Seeds.size() != Setup.Seeds.size();
  std::shuffle(Learning.Seeds.begin(), Learning.Seeds.end(), Random);
  Learning.StartedAt = Now;
  Learning.MostWait = std::chrono::duration<double>(
      MostTurns * ListMegabits / std::max(Setup.LinkMbps, 1.0));
  Learning.NextSeedAt = Now;
  Learning.AskStoreAt = Now;
  // Without seeds there is nobody else to begin with.
  if (!IsSeed && !Learning.Seeds.empty())
    Learning.AskStoreAt += drawWait(Learning, Random);
  return Learning;
}

void hearOfSource(learning &Learning, const std::string &Control) {
  if (Control.empty())
    return;
  std::erase(Learning.Heard, Control);
  Learning.Heard.push_back(Control);
  if (Learning.Heard.size() > MostHeard)
    Learning.Heard.erase(Learning.Heard.begin());
}

std::optional<std::string> takeHeard(learning &Learning) {
  if (Learning.Heard.empty())
    return std::nullopt;
  std::string Control = std::move(Learning.Heard.back());
  Learning.Heard.pop_back();
  return Control;
}

std::optional<std::string> takeSeed(learning &Learning, instant Now) {
  if (Learning.Seeds.empty() || Now < Learning.NextSeedAt)
    return std::nullopt;
  Learning.NextSeedAt = Now + SeedPause;
  return Learning.Seeds[Learning.NextSeed++ % Learning.Seeds.size()];
}

void noteSignOfLife(learning &Learning, instant Now) {
  const instant Last = Learning.StartedAt + LongestWait;
  const auto Pause = std::chrono::duration_cast<duration>(PartAfterSignOfLife *
                                                          Learning.MostWait);
  Learning.AskStoreAt =
      std::max(Learning.AskStoreAt, std::min(Now + Pause, Last));
}

bool mayAskStore(const learning &Learning, instant Now) {
  return Now >= Learning.AskStoreAt;
}

} // namespace amaranthhoist
