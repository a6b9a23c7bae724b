// Measures the state held per node (client blocks, objects, members) and the
// cost of decisions.

#include "measures.h"

#include "ClientMap/client_map.h"
#include "Entry/entry.h"
#include "Gateway/gateway.h"
#include "Membership/membership.h"
#include "Replica/replica.h"

#include <cstdio>
#include <random>

namespace amaranthhoist {

static constexpr int TargetBlocks = 2'800'000;
static constexpr int TargetNodes = 1'900;
static constexpr int TargetSites = 590;
/// Number of contracts, sites, targets, pools and daemons at the required size.
static constexpr int TargetItems = 30'000;

static void fillClientMap(client_map &Map, int Blocks,
                          std::mt19937_64 &Random) {
  const int PerChunk = Blocks / static_cast<int>(ClientChunks);
  for (std::size_t Chunk = 0; Chunk < ClientChunks; ++Chunk) {
    std::vector<client_block> Made;
    Made.reserve(static_cast<std::size_t>(PerChunk));
    const std::uint32_t Base = static_cast<std::uint32_t>(Chunk) << 20;
    const std::uint32_t Step =
        (1U << 20) / static_cast<std::uint32_t>(PerChunk);
    for (int Block = 0; Block < PerChunk; ++Block)
      Made.push_back({Base + static_cast<std::uint32_t>(Block) * Step +
                          static_cast<std::uint32_t>(Random() % Step),
                      static_cast<std::uint16_t>(Random() % TargetSites)});
    applyChunk(Map, Chunk, 1, Made);
  }
}

void measureClientMap() {
  std::printf("client blocks\n");
  std::vector<measured_point> Bytes;
  std::vector<measured_point> Look;
  std::vector<measured_point> Change;
  for (const int Blocks : {700'000, 1'400'000, TargetBlocks}) {
    std::mt19937_64 Random(1);
    client_map Map;
    fillClientMap(Map, Blocks, Random);
    const client_map_size Size = sizeOf(Map);
    const auto Held = static_cast<double>(Size.Blocks);
    std::uint64_t Sum = 0;
    Bytes.push_back({Held, static_cast<double>(Size.Bytes)});
    Look.push_back({Held, nanosecondsPerCall(3'000'000, [&](int) {
                      Sum += lookUp(Map, static_cast<std::uint32_t>(Random()));
                    })});
    Change.push_back(
        {Held, nanosecondsPerCall(20'000, [&](int Call) {
           const auto First = static_cast<std::uint32_t>(Random());
           const auto &Chunk = Map.Chunks[First >> 20];
           applyBlockChange(Map, {First, 7}, Chunk.Version, Call + 2);
         })});
    if (Sum == 0)
      std::printf("  no block was found\n");
  }
  printSlope("held", "bytes", Bytes, TargetBlocks);
  printSlope("look-up", "ns", Look, TargetBlocks);
  printSlope("change of one block", "ns", Change, TargetBlocks);
}

static std::vector<item> makeItems(int Count) {
  std::vector<item> Items;
  Items.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number)
    Items.push_back({"contract/customer-" + std::to_string(Number), Number + 1,
                     false, std::string(220, 'x')});
  return Items;
}

void measureReplica() {
  std::printf("objects at a control (220-byte values)\n");
  std::vector<measured_point> Bytes;
  std::vector<measured_point> Apply;
  std::vector<measured_point> Compare;
  for (const int Count : {3'000, 10'000, TargetItems}) {
    const std::vector<item> Items = makeItems(Count);
    const double Before = heapBytes();
    replica Replica;
    std::vector<item> Applied;
    Apply.push_back({double(Count), nanosecondsPerCall(Count, [&](int Place) {
                       Applied.clear();
                       applyItems(Replica,
                                  {&Items[static_cast<std::size_t>(Place)], 1},
                                  Applied);
                     })});
    Bytes.push_back({double(Count), heapBytes() - Before});
    Compare.push_back({double(Count), nanosecondsPerCall(10'000, [&](int) {
                         if (replicaRoot(Replica) == 1)
                           std::printf("  unlikely root\n");
                       })});
  }
  printSlope("held", "bytes", Bytes, TargetItems);
  printSlope("apply one change", "ns", Apply, TargetItems);
  printSlope("root of a comparison", "ns", Compare, TargetItems);
}

