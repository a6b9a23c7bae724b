// Tests HTTP pipelining with real node processes. No verdict depends on timing.

#include "EventLoop/socket.h"
#include "EventLoop/stream.h"
#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>
#include <csignal>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

/// Pipelines requests on one connection and stores the received bytes.
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
  void disconnect() { Stream.close(); }

  std::string Bytes;
  bool HasEnded = false;
  bool IsOpen = false;

private:
  void onBytes(std::string_view More) override { Bytes.append(More); }
  void onDisconnect(disconnect_reason /*End*/) override { HasEnded = true; }

  stream Stream;
};

/// Returns the offset of the response to a request; npos: not yet complete.
std::size_t responseAt(const pipelining_caller &Caller, const std::string &Id) {
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

// Failure: a third of the requests on busy connections are late although their
// servers are idle. A caller pipelines a second idempotent request, and the
// node does not read it until the first response is sent.
TEST(Pipelined, IdempotentRequestsRunConcurrently) {
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

// Failure: a caller matches a response to the wrong request. The second of two
// requests finishes first, and the node sends responses in completion order.
TEST(Pipelined, ResponsesKeepRequestOrder) {
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
      [&] { return responseAt(Caller, Ids.back()) != std::string::npos; }));
  CHECK_FALSE(Fleet.Targets["s1"]->Runs.empty());
  CHECK_FALSE(Fleet.Targets["s2"]->Runs.empty());
  std::size_t Before = 0;
  for (const std::string &Id : Ids) {
    const std::size_t At = responseAt(Caller, Id);
    CHECK(At != std::string::npos && (Before == 0 || At > Before));
    Before = At + 1;
  }
}

// Failure: a non-idempotent request is executed twice. It is pipelined behind a
// request whose response closes the connection, so the caller retries it
// elsewhere, but the node forwarded it before sending the preceding responses.
TEST(Pipelined, NonIdempotentRequestWaitsForPrecedingResponses) {
  small_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::milliseconds(300);
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("POST", "/once/x", "id-2");
  CHECK(Fleet.runUntil([&] { return hasRun(Fleet, "id-1"); }));
  CHECK(Fleet.runUntil([&] {
    return hasRun(Fleet, "id-2") ||
           responseAt(Caller, "id-1") != std::string::npos;
  }));
  CHECK(responseAt(Caller, "id-1") != std::string::npos);
  CHECK(Fleet.runUntil(
      [&] { return responseAt(Caller, "id-2") != std::string::npos; }));
}

// Failure: a planned restart loses a request. SIGTERM arrives while servers
// execute two requests of one connection, and the first response closes the
// connection although the second request was already forwarded.
TEST(Pipelined, ShutdownSendsAllPipelinedResponses) {
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
  CHECK(responseAt(Caller, "id-1") != std::string::npos);
  CHECK(responseAt(Caller, "id-2") != std::string::npos);
  CHECK(Caller.Bytes.find("Connection: close") > responseAt(Caller, "id-2"));
}

// Failure: servers execute requests of disconnected callers. A caller closes a
// connection with two requests in flight, and the node cancels only the first.
TEST(Pipelined, DisconnectCancelsAllPipelinedRequests) {
  small_fleet Fleet;
  Fleet.setAll(behavior::Silent);
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("GET", "/safe/x", "id-2");
  CHECK(Fleet.runUntil(
      [&] { return hasRun(Fleet, "id-1") && hasRun(Fleet, "id-2"); }));
  Caller.disconnect();
  CHECK(Fleet.runUntil([&] {
    std::size_t Abandoned = 0;
    for (const auto &[Id, Target] : Fleet.Targets)
      Abandoned += Target->Abandoned.size();
    return Abandoned == 2;
  }));
}

// Failure: an error response appears inside another response. Malformed bytes
// follow a request in flight, and the node rejects them immediately.
TEST(Pipelined, RejectionWaitsForPrecedingResponses) {
  small_fleet Fleet;
  pipelining_caller Caller(Fleet.Loop, Fleet.Node->Callers);
  Caller.send("GET", "/safe/x", "id-1");
  Caller.send("\x01", "?", "id-2");
  CHECK(Fleet.runUntil([&] { return Caller.HasEnded; }));
  const std::size_t At = Caller.Bytes.find("HTTP/1.1 400");
  CHECK(responseAt(Caller, "id-1") == 0);
  CHECK(At != std::string::npos && At > responseAt(Caller, "id-1"));
}
