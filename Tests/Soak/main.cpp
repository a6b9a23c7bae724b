/// Command line of the soak: runs seeds, prints one line per seed, and fails if
/// a guarantee was violated.
#include "Text/text.h"
#include "soak_run.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

using namespace amaranthhoist;

namespace {

/// Parses "3" or "1-50".
std::vector<std::uint64_t> parseSeeds(std::string_view Text) {
  std::vector<std::uint64_t> Seeds;
  const auto Parts = split(Text, '-');
  const auto First = parseNumber<std::uint64_t>(Parts.front());
  const auto Last = parseNumber<std::uint64_t>(Parts.back());
  if (First && Last)
    for (std::uint64_t Seed = *First; Seed <= *Last; ++Seed)
      Seeds.push_back(Seed);
  return Seeds;
}

/// Reads one seed per line; the rest of the line states its cause.
std::vector<std::uint64_t> readSeeds(const std::string &File) {
  std::vector<std::uint64_t> Seeds;
  std::ifstream Stream(File);
  std::string Line;
  while (std::getline(Stream, Line))
    if (const auto Seed = parseNumber<std::uint64_t>(
            strip(std::string_view(Line).substr(0, Line.find(' ')))))
      Seeds.push_back(*Seed);
  return Seeds;
}

void print(std::uint64_t Seed, const soak_result &Result) {
  std::cout << "seed " << Seed << ": " << Result.Faults.size() << " faults, "
            << Result.Attempts << " attempts, " << Result.Served << " served, "
            << Result.Refused << " refused, " << Result.Broken.size()
            << " broken\n";
  if (Result.Broken.empty()) {
    std::cout.flush();
    return;
  }
  for (const fault &Fault : Result.Faults)
    std::cout << "  at " << Fault.At.count() / 1'000 << " ms for "
              << Fault.For.count() / 1'000 << " ms: " << toString(Fault.Kind)
              << " " << Fault.Subject << "\n";
  for (const std::string &Sentence : Result.Broken)
    std::cout << "  broken: " << Sentence << "\n";
  if (!Result.Folder.empty())
    std::cout << "  logs: " << Result.Folder << "\n";
  std::cout.flush();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("soak", "Runs nodes under faults drawn from seeds.");
  Options.add_options()("seeds", "N or FIRST-LAST",
                        cxxopts::value<std::string>()->default_value(""))(
      "file", "file with a seed a line",
      cxxopts::value<std::string>()->default_value(""))(
      "nodes", "", cxxopts::value<std::size_t>()->default_value("4"))(
      "servers", "", cxxopts::value<std::size_t>()->default_value("6"))(
      "callers", "", cxxopts::value<std::size_t>()->default_value("16"))(
      "accounts", "requests carry the API keys of client accounts")(
      "keep", "keep the logs of runs that failed")("help", "");
  // Reports exceptions, such as those of bad options, as text. All other
  // failures are results of a run.
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    std::vector<std::uint64_t> Seeds =
        parseSeeds(Parsed["seeds"].as<std::string>());
    for (std::uint64_t Seed : readSeeds(Parsed["file"].as<std::string>()))
      Seeds.push_back(Seed);
    if (Parsed.count("help") > 0 || Seeds.empty()) {
      std::cout << Options.help();
      return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const soak_size Size{
        Parsed["nodes"].as<std::size_t>(), Parsed["servers"].as<std::size_t>(),
        Parsed["callers"].as<std::size_t>(), Parsed.count("accounts") > 0};
    const char *Given = std::getenv("AMARANTHHOIST_NODE");
    std::size_t Failed = 0;
    for (std::uint64_t Seed : Seeds) {
      soak_run Run(Given ? Given : NODE_PROGRAM, Seed, Size);
      const soak_result Result = Run.run({}, Parsed.count("keep") > 0);
      print(Seed, Result);
      Failed += Result.Broken.empty() ? 0 : 1;
    }
    std::cout << Seeds.size() << " seeds, " << Failed << " failed\n";
    return Failed == 0 ? 0 : 1;
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return 2;
  }
}
