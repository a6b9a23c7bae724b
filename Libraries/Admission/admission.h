/// Bounded per-customer queues served by deficit round robin, refusal at
/// arrival, and budgets for retries.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhoist {

/// One request waiting for a slot.
struct queued_request {
  std::uint64_t Token = 0;
  std::string Customer;
  /// From the contract: lower values are refused first.
  std::int32_t Priority = 0;
  /// Share of the service rate when customers compete; at least 1.
  std::int32_t Weight = 1;
  instant Deadline{};
};

/// Bounds of one fair queue.
struct queue_limits {
  std::size_t MaxPerCustomer = 64;
  std::size_t MaxTotal = 256;
  /// A predicted wait of more than one in so many parts of the time left is
  /// refused: whoever waits longer is answered late or not at all, and could
  /// have gone elsewhere.
  int WaitPart = 4;
};

/// One customer's part of a fair queue.
struct customer_queue {
  std::deque<queued_request> Requests;
  std::int64_t Deficit = 0;
};

/// Requests of one service at one gateway, by customer.
struct fair_queue {
  std::map<std::string, customer_queue> Customers;
  /// Customers with waiting requests, in the order of their turns.
  std::deque<std::string> Turns;
  std::size_t Total = 0;
};

/// What happened to an arriving request.
struct enqueue_result {
  bool Accepted = false;
  /// A request of lower priority that had to make room.
  std::optional<queued_request> Displaced;
};

/// Queues \p Request if its wait of \p PredictedWait fits its deadline and
/// there is room, or a request of lower priority can be displaced.
enqueue_result enqueue(fair_queue &Queue, const queued_request &Request,
                       const queue_limits &Limits, duration PredictedWait,
                       instant Now);

/// The next request by deficit round robin, or nothing when all is empty.
std::optional<queued_request> dequeue(fair_queue &Queue);

/// Puts a request back at the head of its customer's queue.
void requeueFront(fair_queue &Queue, queued_request Request);

/// Removes a request that was cancelled. Returns whether it was there.
bool removeQueued(fair_queue &Queue, const std::string &Customer,
                  std::uint64_t Token);

/// Removes and returns the requests whose deadline has passed.
std::vector<queued_request> expireQueued(fair_queue &Queue, instant Now);

/// Tokens for retries: a fraction of first tries, so that retries can't
/// multiply a load that is failing already.
struct retry_budget {
  /// Tokens earned by each first try, in thousandths.
  std::int64_t EarnPerThousand = 100;
  std::int64_t MaxThousandths = 10'000;
  std::int64_t Thousandths = 10'000;
};

/// Counts a first try.
void earnRetry(retry_budget &Budget);
/// Whether a retry may be made now; takes its token.
bool spendRetry(retry_budget &Budget);

/// A time to come back, spread by \p RequestId over [Base, 2 * Base), so that
/// callers refused together don't return together.
duration spreadRetryAfter(duration Base, std::string_view RequestId);

} // namespace amaranthhoist
