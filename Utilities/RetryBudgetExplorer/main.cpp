/// retry-budget-explorer: runs simulated fleets under random schedules of
/// faults, and compares ways to share a retry budget between instances.
#include "RetryBudget/retry_budget_world.h"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <iostream>
#include <string_view>

using namespace amaranthhoist;

namespace {

struct named_way {
  std::string_view Name;
  retry_way Way;
};
constexpr std::array<named_way, 3> Ways = {
    {{"tokens", retry_way::Tokens},
     {"own", retry_way::OwnWindow},
     {"common", retry_way::CommonWindow}}};

/// Runs \p Count schedules and prints a line. Returns how many broke the bound.
std::uint64_t explore(const named_way &Way, retry_world_options Options,
                      std::uint64_t First, std::uint64_t Count) {
  Options.Way = Way.Way;
  std::uint64_t Broken = 0;
  retry_world_result Sum;
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    Options.Seed = Seed;
    const retry_world_result Result = runRetryWorld(Options);
    Broken += Result.WorstUse > 1 ? 1 : 0;
    Sum.WorstUse = std::max(Sum.WorstUse, Result.WorstUse);
    Sum.Failed += Result.Failed;
    Sum.Retried += Result.Retried;
  }
  std::cout << Way.Name << ": " << Options.Instances << " instances, "
            << Options.Rate << " requests/s: bound broken in " << Broken
            << " of " << Count << " schedules, at most " << Sum.WorstUse
            << " of it used; "
            << static_cast<double>(Sum.Retried) /
                   static_cast<double>(std::max<std::uint64_t>(1, Sum.Failed))
            << " of the failed requests retried\n";
  return Broken;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("retry-budget-explorer",
                           "Checks retry budgets in simulated fleets.");
  Options.add_options()("way", "tokens, own, common or all",
                        cxxopts::value<std::string>()->default_value("tokens"))(
      "seeds", "number of schedules",
      cxxopts::value<std::uint64_t>()->default_value("1000"))(
      "first", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "instances", "instances",
      cxxopts::value<std::size_t>()->default_value("9"))(
      "rate", "requests per second of all callers",
      cxxopts::value<double>()->default_value("120"))(
      "share", "share of the ratio that the ways own and common use",
      cxxopts::value<double>()->default_value("0.8"))("calm", "no faults")(
      "help", "show this");
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    retry_world_options World;
    World.Instances = Parsed["instances"].as<std::size_t>();
    World.Rate = Parsed["rate"].as<double>();
    World.WindowShare = Parsed["share"].as<double>();
    World.HasFaults = Parsed.count("calm") == 0;
    const std::string Wanted = Parsed["way"].as<std::string>();
    std::uint64_t Broken = 0;
    for (const named_way &Way : Ways) {
      if (Wanted != "all" && Wanted != Way.Name)
        continue;
      const std::uint64_t Count =
          explore(Way, World, Parsed["first"].as<std::uint64_t>(),
                  Parsed["seeds"].as<std::uint64_t>());
      Broken += Way.Way == retry_way::Tokens ? Count : 0;
    }
    return Broken == 0 ? 0 : 1;
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return 2;
  }
}
