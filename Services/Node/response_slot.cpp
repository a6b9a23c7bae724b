#include "response_slot.h"

namespace amaranthhoist {

response_slot::response_slot(node &Node, target_pool &Pool, slot_owner &Owner,
                             caller_request Request, bool RequestsKeepAlive,
                             std::size_t BodyBytes)
    : Node(Node), Owner(Owner), RequestId(Request.Id), BodyBytes(BodyBytes),
      Memory(Node.ResponseMemory), RequestsKeepAlive(RequestsKeepAlive) {
  exchange_caller &Caller = *this;
  Exchange = std::make_unique<exchange>(Node, Pool, Caller, std::move(Request));
}

response_slot::~response_slot() { Node.BufferedBodyBytes -= BodyBytes; }

void response_slot::send(std::string_view Bytes) {
  if (Owner.isFirst(*this))
    Owner.sendNow(Bytes);
  else
    hold(Bytes);
}

void response_slot::hold(std::string_view Bytes) {
  PendingBytes.append(Bytes);
  Memory.set(PendingBytes.size());
}

std::size_t response_slot::unsentBytes() const {
  return Owner.isFirst(*this) ? Owner.unsentBytes() : PendingBytes.size();
}

bool response_slot::decideKeepAlive() {
  ClosesConnection = !Owner.keepsAliveAfter(*this);
  return !ClosesConnection;
}

void response_slot::onResponseComplete() {
  IsDone = true;
  if (Owner.isFirst(*this))
    Owner.onFirstDone();
}

void response_slot::abortResponse() {
  IsAborted = true;
  onResponseComplete();
}

void response_slot::onBecameFirst() {
  Owner.sendNow(PendingBytes);
  PendingBytes.clear();
  PendingBytes.shrink_to_fit();
  Memory.set(0);
  // Reading from the server may have been paused because of the bytes buffered
  // here.
  if (!IsDone)
    Exchange->onCallerDrained();
}

std::unique_ptr<exchange> response_slot::onCallerDisconnected() {
  if (IsDone || Exchange->onCallerDisconnected())
    return nullptr;
  return std::move(Exchange);
}

void response_slot::logAborted() const {
  if (!IsDone)
    Exchange->logAborted();
}

} // namespace amaranthhoist
