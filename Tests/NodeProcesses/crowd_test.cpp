// Tests callers that send requests ahead and read none of the responses, at
// each listener of a node.

#include "Text/text.h"
#include "crowd_fleet.h"
#include "process_usage.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

constexpr std::size_t Megabyte = 1'000'000;
constexpr const char *NoRoute = "GET /none/x";
constexpr const char *LookupPath = "/amaranthhoist/resolve?name=shop.example";

/// A request to a look-up, readiness, metrics or control listener.
std::string smallRequest(const char *Path) {
  return cat("GET ", Path, " HTTP/1.1\r\nHost: h\r\n\r\n");
}

/// Requests sent ahead by some callers with much each, and by many with less.
void checkRequestsAhead(crowd_fleet &Fleet, const std::string &Address,
                        const std::string &Request, const char *Name) {
  CHECK(Fleet.begin());
  Fleet.checkBeside({Address, 40, {}, Request, 4 * Megabyte}, Name);
}

/// A head of \p Bytes bytes with as many fields as it can have.
std::string headOfEmptyFields(std::size_t Bytes) {
  std::string Head = "GET /none/x HTTP/1.1\r\nHost: shop.example\r\n";
  while (Head.size() + 6 <= Bytes)
    Head.append("a:\r\n");
  return Head + "\r\n";
}

} // namespace

// clang-format off
TEST_GROUP(CrowdAtCallers) {};
TEST_GROUP(CrowdAtPeers) {};
TEST_GROUP(CrowdAtSmallServers) {};
TEST_GROUP(CrowdOfMany) {};
// clang-format on

// Failure: requests that are refused early, sent ahead, fill the memory.
TEST(CrowdAtCallers, PathsWithoutRoute) {
  crowd_fleet Fleet;
  checkRequestsAhead(Fleet, Fleet.Node->Callers, crowdRequest(NoRoute),
                     "path without a route");
}

// Failure: the same for a host that no route has.
TEST(CrowdAtCallers, UnknownHosts) {
  crowd_fleet Fleet;
  checkRequestsAhead(
      Fleet, Fleet.Node->Callers,
      "GET /safe/x HTTP/1.1\r\nHost: other.example\r\nX-Attempt-Id: c\r\n\r\n",
      "unknown host");
}

