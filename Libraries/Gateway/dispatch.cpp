#include "Gateway/node.h"

#include <algorithm>
#include <set>

namespace amaranthhoist::gateway {

/// Units requested in one loan, counted in requests.
static constexpr std::int64_t RequestsPerLoan = 2;
/// Maximum number of requests deferred at a time because their links are full.
static constexpr std::size_t MaxDeferred = 64;

namespace {

/// Number of requests of one service that can run concurrently here, and their
/// typical duration.
struct service_rate {
  std::int64_t Parallel = 0;
  duration Typical{};
};

/// Result of an attempt to send a queued request.
enum class send_result : std::uint8_t {
  Sent,
  /// Waits only for its witness, outside the queue.
  Parked,
  /// The link from its region is full; a request from another region may still
  /// fit.
  LinkFull,
  /// No target accepts work of this service now.
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
    if (Target.Service != Service || Target.Draining)
      continue;
    Rate.Parallel += grantedUnits(Node, slotResource(Name));
    Rate.Typical += Target.SmoothedDuration;
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
                 std::set<std::string> &MissingResources) {
  bool Fits = true;
  for (const resource_amount &Amount : Units) {
    if (availableUnits(Node.Budget, Amount.Resource, Now) >= Amount.Units)
      continue;
    MissingResources.insert(Amount.Resource);
    Fits = false;
  }
  return Fits;
}

/// Returns the target of the lowest cost that accepts work and whose units are
/// available. Adds to \p MissingResources the resources that were missing at
/// targets that accept work.
static target_state *chooseTarget(gateway_node &Node,
                                  const work_request &Request, instant Now,
                                  std::set<std::string> &MissingResources) {
  target_state *Best = nullptr;
  for (auto &[Name, Target] : Node.Targets) {
    if (Target.Service != Request.Service ||
        !acceptsWork(Target, Node.Settings.Targets, Now))
      continue;
    if (!fits(Node, unitsFor(Node, Request, Name), Now, MissingResources))
      continue;
    const target_policy &Policy = Node.Settings.Targets;
    if (!Best || targetCost(Target, Policy) < targetCost(*Best, Policy))
      Best = &Target;
  }
  return Best;
}

static void requestLoans(gateway_node &Node, const work_request &Request,
                         const std::set<std::string> &MissingResources,
                         instant Now, actions &Actions) {
  // One loan request per resource at a time; a lender without idle units does
  // not reply.
  if (Node.Peers.empty() ||
      Node.Budget.LoansRequested.size() > MissingResources.size())
    return;
  for (const std::string &Resource : MissingResources) {
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
  acquireUnits(Node.Budget, Item.Units, Moment.Now);
  Item.Target = Target.Name;
  Node.StalledSince.erase(Request.Service);
  ++Item.Attempts;
  ++Target.InFlight;
  Item.BackendDeadline =
      std::min(Request.Deadline, Moment.Now + Node.Settings.MaxBackendDeadline);
  Actions.push_back(send_to_target{Request.Token, Target.Name, Target.Address,
                                   Item.BackendDeadline});
}

static bool isLink(const std::string &Resource) {
  return Resource.starts_with("link/");
}

static send_result trySend(gateway_node &Node, work_item &Item, moment Moment,
                           actions &Actions) {
  std::set<std::string> MissingResources;
  target_state *Target =
      chooseTarget(Node, Item.Request, Moment.Now, MissingResources);
  if (!Target) {
    requestLoans(Node, Item.Request, MissingResources, Moment.Now, Actions);
    return std::any_of(MissingResources.begin(), MissingResources.end(), isLink)
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

/// Sends requests of one queue in turn until no more can be sent. Requests
/// whose link is full are deferred: otherwise requests from other regions would
/// wait behind them for a link that they do not use.
void sendQueued(gateway_node &Node, const std::string &Service, moment Moment,
                actions &Actions) {
  auto Queue = Node.Queues.find(Service);
  if (Queue == Node.Queues.end())
    return;
  std::vector<queued_request> Deferred;
  std::set<std::string> FullLinks;
  while (auto Next = dequeue(Queue->second)) {
    auto Found = Node.Work.find(Next->Token);
    if (Found == Node.Work.end())
      continue;
    // A request is not sent after its deadline: the backend server would refuse
    // it, and the caller has stopped waiting.
    if (Moment.Now >= Next->Deadline) {
      abandonRequest(Node, Next->Token, "deadline passed in the queue",
                     Actions);
      continue;
    }
    const std::string &Region = Found->second.Request.SourceRegion;
    const send_result Result =
        FullLinks.contains(Region)
            ? send_result::LinkFull
            : trySend(Node, Found->second, Moment, Actions);
    if (Result == send_result::Sent || Result == send_result::Parked)
      continue;
    Deferred.push_back(*Next);
    if (Result == send_result::NoRoom || Deferred.size() >= MaxDeferred)
      break;
    FullLinks.insert(Region);
  }
  for (auto Request = Deferred.rbegin(); Request != Deferred.rend(); ++Request)
    requeueFront(Queue->second, *Request);
  refuseUnservable(Node, Service, Moment.Now, Actions);
}

void sendAllQueued(gateway_node &Node, moment Moment, actions &Actions) {
  for (auto &[Service, Queue] : Node.Queues)
    if (Queue.Total != 0)
      sendQueued(Node, Service, Moment, Actions);
}

} // namespace amaranthhoist::gateway
