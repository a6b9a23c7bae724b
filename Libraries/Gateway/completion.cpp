#include "Gateway/node.h"

namespace amaranthhoist::gateway {

/// Maximum attempts per request, including the first.
static constexpr std::int32_t MaxAttempts = 3;

static void finishWaiters(const gateway_node &Node,
                          const std::vector<std::uint64_t> &Waiters,
                          const work_request &Request, outcome Outcome,
                          const std::string &Reason,
                          const stored_response &Answer, actions &Actions) {
  for (const std::uint64_t Waiter : Waiters) {
    finish_request Action;
    Action.Token = Waiter;
    Action.Outcome = Outcome;
    Action.Reason = Reason;
    Action.Response = Answer;
    if (Outcome != outcome::Answered)
      Action.RetryAfter =
          spreadRetryAfter(Node.Settings.RetryAfter, Request.RequestId);
    Actions.push_back(std::move(Action));
  }
}

static void finishKey(gateway_node &Node, const work_request &Request,
                      key_state State, outcome Outcome,
                      const std::string &Reason, const stored_response &Answer,
                      actions &Actions) {
  stored_response Stored = Answer;
  key_state StoredState = State;
  if (Stored.Body.size() > Node.Settings.Keys.MaxResponseBytes) {
    // Too large to store: the current waiters get the response, later retries
    // get only "unknown" (may have been executed).
    Stored = {};
    StoredState = key_state::Unknown;
  }
  const std::vector<std::uint64_t> Waiters =
      closeKey(Node.Owned, Request.Key, StoredState, std::move(Stored));
  finishWaiters(Node, Waiters, Request, Outcome, Reason, Answer, Actions);
}

void abandonRequest(gateway_node &Node, std::uint64_t Token,
                    const std::string &Reason, actions &Actions) {
  auto Found = Node.Work.find(Token);
  if (Found == Node.Work.end())
    return;
  const work_request Request = std::move(Found->second.Request);
  Node.Work.erase(Found);
  if (Request.Class == work_class::NonIdempotent)
    finishKey(Node, Request, key_state::NotRun, outcome::NotRun, Reason, {},
              Actions);
  else
    finishWaiters(Node, {Request.Token}, Request, outcome::Refused, Reason, {},
                  Actions);
}

/// Units are released immediately only when the work has provably ended. A
/// closed connection proves nothing: the backend server may continue to draw
/// power.
static void settleUnits(gateway_node &Node, work_item &Item, bool Ended,
                        instant Now) {
  if (!Ended && Now < Item.BackendDeadline + Node.Settings.CompletionMargin) {
    Node.UnconfirmedWork.push_back(
        {Item.Target, std::move(Item.Units),
         Item.BackendDeadline + Node.Settings.CompletionMargin});
  } else {
    releaseUnits(Node.Budget, Item.Units);
    auto Target = Node.Targets.find(Item.Target);
    if (Target != Node.Targets.end())
      --Target->second.InFlight;
  }
  Item.Target.clear();
  Item.Units.clear();
}

void markTargetDraining(gateway_node &Node, const std::string &Target,
                        bool NotifyPeers, actions &Actions) {
  auto Found = Node.Targets.find(Target);
  if (Found == Node.Targets.end() || Found->second.Draining)
    return;
  Found->second.Draining = true;
  if (!NotifyPeers)
    return;
  for (const std::string &Peer : Node.Peers)
    Actions.push_back(send_to_peer{Peer, draining_notice{Target}});
}

static void recordAttemptEnd(gateway_node &Node, const std::string &Name,
                             const attempt_ended &Event, instant Now,
                             actions &Actions) {
  auto Found = Node.Targets.find(Name);
  if (Found == Node.Targets.end())
    return;
  if (Event.Draining)
    markTargetDraining(Node, Name, true, Actions);
  const bool Healthy = Event.End == attempt_end::Completed;
  if (Event.End != attempt_end::Stopped)
    recordTargetResult(Found->second, Node.Settings.Targets, Healthy,
                       Event.Elapsed, Now);
  if (Event.End == attempt_end::NotReached)
    recordConnectionRefused(Found->second, Node.Settings.Targets);
}

/// Whether the request may be retried at another target.
static bool mayRetry(gateway_node &Node, const work_item &Item,
                     const attempt_ended &Event, moment Moment) {
  const bool NotExecuted =
      Event.End == attempt_end::NotReached || Event.End == attempt_end::Shed;
  const bool SafeToRetry = Item.Request.Class == work_class::Idempotent &&
                           !Event.Streamed &&
                           Event.End == attempt_end::Interrupted;
  if (!NotExecuted && !SafeToRetry)
    return false;
  if (Item.Cancelled || Item.Attempts >= MaxAttempts)
    return false;
  return Moment.Now < Item.Request.Deadline && spendRetry(Node.Retries);
}

static void retry(gateway_node &Node, work_item &Item) {
  const work_request &Request = Item.Request;
  if (Request.Class == work_class::NonIdempotent)
    markUnsent(Node.Owned, Request.Key);
  requeueFront(Node.Queues[Request.Service],
               {Request.Token, Request.Customer, Request.Priority,
                Request.Weight, Request.Deadline});
}

static void finishIdempotent(gateway_node &Node, const work_request &Request,
                             const attempt_ended &Event, actions &Actions) {
  const bool Whole = Event.End == attempt_end::Completed;
  finishWaiters(Node, {Request.Token}, Request,
                Whole ? outcome::Answered : outcome::Refused,
                Whole ? "" : "the backend server failed",
                Whole ? Event.Response : stored_response{}, Actions);
}

static void finishKeyed(gateway_node &Node, const work_request &Request,
                        const attempt_ended &Event, actions &Actions) {
  switch (Event.End) {
  case attempt_end::Completed:
    finishKey(Node, Request, key_state::Answered, outcome::Answered, "",
              Event.Response, Actions);
    return;
  case attempt_end::NotReached:
  case attempt_end::Shed:
    finishKey(Node, Request, key_state::NotRun, outcome::NotRun,
              "no backend server took it", {}, Actions);
    return;
  case attempt_end::Interrupted:
  case attempt_end::Stopped:
    finishKey(Node, Request, key_state::Unknown, outcome::Unknown,
              "the backend server's answer was lost", {}, Actions);
    return;
  }
}

void handleTargetEnded(gateway_node &Node, const attempt_ended &Event,
                       moment Moment, actions &Actions) {
  auto Found = Node.Work.find(Event.Token);
  if (Found == Node.Work.end() || Found->second.Target.empty())
    return;
  work_item &Item = Found->second;
  recordAttemptEnd(Node, Item.Target, Event, Moment.Now, Actions);
  settleUnits(Node, Item, Event.End != attempt_end::Interrupted, Moment.Now);
  if (mayRetry(Node, Item, Event, Moment)) {
    retry(Node, Item);
  } else {
    const work_item Ended = std::move(Item);
    Node.Work.erase(Found);
    if (Ended.Request.Class == work_class::NonIdempotent)
      finishKeyed(Node, Ended.Request, Event, Actions);
    else if (!Ended.Cancelled)
      finishIdempotent(Node, Ended.Request, Event, Actions);
  }
  sendAllQueued(Node, Moment, Actions);
}

void releaseUnconfirmedWork(gateway_node &Node, instant Now) {
  std::erase_if(Node.UnconfirmedWork, [&](const unconfirmed_work &Work) {
    if (Now < Work.Until)
      return false;
    releaseUnits(Node.Budget, Work.Units);
    auto Target = Node.Targets.find(Work.Target);
    if (Target != Node.Targets.end())
      --Target->second.InFlight;
    return true;
  });
}

} // namespace amaranthhoist::gateway
