#include "fleet_loop.h"

#include "Protocol/protocol.h"

#include <capnp/message.h>

namespace amaranthhoist {

static constexpr duration ComparePeriod = std::chrono::milliseconds(1'000);
static constexpr duration MembershipPeriod = std::chrono::milliseconds(100);
/// Bytes per message in addition to its own size, for Cap'n Proto's call,
/// return and finish. Assumed, not measured (docs/CAPACITY.md).
static constexpr std::int64_t CallOverhead = 200;

static std::int64_t sizeOf(const replica_message &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::ReplicaMessage>();
  writeReplicaMessage(Message, Root);
  return static_cast<std::int64_t>(Root.totalSize().wordCount * 8) +
         CallOverhead;
}

static std::int64_t sizeOf(const membership_message &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::MembershipMessage>();
  writeMembershipMessage(Message, Root);
  return static_cast<std::int64_t>(Root.totalSize().wordCount * 8) +
         CallOverhead;
}

fleet_loop::fleet_loop(const fleet_options &Options)
    : Options(Options), Random(Options.Seed) {
  const auto Count = static_cast<std::size_t>(Options.Nodes);
  Replicas.resize(Count);
  Memberships.resize(Count);
  Alive.assign(Count, true);
  Starts.assign(Count, 0);
  for (int Node = 0; Node < Options.Nodes; ++Node)
    setUp(Node);
}

void fleet_loop::setUp(int Node) {
  const auto Index = static_cast<std::size_t>(Node);
  std::vector<replica_peer> Peers;
  std::set<std::string> Names;
  for (int Other = 0; Other < Options.Nodes; ++Other) {
    Names.insert(nameOf(Other));
    if (Other != Node)
      Peers.push_back({nameOf(Other), std::to_string(regionOf(Other))});
  }
  Replicas[Index] = {};
  Replicas[Index].Region = std::to_string(regionOf(Node));
  Replicas[Index].Policy = Options.Policy;
  Replicas[Index].Random.seed(Random());
  if (Options.WithReplicas)
    setReplicaPeers(Replicas[Index], Peers);
  Memberships[Index] = {};
  Memberships[Index].Random.seed(Random());
  if (Options.WithMembership) {
    setOwnMembers(Memberships[Index], {nameOf(Node)});
    setMembers(Memberships[Index], Names);
  }
  startTicks(Node);
}

void fleet_loop::startTicks(int Node) {
  const auto Index = static_cast<std::size_t>(Node);
  if (Options.WithReplicas)
    schedulePeriodic(Node, ComparePeriod, [this, Node, Index] {
      send(Node, replicaTick(Replicas[Index]));
    });
  if (Options.WithMembership)
    schedulePeriodic(Node, MembershipPeriod, [this, Node, Index] {
      send(Node, membershipTick(Memberships[Index], Now));
    });
}

void fleet_loop::schedulePeriodic(int Node, duration Period,
                                  const std::function<void()> &Action) {
  const auto Index = static_cast<std::size_t>(Node);
  const int Start = Starts[Index];
  const auto First = static_cast<std::int64_t>(
      Random() % static_cast<std::uint64_t>(Period.count()));
  auto Step = std::make_shared<std::function<void()>>();
  *Step = [this, Index, Start, Period, Action, Weak = std::weak_ptr(Step)] {
    if (!Alive[Index] || Starts[Index] != Start)
      return;
    Action();
    if (auto Next = Weak.lock())
      at(Now + Period, [Next] { (*Next)(); });
  };
  at(Now + duration(First), [Step] { (*Step)(); });
}

void fleet_loop::restart(int Node) {
  const auto Index = static_cast<std::size_t>(Node);
  ++Starts[Index];
  Alive[Index] = true;
  setUp(Node);
}

void fleet_loop::at(instant Time, std::function<void()> Action) {
  Events.push({Time, NextOrder++, std::move(Action)});
}

void fleet_loop::runUntil(instant Until) {
  while (!Events.empty() && Events.top().At <= Until) {
    const event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Action();
  }
  Now = Until;
}

bool fleet_loop::reaches(int From, int To) const {
  if (!isAlive(From) || !isAlive(To))
    return false;
  const int Source = regionOf(From);
  const int Target = regionOf(To);
  return Source == Target ||
         !(CutRegions.contains(Source) || CutRegions.contains(Target));
}

duration fleet_loop::latency(int From, int To) {
  const duration Base = regionOf(From) == regionOf(To) ? Options.WithinRegion
                                                       : Options.BetweenRegions;
  // Adds up to 50 % of jitter.
  return Base +
         duration(static_cast<std::int64_t>(
             Random() % static_cast<std::uint64_t>(Base.count() / 2 + 1)));
}

void fleet_loop::post(int From, int To, std::function<void()> Action) {
  const bool Lost = Options.LossPercent > 0 &&
                    static_cast<int>(Random() % 100) < Options.LossPercent;
  if (Lost || !reaches(From, To))
    return;
  at(Now + latency(From, To), [this, From, To, Action = std::move(Action)] {
    if (reaches(From, To))
      Action();
  });
}

void fleet_loop::announce(int Node, const std::vector<item> &Applied) {
  if (!OnApply)
    return;
  for (const item &Item : Applied)
    OnApply(Node, Item, Now);
}

void fleet_loop::send(int From,
                      const std::vector<outgoing_replica_message> &Messages) {
  for (const outgoing_replica_message &Message : Messages) {
    ++ReplicaTraffic.Messages;
    ReplicaTraffic.Bytes += sizeOf(Message.Message);
    const int To = std::stoi(Message.To);
    post(From, To, [this, From, To, Body = Message.Message] {
      std::vector<item> Applied;
      const auto Replies = handleReplicaMessage(
          Replicas[static_cast<std::size_t>(To)], nameOf(From), Body, Applied);
      announce(To, Applied);
      send(To, Replies);
    });
  }
}

void fleet_loop::send(
    int From, const std::vector<outgoing_membership_message> &Messages) {
  for (const outgoing_membership_message &Message : Messages) {
    ++MembershipTraffic.Messages;
    MembershipTraffic.Bytes += sizeOf(Message.Message);
    const int To = std::stoi(Message.To);
    post(From, To, [this, From, To, Body = Message.Message] {
      send(To,
           handleMembershipMessage(Memberships[static_cast<std::size_t>(To)],
                                   nameOf(From), Body, Now));
    });
  }
}

void fleet_loop::deliverAll(int Node, const std::vector<item> &Items) {
  if (!isAlive(Node))
    return;
  std::vector<item> Applied;
  const auto Messages =
      applyItems(Replicas[static_cast<std::size_t>(Node)], Items, Applied);
  announce(Node, Applied);
  send(Node, Messages);
}

void fleet_loop::deliver(int Node, const item &Item) {
  deliverAll(Node, {Item});
}

void fleet_loop::preload(const std::vector<item> &Items) {
  std::vector<item> Applied;
  for (replica &Replica : Replicas) {
    Applied.clear();
    applyItems(Replica, Items, Applied);
  }
}

} // namespace amaranthhoist
