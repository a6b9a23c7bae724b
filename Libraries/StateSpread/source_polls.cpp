#include "StateSpread/source_polls.h"

#include "StateSpread/spread_tree.h"

#include <algorithm>
#include <vector>

namespace amaranthhoist {

/// Time between two polls. On the longest path a change takes a watcher's
/// delay, a relay's poll and another poll, 0.9 s together; it must be in force
/// within 2.5 s.
static constexpr duration PollPeriod = std::chrono::milliseconds(400);
/// Poll period of a relay, of which there are few.
static constexpr duration RelayPollPeriod = std::chrono::milliseconds(200);
/// A source that is silent for this long is passed over: two round trips
/// between the farthest regions, and the time in which a small instance
/// responds.
static constexpr duration SilenceTime = std::chrono::milliseconds(250);
/// After a poll without fresh state the next source is polled immediately, so
/// that a region whose watchers can't reach the store finds fresh state within
/// a few round trips. The number is bounded, since no instance has fresh state
/// while the store is unavailable.
static constexpr std::size_t MaxQuickRetries = 8;
static constexpr duration QuickPollDelay = std::chrono::milliseconds(50);
/// Number of responses from other sources after which the regular ones are
/// tried again.
static constexpr int ResponsesBeforeReturn = 10;

/// Returns the source at the current position; nullptr if there is none.
static const fleet_member *sourceOf(const source_polls &Polls,
                                    const fleet &Fleet) {
  const std::vector<std::string> &Primary = Polls.Place.PrimarySources;
  if (!Polls.IsDisconnected && Polls.Position < Primary.size()) {
    const auto Source = Fleet.Members.find(Primary[Polls.Position]);
    return Source == Fleet.Members.end() ? nullptr : &Source->second;
  }
  // Computing the whole order visits all instances.
  const auto Sources = orderedSources(Fleet, Polls.IsDisconnected);
  return Sources.empty() ? nullptr : Sources[Polls.Position % Sources.size()];
}

static std::optional<poll_start>
chooseSource(const source_polls &Polls, const fleet &Fleet,
             std::span<const std::string> All) {
  if (const fleet_member *Source = sourceOf(Polls, Fleet))
    return poll_start{0, Source->Name, Source->Control};
  std::vector<std::string> Seeds(All.begin(), All.end());
  std::erase(Seeds, Fleet.Own.Control);
  if (Seeds.empty())
    return std::nullopt;
  const std::string &Seed =
      Seeds[(Polls.Position + stableHash(Fleet.Own.Name)) % Seeds.size()];
  return poll_start{0, Seed, Seed};
}

static const source_poll *currentPoll(const source_polls &Polls) {
  for (const source_poll &Poll : Polls.InFlight)
    if (!Poll.Source.empty() && Poll.Position == Polls.Position)
      return &Poll;
  return nullptr;
}

static void passOver(source_polls &Polls, instant Now) {
  ++Polls.Position;
  if (++Polls.Failures <= MaxQuickRetries)
    Polls.NextPollAt = std::min(Polls.NextPollAt, Now + QuickPollDelay);
}

/// A free slot, or else that of the older poll.
static std::size_t slotForNextPoll(const source_polls &Polls) {
  const auto Oldest = std::min_element(
      Polls.InFlight.begin(), Polls.InFlight.end(),
      [](const source_poll &Left, const source_poll &Right) {
        return !Right.Source.empty() &&
               (Left.Source.empty() || Left.SentAt < Right.SentAt);
      });
  return static_cast<std::size_t>(Oldest - Polls.InFlight.begin());
}

std::optional<poll_start> startDuePoll(source_polls &Polls, const fleet &Fleet,
                                       std::span<const std::string> Seeds,
                                       instant Now) {
  if (const source_poll *Current = currentPoll(Polls)) {
    if (Now - Current->SentAt < SilenceTime)
      return std::nullopt;
    passOver(Polls, Now - QuickPollDelay);
  }
  if (Now < Polls.NextPollAt)
    return std::nullopt;
  const bool IsRelay =
      updatePlace(Polls.Place, Fleet).Role == distribution_role::Relay;
  Polls.NextPollAt = Now + (IsRelay ? RelayPollPeriod : PollPeriod);
  auto Start = chooseSource(Polls, Fleet, Seeds);
  if (!Start)
    return std::nullopt;
  Start->Slot = slotForNextPoll(Polls);
  Polls.InFlight[Start->Slot] = {Start->Source, Polls.Position, Now};
  return Start;
}

void recordPollEnd(source_polls &Polls, const fleet &Fleet, std::size_t Slot,
                   bool IsFresh, instant Now) {
  const std::size_t Position = Polls.InFlight[Slot].Position;
  Polls.InFlight[Slot].Source.clear();
  if (!IsFresh) {
    if (Position == Polls.Position)
      passOver(Polls, Now);
    return;
  }
  // A source that was passed over has responded after all.
  Polls.Position = Position;
  Polls.Failures = 0;
  const bool IsRegular =
      Polls.IsDisconnected ||
      Position < updatePlace(Polls.Place, Fleet).PrimarySources.size();
  if (!IsRegular && ++Polls.FallbackResponses >= ResponsesBeforeReturn) {
    Polls.Position = 0;
    Polls.FallbackResponses = 0;
  }
}

instant nextPollTime(const source_polls &Polls) {
  const source_poll *Current = currentPoll(Polls);
  return Current ? Current->SentAt + SilenceTime : Polls.NextPollAt;
}

} // namespace amaranthhoist
