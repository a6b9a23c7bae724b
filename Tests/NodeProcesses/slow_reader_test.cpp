// Tests callers that read their responses slowly.

#include "Text/text.h"
#include "process_usage.h"
#include "slow_reader.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <cstdlib>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// More than the kernel holds for a slow_reader, and less than the node reads
/// ahead for a caller: the server has sent all when the response is still in
/// the node's write buffer.
constexpr std::size_t BodyBytes = 220'000;
/// A node that has got SIGTERM and has nothing left to do ends before this.
constexpr duration ShutdownTime = milliseconds(4'500);

struct reader_fleet : small_fleet {
  reader_fleet() {
    for (auto &[Id, Target] : Targets)
      Target->PaddingBytes = BodyBytes;
  }

  /// Whether the node has all of the response to \p Id.
  bool waitForResponse(const std::string &Id) {
    return runUntil([&] { return runsOf(*this, Id) == 1; }) && waitAnswered(Id);
  }

  bool waitAnswered(const std::string &Id) {
    return runUntil([&] {
      const std::string Log = logOf(*Node);
      const std::size_t At = Log.find("\"event\":\"answered\"");
      return At != std::string::npos && Log.find(Id, At) != std::string::npos;
    });
  }
};

/// Number of slow readers; more by hand.
int readerCount() {
  const char *Text = std::getenv("AMARANTHHOIST_READERS");
  return Text ? std::atoi(Text) : 250;
}

} // namespace

// clang-format off
TEST_GROUP(SlowReader) {};
// clang-format on

// Failure: a node that was told to stop ends while a response is in its own
// write buffer, and the caller gets a part of it.
TEST(SlowReader, ResponsesAreSentBeforeTheNodeEnds) {
  reader_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.GracePeriod = "60s";
  node_process &Node = Fleet.addNode("n2", "a1", "a");
  Fleet.start(Node);
  CHECK(Fleet.waitReady(Node));
  Fleet.Node = &Node;
  slow_reader Reader(Node.Callers, "/safe/x", "id-1");
  CHECK(Fleet.waitForResponse("id-1"));
  Fleet.signal(Node, SIGTERM);
  Fleet.runFor(ShutdownTime);
  CHECK(Fleet.runUntil([&] { return Reader.readToEnd(); }));
  CHECK(Reader.isComplete());
  CHECK(Fleet.runUntil([&] { return Fleet.hasExited(Node); }));
  CHECK(Fleet.logOf(Node).find("answer_cut") == std::string::npos);
}

// Failure: a response that ends its connection is cut off a second later.
TEST(SlowReader, LastResponseOfAConnectionIsSent) {
  reader_fleet Fleet;
  CHECK(Fleet.IsReady);
  slow_reader Reader(Fleet.Node->Callers, "/safe/x", "id-1",
                     "Connection: close\r\n");
  CHECK(Fleet.waitForResponse("id-1"));
  Fleet.runFor(seconds(3));
  CHECK(Fleet.runUntil([&] { return Reader.readToEnd(); }));
  CHECK(Reader.isComplete());
}

// Failure: a response that is lost with the process leaves no trace.
TEST(SlowReader, ResponsesThatAreLostAreLogged) {
  reader_fleet Fleet;
  CHECK(Fleet.IsReady);
  slow_reader Reader(Fleet.Node->Callers, "/safe/x", "id-1");
  CHECK(Fleet.waitForResponse("id-1"));
  Fleet.signal(*Fleet.Node, SIGTERM);
  CHECK(Fleet.runUntil([&] { return Fleet.hasExited(*Fleet.Node); }));
  const std::string Log = Fleet.logOf(*Fleet.Node);
  const std::size_t At = Log.find("answer_cut");
  CHECK(At != std::string::npos);
  CHECK(Log.find("id-1", At) != std::string::npos);
  CHECK(Log.find("process_ended", At) != std::string::npos);
}

