#include "Gateway/node.h"

#include <algorithm>
#include <set>

namespace amaranthhoist::gateway {

/// Units asked for in one loan, in requests.
static constexpr std::int64_t RequestsPerLoan = 2;

duration predictedWait(const gateway_node &Node, const std::string &Service) {
  auto Queue = Node.Queues.find(Service);
  const auto Waiting =
      Queue == Node.Queues.end() ? 0 : std::int64_t(Queue->second.Total);
  if (Waiting == 0)
    return duration{};
  std::int64_t Slots = 0;
  duration Typical{};
  std::int64_t Count = 0;
  for (const auto &[Name, Target] : Node.Targets) {
    if (Target.Service != Service || Target.Leaving)
      continue;
    auto Share = Node.Budget.Shares.find(slotResource(Name));
    Slots += Share == Node.Budget.Shares.end() ? 0 : Share->second.Granted;
    Typical += Target.Typical;
    ++Count;
  }
  if (Count == 0)
    return duration{};
  return Typical / Count * Waiting / std::max<std::int64_t>(Slots, 1);
}

static std::vector<resource_amount> unitsFor(const gateway_node &Node,
                                             const work_request &Request,
                                             const std::string &Target) {
  std::vector<resource_amount> Units;
  auto Cost = Node.Site.SlotMilliwatts.find(Request.Service);
  if (Cost != Node.Site.SlotMilliwatts.end())
    Units.push_back({PowerResource, Cost->second});
  Units.push_back({slotResource(Target), 1});
  if (Node.Site.LinkLimits.contains(Request.SourceRegion))
    Units.push_back({linkResource(Request.SourceRegion), 1});
  return Units;
}

static bool fits(const gateway_node &Node,
                 const std::vector<resource_amount> &Units, instant Now,
                 std::set<std::string> &Short) {
  bool Fits = true;
  for (const resource_amount &Amount : Units) {
    if (availableUnits(Node.Budget, Amount.Resource, Now) >= Amount.Units)
      continue;
    Short.insert(Amount.Resource);
    Fits = false;
  }
  return Fits;
}

/// The cheapest target that takes work and whose units are at hand. Notes in
/// \p Short what was missing at targets that would have taken it.
static target_state *chooseTarget(gateway_node &Node,
                                  const work_request &Request, instant Now,
                                  std::set<std::string> &Short) {
  target_state *Best = nullptr;
  for (auto &[Name, Target] : Node.Targets) {
    if (Target.Service != Request.Service ||
        !takesWork(Target, Node.Settings.Targets, Now))
      continue;
    if (!fits(Node, unitsFor(Node, Request, Name), Now, Short))
      continue;
    const target_policy &Policy = Node.Settings.Targets;
    if (!Best || targetCost(Target, Policy) < targetCost(*Best, Policy))
      Best = &Target;
  }
  return Best;
}

static void askForLoans(gateway_node &Node, const work_request &Request,
                        const std::set<std::string> &Short, instant Now,
                        actions &Actions) {
  // One request per resource at a time; a lender that has nothing is silent.
  if (Node.Peers.empty() || Node.Budget.Requested.size() > Short.size())
    return;
  for (const std::string &Resource : Short) {
    const std::string &Peer = Node.Peers[Node.NextLender++ % Node.Peers.size()];
    std::int64_t Units = RequestsPerLoan;
    if (Resource == PowerResource)
      Units *= Node.Site.SlotMilliwatts.at(Request.Service);
    outgoing_loan_message Loan =
        requestLoan(Node.Budget, Peer, Resource, Units, Now);
    Actions.push_back(send_to_peer{Loan.To, Loan.Message});
  }
}

static void send(gateway_node &Node, work_item &Item, target_state &Target,
                 moment Moment, actions &Actions) {
  const work_request &Request = Item.Request;
  Item.Units = unitsFor(Node, Request, Target.Name);
  takeUnits(Node.Budget, Item.Units, Moment.Now);
  Item.Target = Target.Name;
  ++Item.Attempts;
  ++Target.InFlight;
  Item.ToldDeadline =
      std::min(Request.Deadline, Moment.Now + Node.Settings.MaxWork);
  Actions.push_back(send_to_target{Request.Token, Target.Name, Target.Address,
                                   Item.ToldDeadline});
}

/// Sends \p Item or parks it for the witness. False when no target takes it.
static bool trySend(gateway_node &Node, work_item &Item, moment Moment,
                    actions &Actions) {
  std::set<std::string> Short;
  target_state *Target = chooseTarget(Node, Item.Request, Moment.Now, Short);
  if (!Target) {
    askForLoans(Node, Item.Request, Short, Moment.Now, Actions);
    return false;
  }
  if (Item.Request.Class == work_class::NonIdempotent &&
      !markSent(Node.Owned, Item.Request.Key)) {
    Item.Parked = true;
    return true;
  }
  send(Node, Item, *Target, Moment, Actions);
  return true;
}

static queued_request queuedFrom(const work_request &Request) {
  return {Request.Token, Request.Customer, Request.Priority, Request.Weight,
          Request.Deadline};
}

void pump(gateway_node &Node, const std::string &Service, moment Moment,
          actions &Actions) {
  auto Queue = Node.Queues.find(Service);
  if (Queue == Node.Queues.end())
    return;
  while (auto Next = dequeue(Queue->second)) {
    auto Found = Node.Work.find(Next->Token);
    if (Found == Node.Work.end())
      continue;
    // Nothing is sent once its time is over: the backend server would refuse
    // it, and the caller has stopped waiting.
    if (Moment.Now >= Next->Deadline) {
      giveUp(Node, Next->Token, "deadline passed in the queue", Actions);
      continue;
    }
    if (trySend(Node, Found->second, Moment, Actions))
      continue;
    requeueFront(Queue->second, queuedFrom(Found->second.Request));
    return;
  }
}

void pumpAll(gateway_node &Node, moment Moment, actions &Actions) {
  for (auto &[Service, Queue] : Node.Queues)
    if (Queue.Total != 0)
      pump(Node, Service, Moment, Actions);
}

} // namespace amaranthhoist::gateway