void measureMembership() {
  std::printf("members at a control (three daemons a node)\n");
  std::vector<measured_point> Bytes;
  std::vector<measured_point> Tick;
  for (const int Nodes : {475, 950, TargetNodes}) {
    const double Before = heapBytes();
    membership Membership;
    std::set<std::string> Names;
    for (int Node = 0; Node < Nodes; ++Node)
      for (const char *Kind : {"control/", "gateway/", "entry/"})
        Names.insert(Kind + std::to_string(Node));
    setOwnMembers(Membership, {"control/0"});
    setMembers(Membership, Names);
    Names.clear();
    Bytes.push_back({double(Nodes), heapBytes() - Before});
    instant Now{std::chrono::seconds(1)};
    const auto TickOnce = [&](int) {
      Now += std::chrono::milliseconds(100);
      for (const auto &Message : membershipTick(Membership, Now))
        handleMembershipMessage(
            Membership, Message.To,
            {membership_message::kind::Ack, Message.To, {}, {}}, Now);
    };
    nanosecondsPerCall(5'000, TickOnce);
    Tick.push_back({double(Nodes), nanosecondsPerCall(50'000, TickOnce)});
  }
  printSlope("held", "bytes", Bytes, TargetNodes);
  printSlope("tick and answer", "ns", Tick, TargetNodes);
}

static gateway_node makeLoadedGateway(int Targets) {
  gateway_settings Settings;
  Settings.Id = "gw/site#1";
  gateway_node Node = makeGateway(Settings);
  site_changed Site;
  Site.Site = {"site", "region", "domain",          1'000'000'000,
               0,      0,        {{"desk", 1'000}}, {}};
  for (int Target = 0; Target < Targets; ++Target)
    Site.Targets.push_back({"t" + std::to_string(Target), "site", "desk",
                            "127.0.0.1:1", 6, false});
  const moment Begin{instant(std::chrono::seconds(100)), 0};
  stepGateway(Node, Site, Begin);
  for (const gateway_action &Action : stepGateway(Node, clock_tick{}, Begin))
    if (const auto *Write = std::get_if<write_record>(&Action))
      stepGateway(
          Node,
          record_update_completed{Write->Proposed, update_result::Written, 1},
          Begin);
  return Node;
}

static double gatewayRequestNs(int Targets) {
  gateway_node Node = makeLoadedGateway(Targets);
  moment Now{instant(std::chrono::seconds(200)), 0};
  return nanosecondsPerCall(20'000, [&](int Call) {
    work_request Work;
    Work.Token = static_cast<std::uint64_t>(Call) + 1;
    Work.Service = "desk";
    Work.Customer = "customer";
    Work.Deadline = Now.Now + std::chrono::seconds(1);
    stepGateway(Node, request_arrived{Work}, Now);
    stepGateway(Node,
                attempt_ended{Work.Token, attempt_end::Completed,
                              std::chrono::milliseconds(5)},
                Now);
  });
}

static entry_node makeLoadedEntry(int Customers, int Gateways) {
  entry_node Node = makeEntry({});
  const instant Now{std::chrono::seconds(100)};
  gateways_changed Known;
  for (int Gateway = 0; Gateway < Gateways; ++Gateway)
    Known.Gateways.push_back("gw" + std::to_string(Gateway));
  stepEntry(Node, Known, Now);
  for (int Gateway = 0; Gateway < Gateways; ++Gateway) {
    offer Offer;
    Offer.Gateway = Known.Gateways[static_cast<std::size_t>(Gateway)];
    Offer.Site = "site" + std::to_string(Gateway / 3);
    Offer.FreeUnits = 10;
    Offer.ReceivedAt = Now;
    stepEntry(Node, offer_received{"desk", Offer}, Now);
  }
  for (int Customer = 0; Customer < Customers; ++Customer) {
    contract Contract;
    Contract.Customer = "c" + std::to_string(Customer);
    Contract.RequestsPerSecond = 1e6;
    Contract.Concurrency = 1'000'000;
    stepEntry(Node, contract_changed{Contract}, Now);
  }
  return Node;
}

static double entryRequestNs(int Customers, int Gateways) {
  entry_node Node = makeLoadedEntry(Customers, Gateways);
  const instant Now{std::chrono::seconds(101)};
  return nanosecondsPerCall(5'000, [&](int Call) {
    caller_request Request;
    Request.Token = static_cast<std::uint64_t>(Call) + 1;
    Request.Customer = "c" + std::to_string(Call % Customers);
    Request.Service = "desk";
    Request.Deadline = Now + std::chrono::seconds(1);
    stepEntry(Node, Request, Now);
    stepEntry(Node, gateway_responded{Request.Token, outcome::Answered}, Now);
  });
}

void measureDecisions() {
  std::printf("decisions per request\n");
  std::vector<measured_point> Gateway;
  for (const int Targets : {5, 25, 100})
    Gateway.push_back({double(Targets), gatewayRequestNs(Targets)});
  printSlope("gateway, by targets of its site", "ns", Gateway, 100);
  std::vector<measured_point> Customers;
  for (const int Count : {10, 1'000, 10'000})
    Customers.push_back({double(Count), entryRequestNs(Count, 10)});
  printSlope("entry, by customers", "ns", Customers, 10'000);
  std::vector<measured_point> Offers;
  for (const int Count : {10, 50, 158})
    Offers.push_back({double(Count), entryRequestNs(10, Count)});
  printSlope("entry, by gateways of its region", "ns", Offers, 158);
}

} // namespace amaranthhoist
