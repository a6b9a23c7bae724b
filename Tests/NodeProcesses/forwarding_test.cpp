// Tests nodes that reach no backend server, while other nodes do.

#include "EventLoop/socket.h"
#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <map>
#include <sys/socket.h>
#include <unistd.h>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

/// A listening socket whose queue is full: connections to it hang.
class silent_address {
public:
  silent_address() {
    const auto Endpoint = parseEndpoint(Address);
    Listener = listenOn(*Endpoint).value_or(-1);
    // A second call changes the length of the queue.
    listen(Listener, 0);
    for (int &Filler : Fillers)
      Filler = connectTo(*Endpoint, std::chrono::minutes(1)).value_or(-1);
  }
  ~silent_address() {
    for (const int Filler : Fillers)
      close(Filler);
    close(Listener);
  }
  silent_address(const silent_address &) = delete;
  silent_address &operator=(const silent_address &) = delete;
  const std::string Address = freeAddress();

private:
  int Listener = -1;
  std::array<int, 4> Fillers{};
};

/// Nodes "n1" and "n2" reach the servers; "cut" has its own copy of the store,
/// in which the servers are listed at addresses that it can't reach. All are in
/// one region; the servers are in two failure domains.
struct cut_fleet : node_fleet {
  explicit cut_fleet(bool ConnectionsHang = false) : node_fleet(nodeProgram()) {
    HasSeeds = false;
    putConfiguration(1);
    for (const auto &[Id, Domain] : Domains)
      addTarget(Id, Domain);
    for (const char *Name : {"n1", "n2"}) {
      node_process &Node = addNode(Name, "a1", "a");
      start(Node);
      IsReady = waitReady(Node) && waitListed(Store, Name) && IsReady;
    }
    CutStore.copyFrom(Store);
    for (const auto &[Id, Target] : Targets)
      cut(*Target, ConnectionsHang ? Silent.Address : freeAddress());
    Cut = &addNode("cut", "b1", "b");
    Cut->Store = CutStore.address();
    start(*Cut);
    IsReady = waitReady(*Cut) && waitListed(CutStore, "cut") && IsReady;
    Store.copyFrom(CutStore, "instances", "cut");
  }

  bool waitListed(store_stand_in &Where, const std::string &Name) {
    return runUntil([&] { return Where.has("instances", Name); });
  }

  void cut(const target_stand_in &Target, const std::string &Address) {
    listTargetIn(CutStore, Target, Domains.at(Target.Id), "ready", Address);
  }

  void reconnect() {
    for (const auto &[Id, Target] : Targets)
      cut(*Target, Target->address());
  }

  /// Sends requests one after the other. Returns how many were served.
  int askMany(std::string_view Path, int Count, std::string_view Method) {
    int Served = 0;
    for (int Index = 0; Index < Count; ++Index)
      Served += fetch(*Cut, Path, cat("id-", ++Asked), Method).Status == 200;
    return Served;
  }

  const std::map<std::string, std::string> Domains = {
      {"s1", "a1"}, {"s2", "b1"}, {"s3", "a1"}, {"s4", "b1"}};
  silent_address Silent;
  store_stand_in CutStore{Loop};
  node_process *Cut = nullptr;
  bool IsReady = true;
  int Asked = 0;
};

} // namespace

// clang-format off
TEST_GROUP(Forwarding) {};
// clang-format on

// Failure: a node whose connections to all servers are refused refuses its
// callers, though other nodes reach the servers.
TEST(Forwarding, RequestsOfACutOffNodeAreServedByOthers) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(20, Fleet.askMany("/safe/x", 20, "GET"));
  LONGS_EQUAL(20, Fleet.askMany("/once/x", 20, "POST"));
  for (int Id = 1; Id <= Fleet.Asked; ++Id)
    LONGS_EQUAL(1, runsOf(Fleet, cat("id-", Id)));
}

// Failure: the same with connections that hang instead of being refused.
TEST(Forwarding, HangingConnectionsDoNotKeepCallersWaiting) {
  cut_fleet Fleet(/*ConnectionsHang=*/true);
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(20, Fleet.askMany("/safe/x", 20, "GET"));
  LONGS_EQUAL(20, Fleet.askMany("/once/x", 20, "POST"));
}
