// Mutated settings files: each fault names a field and what is permitted.

#include "Fuzz/mutation.h"
#include "NodeSettings/settings_reload.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace amaranthhoist;

namespace {

const std::array<std::string, 1> Samples = {R"(instance: "n-1"
failure_domain: "a1"
region: "a"
failure_domains: {"a1":"a","b1":"b"}
store: "10.0.0.9:8169"
seeds: ["10.0.0.2:80"]
listen: {callers: "10.0.0.1:81", readiness: "10.0.0.1:82",
  lookups: "10.0.0.1:83", control: "10.0.0.1:84", peers: "10.0.0.1:7720"}
limits: {processor: 0.2, memory_mb: 260, file_descriptors: 4100}
bounds: {repeat_ratio: 0.2, repeat_window: "10s", grace_period: "6s"}
)"};
constexpr std::array<std::string_view, 10> Words = {
    "-1", "1e999",   "nan", "\"\"",          "[",
    "{",  "&a [*a]", "\n",  "9999999999999", ": "};

} // namespace

// clang-format off
TEST_GROUP(SettingsFuzz) {};
// clang-format on

TEST(SettingsFuzz, FaultsAreNamedAndValidFilesReload) {
  mutator Mutator(5);
  const node_settings InForce = checkNodeSettings(Samples[0]).Settings;
  for (int Round = 0; Round < fuzzRounds() / 4; ++Round) {
    const std::string Text = Mutator.mutate(Samples, Words);
    const node_settings_check Check = checkNodeSettings(Text);
    for (const settings_fault &Fault : Check.Faults)
      CHECK_TEXT(!Fault.Field.empty() && !Fault.Message.empty(), Text.c_str());
    if (!Check.Faults.empty())
      continue;
    // A second reload of the same file changes nothing but what needs a
    // restart.
    const settings_reload First = planReload(InForce, Check.Settings);
    const settings_reload Second = planReload(First.Settings, Check.Settings);
    LONGS_EQUAL(0, Second.Applied.size());
    LONGS_EQUAL(First.NeedRestart.size(), Second.NeedRestart.size());
  }
}
