/// Decisions of an entry: identifies the contract, checks the deadline, applies
/// the customer's limit, chooses site and gateway, and forwards. Sans-I/O.
#pragma once

#include "Admission/admission.h"
#include "Contracts/contracts.h"
#include "Core/core.h"
#include "Keys/keys.h"
#include "Routing/routing.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace amaranthhoist {

/// A request as a caller sends it.
struct caller_request {
  std::uint64_t Token = 0;
  std::string RequestId;
  std::string Customer;
  std::string Service;
  work_class Class = work_class::Idempotent;
  std::string Key;
  instant Deadline{};
};

/// Settings of an entry.
struct entry_settings {
  std::string Region;
  /// One-way latency to each region, including this one.
  std::map<std::string, duration> LinkLatency;
  routing_policy Routing;
  retry_budget Retries;
  /// Subtracted from a request's time for the way back: the final outcome of
  /// the gateway then arrives before the caller's deadline and is more precise
  /// than what this entry can report.
  duration HopMargin = std::chrono::milliseconds(50);
  /// Maximum forwards per request, including the first.
  std::int32_t MaxForwards = 2;
  duration RetryAfter = std::chrono::seconds(1);
  std::uint64_t Seed = 0;
};

// Events.

struct gateway_responded {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
};

/// The gateway could not be reached, or failed before its response.
struct gateway_failed {
  std::uint64_t Token = 0;
  /// Whether the request may have been delivered.
  bool MaybeDelivered = true;
  /// Whether part of the response has already reached the caller.
  bool Streamed = false;
};

struct witness_responded {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Unknown;
  duration RetryAfter{};
};

/// The witness could not be reached.
struct witness_failed {
  std::uint64_t Token = 0;
};

/// The caller disconnected.
struct caller_disconnected {
  std::uint64_t Token = 0;
};

/// An offer for one service, received with a response or by polling.
struct offer_received {
  std::string Service;
  offer Offer;
};

/// The current gateways, by id; offers of other gateways are removed.
struct gateways_changed {
  std::vector<std::string> Gateways;
};

struct contract_changed {
  contract Contract;
};

struct contract_deleted {
  std::string Customer;
};

/// Number of entries that share each customer's limit.
struct entries_changed {
  std::int64_t Entries = 1;
};

/// Sites that operators drain: they get no new work and no new homes.
struct draining_sites_changed {
  std::set<std::string> Sites;
};

struct entry_tick {};

using entry_event =
    std::variant<caller_request, gateway_responded, gateway_failed,
                 witness_responded, witness_failed, caller_disconnected,
                 offer_received, gateways_changed, contract_changed,
                 contract_deleted, entries_changed, draining_sites_changed,
                 entry_tick>;

// Actions.

struct forward_request {
  std::uint64_t Token = 0;
  std::string Gateway;
  std::int32_t Priority = 0;
  std::int32_t Weight = 1;
  instant Deadline{};
};

struct query_witness {
  std::uint64_t Token = 0;
  std::string Witness;
  std::string Key;
};

/// The final outcome; if it is Answered, the body from the gateway follows.
struct finish_caller {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
};

using entry_action =
    std::variant<forward_request, query_witness, finish_caller>;

// State.

/// A request that this entry is handling.
struct entry_work {
  caller_request Request;
  /// Gateways that were not tried yet, best first; idempotent work only.
  std::vector<std::string> Candidates;
  /// Gateway that the request was forwarded to last.
  std::string Gateway;
  std::int32_t Forwards = 0;
  home_token Home;
  bool MaybeDelivered = false;
  bool WitnessQueried = false;
};

struct entry_node {
  entry_settings Settings;
  std::mt19937_64 Random;
  std::map<std::string, contract> Contracts;
  std::map<std::string, customer_limit> Limits;
  std::map<std::string, retry_budget> Retries;
  /// Offers by service, then gateway.
  std::map<std::string, std::map<std::string, offer>> Offers;
  std::set<std::string> Gateways;
  std::set<std::string> DrainingSites;
  std::unordered_map<std::uint64_t, entry_work> Work;
  std::int64_t Entries = 1;
};

entry_node makeEntry(const entry_settings &Settings);

/// Handles one event and returns the resulting actions.
std::vector<entry_action> stepEntry(entry_node &Node, const entry_event &Event,
                                    instant Now);

/// Returns the offers that \p Customer may use for \p Service now, best first.
/// Draws from the node's random numbers. The result points into the node.
std::vector<const offer *> candidateOffers(entry_node &Node,
                                           const std::string &Customer,
                                           const std::string &Service,
                                           instant Now);

/// Chooses a home for a new key: the best gateway as owner and, as witness, a
/// gateway of the same region in another failure domain. Returns NotFound if
/// there is no such pair.
result<home_token> chooseHome(entry_node &Node, const std::string &Customer,
                              const std::string &Service,
                              std::int64_t ExpiresAtMs, instant Now);

} // namespace amaranthhoist
