#include "Admission/admission.h"

#include <algorithm>

namespace amaranthhoist {

/// Deficit added in one turn per unit of weight. One request costs the same.
static constexpr std::int64_t QuantumPerWeight = 1;

static void append(fair_queue &Queue, const queued_request &Request) {
  customer_queue &Own = Queue.Customers[Request.Customer];
  if (Own.Requests.empty())
    Queue.Turns.push_back(Request.Customer);
  Own.Requests.push_back(Request);
  ++Queue.Total;
}

static void removeCustomerIfEmpty(fair_queue &Queue,
                                  const std::string &Customer) {
  auto Found = Queue.Customers.find(Customer);
  if (Found == Queue.Customers.end() || !Found->second.Requests.empty())
    return;
  Queue.Customers.erase(Found);
  std::erase(Queue.Turns, Customer);
}

/// Removes and returns the youngest request of the lowest priority below \p
/// Priority.
static std::optional<queued_request> displaceBelow(fair_queue &Queue,
                                                   std::int32_t Priority) {
  customer_queue *Lowest = nullptr;
  for (auto &[Customer, Own] : Queue.Customers) {
    const std::int32_t Candidate = Own.Requests.back().Priority;
    if (Candidate >= Priority)
      continue;
    if (!Lowest || Candidate < Lowest->Requests.back().Priority)
      Lowest = &Own;
  }
  if (!Lowest)
    return std::nullopt;
  queued_request Displaced = Lowest->Requests.back();
  Lowest->Requests.pop_back();
  --Queue.Total;
  removeCustomerIfEmpty(Queue, Displaced.Customer);
  return Displaced;
}

enqueue_result enqueue(fair_queue &Queue, const queued_request &Request,
                       const queue_limits &Limits, duration PredictedWait,
                       instant Now) {
  enqueue_result Result;
  // A request that would time out in the queue costs its caller the whole wait
  // and the service a slot: it is refused while there is time to try elsewhere.
  if (Now + Limits.MaxWaitDivisor * PredictedWait >= Request.Deadline)
    return Result;
  auto Own = Queue.Customers.find(Request.Customer);
  if (Own != Queue.Customers.end() &&
      Own->second.Requests.size() >= Limits.MaxPerCustomer)
    return Result;
  if (Queue.Total >= Limits.MaxTotal) {
    Result.Displaced = displaceBelow(Queue, Request.Priority);
    if (!Result.Displaced)
      return Result;
  }
  append(Queue, Request);
  Result.Accepted = true;
  return Result;
}

std::optional<queued_request> dequeue(fair_queue &Queue) {
  if (Queue.Turns.empty())
    return std::nullopt;
  customer_queue &Own = Queue.Customers[Queue.Turns.front()];
  if (Own.Deficit <= 0)
    Own.Deficit += QuantumPerWeight * std::max(1, Own.Requests.front().Weight);
  queued_request Request = Own.Requests.front();
  Own.Requests.pop_front();
  --Own.Deficit;
  --Queue.Total;
  if (Own.Requests.empty()) {
    removeCustomerIfEmpty(Queue, Request.Customer);
  } else if (Own.Deficit <= 0) {
    Queue.Turns.push_back(Queue.Turns.front());
    Queue.Turns.pop_front();
  }
  return Request;
}

void requeueFront(fair_queue &Queue, queued_request Request) {
  customer_queue &Own = Queue.Customers[Request.Customer];
  if (Own.Requests.empty())
    Queue.Turns.push_front(Request.Customer);
  ++Own.Deficit;
  Own.Requests.push_front(std::move(Request));
  ++Queue.Total;
}

bool removeQueued(fair_queue &Queue, const std::string &Customer,
                  std::uint64_t Token) {
  auto Found = Queue.Customers.find(Customer);
  if (Found == Queue.Customers.end())
    return false;
  const std::size_t Removed =
      std::erase_if(Found->second.Requests, [&](const queued_request &Request) {
        return Request.Token == Token;
      });
  Queue.Total -= Removed;
  removeCustomerIfEmpty(Queue, Customer);
  return Removed != 0;
}

std::vector<queued_request> expireQueued(fair_queue &Queue, instant Now) {
  std::vector<queued_request> Expired;
  for (const auto &[Customer, Own] : Queue.Customers)
    for (const queued_request &Request : Own.Requests)
      if (Now >= Request.Deadline)
        Expired.push_back(Request);
  for (const queued_request &Request : Expired)
    removeQueued(Queue, Request.Customer, Request.Token);
  return Expired;
}

void creditRetry(retry_budget &Budget) {
  Budget.Thousandths = std::min(Budget.MaxThousandths,
                                Budget.Thousandths + Budget.EarnPerThousand);
}

bool spendRetry(retry_budget &Budget) {
  if (Budget.Thousandths < 1000)
    return false;
  Budget.Thousandths -= 1000;
  return true;
}

duration spreadRetryAfter(duration Base, std::string_view RequestId) {
  const auto Span =
      static_cast<std::uint64_t>(std::max<std::int64_t>(Base.count(), 1));
  return Base +
         duration(static_cast<std::int64_t>(stableHash(RequestId) % Span));
}

} // namespace amaranthhoist
