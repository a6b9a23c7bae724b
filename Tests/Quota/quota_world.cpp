#include "quota_simulation.h"

#include "PeerMessages/peer_messages.h"
#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {
namespace quota_simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

world::world(const quota_world_options &Options)
    : Options(Options), Random(Options.Seed) {
  const bool IsOne = Options.Way == quota_way::OneCoordinator;
  for (std::size_t Index = 0; Index < Options.Nodes; ++Index) {
    node_state Node;
    Node.Name = cat("n", Index);
    Node.Index = Index;
    const std::size_t Domain = Index % Options.Domains;
    Node.Domain = cat("d", Domain);
    Node.Region = cat("r", Domain / 2);
    IndexOf[stableHash(Node.Name)] = Index;
    Listed.push_back({Node.Name, IsOne ? "all" : Node.Domain, Node.Region, 1});
    Nodes.push_back(std::move(Node));
  }
  for (std::size_t Index = 0; Index < Options.Accounts; ++Index) {
    account_state Account;
    Account.Name = cat("account-", Index);
    Account.Id = accountId(Account.Name);
    // A few large ones, as among real customers.
    const double Size = 1.0 / static_cast<double>(1 + Index % 7);
    Account.Limit = {std::max(1.0, Options.Rate * 2 * Size),
                     std::max(1.0, Options.Rate * 2 * Size)};
    Account.Bound = Account.Limit;
    Account.IsHot = Index < Options.HotAccounts;
    Accounts.push_back(std::move(Account));
  }
  for (account_state &Account : Accounts)
    ById[Account.Id] = &Account;
  End = instant(Lead + Options.Length);
  HotFrom = instant(Lead) + between(seconds(1), Options.Length / 2);
  HotUntil = HotFrom + between(seconds(2), seconds(8));
}

account_pools world::poolsOf(const node_state &Node, account_id Account) {
  return amaranthhoist::poolsOf(Node.Map, Account, accountOf(Account).Limit,
                                Bounds, Node.Coordinator.Policy, Now);
}

void world::boot(node_state &Node) {
  Node.IsUp = true;
  ++Node.Start;
  Node.Coordinator = {};
  Node.Coordinator.Bounds = Bounds;
  Node.Holder = {};
  Node.Map = {};
  Node.Waiters.clear();
  Node.OwnSends.clear();
  Node.ReportedUse.clear();
  updateCoordinators(Node.Map, Listed, Node.Name, Node.Coordinator.Policy, Now);
  if (Options.Mutant == quota_mutant::StartsFull)
    for (quota_group &Group : Node.Map.Groups)
      Group.MayGrantFrom = Now - std::chrono::hours(1);
  const std::uint64_t Start = Node.Start;
  at(Now + TickPeriod, [this, &Node, Start] { tick(Node, Start); });
  if (Options.Way == quota_way::Reports)
    at(Now + ReportPeriod, [this, &Node, Start] { report(Node, Start); });
}

double world::demandOf(const account_state &Account) const {
  const double Usual = Options.Load * Account.Limit.RequestsPerSecond;
  const bool IsHot = Account.IsHot && Now >= HotFrom && Now < HotUntil;
  return IsHot ? 12 * Usual : Usual;
}

void world::nextArrival(account_state &Account) {
  std::exponential_distribution<double> Gap(demandOf(Account));
  const auto Delay = duration(static_cast<std::int64_t>(Gap(Random) * 1e6));
  // Looks again soon, so that a change of the demand takes effect.
  const bool IsFar = Delay > milliseconds(500);
  at(Now + std::min(Delay, duration(milliseconds(500))),
     [this, &Account, IsFar] {
       if (!IsFar)
         arrive(Account);
       if (Now < End)
         nextArrival(Account);
     });
}

void world::arrive(account_state &Account) {
  const std::size_t Spread = Options.Spread == 0
                                 ? Nodes.size()
                                 : std::min(Options.Spread, Nodes.size());
  const std::size_t Index = (Account.Id + Random() % Spread) % Nodes.size();
  node_state &Node = Nodes[Index];
  if (!isRunning(Node))
    return;
  ++Result.Arrived;
  Account.Arrivals.push_back(Now);
  while (Account.Arrivals.front() <= Now - Bounds.Window)
    Account.Arrivals.pop_front();
  request(Node, Account);
}

