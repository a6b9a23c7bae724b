// Requests that end the backend servers which run them, at several real nodes.

#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

constexpr const char *DeadlyPath = "/safe/deadly";

} // namespace

// clang-format off
TEST_GROUP(CrashProbe) {};
// clang-format on

// Failure: a server that lost one answer counts as crashed.
TEST(CrashProbe, ACrashIsToldFromALostAnswer) {
  small_fleet Fleet;
  Fleet.Targets["s1"]->Behavior = target_stand_in::behavior::LosesAnswers;
  Fleet.Targets["s2"]->DeadlyPath = DeadlyPath;
  Fleet.ask(*Fleet.Node, DeadlyPath, "id-1");
  CHECK(Fleet.Targets["s2"]->HasCrashed);
  const auto Says = [&](const char *Text) {
    return Fleet.logOf(*Fleet.Node).find(Text) != std::string::npos;
  };
  CHECK(Fleet.runUntil([&] { return Says("server_crashed"); }));
  CHECK(Says(R"("event":"server_crashed","server":"s2")"));
  CHECK_FALSE(Says(R"("event":"server_crashed","server":"s1")"));
}
