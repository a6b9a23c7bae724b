#include "Gateway/node.h"

#include <algorithm>

namespace amaranthhoist::gateway {

void requestWitnessRecord(work_item &Item, moment Moment, actions &Actions) {
  if (Item.FirstWitnessRequest == instant{})
    Item.FirstWitnessRequest = Moment.Now;
  Item.LastWitnessRequest = Moment.Now;
  Actions.push_back(
      send_to_peer{Item.Home.Witness,
                   witness_record{Item.Request.Key, Item.Home.ExpiresAtMs}});
}

static work_item *findByKey(gateway_node &Node, const std::string &Key) {
  auto Owned = Node.Owned.Keys.find(Key);
  if (Owned == Node.Owned.Keys.end())
    return nullptr;
  for (auto &[Token, Item] : Node.Work)
    if (Item.Request.Key == Key)
      return &Item;
  return nullptr;
}

static void handleWitnessReply(gateway_node &Node, const witness_reply &Reply,
                               moment Moment, actions &Actions) {
  work_item *Item = findByKey(Node, Reply.Key);
  if (!Item)
    return;
  const std::uint64_t Token = Item->Request.Token;
  const std::string Service = Item->Request.Service;
  const bool WasRecording =
      Node.Owned.Keys.at(Reply.Key).State == key_state::Recording;
  if (!applyWitnessReply(Node.Owned, Reply.Key, Reply.Recorded)) {
    // Sealed while the request was queued: another party has already received
    // "not run" for this key, so it must never be executed.
    if (WasRecording) {
      removeQueued(Node.Queues[Service], Item->Request.Customer, Token);
      abandonRequest(Node, Token, "sealed by the witness", Actions);
    }
    return;
  }
  if (!Item->Parked)
    return;
  Item->Parked = false;
  const work_request &Request = Item->Request;
  requeueFront(Node.Queues[Service], {Token, Request.Customer, Request.Priority,
                                      Request.Weight, Request.Deadline});
  sendQueued(Node, Service, Moment, Actions);
}

namespace {

struct message_handler {
  gateway_node &Node;
  const std::string &From;
  moment Moment;
  actions &Actions;

  void operator()(const loan_message &Message) const {
    for (auto &Reply : handleLoanMessage(Node.Budget, From, Message,
                                         Node.Settings.Budget, Moment.Now))
      Actions.push_back(send_to_peer{Reply.To, Reply.Message});
    sendAllQueued(Node, Moment, Actions);
  }
  void operator()(const witness_record &Message) const {
    const bool Recorded =
        recordAtWitness(Node.Witnessed, Message.Key, Message.ExpiresAtMs,
                        Node.Settings.Keys, Moment.WallMs);
    Actions.push_back(send_to_peer{From, witness_reply{Message.Key, Recorded}});
  }
  void operator()(const draining_notice &Message) const {
    markTargetDraining(Node, Message.Target, false, Actions);
  }
  void operator()(const witness_reply &Message) const {
    handleWitnessReply(Node, Message, Moment, Actions);
  }
};

} // namespace

void handlePeerMessage(gateway_node &Node, const peer_message_arrived &Event,
                       moment Moment, actions &Actions) {
  std::visit(message_handler{Node, Event.From, Moment, Actions}, Event.Message);
}

static bool isWaitingForWitness(const gateway_node &Node,
                                const work_item &Item) {
  if (Item.Request.Class != work_class::NonIdempotent || !Item.Target.empty())
    return false;
  auto Owned = Node.Owned.Keys.find(Item.Request.Key);
  return Owned != Node.Owned.Keys.end() &&
         Owned->second.State == key_state::Recording;
}

static std::vector<std::uint64_t>
tokensWaitingForWitness(const gateway_node &Node) {
  std::vector<std::uint64_t> Tokens;
  for (const auto &[Token, Item] : Node.Work)
    if (isWaitingForWitness(Node, Item))
      Tokens.push_back(Token);
  std::sort(Tokens.begin(), Tokens.end());
  return Tokens;
}

static void abandonUnsentRequest(gateway_node &Node, std::uint64_t Token,
                                 const std::string &Reason, actions &Actions) {
  const work_request &Request = Node.Work.at(Token).Request;
  removeQueued(Node.Queues[Request.Service], Request.Customer, Token);
  abandonRequest(Node, Token, Reason, Actions);
}

void handleWitnessUnreachable(gateway_node &Node, const std::string &Witness,
                              actions &Actions) {
  for (const std::uint64_t Token : tokensWaitingForWitness(Node))
    if (Node.Work.at(Token).Home.Witness == Witness)
      abandonUnsentRequest(Node, Token, "the witness can't be reached",
                           Actions);
}

void handlePeersChanged(gateway_node &Node, const peers_changed &Event,
                        actions &Actions) {
  Node.Peers = Event.Peers;
  Node.Witnesses = Event.Witnesses;
  const std::vector<std::string> &Up = Event.Witnesses;
  for (const std::uint64_t Token : tokensWaitingForWitness(Node)) {
    const std::string &Witness = Node.Work.at(Token).Home.Witness;
    if (std::find(Up.begin(), Up.end(), Witness) == Up.end())
      abandonUnsentRequest(Node, Token, "the witness is gone", Actions);
  }
}

static void expireWaiting(gateway_node &Node, moment Moment, actions &Actions) {
  for (auto &[Service, Queue] : Node.Queues)
    for (const queued_request &Request : expireQueued(Queue, Moment.Now))
      abandonRequest(Node, Request.Token, "deadline passed in the queue",
                     Actions);
  for (const std::uint64_t Token : tokensWaitingForWitness(Node)) {
    work_item &Item = Node.Work.at(Token);
    const instant Until =
        std::min(Item.Request.Deadline,
                 Item.FirstWitnessRequest + Node.Settings.WitnessTimeout);
    if (Moment.Now >= Until)
      abandonUnsentRequest(Node, Token, "the witness did not answer", Actions);
    else if (Moment.Now >=
             Item.LastWitnessRequest + Node.Settings.WitnessRetryInterval)
      requestWitnessRecord(Item, Moment, Actions);
  }
}

static void planRecord(gateway_node &Node, moment Moment, actions &Actions) {
  if (Node.Budget.Limits.empty())
    return;
  const bool Idle = Node.Work.empty() && Node.UnconfirmedWork.empty();
  std::optional<pool_record> Next;
  if (!Node.ShuttingDown)
    Next = planUpdate(Node.Budget, Node.Settings.Budget, Moment.Now);
  else if (Idle)
    Next = planRowRemoval(Node.Budget, Node.Settings.Budget, Moment.Now);
  if (Next)
    Actions.push_back(write_record{*Next});
}

void handleTick(gateway_node &Node, moment Moment, actions &Actions) {
  expireWaiting(Node, Moment, Actions);
  releaseUnconfirmedWork(Node, Moment.Now);
  expireKeys(Node.Owned, Node.Settings.Keys, Moment.WallMs);
  expireKeys(Node.Witnessed, Node.Settings.Keys, Moment.WallMs);
  for (auto &Message :
       maintainLoans(Node.Budget, Node.Settings.Budget, Moment.Now))
    Actions.push_back(send_to_peer{Message.To, Message.Message});
  planRecord(Node, Moment, Actions);
  sendAllQueued(Node, Moment, Actions);
}

} // namespace amaranthhoist::gateway
