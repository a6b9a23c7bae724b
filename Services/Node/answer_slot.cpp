#include "answer_slot.h"

namespace amaranthhoist {

answer_slot::answer_slot(node &Node, target_pool &Pool, slot_owner &Owner,
                         caller_request Request, bool AsksToKeepAlive,
                         std::size_t BodyBytes)
    : Node(Node), Owner(Owner), BodyBytes(BodyBytes),
      AsksToKeepAlive(AsksToKeepAlive) {
  exchange_caller &Caller = *this;
  Exchange = std::make_unique<exchange>(Node, Pool, Caller, std::move(Request));
}

answer_slot::~answer_slot() { Node.HeldBodyBytes -= BodyBytes; }

void answer_slot::send(std::string_view Bytes) {
  if (Owner.isFirst(*this))
    Owner.sendNow(Bytes);
  else
    Waiting.append(Bytes);
}

std::size_t answer_slot::unsent() const {
  return Owner.isFirst(*this) ? Owner.unsentNow() : Waiting.size();
}

bool answer_slot::keepsAlive() {
  SaysClose = !Owner.goesOnAfter(*this);
  return !SaysClose;
}

void answer_slot::onAnswered() {
  IsOver = true;
  if (Owner.isFirst(*this))
    Owner.onFirstOver();
}

void answer_slot::cutShort() {
  IsCut = true;
  onAnswered();
}

void answer_slot::becomeFirst() {
  Owner.sendNow(Waiting);
  Waiting.clear();
  // Its server may have been stopped for what waited here.
  if (!IsOver)
    Exchange->callerDrained();
}

std::unique_ptr<exchange> answer_slot::callerLeft() {
  if (IsOver || Exchange->callerLeft())
    return nullptr;
  return std::move(Exchange);
}

void answer_slot::noteCutOff() const {
  if (!IsOver)
    Exchange->noteCutOff();
}

} // namespace amaranthhoist
