// quickstart-caller: runs the callers of one deployment for some seconds and
// then checks the outcomes.

#include "Daemon/daemon.h"
#include "Timers/timers.h"
#include "caller.h"

#include <cxxopts.hpp>
#include <iostream>
#include <thread>

using namespace amaranthhoist;

static const request_kind &draw(const std::vector<request_kind> &Mix,
                                std::mt19937_64 &Random) {
  int Sum = 0;
  for (const request_kind &Kind : Mix)
    Sum += Kind.Weight;
  int Drawn = std::uniform_int_distribution<int>(0, Sum - 1)(Random);
  for (const request_kind &Kind : Mix) {
    if (Drawn < Kind.Weight)
      return Kind;
    Drawn -= Kind.Weight;
  }
  return Mix.front();
}

static int runCallers(const cxxopts::ParseResult &Parsed) {
  const auto Entries = Parsed["entries"].as<std::vector<std::string>>();
  const auto Backends = Parsed["backends"].as<std::vector<std::string>>();
  const auto Mix = requestMixFor(Parsed["deployment"].as<std::string>());
  const auto Until =
      currentInstant() + std::chrono::seconds(Parsed["seconds"].as<int>());
  const int Pause = Parsed["pause-ms"].as<int>();
  caller_report Report;
  std::vector<std::thread> Threads;
  for (int Number = 0; Number < Parsed["callers"].as<int>(); ++Number)
    Threads.emplace_back([&, Number] {
      const std::string Customer = "customer-" + std::to_string(Number % 10);
      std::mt19937_64 Random(static_cast<std::uint64_t>(Number));
      caller Caller(Entries, Customer, Random(), Report);
      while (currentInstant() < Until) {
        Caller.request(draw(Mix, Random));
        std::this_thread::sleep_for(std::chrono::milliseconds(Pause));
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  const bool AllowCut = Parsed.count("allow-cut") != 0;
  return checkAndPrint(Report, Backends, AllowCut) ? exit_codes::Success
                                                   : exit_codes::Failure;
}

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("quickstart-caller", "Callers of the quickstart.");
  Options.add_options()("deployment", "deployment name: mandap or jegyzet",
                        cxxopts::value<std::string>())(
      "entries", "addresses of entries, comma-separated ip:port",
      cxxopts::value<std::vector<std::string>>())(
      "backends", "addresses of backend stand-ins, comma-separated ip:port",
      cxxopts::value<std::vector<std::string>>())(
      "seconds", "duration of the run in seconds",
      cxxopts::value<int>()->default_value("10"))(
      "pause-ms", "pause between the requests of a caller",
      cxxopts::value<int>()->default_value("20"))(
      "callers", "threads", cxxopts::value<int>()->default_value("20"))(
      "allow-cut", "tolerate truncated bodies, for runs that kill a process");
  try {
    return runCallers(Options.parse(ArgumentCount, Arguments));
  } catch (const cxxopts::exceptions::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return exit_codes::Usage;
  }
}
