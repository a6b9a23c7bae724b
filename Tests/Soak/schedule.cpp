#include "schedule.h"

#include <algorithm>
#include <array>
#include <random>

namespace amaranthhoist {

static constexpr std::array<std::string_view, FaultKinds> Names = {
    "kill",
    "terminate",
    "pause",
    "reload",
    "store silent",
    "store refuses",
    "store away",
    "store forgets",
    "store link silent",
    "store link delayed",
    "store link one way",
    "store link reset",
    "server sheds",
    "server loses answers",
    "server breaks off",
    "server garbles",
    "server answers twice",
    "server unsigned",
    "server silent",
    "server slow",
    "server away",
    "server link silent",
    "server link delayed",
    "server link one way",
    "server link reset",
    "drain",
    "configure",
    "evacuate",
    "server rests",
    "server leaves",
    "deadly request",
    "store restored"};

namespace {

/// Kinds that are drawn from a generator of their own, so that seeds keep their
/// faults when kinds are added.
struct added_kinds {
  std::size_t First = 0;
  std::size_t Count = 0;
  std::uint64_t Stream = 0;
  /// Most faults of these kinds in a run.
  std::size_t Most = 0;
};

} // namespace

/// Number of kinds in the first draw.
static constexpr std::size_t FirstKinds = 28;
static constexpr std::array<added_kinds, 2> AddedKinds = {
    {{FirstKinds, 3, 0x5eed, 3}, {31, 1, 0xc0b1e, 2}}};

/// Shortest and longest duration of a fault.
static constexpr int ShortestMs = 100;
static constexpr int LongestMs = 2'500;

std::string_view toString(fault_kind Kind) {
  return Names[static_cast<std::size_t>(Kind)];
}

static fault drawFault(std::mt19937_64 &Random, std::size_t FirstKind,
                       std::size_t Kinds, duration Length) {
  const auto Draw = [&Random](std::size_t Below) { return Random() % Below; };
  const auto LengthMs = static_cast<std::size_t>(Length.count() / 1'000);
  fault Fault;
  Fault.Kind = static_cast<fault_kind>(FirstKind + Draw(Kinds));
  Fault.At = std::chrono::milliseconds(Draw(LengthMs));
  Fault.For =
      std::chrono::milliseconds(ShortestMs + Draw(LongestMs - ShortestMs));
  Fault.Subject = Draw(1'000);
  return Fault;
}

std::vector<fault> makeSchedule(std::uint64_t Seed,
                                const schedule_limits &Limits) {
  std::mt19937_64 Random(Seed);
  const std::size_t Count =
      Limits.Fewest + Random() % (Limits.Most - Limits.Fewest + 1);
  std::vector<fault> Faults;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Faults.push_back(drawFault(Random, 0, FirstKinds, Limits.Length));
  for (const added_kinds &Added : AddedKinds) {
    std::mt19937_64 Stream(Seed ^ Added.Stream);
    for (std::size_t Left = Stream() % (Added.Most + 1); Left > 0; --Left)
      Faults.push_back(
          drawFault(Stream, Added.First, Added.Count, Limits.Length));
  }
  std::stable_sort(
      Faults.begin(), Faults.end(),
      [](const fault &Left, const fault &Right) { return Left.At < Right.At; });
  return Faults;
}

} // namespace amaranthhoist
