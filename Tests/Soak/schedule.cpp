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
    "evacuate"};

/// Shortest and longest time of a fault.
static constexpr int ShortestMs = 100;
static constexpr int LongestMs = 2'500;

std::string_view toString(fault_kind Kind) {
  return Names[static_cast<std::size_t>(Kind)];
}

std::vector<fault> makeSchedule(std::uint64_t Seed,
                                const schedule_limits &Limits) {
  std::mt19937_64 Random(Seed);
  const auto Draw = [&Random](std::size_t Below) { return Random() % Below; };
  const std::size_t Count =
      Limits.Fewest + Draw(Limits.Most - Limits.Fewest + 1);
  const auto LengthMs = static_cast<std::size_t>(Limits.Length.count() / 1'000);
  std::vector<fault> Faults;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    fault Fault;
    Fault.Kind = static_cast<fault_kind>(Draw(FaultKinds));
    Fault.At = std::chrono::milliseconds(Draw(LengthMs));
    Fault.For =
        std::chrono::milliseconds(ShortestMs + Draw(LongestMs - ShortestMs));
    Fault.Subject = Draw(1'000);
    Faults.push_back(Fault);
  }
  std::stable_sort(
      Faults.begin(), Faults.end(),
      [](const fault &Left, const fault &Right) { return Left.At < Right.At; });
  return Faults;
}

} // namespace amaranthhoist
