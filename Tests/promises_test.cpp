// Checks the promises under each fault, over seeds: runs the real decision
// logic of entries and gateways on a seeded scheduler and checks the recorded
// history.

#include "Scheduler/world.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <string>

using namespace amaranthhoist;
using namespace amaranthhoist::testing;

/// Seeds per fault; AMARANTHHOIST_SEEDS sets the number for a longer run.
static int seedCount() {
  const char *Text = std::getenv("AMARANTHHOIST_SEEDS");
  return Text ? std::atoi(Text) : 40;
}

/// Runs all seeds under \p Faults; the first violation fails the test.
static void expectPromisesHold(const std::vector<fault> &Faults) {
  for (int Seed = 1; Seed <= seedCount(); ++Seed) {
    world_options Options;
    Options.Seed = static_cast<std::uint64_t>(Seed);
    Options.Faults = Faults;
    const world_result Result = runWorld(Options);
    for (const violation &Violation : checkHistory(Result.History)) {
      const std::string Text = "seed " + std::to_string(Seed) + ": " +
                               std::string(toString(Violation.Promise)) + ": " +
                               Violation.What;
      FAIL(Text.c_str());
    }
    CHECK_EQUAL(0, Result.Unanswered);
    CHECK(Result.Outcomes.at(outcome::Answered) > 0);
  }
}

/// Returns whether any seed shows a violation of \p Promise with \p Sabotage
/// enabled.
static bool isCaught(sabotage Sabotage, const std::vector<fault> &Faults,
                     promise Promise) {
  for (int Seed = 1; Seed <= 60; ++Seed) {
    world_options Options;
    Options.Seed = static_cast<std::uint64_t>(Seed);
    Options.Faults = Faults;
    Options.Sabotage = Sabotage;
    for (const violation &Violation : checkHistory(runWorld(Options).History))
      if (Violation.Promise == Promise)
        return true;
  }
  return false;
}

// clang-format off
TEST_GROUP(Promises) {};
// clang-format on

TEST(Promises, HoldWithoutFaults) { expectPromisesHold({}); }
TEST(Promises, HoldWhenGatewayDies) {
  expectPromisesHold({fault::KillGateway});
}
TEST(Promises, HoldWhenTwoGatewaysDie) {
  expectPromisesHold({fault::KillTwoGateways});
}
TEST(Promises, HoldWhenGatewayFreezes) {
  expectPromisesHold({fault::FreezeGateway});
}
TEST(Promises, HoldWhenGatewayIsPartitioned) {
  expectPromisesHold({fault::CutGateway});
}
TEST(Promises, HoldWhenMessagesFromGatewayAreLost) {
  expectPromisesHold({fault::CutOneWay});
}
TEST(Promises, HoldWhenEntriesCannotReachGateway) {
  expectPromisesHold({fault::CutEntries});
}
TEST(Promises, HoldDuringPlatformOutage) {
  expectPromisesHold({fault::PlatformOutage});
}
TEST(Promises, HoldWhenResponsesToWritesAreLost) {
  expectPromisesHold({fault::LostWrites});
}
TEST(Promises, HoldWhenResponsesAreLost) {
  expectPromisesHold({fault::LostResponses});
}
TEST(Promises, HoldWhenBackendServersShed) {
  expectPromisesHold({fault::Shedding});
}
TEST(Promises, HoldDuringSurge) { expectPromisesHold({fault::Surge}); }
TEST(Promises, HoldWhileSiteDrains) { expectPromisesHold({fault::DrainSite}); }
TEST(Promises, HoldWhenTargetDrains) {
  expectPromisesHold({fault::TargetDrains});
}

// Pairs of faults.

TEST(Promises, HoldWhenOneGatewayDiesAndAnotherIsPartitioned) {
  expectPromisesHold({fault::KillGateway, fault::CutGateway});
}
TEST(Promises, HoldWhenGatewayDiesDuringPlatformOutage) {
  expectPromisesHold({fault::KillGateway, fault::PlatformOutage});
}
TEST(Promises, HoldWhenGatewayDiesDuringSurge) {
  expectPromisesHold({fault::KillGateway, fault::Surge});
}
TEST(Promises, HoldWhenGatewayFreezesAndResponsesAreLost) {
  expectPromisesHold({fault::FreezeGateway, fault::LostResponses});
}
TEST(Promises, HoldWhenGatewayFreezesDuringSurge) {
  expectPromisesHold({fault::FreezeGateway, fault::Surge});
}
TEST(Promises, HoldWhenGatewayFreezesAndEntriesCannotReachOne) {
  expectPromisesHold({fault::FreezeGateway, fault::CutEntries});
}
TEST(Promises, HoldWhenTwoGatewaysDieAndResponsesToWritesAreLost) {
  expectPromisesHold({fault::KillTwoGateways, fault::LostWrites});
}
TEST(Promises, HoldWhenGatewayIsPartitionedDuringSurge) {
  expectPromisesHold({fault::CutGateway, fault::Surge});
}
TEST(Promises, HoldWhenSiteDrainsAndGatewayDies) {
  expectPromisesHold({fault::DrainSite, fault::KillGateway});
}
TEST(Promises, HoldWhenSiteDrainsDuringPlatformOutage) {
  expectPromisesHold({fault::DrainSite, fault::PlatformOutage});
}
TEST(Promises, HoldWhenTargetDrainsAndGatewayFreezes) {
  expectPromisesHold({fault::TargetDrains, fault::FreezeGateway});
}
TEST(Promises, HoldWhenEntriesCannotReachGatewayAndItsMessagesAreLost) {
  expectPromisesHold({fault::CutEntries, fault::CutOneWay});
}

// Each mechanism disabled: the checker has to detect the violation that the
// mechanism prevents.

TEST(Promises, CheckerDetectsExecutionAfterNotRunWithoutWitness) {
  CHECK(isCaught(sabotage::NoWitness, {fault::FreezeGateway}, promise::NotRun));
}
TEST(Promises, CheckerDetectsExceededLimitWhenUnconfirmedWorkIsReleased) {
  CHECK(isCaught(sabotage::NoLingering, {fault::LostResponses, fault::Surge},
                 promise::Region));
}
TEST(Promises, CheckerDetectsExceededPowerWithUnconditionalWrites) {
  CHECK(isCaught(sabotage::UnconditionalWrites,
                 {fault::KillTwoGateways, fault::Surge}, promise::Power));
}
TEST(Promises, CheckerDetectsExceededLimitWhenLoansAreAcceptedTwice) {
  CHECK(isCaught(sabotage::LoansAppliedTwice, {fault::Surge}, promise::Region));
}
TEST(Promises, CheckerDetectsSecondExecutionWhenKeysAreRemoved) {
  CHECK(isCaught(sabotage::ForgottenKeys, {fault::CutEntries},
                 promise::AtMostOnce));
}
TEST(Promises,
     CheckerDetectsExceededLimitWhenDeadHoldersAreReclaimedImmediately) {
  CHECK(isCaught(sabotage::ReclaimAtOnce, {fault::KillGateway, fault::Surge},
                 promise::Region));
}
TEST(Promises, CheckerDetectsNewWorkWhenDrainingIsIgnored) {
  CHECK(isCaught(sabotage::DrainingIgnored, {fault::TargetDrains},
                 promise::LeavingTarget));
}
TEST(Promises, CheckerDetectsCancelledWorkWhenDrainCancels) {
  CHECK(isCaught(sabotage::DrainCancels, {fault::DrainSite},
                 promise::DrainCutsNothing));
}
