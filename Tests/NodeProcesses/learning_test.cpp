// Tests the bootstrap of real node processes.

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

/// A client that works without the test's event loop. The store stand-in runs
/// on that loop, so the request arrives before any response of the store.
class early_caller {
public:
  early_caller(const std::string &Address, const std::string &Request) {
    const endpoint To = parseEndpoint(Address).value();
    sockaddr_in Peer{};
    Peer.sin_family = AF_INET;
    Peer.sin_port = htons(To.Port);
    Peer.sin_addr.s_addr = htonl(To.Ip);
    // Retry until the node listens.
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

  /// Returns the status line once received, otherwise an empty string.
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

// Failure: after a restart of all nodes callers receive 503 with Retry-After,
// although the nodes have their configuration a moment later. A request reaches
// a new node before the store's lists do, and the node immediately refuses it
// as not configured. The test starts several nodes, since a node that exceeds
// its bootstrap time on a busy machine correctly refuses the request.
TEST(Learning, RequestBeforeFirstListIsServed) {
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

// Without a store and peers the bootstrap cannot succeed, so the node refuses.
TEST(Learning, NodeThatCannotBootstrapRefuses) {
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
