#include "Entry/entry.h"

#include <algorithm>
#include <span>

namespace amaranthhoist {

using actions = std::vector<entry_action>;

entry_node makeEntry(const entry_settings &Settings) {
  entry_node Node;
  Node.Settings = Settings;
  Node.Random.seed(Settings.Seed);
  return Node;
}

static const contract *findContract(const entry_node &Node,
                                    const std::string &Customer) {
  auto Found = Node.Contracts.find(Customer);
  return Found == Node.Contracts.end() ? nullptr : &Found->second;
}

static bool isAllowed(const std::vector<std::string> &Names,
                      const std::string &Name) {
  return Names.empty() ||
         std::find(Names.begin(), Names.end(), Name) != Names.end();
}

std::vector<const offer *> candidateOffers(entry_node &Node,
                                           const std::string &Customer,
                                           const std::string &Service,
                                           instant Now) {
  const contract *Contract = findContract(Node, Customer);
  auto Known = Node.Offers.find(Service);
  if (!Contract || Known == Node.Offers.end())
    return {};
  std::vector<const offer *> Offers;
  std::set<std::string> Sites;
  for (const auto &[Gateway, Offer] : Known->second) {
    if (!isAllowed(Contract->Regions, Offer.Region) ||
        Node.DrainingSites.contains(Offer.Site))
      continue;
    Offers.push_back(&Offer);
    Sites.insert(Offer.Site);
  }
  const std::vector<std::string> SiteList(Sites.begin(), Sites.end());
  return rankOffers(Offers, Customer, preferredSite(SiteList, Customer),
                    Node.Settings.Routing, Now, Node.Random);
}

/// Returns the best offer for a witness of \p Owner. Only the same region
/// qualifies, which keeps the round trip before each send short.
static const offer *findWitness(std::span<const offer *const> Ranked,
                                const offer &Owner) {
  for (const offer *Witness : Ranked)
    if (!Witness->Suspect && Witness->Region == Owner.Region &&
        Witness->FailureDomain != Owner.FailureDomain)
      return Witness;
  return nullptr;
}

result<home_token> chooseHome(entry_node &Node, const std::string &Customer,
                              const std::string &Service,
                              std::int64_t ExpiresAtMs, instant Now) {
  const std::vector<const offer *> Ranked =
      candidateOffers(Node, Customer, Service, Now);
  for (const offer *Owner : Ranked) {
    if (Owner->Suspect)
      continue;
    if (const offer *Witness = findWitness(Ranked, *Owner))
      return home_token{Owner->Gateway, Witness->Gateway, ExpiresAtMs};
  }
  return fail(error_code::NotFound, "no region has an owner and a witness");
}

static void finish(entry_node &Node, std::uint64_t Token, outcome Outcome,
                   const std::string &Reason, duration RetryAfter,
                   actions &Actions) {
  auto Found = Node.Work.find(Token);
  if (Found == Node.Work.end())
    return;
  releaseLimit(Node.Limits[Found->second.Request.Customer]);
  Node.Work.erase(Found);
  Actions.push_back(finish_caller{Token, Outcome, Reason, RetryAfter});
}

static duration retryAfterFor(const entry_node &Node,
                              const caller_request &Request) {
  return spreadRetryAfter(Node.Settings.RetryAfter, Request.RequestId);
}

static void forward(entry_node &Node, entry_work &Work,
                    const std::string &Gateway, actions &Actions) {
  const contract *Contract = findContract(Node, Work.Request.Customer);
  ++Work.Forwards;
  Work.Gateway = Gateway;
  forward_request Action;
  Action.Token = Work.Request.Token;
  Action.Gateway = Gateway;
  Action.Priority = Contract ? Contract->Priority : 0;
  Action.Weight = Contract ? Contract->Weight : 1;
  Action.Deadline = Work.Request.Deadline - Node.Settings.HopMargin;
  Actions.push_back(Action);
}

static void queryWitness(entry_work &Work, actions &Actions) {
  Work.WitnessQueried = true;
  Actions.push_back(
      query_witness{Work.Request.Token, Work.Home.Witness, Work.Request.Key});
}

/// Returns the reason to refuse a request before it is forwarded, or an empty
/// string if it is accepted.
static std::string refusalReason(entry_node &Node,
                                 const caller_request &Request, instant Now) {
  const contract *Contract = findContract(Node, Request.Customer);
  if (!Contract)
    return "no contract for this customer";
  if (!isAllowed(Contract->Services, Request.Service))
    return "the contract doesn't include this service";
  if (Now >= Request.Deadline)
    return "the deadline has passed";
  switch (acquireLimit(Node.Limits[Request.Customer], *Contract, Node.Entries,
                       Now)) {
  case limit_verdict::Allowed:
    return {};
  case limit_verdict::RateLimited:
    return "over the contract's rate";
  case limit_verdict::TooMany:
    return "over the contract's concurrency";
  }
  return {};
}

static void startKeyed(entry_node &Node, entry_work &Work, actions &Actions) {
  result<parsed_key> Parsed = parseKey(Work.Request.Key);
  if (!Parsed) {
    finish(Node, Work.Request.Token, outcome::Refused, Parsed.error().Message,
           retryAfterFor(Node, Work.Request), Actions);
    return;
  }
  Work.Home = Parsed->Home;
  if (Node.Gateways.contains(Work.Home.Owner))
    forward(Node, Work, Work.Home.Owner, Actions);
  else
    queryWitness(Work, Actions);
}

static void startIdempotent(entry_node &Node, entry_work &Work, instant Now,
                            actions &Actions) {
  // Only as many candidates as may be tried.
  const auto Wanted = static_cast<std::size_t>(Node.Settings.MaxForwards);
  for (const offer *Offer : candidateOffers(Node, Work.Request.Customer,
                                            Work.Request.Service, Now)) {
    if (Work.Candidates.size() >= Wanted)
      break;
    Work.Candidates.push_back(Offer->Gateway);
  }
  if (Work.Candidates.empty()) {
    finish(Node, Work.Request.Token, outcome::Refused,
           "no site serves this now", retryAfterFor(Node, Work.Request),
           Actions);
    return;
  }
  const std::string First = Work.Candidates.front();
  Work.Candidates.erase(Work.Candidates.begin());
  forward(Node, Work, First, Actions);
}

static void handleRequest(entry_node &Node, const caller_request &Request,
                          instant Now, actions &Actions) {
  const std::string Refusal = refusalReason(Node, Request, Now);
  if (!Refusal.empty()) {
    // Only the home of a key may report that it was not executed. This refusal
    // only says that this copy was not forwarded.
    Actions.push_back(finish_caller{Request.Token, outcome::Refused, Refusal,
                                    retryAfterFor(Node, Request)});
    return;
  }
  creditRetry(Node.Retries.try_emplace(Request.Customer, Node.Settings.Retries)
                  .first->second);
  entry_work &Work = Node.Work[Request.Token];
  Work.Request = Request;
  if (Request.Class == work_class::NonIdempotent)
    startKeyed(Node, Work, Actions);
  else
    startIdempotent(Node, Work, Now, Actions);
}

/// Forwards idempotent work to the next gateway, within the retry budget.
static bool tryNextGateway(entry_node &Node, entry_work &Work, instant Now,
                           actions &Actions) {
  if (Work.Request.Class != work_class::Idempotent || Work.Candidates.empty() ||
      Now >= Work.Request.Deadline ||
      Work.Forwards >= Node.Settings.MaxForwards ||
      !spendRetry(Node.Retries[Work.Request.Customer]))
    return false;
  const std::string Next = Work.Candidates.front();
  Work.Candidates.erase(Work.Candidates.begin());
  forward(Node, Work, Next, Actions);
  return true;
}

static void handleResponse(entry_node &Node, const gateway_responded &Event,
                           instant Now, actions &Actions) {
  auto Found = Node.Work.find(Event.Token);
  if (Found == Node.Work.end() || Found->second.WitnessQueried)
    return;
  if (Event.Outcome == outcome::Refused &&
      tryNextGateway(Node, Found->second, Now, Actions))
    return;
  finish(Node, Event.Token, Event.Outcome, Event.Reason, Event.RetryAfter,
         Actions);
}

static void markSuspect(entry_node &Node, const std::string &Gateway) {
  for (auto &[Service, Offers] : Node.Offers) {
    auto Found = Offers.find(Gateway);
    if (Found != Offers.end())
      Found->second.Suspect = true;
  }
}

static void handleGatewayFailure(entry_node &Node, const gateway_failed &Event,
                                 instant Now, actions &Actions) {
  auto Found = Node.Work.find(Event.Token);
  if (Found == Node.Work.end() || Found->second.WitnessQueried)
    return;
  entry_work &Work = Found->second;
  if (Work.Request.Class == work_class::NonIdempotent) {
    markSuspect(Node, Work.Home.Owner);
    Work.MaybeDelivered = Work.MaybeDelivered || Event.MaybeDelivered;
    queryWitness(Work, Actions);
    return;
  }
  if (!Event.Streamed && tryNextGateway(Node, Work, Now, Actions))
    return;
  finish(Node, Event.Token, outcome::Refused, "the gateway went away",
         retryAfterFor(Node, Work.Request), Actions);
}

/// Owner and witness are both unreachable. If this copy was never delivered,
/// the outcome only says that it was not forwarded.
static void handleWitnessFailure(entry_node &Node, std::uint64_t Token,
                                 actions &Actions) {
  auto Found = Node.Work.find(Token);
  if (Found == Node.Work.end())
    return;
  const entry_work &Work = Found->second;
  finish(Node, Token, Work.MaybeDelivered ? outcome::Unknown : outcome::Refused,
         "the key's home can't be reached", retryAfterFor(Node, Work.Request),
         Actions);
}

static void applyOffer(entry_node &Node, const offer_received &Event) {
  offer Offer = Event.Offer;
  if (!Node.Gateways.contains(Offer.Gateway))
    return;
  auto Latency = Node.Settings.LinkLatency.find(Offer.Region);
  if (Latency != Node.Settings.LinkLatency.end())
    Offer.LinkLatency = Latency->second;
  Node.Offers[Event.Service][Offer.Gateway] = Offer;
}

/// Fails the requests at gateways that were removed or show no sign of life,
/// instead of waiting for their deadlines: a frozen process keeps its
/// connections open.
static void failRequestsAtRemovedGateways(entry_node &Node, instant Now,
                                          actions &Actions) {
  std::vector<std::uint64_t> Affected;
  for (const auto &[Token, Work] : Node.Work)
    if (!Work.Gateway.empty() && !Node.Gateways.contains(Work.Gateway))
      Affected.push_back(Token);
  std::sort(Affected.begin(), Affected.end());
  for (const std::uint64_t Token : Affected)
    handleGatewayFailure(Node, {Token, true, false}, Now, Actions);
}

static void applyGateways(entry_node &Node,
                          const std::vector<std::string> &Gateways, instant Now,
                          actions &Actions) {
  Node.Gateways = {Gateways.begin(), Gateways.end()};
  for (auto &[Service, Offers] : Node.Offers)
    std::erase_if(Offers, [&](const auto &Entry) {
      return !Node.Gateways.contains(Entry.first);
    });
  failRequestsAtRemovedGateways(Node, Now, Actions);
}

static void handleDisconnect(entry_node &Node, std::uint64_t Token) {
  auto Found = Node.Work.find(Token);
  if (Found == Node.Work.end())
    return;
  releaseLimit(Node.Limits[Found->second.Request.Customer]);
  Node.Work.erase(Found);
}

/// Finishes requests whose deadline has passed immediately, instead of waiting
/// until the gateway is detected as failed.
static void expireRequests(entry_node &Node, instant Now, actions &Actions) {
  std::vector<std::uint64_t> Expired;
  for (const auto &[Token, Work] : Node.Work)
    if (Now >= Work.Request.Deadline)
      Expired.push_back(Token);
  std::sort(Expired.begin(), Expired.end());
  for (const std::uint64_t Token : Expired) {
    const bool Keyed =
        Node.Work.at(Token).Request.Class == work_class::NonIdempotent;
    finish(Node, Token, Keyed ? outcome::Unknown : outcome::Refused,
           "the deadline has passed", Node.Settings.RetryAfter, Actions);
  }
}

namespace {

/// One overload per kind of event.
struct event_handler {
  entry_node &Node;
  instant Now;
  actions &Actions;

