/// quota-explorer: runs simulated fleets under random schedules of faults, and
/// compares ways to share the limits of accounts between instances.
#include "Quota/quota_world.h"

#include <array>
#include <cxxopts.hpp>
#include <iomanip>
#include <iostream>
#include <string_view>

using namespace amaranthhoist;

namespace {

struct named_way {
  std::string_view Name;
  quota_way Way;
};
constexpr std::array<named_way, 4> Ways = {{{"pools", quota_way::Pools},
                                            {"one", quota_way::OneCoordinator},
                                            {"equal", quota_way::EqualParts},
                                            {"reports", quota_way::Reports}}};

struct totals {
  std::uint64_t Broken = 0;
  double WorstExcess = -1e9;
  quota_world_result Sum;
  double HotUse = 0;
};

totals runAll(quota_world_options Options, std::uint64_t First,
              std::uint64_t Count) {
  totals Totals;
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    Options.Seed = Seed;
    const quota_world_result Result = runQuotaWorld(Options);
    if (Result.WorstExcess > 0) {
      ++Totals.Broken;
      if (Totals.Broken <= 5)
        std::cout << "seed " << Seed << ": " << Result.WorstExcess
                  << " requests over the bound\n";
    }
    Totals.WorstExcess = std::max(Totals.WorstExcess, Result.WorstExcess);
    Totals.Sum.Arrived += Result.Arrived;
    Totals.Sum.Sent += Result.Sent;
    Totals.Sum.RefusedBelowLimit += Result.RefusedBelowLimit;
    Totals.Sum.Waited += Result.Waited;
    Totals.Sum.WaitSum += Result.WaitSum;
    Totals.Sum.LongestWait =
        std::max(Totals.Sum.LongestWait, Result.LongestWait);
    Totals.Sum.MessageBytes += Result.MessageBytes;
    Totals.HotUse += Result.HotUse / static_cast<double>(Count);
  }
  return Totals;
}

void print(const named_way &Way, const quota_world_options &Options,
           const totals &Totals, std::uint64_t Count) {
  const quota_world_result &Sum = Totals.Sum;
  const double Seconds = static_cast<double>(Options.Length.count()) / 1e6 *
                         static_cast<double>(Count);
  const auto Arrived =
      static_cast<double>(std::max<std::uint64_t>(1, Sum.Arrived));
  const auto Waited =
      static_cast<double>(std::max<std::uint64_t>(1, Sum.Waited));
  std::cout << std::left << std::setw(8) << Way.Name << " nodes "
            << Options.Nodes << ", accounts " << Options.Accounts
            << ": bound broken in " << Totals.Broken << " of " << Count
            << " (worst " << std::max(0.0, Totals.WorstExcess)
            << " over); refused below the limit "
            << static_cast<double>(Sum.RefusedBelowLimit) / Arrived * 1e6
            << " per million; hot accounts got " << Totals.HotUse
            << " of their limit; waited "
            << static_cast<double>(Sum.Waited) / Arrived << " of requests, "
            << static_cast<double>(Sum.WaitSum.count()) / Waited / 1e3
            << " ms each, "
            << static_cast<double>(Sum.LongestWait.count()) / 1e3
            << " ms at most; "
            << static_cast<double>(Sum.MessageBytes) / Seconds /
                   static_cast<double>(Options.Nodes)
            << " bytes/s a node\n";
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("quota-explorer",
                           "Checks limits of accounts in simulated fleets.");
  Options.add_options()("way", "pools, one, equal, reports or all",
                        cxxopts::value<std::string>()->default_value("pools"))(
      "seeds", "number of schedules",
      cxxopts::value<std::uint64_t>()->default_value("1000"))(
      "first", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "nodes", "instances", cxxopts::value<std::size_t>()->default_value("9"))(
      "domains", "failure domains",
      cxxopts::value<std::size_t>()->default_value("6"))(
      "accounts", "client accounts",
      cxxopts::value<std::size_t>()->default_value("3"))(
      "rate", "mean limit, requests per second",
      cxxopts::value<double>()->default_value("30"))(
      "spread", "instances that an account's requests come to; 0: all",
      cxxopts::value<std::size_t>()->default_value("0"))(
      "calm", "no faults, no excess")("help", "show this");
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    quota_world_options World;
    World.Nodes = Parsed["nodes"].as<std::size_t>();
    World.Domains = Parsed["domains"].as<std::size_t>();
    World.Accounts = Parsed["accounts"].as<std::size_t>();
    World.Rate = Parsed["rate"].as<double>();
    World.Spread = Parsed["spread"].as<std::size_t>();
    World.HasFaults = Parsed.count("calm") == 0;
    World.HotAccounts = World.HasFaults ? 1 : 0;
    const auto Count = Parsed["seeds"].as<std::uint64_t>();
    const std::string Wanted = Parsed["way"].as<std::string>();
    std::uint64_t Broken = 0;
    for (const named_way &Way : Ways) {
      if (Wanted != "all" && Wanted != Way.Name)
        continue;
      World.Way = Way.Way;
      const totals Totals =
          runAll(World, Parsed["first"].as<std::uint64_t>(), Count);
      print(Way, World, Totals, Count);
      Broken += Way.Way == quota_way::Pools ? Totals.Broken : 0;
    }
    return Broken == 0 ? 0 : 1;
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return 2;
  }
}
