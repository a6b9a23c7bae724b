// The first moments of a node, over the program as it runs.

#include "EventLoop/socket.h"
#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace amaranthhoist;

namespace {

/// A caller that doesn't need the test's event loop, on which the store runs:
/// what it sends arrives before the store has said anything.
class early_caller {
public:
  early_caller(const std::string &Address, const std::string &Request) {
    const endpoint To = parseEndpoint(Address).value();
    sockaddr_in Peer{};
    Peer.sin_family = AF_INET;
    Peer.sin_port = htons(To.Port);
    Peer.sin_addr.s_addr = htonl(To.Ip);
    // Until the node listens.
    for (int Try = 0; Try < 60'000 && !IsConnected; ++Try) {
      Descriptor = socket(AF_INET, SOCK_STREAM, 0);
      IsConnected = connect(Descriptor, reinterpret_cast<sockaddr *>(&Peer),
                            sizeof Peer) == 0;
      if (!IsConnected) {
        close(Descriptor);
        usleep(1'000);
      }
    }
    IsConnected = IsConnected && ::send(Descriptor, Request.data(),
                                        Request.size(), MSG_NOSIGNAL) > 0;
  }
  ~early_caller() { close(Descriptor); }
  early_caller(const early_caller &) = delete;
  early_caller &operator=(const early_caller &) = delete;

  /// The status line, once it is there.
  std::string poll() {
    char Buffer[256]; // NOLINT(*-avoid-c-arrays)
    const ssize_t Size = recv(Descriptor, Buffer, sizeof Buffer, MSG_DONTWAIT);
    if (Size > 0)
      Answer.append(Buffer, static_cast<std::size_t>(Size));
    return Answer.substr(0, Answer.find("\r\n"));
  }
  bool IsConnected = false;

private:
  int Descriptor = -1;
  std::string Answer;
};

} // namespace

// clang-format off
TEST_GROUP(Learning) {};
// clang-format on

// Symptom: after a restart of all nodes callers are told to come back later,
// although the nodes know what is in force a moment afterwards. Sequence: a
// request reaches a node that has just started, before the store's lists do.
// Cause: refusing as not configured at once. Several starts, since a node that
// takes longer than its learning time on a busy machine refuses rightly.
TEST(Learning, ARequestThatComesBeforeTheListsIsServed) {
  small_fleet Fleet;
  constexpr int Starts = 5;
  int Served = 0;
  for (int Start = 0; Start < Starts; ++Start) {
    node_process &Node = Fleet.addNode(cat("late-", Start), "a1", "a");
    Fleet.start(Node);
    early_caller Caller(Node.Callers,
                        cat("GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n",
                            "X-Attempt-Id: id-", Start,
                            "\r\nX-Deadline-Remaining: 3000\r\n\r\n"));
    CHECK(Caller.IsConnected);
    CHECK(Fleet.runUntil([&] { return !Caller.poll().empty(); }));
    Served += Caller.poll() == "HTTP/1.1 200 OK" ? 1 : 0;
  }
  CHECK(Served >= 2);
}

// The other side of it: without a store and peers there is nothing to wait for.
TEST(Learning, ANodeThatCannotLearnRefuses) {
  small_fleet Fleet;
  Fleet.HasSeeds = false;
  Fleet.Store.setMode(store_stand_in::mode::Silent);
  node_process &Node = Fleet.addNode("alone", "b1", "b");
  Fleet.start(Node);
  early_caller Caller(Node.Callers,
                      "GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n"
                      "X-Attempt-Id: id-1\r\n\r\n");
  CHECK(Fleet.runUntil([&] { return !Caller.poll().empty(); }));
  STRCMP_EQUAL("HTTP/1.1 503 Service Unavailable", Caller.poll().c_str());
}
