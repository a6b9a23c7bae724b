/// A node that reaches fewer backend servers than the other nodes do.
#pragma once

#include "EventLoop/socket.h"
#include "Text/text.h"
#include "small_fleet.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace amaranthhoist {

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

struct cut_options {
  /// Connections to servers hang instead of being refused.
  bool ConnectionsHang = false;
  bool HasAccounts = false;
  /// A server of another service is reachable for all nodes.
  bool HasOtherService = false;
  /// Servers beside the usual four.
  int MoreServers = 0;
  std::vector<std::string> RouteRegions;
};

/// Nodes "n1" and "n2" reach the servers; "cut" has its own copy of the store,
/// in which the servers are listed at addresses that it can't reach. The first
/// two are in region "a", "cut" in region "b"; the servers are in two failure
/// domains.
struct cut_fleet : node_fleet {
  explicit cut_fleet(const cut_options &Options = {})
      : node_fleet(nodeProgram()) {
    HasSeeds = false;
    RouteRegions = Options.RouteRegions;
    HasOtherService = Options.HasOtherService;
    if (Options.HasAccounts)
      Accounts = {{"one", {{"api_keys", {"key-of-one"}}}},
                  {"two", {{"api_keys", {"key-of-two"}}}}};
    putConfiguration(1);
    for (int Index = 0; Index < Options.MoreServers; ++Index)
      Domains.emplace(cat("m", Index), Index % 2 == 0 ? "a1" : "b1");
    for (const auto &[Id, Domain] : Domains)
      addTarget(Id, Domain);
    if (HasOtherService)
      listTargetIn(Store, Other, "a1", "ready", Other.address(), "other");
    for (const char *Name : {"n1", "n2"}) {
      node_process &Node = addNode(Name, "a1", "a");
      start(Node);
      IsReady = waitReady(Node) && waitListed(Store, Name) && IsReady;
    }
    CutStore.copyFrom(Store);
    for (const auto &[Id, Target] : Targets)
      cut(*Target, Options.ConnectionsHang ? Silent.Address : freeAddress());
    Cut = &addCutNode("cut");
  }

  node_process &addCutNode(const std::string &Name) {
    node_process &Node = addNode(Name, "b1", "b");
    Node.Store = CutStore.address();
    start(Node);
    IsReady = waitReady(Node) && waitListed(CutStore, Name) && IsReady;
    Store.copyFrom(CutStore, "instances", Name);
    return Node;
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

  /// Lists the servers at unreachable addresses for the other nodes too.
  void cutAll() {
    for (const auto &[Id, Target] : Targets)
      listTarget(*Target, Domains.at(Id), "ready", freeAddress());
  }

  void setAll(target_stand_in::behavior Behavior) {
    for (auto &[Id, Target] : Targets)
      Target->Behavior = Behavior;
  }

  std::vector<std::string> abandoned() {
    std::vector<std::string> Requests;
    for (auto &[Id, Target] : Targets)
      Requests.insert(Requests.end(), Target->Abandoned.begin(),
                      Target->Abandoned.end());
    return Requests;
  }

  int runsOfAccount(const std::string &Account) {
    int Runs = 0;
    for (const auto &[Id, Target] : Targets)
      Runs += Target->RunsByAccount[Account];
    return Runs;
  }

  bool waitForRun(const std::string &Id) {
    return runUntil([&] { return runsOf(*this, Id) == 1; });
  }

  /// Sends requests one after the other. Returns how many were served.
  int askMany(std::string_view Path, int Count, std::string_view Method) {
    int Served = 0;
    for (int Index = 0; Index < Count; ++Index)
      Served += fetch(*Cut, Path, cat("id-", ++Asked), Method).Status == 200;
    return Served;
  }

  std::map<std::string, std::string> Domains = {
      {"s1", "a1"}, {"s2", "b1"}, {"s3", "a1"}, {"s4", "b1"}};
  silent_address Silent;
  target_stand_in Other{Loop, "o1"};
  store_stand_in CutStore{Loop};
  node_process *Cut = nullptr;
  bool IsReady = true;
  int Asked = 0;
};

} // namespace amaranthhoist
