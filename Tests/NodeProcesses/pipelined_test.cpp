// Requests that a caller sends before the first one is answered, over the node
// program as it runs. No verdict depends on how long anything takes.

#include "EventLoop/socket.h"
#include "EventLoop/stream.h"
#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>
#include <csignal>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

/// Sends several requests at once on one connection and keeps what comes back.
class pipelining_caller : private stream_owner {
public:
  pipelining_caller(event_loop &Loop, const std::string &Address)
      : Stream(Loop, *this) {
    const auto Endpoint = parseEndpoint(Address);
    const auto Descriptor =
        connectTo(Endpoint.value(), std::chrono::seconds(30));
    IsOpen = Stream.open(Descriptor.value(), /*IsConnected=*/false);
  }
  void send(std::string_view Method, std::string_view Path,
            std::string_view Id) {
    std::string Text;
    append(Text, Method, " ", Path,
           " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: ", Id,
           "\r\nX-Affinity-Key: ", Id, "\r\nX-Deadline-Remaining: 3000\r\n");
    if (Method == "POST")
      Text.append("Content-Length: 4\r\n");
    append(Text, "\r\n", Method == "POST" ? "body" : "");
    Stream.write(Text);
  }
  void leave() { Stream.close(); }

  std::string Bytes;
  bool HasEnded = false;
  bool IsOpen = false;

private:
  void onBytes(std::string_view More) override { Bytes.append(More); }
  void onEnd(stream_end /*End*/) override { HasEnded = true; }

  stream Stream;
};

/// Where the answer to a request begins; npos: it isn't there whole.
std::size_t answerAt(const pipelining_caller &Caller, const std::string &Id) {
  const std::size_t Body = Caller.Bytes.find(target_stand_in::bodyFor(Id));
  if (Body == std::string::npos)
    return Body;
  return Caller.Bytes.rfind("HTTP/1.1 200", Body);
}

bool hasRun(const node_fleet &Fleet, const std::string &Id) {
  return runsOf(Fleet, Id) == 1;
}

} // namespace

// clang-format off
TEST_GROUP(Pipelined) {};
// clang-format on

// Symptom: a third of the requests on busy connections are late although their
// servers are idle. Sequence: a caller sends a second idempotent request before
// the first one is answered. Cause: not reading it until then.
TEST(Pipelined, IdempotentRequestsAreServedSideBySide) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Silent);
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("GET", "/safe/x", "id-2");
  CHECK(Fleet.runUntil([&] {
    return (hasRun(Fleet, "id-1") && hasRun(Fleet, "id-2")) ||
           !Caller.Bytes.empty();
  }));
  CHECK(Caller.Bytes.empty());
}

// Symptom: a caller takes another request's answer for its own. Sequence: the
// second of two requests is done first. Cause: answers in the order of work.
TEST(Pipelined, AnswersKeepTheOrderOfTheRequests) {
  small_fleet Fleet;
  Fleet.Targets["s1"]->Work = std::chrono::milliseconds(150);
  Fleet.Targets["s2"]->Work = std::chrono::milliseconds(1);
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  std::vector<std::string> Ids;
  for (int Index = 0; Index < 20; ++Index) {
    Ids.push_back(cat("id-", Index, "."));
    Caller.send("GET", "/safe/x", Ids.back());
  }
  CHECK(Fleet.runUntil(
      [&] { return answerAt(Caller, Ids.back()) != std::string::npos; }));
  CHECK_FALSE(Fleet.Targets["s1"]->Runs.empty());
  CHECK_FALSE(Fleet.Targets["s2"]->Runs.empty());
  std::size_t Before = 0;
  for (const std::string &Id : Ids) {
    const std::size_t At = answerAt(Caller, Id);
    CHECK(At != std::string::npos && (Before == 0 || At > Before));
    Before = At + 1;
  }
}

// Symptom: a job runs twice. Sequence: it is sent behind another request whose
// answer ends the connection, so its caller sends it again elsewhere. Cause:
// passing it on before the answers in front of it are out.
TEST(Pipelined, NonIdempotentWorkWaitsForTheAnswersBeforeIt) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::milliseconds(300);
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("POST", "/once/x", "id-2");
  CHECK(Fleet.runUntil([&] { return hasRun(Fleet, "id-1"); }));
  CHECK(Fleet.runUntil([&] {
    return hasRun(Fleet, "id-2") ||
           answerAt(Caller, "id-1") != std::string::npos;
  }));
  CHECK(answerAt(Caller, "id-1") != std::string::npos);
  CHECK(Fleet.runUntil(
      [&] { return answerAt(Caller, "id-2") != std::string::npos; }));
}

// Symptom: a request is lost in a planned restart. Sequence: SIGTERM while
// servers work on two requests of one connection. Cause: an answer that ends
// the connection although the request behind it is with a server.
TEST(Pipelined, ALeavingNodeAnswersAllThatItPassedOn) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::milliseconds(800);
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("GET", "/safe/x", "id-2");
  CHECK(Fleet.runUntil(
      [&] { return hasRun(Fleet, "id-1") && hasRun(Fleet, "id-2"); }));
  Fleet.signal(*Fleet.Node, SIGTERM);
  CHECK(Fleet.runUntil([&] { return Caller.HasEnded; }));
  CHECK(answerAt(Caller, "id-1") != std::string::npos);
  CHECK(answerAt(Caller, "id-2") != std::string::npos);
  CHECK(Caller.Bytes.find("Connection: close") > answerAt(Caller, "id-2"));
}

// Symptom: servers work for callers that are gone. Sequence: a caller closes a
// connection with two requests under way. Cause: stopping only the first.
TEST(Pipelined, ACallerThatLeavesStopsAllItsRequests) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Silent);
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("GET", "/safe/x", "id-2");
  CHECK(Fleet.runUntil(
      [&] { return hasRun(Fleet, "id-1") && hasRun(Fleet, "id-2"); }));
  Caller.leave();
  CHECK(Fleet.runUntil([&] {
    std::size_t Abandoned = 0;
    for (const auto &[Id, Target] : Fleet.Targets)
      Abandoned += Target->Abandoned.size();
    return Abandoned == 2;
  }));
}

// Symptom: an answer in the middle of another one. Sequence: garbage behind a
// request that is being served. Cause: rejecting it at once.
TEST(Pipelined, ARejectionWaitsForTheAnswersBeforeIt) {
  small_fleet Fleet;
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("\x01", "?", "id-2");
  CHECK(Fleet.runUntil([&] { return Caller.HasEnded; }));
  const std::size_t At = Caller.Bytes.find("HTTP/1.1 400");
  CHECK(answerAt(Caller, "id-1") == 0);
  CHECK(At != std::string::npos && At > answerAt(Caller, "id-1"));
}
