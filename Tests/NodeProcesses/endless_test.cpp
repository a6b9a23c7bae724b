// Tests servers that send bytes without end.

#include "Text/text.h"
#include "process_usage.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

constexpr behavior Endless[] = {
    behavior::EndlessHead,          behavior::EndlessInterimResponses,
    behavior::EndlessError,         behavior::EndlessRejection,
    behavior::EndlessOtherResponse, behavior::EndlessChunkExtension,
    behavior::EndlessTrailer};
/// The settings' limit.
constexpr std::int64_t MemoryLimitKb = 260'000;

} // namespace

// clang-format off
TEST_GROUP(EndlessBytes) {};
// clang-format on

// Failure: a request waits for its deadline at a server that sends bytes
// without end, though another server would serve it.
TEST(EndlessBytes, IdempotentRequestsAreServedByAnotherServer) {
  for (const behavior Behavior : Endless) {
    small_fleet Fleet;
    CHECK(Fleet.IsReady);
    Fleet.Targets["s1"]->Behavior = Behavior;
    for (int Request = 0; Request < 4; ++Request) {
      Fleet.ObjectKey = cat("object-", Request);
      LONGS_EQUAL_TEXT(
          200, Fleet.fetch(*Fleet.Node, "/safe/x", cat("id-", Request)).Status,
          std::to_string(static_cast<int>(Behavior)).c_str());
    }
    CHECK(!Fleet.hasExited(*Fleet.Node));
  }
}

// Failure: the same where the request must not run twice: its caller isn't told
// that it may have run.
TEST(EndlessBytes, OtherRequestsMayHaveRun) {
  for (const behavior Behavior : Endless) {
    small_fleet Fleet;
    CHECK(Fleet.IsReady);
    Fleet.setAll(Behavior);
    LONGS_EQUAL_TEXT(502,
                     Fleet.fetch(*Fleet.Node, "/once/x", "id-1", "POST").Status,
                     std::to_string(static_cast<int>(Behavior)).c_str());
    LONGS_EQUAL(1, runsOf(Fleet, "id-1"));
  }
}

// Failure: a node exceeds its memory limit, because it holds all bytes of such
// servers.
TEST(EndlessBytes, MemoryStaysBounded) {
  for (const behavior Behavior : Endless) {
    small_fleet Fleet;
    CHECK(Fleet.IsReady);
    Fleet.setAll(Behavior);
    constexpr int Requests = 8;
    std::vector<std::unique_ptr<caller_call>> Calls;
    Calls.reserve(Requests);
    for (int Request = 0; Request < Requests; ++Request)
      Calls.push_back(
          Fleet.startRequest(*Fleet.Node, "/safe/x", cat("id-", Request)));
    CHECK(Fleet.runUntil([&] {
      return std::all_of(Calls.begin(), Calls.end(), [](const auto &Call) {
        return Call->response().IsCompleted;
      });
    }));
    CHECK(!Fleet.hasExited(*Fleet.Node));
    CHECK(peakMemoryKb(Fleet.Node->Process) < MemoryLimitKb);
  }
}

// Failure: a server's error with a long body of a stated length is replaced or
// cut off.
TEST(EndlessBytes, LongErrorsAreForwarded) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets) {
    Target->Status = 500;
    Target->PaddingBytes = 300'000;
  }
  const auto Response = Fleet.fetch(*Fleet.Node, "/once/x", "id-1", "POST");
  LONGS_EQUAL(500, Response.Status);
  CHECK(Response.HasSignature);
  CHECK(Response.Body.size() > 300'000);
}