void world::request(node_state &Node, account_state &Account) {
  if (!usesPools()) {
    if (admitsAlone(Node, Account))
      send(Node, Account);
    else
      refuse(Account);
    return;
  }
  setCoordinators(Node.Holder, Account.Id,
                  askOrder(poolsOf(Node, Account.Id).Coordinators, Node.Domain,
                           Node.Region),
                  Now);
  countArrival(Node.Holder, Account.Id, Now);
  std::deque<instant> &Waiters = Node.Waiters[Account.Id];
  const quota_verdict Verdict =
      Waiters.empty() ? spendToken(Node.Holder, Account.Id, Now, Now)
                      : quota_verdict::Pending;
  if (Verdict == quota_verdict::Granted) {
    send(Node, Account);
  } else if (Verdict == quota_verdict::Pending) {
    Waiters.push_back(Now);
    setWaiting(Node.Holder, Account.Id, Waiters.size());
    ++Result.Waited;
  } else {
    refuse(Account);
  }
  plan(Node, Account.Id);
}

bool world::wasBelowLimit(const account_state &Account) const {
  return static_cast<double>(Account.Arrivals.size()) <=
         Account.Limit.RequestsPerSecond * 5 + Account.Limit.Burst;
}

void world::refuse(account_state &Account) {
  if (wasBelowLimit(Account))
    ++Result.RefusedBelowLimit;
  else
    ++Result.RefusedAboveLimit;
}

void world::send(node_state & /*Node*/, account_state &Account) {
  ++Result.Sent;
  Account.Sends.push_back(Now);
  if (Account.IsHot && Now >= HotFrom && Now < HotUntil)
    ++Account.SentWhileHot;
  while (Account.Sends.front() <= Now - Bounds.Window)
    Account.Sends.pop_front();
  const double Limit =
      (Account.Bound.RequestsPerSecond * 5 + Account.Bound.Burst) *
          (1 + Bounds.Overshoot) +
      Bounds.Slack;
  Result.WorstExcess = std::max(
      Result.WorstExcess, static_cast<double>(Account.Sends.size()) - Limit);
}