// Failure: a caller that reads nothing keeps its connection and its response in
// the node's memory for good.
TEST(SlowReader, StalledCallersAreDisconnected) {
  reader_fleet Fleet;
  CHECK(Fleet.IsReady);
  slow_reader Reader(Fleet.Node->Callers, "/safe/x", "id-1");
  CHECK(Fleet.waitForResponse("id-1"));
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("caller_stalled") != std::string::npos;
  }));
  CHECK(Fleet.runUntil([&] { return Reader.readToEnd(); }));
  CHECK(!Reader.isComplete());
}

// Failure: a caller that sends one request after the other and reads nothing
// fills the node's memory with responses.
TEST(SlowReader, PipelinedRequestsWaitForTheCaller) {
  constexpr int Requests = 100;
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->PaddingBytes = 60'000;
  slow_reader Reader(Fleet.Node->Callers, "/safe/x", "id-0");
  for (int Request = 1; Request < Requests; ++Request)
    Reader.request("/safe/x", cat("id-", Request));
  Fleet.runFor(seconds(3));
  std::size_t Begun = 0;
  for (const auto &[Id, Target] : Fleet.Targets)
    Begun += Target->Runs.size();
  CHECK(Begun < Requests / 4);
  // Those that waited for longer than their deadline are refused.
  CHECK(Fleet.runUntil([&] { return Reader.readToEnd(Requests); }));
  LONGS_EQUAL(Requests, Reader.completeResponses());
}

// Failure: a pipelined response that its server breaks off takes the complete
// one before it along, of which a part is unsent.
TEST(SlowReader, CompleteResponseSurvivesABrokenOneBehindIt) {
  reader_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->PaddingBytes = 150'000;
  slow_reader Reader(Fleet.Node->Callers, "/safe/x", "id-1");
  CHECK(Fleet.waitForResponse("id-1"));
  Fleet.setAll(target_stand_in::behavior::TruncatesBody);
  Reader.request("/safe/x", "id-2");
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("server_broke_off") !=
           std::string::npos;
  }));
  CHECK(Fleet.runUntil([&] { return Reader.readToEnd(2); }));
  LONGS_EQUAL(1, Reader.completeResponses());
}

// Failure: many slow readers together take more memory than a node may use,
// since only each of them has a limit.
TEST(SlowReader, MemoryOfManyReadersIsBounded) {
  // As much for each of them as for 2,000 at a node with 260 MB.
  const int Readers = readerCount();
  node_fleet Fleet(nodeProgram());
  Fleet.MemoryMb = std::max(32, Readers * 260 / 2'000);
  Fleet.DeadlineMs = 60'000;
  Fleet.RouteTimeout = "60s";
  Fleet.putConfiguration(1);
  for (int Server = 1; Server <= 8; ++Server) {
    target_stand_in &Target = Fleet.addTarget(cat("s", Server));
    Target.PaddingBytes = 540'000;
    Target.Load = "0,0,400";
    Fleet.listTarget(Target, "a1", "ready");
  }
  node_process &Node = Fleet.addNode("n1", "a1", "a");
  Fleet.start(Node);
  CHECK(Fleet.waitReady(Node));
  std::vector<std::unique_ptr<slow_reader>> All;
  for (int Reader = 0; Reader < Readers; ++Reader) {
    All.push_back(std::make_unique<slow_reader>(Node.Callers, "/safe/x",
                                                cat("id-", Reader)));
    if (Reader % 10 == 0)
      Fleet.runFor(milliseconds(5));
  }
  Fleet.runFor(seconds(3));
  const double Peak = static_cast<double>(peakMemoryKb(Node.Process)) / 1e3;
  UT_PRINT(cat(Readers, " readers: ", Peak, " MB of ", Fleet.MemoryMb).c_str());
  CHECK(Peak < Fleet.MemoryMb);
  // The node serves others meanwhile.
  LONGS_EQUAL(200, Fleet.fetch(Node, "/safe/x", "id-other").Status);
}
