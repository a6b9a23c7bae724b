// Tests the bootstrap of real node processes.

#include "Text/text.h"
#include "early_caller.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

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
