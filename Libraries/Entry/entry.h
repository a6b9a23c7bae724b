/// Decisions of an entry: identify the contract, check the deadline, take the
/// customer's limit, choose site and gateway, forward. Sans-I/O.
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

/// A request as a caller makes it.
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
  /// One way to each region, this one included.
  std::map<std::string, duration> LinkLatency;
  routing_policy Routing;
  retry_budget Retries;
  /// Kept from a request's time for the way back: the gateway's last word then
  /// comes before the caller's deadline, and says more than this entry can.
  duration HopMargin = std::chrono::milliseconds(50);
  /// Forwards per request, the first included.
  std::int32_t MaxForwards = 2;
  duration RetryAfter = std::chrono::seconds(1);
  std::uint64_t Seed = 0;
};

// Events.

struct gateway_answered {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
};

/// The gateway could not be reached, or went away before its answer.
struct gateway_failed {
  std::uint64_t Token = 0;
  /// Whether the request may have reached it.
  bool MaybeDelivered = true;
  /// Whether a part of the answer has reached the caller already.
  bool Streamed = false;
};

struct witness_answered {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Unknown;
  duration RetryAfter{};
};

/// The witness could not be reached.
struct witness_failed {
  std::uint64_t Token = 0;
};

/// The caller went away.
struct caller_left {
  std::uint64_t Token = 0;
};

/// An offer, of one service, that rode on an answer or was polled.
struct offer_heard {
  std::string Service;
  offer Offer;
};

/// The gateways in force, by id; offers of others are forgotten.
struct gateways_changed {
  std::vector<std::string> Gateways;
};

struct contract_changed {
  contract Contract;
};

struct contract_deleted {
  std::string Customer;
};

/// How many entries share each customer's limit.
struct entries_changed {
  std::int64_t Entries = 1;
};

/// Sites that an operator drains: no new work, and no new homes.
struct draining_sites_changed {
  std::set<std::string> Sites;
};

struct entry_tick {};

using entry_event =
    std::variant<caller_request, gateway_answered, gateway_failed,
                 witness_answered, witness_failed, caller_left, offer_heard,
                 gateways_changed, contract_changed, contract_deleted,
                 entries_changed, draining_sites_changed, entry_tick>;

// Actions.

struct forward_request {
  std::uint64_t Token = 0;
  std::string Gateway;
  std::int32_t Priority = 0;
  std::int32_t Weight = 1;
  instant Deadline{};
};

struct ask_witness {
  std::uint64_t Token = 0;
  std::string Witness;
  std::string Key;
};

/// The final answer; with Answered, the gateway's body follows.
struct finish_caller {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
};

using entry_action = std::variant<forward_request, ask_witness, finish_caller>;

// State.

/// A request in this entry's care.
struct entry_work {
  caller_request Request;
  /// Gateways still to try, best first; idempotent work only.
  std::vector<std::string> Candidates;
  /// Where it was forwarded last.
  std::string Gateway;
  std::int32_t Forwards = 0;
  home_token Home;
  bool MaybeDelivered = false;
  bool AskedWitness = false;
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

/// Takes in one event; returns what is to be done.
std::vector<entry_action> stepEntry(entry_node &Node, const entry_event &Event,
                                    instant Now);

/// Offers that \p Customer may use for \p Service now, best first. Draws from
/// the node's random numbers. Points into the node.
std::vector<const offer *> candidateOffers(entry_node &Node,
                                           const std::string &Customer,
                                           const std::string &Service,
                                           instant Now);

/// A home for a new key: the best gateway as owner and, as witness, one of the
/// same region that runs in another failure domain. NotFound when there are no
/// two.
result<home_token> chooseHome(entry_node &Node, const std::string &Customer,
                              const std::string &Service,
                              std::int64_t ExpiresAtMs, instant Now);

} // namespace amaranthhoist
