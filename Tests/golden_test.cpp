// Golden files of whole sessions: everything callers were told and backend
// servers executed in a seeded run of each deployment, line by line. A wanted
// change is taken over by Utilities/regenerate-golden.sh.

#include "Scheduler/world.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace amaranthhoist;
using namespace amaranthhoist::testing;

namespace {

/// One line of a session, sorted by time, then text.
using session_line = std::pair<std::int64_t, std::string>;

std::int64_t microseconds(instant At) { return At.time_since_epoch().count(); }

/// Keys hold the owner's incarnation; the caller's part is enough to read.
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
  for (const told_answer &Told : Result.History.Told)
    Lines.emplace_back(
        microseconds(Told.At),
        "told " + Told.Operation + " " + std::string(toString(Told.Outcome)) +
            (Told.ContentOf.empty() ? "" : " with " + Told.ContentOf));
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

TEST(Golden, MandapGharSessionWithAGatewayKilled) {
  world_options Options;
  Options.Seed = 11;
  Options.Service = "enquiry-desk";
  Options.Slots = 6;
  Options.Length = std::chrono::seconds(2);
  Options.Callers = 10;
  Options.LongPercent = 1;
  Options.Faults = {fault::KillGateway, fault::LostAnswers};
  compareWithGolden("mandap-ghar.txt", Options);
}

TEST(Golden, JegyzetfuzetSessionWithASiteDrained) {
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
