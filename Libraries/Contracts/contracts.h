/// Contracts of customers and the limits that follow from them.
#pragma once

#include "Core/core.h"

#include <map>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Terms that an operator has agreed with a customer; every limit follows from
/// them.
struct contract {
  std::string Customer;
  /// Requests per second, summed over all entries.
  double RequestsPerSecond = 100;
  /// Requests in progress, summed over all entries.
  std::int64_t Concurrency = 100;
  /// Priority under overload: requests of lower priority are refused first.
  std::int32_t Priority = 0;
  /// Share of a service's slots when customers compete; at least 1.
  std::int32_t Weight = 1;
  /// Services that the customer may use; empty means all.
  std::vector<std::string> Services;
  /// Regions that its requests may run in; empty means all.
  std::vector<std::string> Regions;
};

/// Parses and validates a contract in JSON. The error lists all faults.
result<contract> parseContract(std::string_view Json);
/// Formats the contract as JSON with a fixed order of fields.
std::string formatContract(const contract &Contract);

/// State of one customer's limit at one entry.
struct customer_limit {
  double Tokens = 0;
  instant Updated{};
  std::int64_t InProgress = 0;
  bool Started = false;
};

/// Result of a limit check.
enum class limit_verdict : std::uint8_t { Allowed, RateLimited, TooMany };

/// Acquires one request from \p Limit under \p Contract, at an entry that holds
/// one of \p Entries equal shares. The sum over the entries never exceeds the
/// contract as long as they agree on their number. FIXME: Shares should move
/// with demand, like budget shares, where the lender reduces its own share
/// before the borrower raises its own; an equal share wastes the part of
/// entries that this customer does not use.
limit_verdict acquireLimit(customer_limit &Limit, const contract &Contract,
                           std::int64_t Entries, instant Now);

/// Releases one request acquired by acquireLimit when the request has ended.
void releaseLimit(customer_limit &Limit);

} // namespace amaranthhoist