// Failure: each unknown host has metrics of its own, for good.
TEST(CrowdAtCallers, ManyUnknownHosts) {
  constexpr int Crowds = 20;
  constexpr int HostsOfEach = 1'000;
  crowd_fleet Fleet;
  Fleet.CrowdTime = std::chrono::milliseconds(300);
  CHECK(Fleet.begin());
  for (int Number = 0; Number < Crowds; ++Number) {
    std::string Text;
    for (int Host = 0; Host < HostsOfEach; ++Host)
      append(Text, "GET /x HTTP/1.1\r\nHost: ", Number, "-", Host, "-",
             std::string(2'000, 'h'), "\r\nX-Attempt-Id: c\r\n\r\n");
    Fleet.checkBeside({Fleet.Node->Callers, 1, Text, {}, 0},
                      "many unknown hosts");
  }
}

// Failure: heads that list thousands of fields as hop-by-hop keep the loop from
// others, since each list is searched for each field.
TEST(CrowdAtCallers, HeadsWithManyConnectionOptions) {
  crowd_fleet Fleet;
  Fleet.MaxHeadBytes = 60'000;
  std::string Options = "Connection: close-not";
  for (int Option = 0; Option < 14'000; ++Option)
    Options.append(",a");
  std::string Fields;
  for (int Field = 0; Field < 6'000; ++Field)
    Fields.append("b:\r\n");
  checkRequestsAhead(Fleet, Fleet.Node->Callers,
                     crowdRequest(NoRoute, Options + "\r\n" + Fields),
                     "many connection options");
}

// Failure: the same before the first configuration.
TEST(CrowdAtCallers, RequestsBeforeTheFirstConfiguration) {
  crowd_fleet Fleet;
  Fleet.start(*Fleet.Node);
  CHECK(Fleet.runUntil([&] {
    return Fleet
               .fetchEndpoint(Fleet.Node->Readiness, "/amaranthhoist/readiness")
               .Status == 503;
  }));
  {
    const crowd Crowd(Fleet.Loop, {Fleet.Node->Callers,
                                   40,
                                   {},
                                   crowdRequest("GET /safe/x"),
                                   4 * Megabyte});
    Fleet.runFor(std::chrono::seconds(3));
    Fleet.checkLimits("no configuration");
  }
  Fleet.putConfiguration(1);
  CHECK(Fleet.waitReady(*Fleet.Node));
  CHECK(Fleet.servesOthers());
  Fleet.checkLimits("no configuration");
}

// Failure: the same for a request without a valid API key.
TEST(CrowdAtCallers, RequestsWithoutAccount) {
  crowd_fleet Fleet;
  Fleet.Accounts = {{"one", {{"api_keys", {"key-of-one"}}}}};
  Fleet.Fields = "Api-Key: key-of-one\r\n";
  checkRequestsAhead(Fleet, Fleet.Node->Callers, crowdRequest("GET /safe/x"),
                     "no account");
}

// Failure: the same beyond an account's limit.
TEST(CrowdAtCallers, RequestsBeyondTheLimitOfAnAccount) {
  crowd_fleet Fleet;
  Fleet.Accounts = {
      {"one",
       {{"api_keys", {"key-of-one"}}, {"rate_per_s", 20}, {"burst", 20}}},
      {"two", {{"api_keys", {"key-of-two"}}}}};
  Fleet.Fields = "Api-Key: key-of-two\r\n";
  checkRequestsAhead(Fleet, Fleet.Node->Callers,
                     crowdRequest("GET /safe/x", "Api-Key: key-of-one\r\n"),
                     "beyond the limit of an account");
}

// Failure: the same for requests whose deadline has passed.
TEST(CrowdAtCallers, RequestsWithoutTimeLeft) {
  crowd_fleet Fleet;
  checkRequestsAhead(Fleet, Fleet.Node->Callers,
                     "GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
                     "X-Attempt-Id: c\r\nX-Deadline-Remaining: 0\r\n\r\n",
                     "no time left");
}

// Failure: the same for kept connections of HTTP/1.0.
TEST(CrowdAtCallers, OlderProtocolVersion) {
  crowd_fleet Fleet;
  checkRequestsAhead(Fleet, Fleet.Node->Callers,
                     "GET /none/x HTTP/1.0\r\nHost: shop.example\r\n"
                     "Connection: keep-alive\r\nX-Attempt-Id: c\r\n\r\n",
                     "HTTP/1.0");
}

// Failure: the same for requests with bodies, with a length and in chunks.
TEST(CrowdAtCallers, RequestsWithBodies) {
  for (const char *Body :
       {"Content-Length: 20\r\n\r\n12345678901234567890",
        "Transfer-Encoding: chunked\r\n\r\n5;e\r\nhello\r\n0\r\nA: b\r\n"}) {
    crowd_fleet Fleet;
    checkRequestsAhead(
        Fleet, Fleet.Node->Callers,
        cat("POST /none/x HTTP/1.1\r\nHost: shop.example\r\n",
            "X-Attempt-Id: c\r\n", Body,
            std::string_view(Body).starts_with("T") ? "\r\n" : ""),
        "bodies");
  }
}

// Failure: bytes behind the last request of a connection are kept.
TEST(CrowdAtCallers, RequestsBehindTheLastOne) {
  crowd_fleet Fleet;
  checkRequestsAhead(Fleet, Fleet.Node->Callers,
                     crowdRequest(NoRoute, "Connection: close\r\n"),
                     "Connection: close");
}

// Failure: callers whose requests are malformed or whose heads are too large
// are kept with what they have sent.
TEST(CrowdAtCallers, RequestsThatEndTheirConnection) {
  const std::string TooLarge =
      cat("GET /none/x HTTP/1.1\r\nX: ", std::string(100'000, 'x'), "\r\n\r\n");
  for (const std::string &Text :
       {std::string("no request\r\n\r\n"), TooLarge, crowdRequest("GET *")}) {
    crowd_fleet Fleet;
    checkRequestsAhead(Fleet, Fleet.Node->Callers, Text, "ends its connection");
  }
}

// Failure: responses of servers that nobody reads fill the memory.
TEST(CrowdAtCallers, LargeResponses) {
  crowd_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->PaddingBytes = 200'000;
  checkRequestsAhead(Fleet, Fleet.Node->Callers, crowdRequest("GET /safe/x"),
                     "large responses");
}

// Failure: requests that wait for those before them fill the memory.
TEST(CrowdAtCallers, NonIdempotentRequests) {
  crowd_fleet Fleet;
  checkRequestsAhead(Fleet, Fleet.Node->Callers,
                     crowdRequest("POST /once/x", "Content-Length: 0\r\n"),
                     "non-idempotent");
}

// Failure: requests at servers that don't respond fill the memory with their
// heads.
TEST(CrowdAtCallers, LargeHeadsInFlight) {
  crowd_fleet Fleet;
  for (int Server = 3; Server <= 6; ++Server)
    Fleet.addTarget(cat("s", Server));
  for (auto &[Id, Target] : Fleet.Targets) {
    Target->Load = "0,0,400";
    Target->Work = std::chrono::seconds(1);
  }
  CHECK(Fleet.begin());
  Fleet.checkBeside(
      {Fleet.Node->Callers,
       400,
       {},
       crowdRequest("GET /safe/x",
                    cat("X-Field: ", std::string(7'000, 'x'), "\r\n")),
       Megabyte},
      "large heads in flight");
}

// Failure: a node that shuts down beside such callers hangs or grows.
TEST(CrowdAtCallers, RequestsDuringAShutdown) {
  crowd_fleet Fleet;
  CHECK(Fleet.begin());
  const crowd Crowd(
      Fleet.Loop,
      {Fleet.Node->Callers, 40, {}, crowdRequest(NoRoute), 4 * Megabyte});
  Fleet.runFor(std::chrono::seconds(1));
  Fleet.signal(*Fleet.Node, SIGTERM);
  Fleet.runFor(std::chrono::seconds(2));
  Fleet.checkLimits("shutdown");
  CHECK(Fleet.runUntil([&] { return Fleet.hasExited(*Fleet.Node); }));
  LONGS_EQUAL(0, Fleet.Node->ExitStatus);
}

// Failure: a connection of another instance is no safer than a caller's.
TEST(CrowdAtPeers, PathsWithoutRoute) {
  crowd_fleet Fleet;
  checkRequestsAhead(Fleet, Fleet.Node->Peers, crowdRequest(NoRoute),
                     "peers, path without a route");
}

// Failure: the same for requests that are served.
TEST(CrowdAtPeers, LargeResponses) {
  crowd_fleet Fleet;
  for (auto &[Id, Target] : Fleet.Targets)
    Target->PaddingBytes = 200'000;
  checkRequestsAhead(Fleet, Fleet.Node->Peers, crowdRequest("GET /safe/x"),
                     "peers, large responses");
}

// Failure: responses of the look-ups, the readiness, the metrics or the state
// that nobody reads fill the memory.
TEST(CrowdAtSmallServers, RequestsAhead) {
  constexpr std::pair<std::string node_process::*, const char *> Cases[] = {
      {&node_process::Lookups, LookupPath},
      {&node_process::Lookups, "/none"},
      {&node_process::Readiness, "/amaranthhoist/readiness"},
      {&node_process::Metrics, "/metrics"},
      {&node_process::Control, "/v1/status"},
      {&node_process::Control, "/v1/changes?known=1,1,1,1&eras=1,1,1,1"},
      {&node_process::Control, "/v1/changes?known=0,0,0,0"}};
  for (const auto &[Listener, Path] : Cases) {
    crowd_fleet Fleet;
    checkRequestsAhead(Fleet, Fleet.Node->*Listener, smallRequest(Path), Path);
  }
}

// Failure: bodies, unfinished heads and malformed requests at a small server
// are kept.
TEST(CrowdAtSmallServers, RequestsThatAreNotServed) {
  for (const char *Text :
       {"no request\r\n\r\n",
        "POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n"
        "12345678901234567890",
        "POST /metrics HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "\r\n5;e\r\nhello\r\n0\r\n\r\n"}) {
    crowd_fleet Fleet;
    checkRequestsAhead(Fleet, Fleet.Node->Metrics, Text, "not served");
  }
}

// Failure: what one caller may hold is bounded, what many hold together isn't.
TEST(CrowdOfMany, PathsWithoutRoute) {
  crowd_fleet Fleet;
  CHECK(Fleet.begin());
  Fleet.checkBeside(
      {Fleet.Node->Callers, 500, {}, crowdRequest(NoRoute), Megabyte},
      "many, path without a route");
}

// Failure: the same for heads that the node has read.
TEST(CrowdOfMany, HeadsOfEmptyFields) {
  crowd_fleet Fleet;
  CHECK(Fleet.begin());
  Fleet.checkBeside({Fleet.Node->Callers, 500, headOfEmptyFields(8'000), {}, 0},
                    "many, heads of empty fields");
}

// Failure: the same for heads and bodies without an end.
TEST(CrowdOfMany, UnfinishedRequests) {
  const std::string Head = "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
                           "X-Deadline-Remaining: 60000\r\n";
  std::string Empty = headOfEmptyFields(7'900);
  Empty.resize(Empty.size() - 2);
  for (const std::string &Text :
       {Empty, Head + "X: " + std::string(7'900, 'x'),
        Head + "Content-Length: 99000\r\n\r\n" + std::string(90'000, 'x'),
        Head + "Transfer-Encoding: chunked\r\n\r\n16000\r\n" +
            std::string(90'000, 'x'),
        Head + "Transfer-Encoding: chunked\r\n\r\n5;" +
            std::string(60'000, 'x'),
        Head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: " +
            std::string(60'000, 'x')}) {
    crowd_fleet Fleet;
    CHECK(Fleet.begin());
    Fleet.checkBeside({Fleet.Node->Callers, 500, Text, {}, 0},
                      "many, unfinished");
  }
}

// Failure: idle connections at one listener take the descriptors of all, or
// keep new callers out until they time out.
TEST(CrowdOfMany, IdleConnections) {
  // Those that docs/design/untrusted-input.md leaves to the node itself.
  constexpr std::size_t OwnDescriptors = 600;
  constexpr std::size_t OpenAtRest = 40;
  for (std::string node_process::*Listener :
       {&node_process::Callers, &node_process::Peers, &node_process::Lookups,
        &node_process::Readiness, &node_process::Metrics,
        &node_process::Control}) {
    crowd_fleet Fleet;
    Fleet.IdleTimeout = "600s";
    CHECK(Fleet.begin());
    {
      const crowd Crowd(Fleet.Loop, {Fleet.Node->*Listener, 1'500, {}, {}, 0});
      Fleet.runFor(Fleet.CrowdTime);
      CHECK(openDescriptors(Fleet.Node->Process) + OwnDescriptors <=
            static_cast<std::size_t>(Fleet.FileDescriptors) + OpenAtRest);
      CHECK(Fleet.servesOthers());
    }
    Fleet.checkLimits("many, idle");
  }
}

// Failure: many look-ups and queries of the metrics together fill the memory.
TEST(CrowdOfMany, SmallServers) {
  for (const auto &[Listener, Path] :
       {std::pair(&node_process::Lookups, LookupPath),
        std::pair(&node_process::Metrics, "/metrics"),
        std::pair(&node_process::Control, "/v1/status")}) {
    crowd_fleet Fleet;
    CHECK(Fleet.begin());
    Fleet.checkBeside({Fleet.Node->*Listener,
                       500,
                       {},
                       cat("GET ", Path, " HTTP/1.1\r\nHost: h\r\n\r\n"),
                       Megabyte},
                      Path);
  }
}
