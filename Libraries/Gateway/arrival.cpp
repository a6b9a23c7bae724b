#include "Gateway/node.h"

#include <algorithm>

namespace amaranthhoist::gateway {

static void finish(const gateway_node &Node, const work_request &Request,
                   outcome Outcome, std::string Reason, actions &Actions,
                   stored_response Answer = {}) {
  finish_request Action;
  Action.Token = Request.Token;
  Action.Outcome = Outcome;
  Action.Reason = std::move(Reason);
  Action.Response = std::move(Answer);
  if (Outcome != outcome::Answered)
    Action.RetryAfter =
        spreadRetryAfter(Node.Settings.RetryAfter, Request.RequestId);
  Actions.push_back(std::move(Action));
}

static void queueItem(gateway_node &Node, const work_item &Item, moment Moment,
                      actions &Actions) {
  const work_request &Request = Item.Request;
  const queued_request Queued{Request.Token, Request.Customer, Request.Priority,
                              Request.Weight, Request.Deadline};
  const enqueue_result Result =
      enqueue(Node.Queues[Request.Service], Queued, Node.Settings.Queue,
              predictedWait(Node, Request.Service), Moment.Now);
  if (Result.Displaced)
    abandonRequest(Node, Result.Displaced->Token,
                   "displaced by higher priority", Actions);
  if (!Result.Accepted) {
    abandonRequest(Node, Request.Token, "no room within the deadline", Actions);
    return;
  }
  sendQueued(Node, Request.Service, Moment, Actions);
}

/// Whether any target of the site serves \p Service.
static bool servesService(const gateway_node &Node,
                          const std::string &Service) {
  for (const auto &[Name, Target] : Node.Targets)
    if (Target.Service == Service && !Target.Draining)
      return true;
  return false;
}

static bool isWitness(const gateway_node &Node, const std::string &Id) {
  return std::find(Node.Witnesses.begin(), Node.Witnesses.end(), Id) !=
         Node.Witnesses.end();
}

/// Returns whether the key is new and the request continues to the queue.
static bool admitKeyed(gateway_node &Node, work_item &Item, moment Moment,
                       actions &Actions) {
  const work_request &Request = Item.Request;
  const key_verdict Verdict =
      admitKey(Node.Owned, Request.Key, Item.Home.ExpiresAtMs, Request.Token,
               Node.Settings.Keys, Moment.WallMs);
  switch (Verdict) {
  case key_verdict::Admit:
    return true;
  case key_verdict::Join:
    return false;
  case key_verdict::Replay:
    finish(Node, Request, outcome::Answered, "replayed", Actions,
           Node.Owned.Keys.at(Request.Key).Response);
    return false;
  case key_verdict::NotRun:
    finish(Node, Request, outcome::NotRun, "the key is closed", Actions);
    return false;
  case key_verdict::Unknown:
    finish(Node, Request, outcome::Unknown, "may have run", Actions);
    return false;
  case key_verdict::TableFull:
    finish(Node, Request, outcome::Refused, "key table full", Actions);
    return false;
  }
  return false;
}

static void handleKeyedArrival(gateway_node &Node, work_item Item,
                               moment Moment, actions &Actions) {
  const work_request &Request = Item.Request;
  result<parsed_key> Parsed = parseKey(Request.Key);
  if (!Parsed || Parsed->Home.Owner != Node.Settings.Id ||
      Parsed->Home.Witness == Node.Settings.Id) {
    finish(Node, Request, outcome::Refused, "not this key's home", Actions);
    return;
  }
  Item.Home = Parsed->Home;
  if (!admitKeyed(Node, Item, Moment, Actions))
    return;
  const std::uint64_t Token = Request.Token;
  Node.Work.emplace(Token, Item);
  if (Node.Draining || !servesService(Node, Request.Service)) {
    abandonRequest(Node, Token, "the site takes no new work", Actions);
    return;
  }
  if (!isWitness(Node, Item.Home.Witness)) {
    abandonRequest(Node, Token, "the witness is gone", Actions);
    return;
  }
  // The record is requested while the request waits for its slot, so that the
  // reply has usually arrived by then; nothing is sent without it.
  requestWitnessRecord(Node.Work.at(Token), Moment, Actions);
  queueItem(Node, Item, Moment, Actions);
}

void handleArrival(gateway_node &Node, const request_arrived &Event,
                   moment Moment, actions &Actions) {
  work_item Item;
  Item.Request = Event.Request;
  creditRetry(Node.Retries);
  if (Item.Request.Class == work_class::NonIdempotent) {
    handleKeyedArrival(Node, Item, Moment, Actions);
    return;
  }
  Node.Work.emplace(Item.Request.Token, Item);
  if (Node.Draining || !servesService(Node, Item.Request.Service)) {
    abandonRequest(Node, Item.Request.Token, "the site takes no new work",
                   Actions);
    return;
  }
  queueItem(Node, Item, Moment, Actions);
}

void handleCancel(gateway_node &Node, std::uint64_t Token, actions &Actions) {
  auto Found = Node.Work.find(Token);
  if (Found == Node.Work.end())
    return;
  work_item &Item = Found->second;
  // Non-idempotent work continues when its caller disconnects: the response is
  // stored for the retry under the same key, which would otherwise get
  // "unknown".
  if (Item.Request.Class == work_class::NonIdempotent) {
    removeWaiter(Node.Owned, Item.Request.Key, Token);
    return;
  }
  if (!Item.Target.empty()) {
    Item.Cancelled = true;
    Actions.push_back(cancel_at_target{Token});
    return;
  }
  removeQueued(Node.Queues[Item.Request.Service], Item.Request.Customer, Token);
  Node.Work.erase(Found);
}

void handleSealRequest(gateway_node &Node, const seal_requested &Event,
                       moment Moment, actions &Actions) {
  finish_request Action;
  Action.Token = Event.Token;
  Action.RetryAfter = Node.Settings.RetryAfter;
  Action.Outcome = outcome::Unknown;
  Action.Reason = "not this key's witness";
  result<parsed_key> Parsed = parseKey(Event.Key);
  if (Parsed && Parsed->Home.Witness == Node.Settings.Id) {
    Action.Outcome =
        sealAtWitness(Node.Witnessed, Event.Key, Parsed->Home.ExpiresAtMs,
                      Node.Settings.Keys, Moment.WallMs);
    Action.Reason = "the owner is gone";
  }
  Actions.push_back(std::move(Action));
}

} // namespace amaranthhoist::gateway
