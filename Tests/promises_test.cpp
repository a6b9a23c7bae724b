// The promises under each fault, over seeds: the real decision logic of entries
// and gateways on a seeded scheduler, its history decided by the checker.

#include "Scheduler/world.h"

#include <CppUTest/TestHarness.h>
#include <cstdlib>
#include <string>

using namespace amaranthhoist;
using namespace amaranthhoist::testing;

/// Seeds per fault; a longer run sets the variable.
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

/// Whether any seed shows a violation of \p Promise once \p Sabotage is on.
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
TEST(Promises, HoldWhenAGatewayDies) {
  expectPromisesHold({fault::KillGateway});
}
TEST(Promises, HoldWhenTwoGatewaysDie) {
  expectPromisesHold({fault::KillTwoGateways});
}
TEST(Promises, HoldWhenAGatewayFreezes) {
  expectPromisesHold({fault::FreezeGateway});
}
TEST(Promises, HoldWhenAGatewayIsCutOff) {
  expectPromisesHold({fault::CutGateway});
}
TEST(Promises, HoldWhenAGatewayIsNotHeard) {
  expectPromisesHold({fault::CutOneWay});
}
TEST(Promises, HoldWhenEntriesLoseAGateway) {
  expectPromisesHold({fault::CutEntries});
}
TEST(Promises, HoldWhenThePlatformIsAway) {
  expectPromisesHold({fault::PlatformOutage});
}
TEST(Promises, HoldWhenWritesLoseTheirAnswers) {
  expectPromisesHold({fault::LostWrites});
}
TEST(Promises, HoldWhenAnswersAreLost) {
  expectPromisesHold({fault::LostAnswers});
}
TEST(Promises, HoldWhenBackendServersShed) {
  expectPromisesHold({fault::Shedding});
}
TEST(Promises, HoldInASurge) { expectPromisesHold({fault::Surge}); }
TEST(Promises, HoldWhileASiteDrains) { expectPromisesHold({fault::DrainSite}); }
TEST(Promises, HoldWhenATargetLeaves) {
  expectPromisesHold({fault::TargetLeaves});
}

// Pairs of faults.

TEST(Promises, HoldWhenOneDiesAndAnotherIsCutOff) {
  expectPromisesHold({fault::KillGateway, fault::CutGateway});
}
TEST(Promises, HoldWhenOneDiesAndThePlatformIsAway) {
  expectPromisesHold({fault::KillGateway, fault::PlatformOutage});
}
TEST(Promises, HoldWhenOneDiesInASurge) {
  expectPromisesHold({fault::KillGateway, fault::Surge});
}
TEST(Promises, HoldWhenOneFreezesAndAnswersAreLost) {
  expectPromisesHold({fault::FreezeGateway, fault::LostAnswers});
}
TEST(Promises, HoldWhenOneFreezesInASurge) {
  expectPromisesHold({fault::FreezeGateway, fault::Surge});
}
TEST(Promises, HoldWhenOneFreezesAndEntriesLoseIt) {
  expectPromisesHold({fault::FreezeGateway, fault::CutEntries});
}
TEST(Promises, HoldWhenTwoDieAndWritesLoseTheirAnswers) {
  expectPromisesHold({fault::KillTwoGateways, fault::LostWrites});
}
TEST(Promises, HoldWhenOneIsCutOffInASurge) {
  expectPromisesHold({fault::CutGateway, fault::Surge});
}
TEST(Promises, HoldWhenASiteDrainsAndAGatewayDies) {
  expectPromisesHold({fault::DrainSite, fault::KillGateway});
}
TEST(Promises, HoldWhenASiteDrainsAndThePlatformIsAway) {
  expectPromisesHold({fault::DrainSite, fault::PlatformOutage});
}
TEST(Promises, HoldWhenATargetLeavesAndAGatewayFreezes) {
  expectPromisesHold({fault::TargetLeaves, fault::FreezeGateway});
}
TEST(Promises, HoldWhenEntriesLoseItAndItIsNotHeard) {
  expectPromisesHold({fault::CutEntries, fault::CutOneWay});
}

// Each mechanism switched off: the checker has to see what it prevents.

TEST(Promises, WithoutAWitnessTheCheckerSeesARunAgainstItsWord) {
  CHECK(isCaught(sabotage::NoWitness, {fault::FreezeGateway}, promise::NotRun));
}
TEST(Promises, WithoutLingeringTheCheckerSeesTooMuchInUse) {
  CHECK(isCaught(sabotage::NoLingering, {fault::LostAnswers, fault::Surge},
                 promise::Region));
}
TEST(Promises, WithUnconditionalWritesTheCheckerSeesTooMuchPower) {
  CHECK(isCaught(sabotage::UnconditionalWrites,
                 {fault::KillTwoGateways, fault::Surge}, promise::Power));
}
TEST(Promises, WithLoansTakenTwiceTheCheckerSeesTooMuchInUse) {
  CHECK(isCaught(sabotage::LoansTakenTwice, {fault::Surge}, promise::Region));
}
TEST(Promises, WithForgottenKeysTheCheckerSeesADoubleRun) {
  CHECK(isCaught(sabotage::ForgottenKeys, {fault::CutEntries},
                 promise::AtMostOnce));
}
TEST(Promises, WithDeadReclaimedAtOnceTheCheckerSeesTooMuchPower) {
  CHECK(isCaught(sabotage::ReclaimAtOnce, {fault::KillGateway, fault::Surge},
                 promise::Region));
}
TEST(Promises, WithLeavingIgnoredTheCheckerSeesNewWork) {
  CHECK(isCaught(sabotage::LeavingIgnored, {fault::TargetLeaves},
                 promise::LeavingTarget));
}
TEST(Promises, WithADrainThatCancelsTheCheckerSeesWorkCutOff) {
  CHECK(isCaught(sabotage::DrainCancels, {fault::DrainSite},
                 promise::DrainCutsNothing));
}
