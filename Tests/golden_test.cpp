// Golden tests of complete sessions: every outcome that callers received and
// every execution at backend servers, in a seeded run of each deployment, line
// by line. Utilities/regenerate-golden.sh accepts an intended change.

#include "Scheduler/world.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace amaranthhoist;
using namespace amaranthhoist::testing;

namespace {

/// One line of a session; lines are sorted by time, then by text.
using session_line = std::pair<std::int64_t, std::string>;

std::int64_t microseconds(instant At) { return At.time_since_epoch().count(); }

/// Returns the caller's part of a key, which is enough to identify it; the rest
/// holds the incarnation of the owner.
std::string shortKey(const std::string &Key) {
  return Key.empty() ? "-" : Key.substr(Key.find('.') + 1);
}

std::string describeSession(const world_result &Result) {
  std::vector<session_line> Lines;
  for (const recorded_execution &Execution : Result.History.Executions)
    Lines.emplace_back(
        microseconds(Execution.Start),
        "run " + Execution.Operation + " key " + shortKey(Execution.Key) +
            " at " + Execution.Target + " from " + Execution.SourceRegion +
            " for " +
            std::to_string((Execution.End - Execution.Start).count()) + " us");
  for (const reported_outcome &Reported : Result.History.Outcomes)
    Lines.emplace_back(
        microseconds(Reported.At),
        "told " + Reported.Operation + " " +
            std::string(toString(Reported.Outcome)) +
            (Reported.ContentOf.empty() ? "" : " with " + Reported.ContentOf));
  std::sort(Lines.begin(), Lines.end());
  std::string Text;
  for (const auto &[At, Line] : Lines)
    Text += std::to_string(At) + " " + Line + "\n";
  return Text;
}

void compareWithGolden(const char *Name, const world_options &Options) {
  const std::string Text = describeSession(runWorld(Options));
  const std::string File = std::string(GOLDEN_DIRECTORY) + "/" + Name;
  if (std::getenv("AMARANTHHOIST_REGENERATE")) {
    std::ofstream(File) << Text;
    return;
  }
  std::stringstream Expected;
  Expected << std::ifstream(File).rdbuf();
  STRCMP_EQUAL(Expected.str().c_str(), Text.c_str());
}

} // namespace

// clang-format off
TEST_GROUP(Golden) {};
// clang-format on

TEST(Golden, MandapGharSessionWithKilledGateway) {
  world_options Options;
  Options.Seed = 11;
  Options.Service = "enquiry-desk";
  Options.Slots = 6;
  Options.Length = std::chrono::seconds(2);
  Options.Callers = 10;
  Options.LongPercent = 1;
  Options.Faults = {fault::KillGateway, fault::LostResponses};
  compareWithGolden("mandap-ghar.txt", Options);
}

TEST(Golden, JegyzetfuzetSessionWithDrainedSite) {
  world_options Options;
  Options.Seed = 12;
  Options.Service = "kernel-hub";
  Options.TargetCount = 5;
  Options.SlotMilliwatts = 15'000;
  Options.Length = std::chrono::seconds(2);
  Options.Callers = 10;
  Options.LongPercent = 20;
  Options.Faults = {fault::DrainSite, fault::FreezeGateway};
  compareWithGolden("jegyzetfuzet.txt", Options);
}
