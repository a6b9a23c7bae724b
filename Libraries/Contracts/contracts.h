/// Customers' contracts and the limits that follow from them.
#pragma once

#include "Core/core.h"

#include <map>
#include <string>
#include <vector>

namespace amaranthhoist {

/// What an operator agreed with a customer; every limit follows from it.
struct contract {
  std::string Customer;
  /// Requests per second over all entries.
  double RequestsPerSecond = 100;
  /// Requests in progress over all entries.
  std::int64_t Concurrency = 100;
  /// Value when not everything fits: lower is refused first.
  std::int32_t Priority = 0;
  /// Share of a service's slots when customers compete; at least 1.
  std::int32_t Weight = 1;
  /// Services the customer may use; empty means all.
  std::vector<std::string> Services;
  /// Regions its requests may run in; empty means all.
  std::vector<std::string> Regions;
};

/// Parses and checks a contract in JSON. All faults are named in one error.
result<contract> parseContract(std::string_view Json);
/// The contract as JSON with a fixed order of fields.
std::string formatContract(const contract &Contract);

/// One customer's part of an entry's limits.
struct customer_limit {
  double Tokens = 0;
  instant Updated{};
  std::int64_t InProgress = 0;
  bool Started = false;
};

/// Why a limit turned a request away, or that it didn't.
enum class limit_verdict : std::uint8_t { Allowed, RateLimited, TooMany };

/// Takes one request out of \p Limit under \p Contract at an entry that holds
/// one of \p Entries equal shares. The sum over the entries never passes the
/// contract as long as they agree on their number.
/// FIXME: Shares should move with demand, giver first, like budget shares; an
/// equal share wastes the part of entries that this customer doesn't use.
limit_verdict takeLimit(customer_limit &Limit, const contract &Contract,
                        std::int64_t Entries, instant Now);

/// Returns what takeLimit took, when the request has ended.
void releaseLimit(customer_limit &Limit);

} // namespace amaranthhoist