  void operator()(const caller_request &Event) const {
    handleRequest(Node, Event, Now, Actions);
  }
  void operator()(const gateway_responded &Event) const {
    handleResponse(Node, Event, Now, Actions);
  }
  void operator()(const gateway_failed &Event) const {
    handleGatewayFailure(Node, Event, Now, Actions);
  }
  void operator()(const witness_responded &Event) const {
    finish(Node, Event.Token, Event.Outcome, "the owner is gone",
           Event.RetryAfter, Actions);
  }
  void operator()(const witness_failed &Event) const {
    handleWitnessFailure(Node, Event.Token, Actions);
  }
  void operator()(const caller_disconnected &Event) const {
    handleDisconnect(Node, Event.Token);
  }
  void operator()(const offer_received &Event) const {
    applyOffer(Node, Event);
  }
  void operator()(const gateways_changed &Event) const {
    applyGateways(Node, Event.Gateways, Now, Actions);
  }
  void operator()(const contract_changed &Event) const {
    Node.Contracts[Event.Contract.Customer] = Event.Contract;
  }
  void operator()(const contract_deleted &Event) const {
    Node.Contracts.erase(Event.Customer);
  }
  void operator()(const entries_changed &Event) const {
    Node.Entries = Event.Entries;
  }
  void operator()(const draining_sites_changed &Event) const {
    Node.DrainingSites = Event.Sites;
  }
  void operator()(const entry_tick &) const {
    expireRequests(Node, Now, Actions);
  }
};

} // namespace

std::vector<entry_action> stepEntry(entry_node &Node, const entry_event &Event,
                                    instant Now) {
  actions Actions;
  std::visit(event_handler{Node, Now, Actions}, Event);
  return Actions;
}

} // namespace amaranthhoist
