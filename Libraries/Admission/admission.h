/// Admission control: bounded per-customer queues served by deficit round
/// robin, refusal on arrival, and retry budgets.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhoist {

/// A request that waits for a slot.
struct queued_request {
  std::uint64_t Token = 0;
  std::string Customer;
  /// From the contract: requests of lower priority are refused first.
  std::int32_t Priority = 0;
  /// Share of the service rate when customers compete; at least 1.
  std::int32_t Weight = 1;
  instant Deadline{};
};

/// Bounds of one fair queue.
struct queue_limits {
  std::size_t MaxPerCustomer = 64;
  std::size_t MaxTotal = 256;
  /// A request is refused if its predicted wait exceeds the time left until its
  /// deadline, divided by this number: a request that waits longer gets its
  /// response late or not at all, and could have been sent elsewhere.
  int MaxWaitDivisor = 4;
};

/// Queue of one customer within a fair queue.
struct customer_queue {
  std::deque<queued_request> Requests;
  std::int64_t Deficit = 0;
};

/// Requests of one service at one gateway, by customer.
struct fair_queue {
  std::map<std::string, customer_queue> Customers;
  /// Customers with waiting requests, in round-robin order.
  std::deque<std::string> Turns;
  std::size_t Total = 0;
};

/// Result of enqueueing an arriving request.
struct enqueue_result {
  bool Accepted = false;
  /// A request of lower priority that was removed to make room.
  std::optional<queued_request> Displaced;
};

/// Queues \p Request if its deadline allows a wait of \p PredictedWait and
/// there is room, or if a request of lower priority can be displaced.
enqueue_result enqueue(fair_queue &Queue, const queued_request &Request,
                       const queue_limits &Limits, duration PredictedWait,
                       instant Now);

/// Removes and returns the next request by deficit round robin; nothing if the
/// queue is empty.
std::optional<queued_request> dequeue(fair_queue &Queue);

/// Puts a request back at the head of its customer's queue.
void requeueFront(fair_queue &Queue, queued_request Request);

/// Removes a cancelled request. Returns whether it was queued.
bool removeQueued(fair_queue &Queue, const std::string &Customer,
                  std::uint64_t Token);

/// Removes and returns the requests whose deadline has passed.
std::vector<queued_request> expireQueued(fair_queue &Queue, instant Now);

/// Token bucket for retries, filled with a fraction of the first attempts, so
/// that retries cannot multiply the load of a service that is already failing.
struct retry_budget {
  /// Tokens added by each first attempt, in thousandths.
  std::int64_t EarnPerThousand = 100;
  std::int64_t MaxThousandths = 10'000;
  std::int64_t Thousandths = 10'000;
};

/// Adds the tokens of one first attempt.
void creditRetry(retry_budget &Budget);
/// Returns whether a retry may be made now, and consumes its token.
bool spendRetry(retry_budget &Budget);

/// Returns a Retry-After time, spread by \p RequestId over [Base, 2 * Base), so
/// that callers that are refused together do not retry together.
duration spreadRetryAfter(duration Base, std::string_view RequestId);

} // namespace amaranthhoist
