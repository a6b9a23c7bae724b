#include "quota_link.h"

#include <random>

namespace amaranthhoist {

/// Period at which waiting requests are checked, a fraction of the time after
/// which a coordinator is passed over.
static constexpr duration TickPeriod = std::chrono::milliseconds(50);
static constexpr duration EvictionPeriod = std::chrono::seconds(2);
/// Longest time that a request waits for a token: the pools of the own domain,
/// the own region and another one, each with a response that was lost. The
/// caller is better off at another instance then.
static constexpr duration MaxWait = std::chrono::milliseconds(800);
/// Bounds the memory of an account whose coordinators don't respond.
static constexpr std::size_t MaxWaiters = 512;
/// An instance that has had no news of the list of instances for this long, and
/// doesn't see most of the others, may have been replaced as a coordinator.
static constexpr duration MaxListAge = std::chrono::seconds(20);

quota_link::quota_link(node &Node, send_function Send)
    : Node(Node), Send(std::move(Send)) {
  applyBounds();
  std::random_device Device;
  HolderNumber = static_cast<std::uint64_t>(Device()) << 32U | Device();
  Node.Loop.runEvery(TickPeriod, [this] { tick(); });
  Node.Loop.atEndOfIteration([this] { flush(); });
}

quota_link::~quota_link() { Node.Quotas = nullptr; }

void quota_link::applyBounds() {
  const node_bounds &Bounds = Node.Settings.Bounds;
  Coordinator.Bounds = {Bounds.QuotaWindow, Bounds.QuotaOvershoot,
                        Bounds.QuotaSlack};
}

quota_limit quota_link::limitOf(account_id Account) const {
  const auto &Routes = Node.Steering.Routes;
  const client_account *Found =
      Routes ? findAccountByHash(Routes->Accounts, Account) : nullptr;
  if (!Found)
    return {};
  return {Found->RequestsPerSecond, Found->Burst};
}

bool quota_link::isLimited(const std::string &Account) const {
  return limitOf(accountId(Account)).RequestsPerSecond > 0;
}

account_pools quota_link::poolsOf(account_id Account, instant Now) const {
  return amaranthhoist::poolsOf(Map, Account, limitOf(Account),
                                Coordinator.Bounds, Coordinator.Policy, Now);
}

void quota_link::countRequest(account_id Account, instant Now) {
  const view_version Current{configurationVersion(Node), InstancesVersion};
  if (view_version &Applied = AppliedVersions[Account]; Applied != Current) {
    Applied = Current;
    setCoordinators(Holder, Account,
                    askOrder(poolsOf(Account, Now).Coordinators,
                             Node.Settings.FailureDomain, Node.Settings.Region),
                    Now);
  }
  countArrival(Holder, Account, Now);
}

quota_verdict quota_link::acquire(const std::string &Account,
                                  quota_waiter &Waiter) {
  const account_id Id = accountId(Account);
  const instant Now = event_loop::suspendAwareNow();
  countRequest(Id, Now);
  waiter_queue &Queue = Waiters[Id];
  // Those that wait already come first.
  quota_verdict Verdict =
      Queue.empty() ? spendToken(Holder, Id, Now, Now) : quota_verdict::Pending;
  if (Verdict == quota_verdict::Pending) {
    if (Queue.size() >= MaxWaiters)
      return quota_verdict::Unknown;
    Queue.push_back({&Waiter, Now});
    setWaiting(Holder, Id, Queue.size());
  }
  if (Verdict == quota_verdict::Granted || Verdict == quota_verdict::Pending)
    plan(Id, Now);
  return Verdict;
}

bool quota_link::acquireHeld(const std::string &Account) {
  const account_id Id = accountId(Account);
  const instant Now = event_loop::suspendAwareNow();
  return spendToken(Holder, Id, Now, Now) == quota_verdict::Granted;
}

void quota_link::giveBack(const std::string &Account) {
  returnToken(Holder, accountId(Account), event_loop::suspendAwareNow());
}

void quota_link::cancel(quota_waiter &Waiter) {
  for (auto &[Account, Queue] : Waiters)
    if (std::erase_if(Queue, [&](const waiting_request &Request) {
          return Request.Waiter == &Waiter;
        }) > 0) {
      setWaiting(Holder, Account, Queue.size());
      return;
    }
}

duration quota_link::retryAfter(const std::string &Account) const {
  return timeUntilRetry(Holder, accountId(Account),
                        event_loop::suspendAwareNow());
}

quota_view quota_link::view(const std::string &Account) const {
  const account_id Id = accountId(Account);
  const instant Now = event_loop::suspendAwareNow();
  const auto Found = Holder.Accounts.find(Id);
  return {Account, limitOf(Id),
          Found == Holder.Accounts.end() ? 0 : Found->second.Demand,
          availableTokens(Holder, Id, Now), poolsOf(Id, Now).Count};
}

std::vector<quota_view> quota_link::busiest(std::size_t Most) const {
  std::vector<quota_view> Views;
  if (!Node.Steering.Routes)
    return Views;
  for (const auto &[Id, Quota] : Holder.Accounts)
    if (const client_account *Account =
            findAccountByHash(Node.Steering.Routes->Accounts, Id))
      Views.push_back(view(Account->Name));
  std::sort(Views.begin(), Views.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Demand > Right.Demand;
            });
  if (Views.size() > Most)
    Views.resize(Most);
  return Views;
}

