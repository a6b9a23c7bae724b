#include "Gateway/node.h"

#include <algorithm>
#include <set>

namespace amaranthhoist::gateway {

/// Units asked for in one loan, in requests.
static constexpr std::int64_t RequestsPerLoan = 2;
/// Requests set aside at a time because their links are full.
static constexpr std::size_t MaxSetAside = 64;

namespace {

/// Requests of one service that can run at once here, and how long they take.
struct service_rate {
  std::int64_t Parallel = 0;
  duration Typical{};
};

/// Why a request was not sent, or that it need not wait in the queue.
enum class send_result : std::uint8_t {
  Sent,
  /// Waits for its witness alone, outside the queue.
  Parked,
  /// Its own link is full; a request from another region may still fit.
  LinkFull,
  /// Nothing takes work of this service now.
  NoRoom,
};

} // namespace

static std::int64_t grantedUnits(const gateway_node &Node,
                                 const std::string &Resource) {
  auto Share = Node.Budget.Shares.find(Resource);
  return Share == Node.Budget.Shares.end() ? 0 : Share->second.Granted;
}

static service_rate rateOf(const gateway_node &Node,
                           const std::string &Service) {
  service_rate Rate;
  std::int64_t Count = 0;
  for (const auto &[Name, Target] : Node.Targets) {
    if (Target.Service != Service || Target.Leaving)
      continue;
    Rate.Parallel += grantedUnits(Node, slotResource(Name));
    Rate.Typical += Target.Typical;
    ++Count;
  }
  Rate.Typical /= std::max<std::int64_t>(Count, 1);
  auto Cost = Node.Site.SlotMilliwatts.find(Service);
  if (Cost != Node.Site.SlotMilliwatts.end() && Cost->second > 0)
    Rate.Parallel = std::min(Rate.Parallel,
                             grantedUnits(Node, PowerResource) / Cost->second);
  Rate.Parallel = std::max<std::int64_t>(Rate.Parallel, 1);
  return Rate;
}

duration predictedWait(const gateway_node &Node, const std::string &Service) {
  auto Queue = Node.Queues.find(Service);
  const std::int64_t Waiting =
      Queue == Node.Queues.end()
          ? 0
          : static_cast<std::int64_t>(Queue->second.Total);
  if (Waiting == 0)
    return duration{};
  const service_rate Rate = rateOf(Node, Service);
  return Rate.Typical * (Waiting + 1) / Rate.Parallel;
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
  Node.StalledSince.erase(Request.Service);
  ++Item.Attempts;
  ++Target.InFlight;
  Item.ToldDeadline =
      std::min(Request.Deadline, Moment.Now + Node.Settings.MaxWork);
  Actions.push_back(send_to_target{Request.Token, Target.Name, Target.Address,
                                   Item.ToldDeadline});
}

static bool isLink(const std::string &Resource) {
  return Resource.starts_with("link/");
}

static send_result trySend(gateway_node &Node, work_item &Item, moment Moment,
                           actions &Actions) {
  std::set<std::string> Short;
  target_state *Target = chooseTarget(Node, Item.Request, Moment.Now, Short);
  if (!Target) {
    askForLoans(Node, Item.Request, Short, Moment.Now, Actions);
    return std::any_of(Short.begin(), Short.end(), isLink)
               ? send_result::LinkFull
               : send_result::NoRoom;
  }
  if (Item.Request.Class == work_class::NonIdempotent &&
      !markSent(Node.Owned, Item.Request.Key)) {
    Item.Parked = true;
    return send_result::Parked;
  }
  send(Node, Item, *Target, Moment, Actions);
  return send_result::Sent;
}

/// Sends requests of one queue in turn until nothing more fits. Requests whose
/// link is full are set aside: behind one of them, those of other regions would
/// wait for a link that they don't use.
void pump(gateway_node &Node, const std::string &Service, moment Moment,
          actions &Actions) {
  auto Queue = Node.Queues.find(Service);
  if (Queue == Node.Queues.end())
    return;
  std::vector<queued_request> SetAside;
  std::set<std::string> FullLinks;
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
    const std::string &Region = Found->second.Request.SourceRegion;
    const send_result Result =
        FullLinks.contains(Region)
            ? send_result::LinkFull
            : trySend(Node, Found->second, Moment, Actions);
    if (Result == send_result::Sent || Result == send_result::Parked)
      continue;
    SetAside.push_back(*Next);
    if (Result == send_result::NoRoom || SetAside.size() >= MaxSetAside)
      break;
    FullLinks.insert(Region);
  }
  for (auto Request = SetAside.rbegin(); Request != SetAside.rend(); ++Request)
    requeueFront(Queue->second, *Request);
  refuseHopeless(Node, Service, Moment.Now, Actions);
}

void pumpAll(gateway_node &Node, moment Moment, actions &Actions) {
  for (auto &[Service, Queue] : Node.Queues)
    if (Queue.Total != 0)
      pump(Node, Service, Moment, Actions);
}

} // namespace amaranthhoist::gateway