void world::transmit(std::size_t From, std::size_t To, std::size_t Bytes,
                     const action &Do) {
  ++Result.Messages;
  Result.MessageBytes += Bytes;
  if (Now < Nodes[From].CutUntil || Now < Nodes[To].CutUntil ||
      uniform() < Loss)
    return;
  const bool IsNear = Nodes[From].Region == Nodes[To].Region;
  const duration Delay = IsNear ? between(milliseconds(1), milliseconds(4))
                                : between(milliseconds(35), milliseconds(45));
  const std::uint64_t Start = Nodes[To].Start;
  const int Copies = Options.HasFaults && uniform() < 0.02 ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    const duration Extra = Options.HasFaults && uniform() < 0.02
                               ? between(milliseconds(50), milliseconds(2'000))
                               : duration::zero();
    at(Now + Delay + Extra, [this, To, Start, Do] { deliver(To, Start, Do); });
  }
}

void world::deliver(std::size_t To, std::uint64_t Start, const action &Do) {
  node_state &Node = Nodes[To];
  if (!Node.IsUp || Node.Start != Start || Now < Node.CutUntil)
    return;
  if (Now < Node.PausedUntil) {
    at(Node.PausedUntil, [this, To, Start, Do] { deliver(To, Start, Do); });
    return;
  }
  Do();
}

static std::size_t sizeOf(const peer_datagram &Datagram) {
  return encodeDatagram(Datagram).size();
}

void world::plan(node_state &Node, account_id Account) {
  for (const outgoing_quota_request &Outgoing :
       planQuotaRequests(Node.Holder, Account, Now)) {
    const std::size_t To = IndexOf.at(Outgoing.Coordinator);
    const std::size_t From = Node.Index;
    const coordinator_id Coordinator = Outgoing.Coordinator;
    const std::uint64_t Number = From * 1'000 + Node.Start;
    peer_datagram Datagram;
    Datagram.Sender = Node.Name;
    Datagram.QuotaRequests = {Outgoing.Request};
    transmit(From, To, sizeOf(Datagram), [=, this] {
      node_state &Receiver = Nodes[To];
      const quota_group &Group = Receiver.Map.Groups[groupOf(Account)];
      const std::size_t Pools = Options.Mutant == quota_mutant::PoolsNotDivided
                                    ? 1
                                    : poolsOf(Receiver, Account).Count;
      if (Options.Mutant == quota_mutant::HeldTokensNotCounted)
        Receiver.Coordinator.Pools[Account].Outstanding = 0;
      const quota_response Response = handleQuotaRequest(
          Receiver.Coordinator, Number, Outgoing.Request,
          accountOf(Account).Limit, Pools, Group.MayGrantFrom, Now);
      peer_datagram Back;
      Back.Sender = Receiver.Name;
      Back.QuotaResponses = {Response};
      transmit(To, From, sizeOf(Back), [=, this] {
        node_state &Asker = Nodes[From];
        if (From * 1'000 + Asker.Start == Number &&
            handleQuotaResponse(Asker.Holder, Coordinator, Response, Now))
          serveWaiters(Asker, Account);
      });
    });
  }
}

void world::serveWaiters(node_state &Node, account_id Account) {
  std::deque<instant> &Waiters = Node.Waiters[Account];
  while (!Waiters.empty()) {
    const instant Since = Waiters.front();
    quota_verdict Verdict = spendToken(Node.Holder, Account, Since, Now);
    if (Verdict == quota_verdict::Pending) {
      if (Now - Since < MaxWait)
        break;
      Verdict = quota_verdict::Unknown;
    }
    Waiters.pop_front();
    setWaiting(Node.Holder, Account, Waiters.size());
    Result.WaitSum += Now - Since;
    Result.LongestWait = std::max(Result.LongestWait, Now - Since);
    if (Verdict == quota_verdict::Granted)
      send(Node, accountOf(Account));
    else
      refuse(accountOf(Account));
  }
  plan(Node, Account);
}

void world::tick(node_state &Node, std::uint64_t Start) {
  if (!Node.IsUp || Node.Start != Start || Now >= End)
    return;
  if (isRunning(Node)) {
    std::vector<account_id> Waiting;
    for (const auto &[Account, Waiters] : Node.Waiters)
      if (!Waiters.empty())
        Waiting.push_back(Account);
    for (const account_id Account : Waiting)
      serveWaiters(Node, Account);
    if (Random() % 40 == 0)
      evictIdlePools(Node.Coordinator, Now);
  }
  at(std::max(Now + TickPeriod, Node.PausedUntil),
     [this, &Node, Start] { tick(Node, Start); });
}

bool world::admitsAlone(node_state &Node, account_state &Account) {
  std::deque<instant> &Sends = Node.OwnSends[Account.Id];
  while (!Sends.empty() && Sends.front() <= Now - Bounds.Window)
    Sends.pop_front();
  const double Limit =
      Account.Limit.RequestsPerSecond * 5 + Account.Limit.Burst + Bounds.Slack;
  double Used = static_cast<double>(Sends.size());
  if (Options.Way == quota_way::EqualParts) {
    if (Used + 1 > Limit / static_cast<double>(Nodes.size()))
      return false;
  } else {
    for (const auto &[Other, Use] : Node.ReportedUse[Account.Id])
      Used += Use;
    if (Used + 1 > Limit)
      return false;
  }
  Sends.push_back(Now);
  return true;
}

void world::report(node_state &Node, std::uint64_t Start) {
  if (!Node.IsUp || Node.Start != Start || Now >= End)
    return;
  if (isRunning(Node))
    for (node_state &Other : Nodes) {
      if (Other.Index == Node.Index)
        continue;
      std::vector<std::pair<account_id, double>> Uses;
      for (const auto &[Account, Sends] : Node.OwnSends)
        Uses.emplace_back(Account, Sends.size());
      const std::size_t From = Node.Index;
      transmit(From, Other.Index, 40 + 12 * Uses.size(), [=, this, &Other] {
        for (const auto &[Account, Use] : Uses)
          Other.ReportedUse[Account][From] = Use;
      });
    }
  at(std::max(Now + ReportPeriod, Node.PausedUntil),
     [this, &Node, Start] { report(Node, Start); });
}

quota_world_result world::run() {
  for (node_state &Node : Nodes)
    boot(Node);
  for (account_state &Account : Accounts)
    at(instant(Lead), [this, &Account] { nextArrival(Account); });
  scheduleFaults();
  while (!Events.empty() && Events.top().At < End) {
    const event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Do();
  }
  const double HotTime =
      static_cast<double>((HotUntil - HotFrom).count()) / 1e6;
  double Permitted = 0;
  double Used = 0;
  for (const account_state &Account : Accounts)
    if (Account.IsHot) {
      Permitted += Account.Limit.RequestsPerSecond * HotTime;
      Used += static_cast<double>(Account.SentWhileHot);
    }
  Result.HotUse = Permitted > 0 ? Used / Permitted : 0;
  return Result;
}

} // namespace quota_simulation

quota_world_result runQuotaWorld(const quota_world_options &Options) {
  return quota_simulation::world(Options).run();
}

} // namespace amaranthhoist
