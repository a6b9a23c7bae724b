// The settings of a node: every fault is reported with its line.

#include "NodeSettings/node_settings.h"
#include "NodeSettings/settings_reload.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace amaranthhoist;

namespace {

const std::string ValidText = R"(instance: "n-1"
failure_domain: "a1"
region: "a"
failure_domains: {"a1":"a","b1":"b"}
store: "10.0.0.9:8169"
seeds: ["10.0.0.2:80"]
listen:
  callers: "10.0.0.1:81"
  readiness: "10.0.0.1:82"
  lookups: "10.0.0.1:83"
  control: "10.0.0.1:84"
  peers: "10.0.0.1:7720"
limits:
  processor: 0.2
  memory_mb: 260
  file_descriptors: 4100
bounds:
  repeat_ratio: 0.2
  repeat_window: "10s"
  repeat_slack: 58
  grace_period: "6s"
  lookup_ttl: "5s"
)";

} // namespace

// clang-format off
TEST_GROUP(NodeSettings) {};
// clang-format on

TEST(NodeSettings, ReadsAValidFile) {
  const auto Check = checkNodeSettings(ValidText);
  LONGS_EQUAL(0, Check.Faults.size());
  CHECK_EQUAL(std::string("b"), Check.Settings.FailureDomains.at("b1"));
  CHECK(Check.Settings.Bounds.RetryWindow == std::chrono::seconds(10));
  DOUBLES_EQUAL(58, Check.Settings.Bounds.RetrySlack, 0);
}

TEST(NodeSettings, PlacementIsOptionalAndInRange) {
  LONGS_EQUAL(0, checkNodeSettings(ValidText).Faults.size());
  const auto Check =
      checkNodeSettings(ValidText + "placement:\n  bulk_locality: 0.5\n");
  LONGS_EQUAL(0, Check.Faults.size());
  DOUBLES_EQUAL(0.5, Check.Settings.BulkLocality, 0);
  LONGS_EQUAL(
      1, checkNodeSettings(ValidText + "placement:\n  bulk_locality: 1.5\n")
             .Faults.size());
}

TEST(NodeSettings, ReportsFaultsWithTheirLines) {
  std::string Text = ValidText;
  Text.replace(Text.find("10.0.0.1:83"), 11, "10.0.0.1:x3");
  Text.replace(Text.find("\"10s\""), 5, "\"10m\"");
  Text += "colour: red\n";
  const auto Check = checkNodeSettings(Text);
  LONGS_EQUAL(3, Check.Faults.size());
  LONGS_EQUAL(10, Check.Faults[0].Line);
  CHECK_EQUAL(std::string("listen.lookups"), Check.Faults[0].Field);
  LONGS_EQUAL(19, Check.Faults[1].Line);
  CHECK_EQUAL(std::string("colour"), Check.Faults[2].Field);
}

TEST(NodeSettings, InvalidYamlIsOneFault) {
  LONGS_EQUAL(1, checkNodeSettings("a: [").Faults.size());
  LONGS_EQUAL(1, checkNodeSettings("- a").Faults.size());
}

// Failure: a key that a reload neither applies nor names as one that needs a
// restart.
TEST(NodeSettings, ReloadKnowsEveryKey) {
  auto Read = checkNodeSettings(ValidText).KnownKeys;
  auto Reloaded = settingKeys();
  std::sort(Read.begin(), Read.end());
  std::sort(Reloaded.begin(), Reloaded.end());
  CHECK(Read == Reloaded);
}

TEST(NodeSettings, ReloadAppliesOrNamesEachDifference) {
  const node_settings InForce = checkNodeSettings(ValidText).Settings;
  node_settings InFile = InForce;
  InFile.Store = "10.0.0.8:8169";
  InFile.Bounds.GracePeriod = std::chrono::milliseconds(8'500);
  InFile.Region = "b";
  const settings_reload Reload = planReload(InForce, InFile);
  LONGS_EQUAL(2, Reload.Applied.size());
  CHECK_EQUAL(std::string("10.0.0.8:8169"), Reload.Settings.Store);
  CHECK_EQUAL(std::string("bounds.grace_period"), Reload.Applied[1].Key);
  CHECK_EQUAL(std::string("8500ms"), Reload.Applied[1].InFile);
  LONGS_EQUAL(1, Reload.NeedRestart.size());
  CHECK_EQUAL(std::string("region"), Reload.NeedRestart[0].Key);
  CHECK_EQUAL(std::string("a"), Reload.NeedRestart[0].InForce);
  CHECK_EQUAL(std::string("a"), Reload.Settings.Region);
}