/// Asks for the tokens that the account needs. Requests to this instance itself
/// are queued like the others, so that no waiter is called from within
/// acquire().
void quota_link::plan(account_id Account, instant Now) {
  for (const outgoing_quota_request &Request :
       planQuotaRequests(Holder, Account, Now))
    Outgoing[Names[Request.Coordinator]].push_back(Request.Request);
}

void quota_link::flush() {
  // Responses of this instance itself may lead to further requests.
  while (!Outgoing.empty()) {
    const auto Requests = std::exchange(Outgoing, {});
    for (const auto &[Name, List] : Requests) {
      if (Name != Node.Settings.Instance) {
        peer_datagram Datagram;
        Datagram.QuotaHolder = HolderNumber;
        Datagram.QuotaRequests = List;
        Send(Name, std::move(Datagram));
        continue;
      }
      peer_datagram Own;
      Own.Sender = Name;
      Own.QuotaHolder = HolderNumber;
      const instant Now = event_loop::suspendAwareNow();
      for (const quota_request &Request : List)
        Own.QuotaResponses.push_back(coordinate(HolderNumber, Request, Now));
      handleDatagram(Own);
    }
  }
}

/// Whether this instance may still coordinate pools. In a store outage nobody
/// is replaced, but an instance can't tell an outage from being cut off; while
/// it sees most of the others, it would have heard of a new list from them.
bool quota_link::mayGrant() const {
  if (!Node.StateAge || Node.StateAge() < MaxListAge)
    return true;
  return 2 * downMembers(Node.Fleet.Membership).size() <
         Node.Fleet.Members.size();
}

quota_response quota_link::coordinate(std::uint64_t RequestHolder,
                                      const quota_request &Request,
                                      instant Now) {
  const quota_limit Limit = limitOf(Request.Account);
  const account_pools Pools = poolsOf(Request.Account, Now);
  const bool IsCoordinator = std::any_of(
      Pools.Coordinators.begin(), Pools.Coordinators.end(),
      [&](const auto &Each) { return Each.Name == Node.Settings.Instance; });
  if (!IsCoordinator || Limit.RequestsPerSecond <= 0 || !mayGrant())
    return {Request.Account, Request.Sequence, 0,
            Coordinator.Policy.SilenceBackoff, /*IsUnavailable=*/true};
  return handleQuotaRequest(
      Coordinator, RequestHolder, Request, Limit, Pools.Count,
      Map.Groups[groupOf(Request.Account)].MayGrantFrom, Now);
}

void quota_link::handleDatagram(const peer_datagram &Datagram) {
  const instant Now = event_loop::suspendAwareNow();
  if (!Datagram.QuotaRequests.empty() && Map.IsKnown) {
    peer_datagram Response;
    Response.QuotaHolder = Datagram.QuotaHolder;
    for (const quota_request &Request : Datagram.QuotaRequests)
      Response.QuotaResponses.push_back(
          coordinate(Datagram.QuotaHolder, Request, Now));
    Send(Datagram.Sender, std::move(Response));
  }
  if (Datagram.QuotaHolder != HolderNumber)
    return;
  for (const quota_response &Response : Datagram.QuotaResponses)
    if (handleQuotaResponse(Holder, stableHash(Datagram.Sender), Response, Now))
      serveWaiters(Response.Account, Now);
}

void quota_link::serveWaiters(account_id Account, instant Now) {
  waiter_queue &Queue = Waiters[Account];
  while (!Queue.empty()) {
    quota_verdict Verdict =
        spendToken(Holder, Account, Queue.front().Since, Now);
    if (Verdict == quota_verdict::Pending) {
      if (Now - Queue.front().Since < MaxWait)
        break;
      Verdict = quota_verdict::Unknown;
    }
    quota_waiter *Waiter = Queue.front().Waiter;
    Queue.pop_front();
    setWaiting(Holder, Account, Queue.size());
    Waiter->onQuotaVerdict(Verdict);
  }
  plan(Account, Now);
}

void quota_link::tick() {
  const instant Now = event_loop::suspendAwareNow();
  std::vector<account_id> Accounts;
  for (const auto &[Account, Queue] : Waiters)
    if (!Queue.empty())
      Accounts.push_back(Account);
  for (const account_id Account : Accounts)
    serveWaiters(Account, Now);
  if (Now < NextEviction)
    return;
  NextEviction = Now + EvictionPeriod;
  evictIdlePools(Coordinator, Now);
  std::erase_if(Waiters,
                [](const auto &Entry) { return Entry.second.empty(); });
}

void quota_link::onInstances(std::span<const coordinator_candidate> Instances) {
  const instant Now = event_loop::suspendAwareNow();
  if (!updateCoordinators(Map, Instances, Node.Settings.Instance,
                          Coordinator.Policy, Now))
    return;
  ++InstancesVersion;
  for (const quota_group &Group : Map.Groups)
    for (const coordinator_candidate &Each : Group.Coordinators)
      Names[stableHash(Each.Name)] = Each.Name;
  Node.Log.write(log_kind::ClusterState, "quota_coordinators",
                 {{"instances", static_cast<std::int64_t>(Instances.size())}},
                 Node.Loop.now());
}

} // namespace amaranthhoist
