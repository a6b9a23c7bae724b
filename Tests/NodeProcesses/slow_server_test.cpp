// Tests backend servers that read requests slowly.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::milliseconds;

namespace {

/// Longer than a peer that is alive may acknowledge nothing.
constexpr duration ReadDelay = milliseconds(2'200);
/// More than the servers' kernels hold for them.
constexpr std::size_t BodyBytes = 90'000;
constexpr int ReceiveBufferBytes = 8'192;

struct slow_server_fleet : small_fleet {
  slow_server_fleet() {
    DeadlineMs = 8'000;
    RouteTimeout = "8000ms";
    putConfiguration(2);
    IsReady =
        IsReady && runUntil([&] {
          return logOf(*Node).find("\"configuration_applied\",\"version\":2") !=
                 std::string::npos;
        });
    for (auto &[Id, Target] : Targets)
      Target->readSlowly(ReadDelay, ReceiveBufferBytes);
  }
};

} // namespace

// clang-format off
TEST_GROUP(SlowServer) {};
// clang-format on

// Failure: an upload is broken off because its server reads nothing for longer
// than a dead peer is waited for.
TEST(SlowServer, UploadsAreServed) {
  slow_server_fleet Fleet;
  CHECK(Fleet.IsReady);
  const std::string Body(BodyBytes, 'x');
  for (const char *Path : {"/once/x", "/safe/x"}) {
    const std::string Id = cat("id", Path);
    auto Call = Fleet.startRequest(*Fleet.Node, Path, Id, "POST", Body);
    CHECK(Fleet.runUntil([&] { return Call->response().IsCompleted; }));
    LONGS_EQUAL(200, Call->response().Status);
    LONGS_EQUAL(1, runsOf(Fleet, Id));
  }
}
