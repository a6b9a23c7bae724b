/// One gateway at one site: duplicate check, fair queue, budgets, choice of
/// target, and the account of work in progress. Sans-I/O: events in, actions
/// out. A daemon runs one node per site that it serves, each under its own
/// lock.
#pragma once

#include "Admission/admission.h"
#include "Budget/budget.h"
#include "Core/core.h"
#include "Keys/keys.h"
#include "Routing/routing.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace amaranthhoist {

/// The two clocks of one process. Only key expiry uses the wall clock.
struct moment {
  instant Now{};
  std::int64_t WallMs = 0;
};

/// A request as an entry hands it to a gateway.
struct work_request {
  /// Chosen by the daemon, unique in this process.
  std::uint64_t Token = 0;
  std::string RequestId;
  std::string Customer;
  std::string Service;
  work_class Class = work_class::Idempotent;
  /// Idempotency key; non-idempotent work only.
  std::string Key;
  /// Region of the entry, whose link to this site it uses.
  std::string SourceRegion;
  std::int32_t Priority = 0;
  std::int32_t Weight = 1;
  instant Deadline{};
};

/// What the operator says of a site.
struct site_settings {
  std::string Name;
  std::string Region;
  std::string FailureDomain;
  std::int64_t CapMilliwatts = 0;
  std::int64_t IdleMilliwatts = 0;
  /// Kept free for what the site draws beside our work, and for lag.
  std::int64_t GuardMilliwatts = 0;
  /// Draw of one busy slot, by service.
  std::map<std::string, std::int64_t> SlotMilliwatts;
  /// Requests in progress over the link from each region; missing: no limit.
  std::map<std::string, std::int64_t> LinkLimits;
};

/// What the platform's list and the operator say of one backend server.
struct target_settings {
  std::string Name;
  std::string Site;
  std::string Service;
  std::string Address;
  std::int64_t Slots = 1;
  bool Leaving = false;
};

/// Settings of a gateway node.
struct gateway_settings {
  /// Instance, site and incarnation; new with each start of the process.
  std::string Id;
  /// Where this process runs.
  std::string FailureDomain;
  budget_timing Budget;
  queue_limits Queue;
  key_limits Keys;
  target_policy Targets;
  retry_budget Retries;
  /// Longest deadline that is told to a backend server.
  duration MaxWork = std::chrono::seconds(120);
  /// Added to a told deadline before work of unknown end counts as ended.
  duration EndMargin = std::chrono::seconds(2);
  /// The witness is asked again this often.
  duration WitnessRepeat = std::chrono::milliseconds(100);
  /// After this silence the request is given up: the caller may still have time
  /// for another home.
  duration WitnessLimit = std::chrono::milliseconds(1'000);
  /// Base of the time to come back that refusals carry.
  duration RetryAfter = std::chrono::seconds(1);
  /// Requests wait this long while nothing is in progress here whose end would
  /// make room: for a loan, or for a dead holder's share. As long as a refused
  /// caller waits before it comes back, the base of RetryAfter.
  duration StallLimit = std::chrono::seconds(1);
  /// After a wait in vain requests are refused at once for this long, then some
  /// wait again. The same base, so that whoever comes back isn't refused on old
  /// knowledge.
  duration StallMemory = std::chrono::seconds(1);
};

// Events.

struct request_arrived {
  work_request Request;
};

/// The caller, or the entry between, went away.
struct request_cancelled {
  std::uint64_t Token = 0;
};

/// Asks this node, as witness, for the fate of a key whose owner is gone.
struct seal_asked {
  std::uint64_t Token = 0;
  std::string Key;
};

/// How a send to a target ended.
enum class target_end : std::uint8_t {
  /// The whole answer was received and is this request's own.
  Completed,
  /// Proved not run: connection refused.
  NotReached,
  /// Proved not run: the backend server's own word.
  Shed,
  /// No whole answer; it may have run and may still be running.
  Broken,
  /// The backend server confirmed that it has stopped.
  Stopped,
};

struct target_ended {
  std::uint64_t Token = 0;
  target_end End = target_end::Broken;
  duration Took{};
  /// Whether a part of the answer has reached the caller already.
  bool Streamed = false;
  /// The backend server said that it is leaving.
  bool Leaving = false;
  /// Kept for retries of non-idempotent work.
  stored_answer Answer;
};

/// The owner asks its witness to record a key.
struct witness_record {
  std::string Key;
  std::int64_t ExpiresAtMs = 0;
};

struct witness_reply {
  std::string Key;
  bool Recorded = false;
};

/// A target said that it is leaving; one that hears it tells the others.
struct leaving_notice {
  std::string Target;
};

using peer_message =
    std::variant<loan_message, witness_record, witness_reply, leaving_notice>;

struct peer_message_arrived {
  std::string From;
  peer_message Message;
};

/// A read or watch of the site's pool record.
struct record_seen {
  pool_record Record;
};

struct record_update_answered {
  pool_record Proposed;
  update_result Result = update_result::Uncertain;
  std::int64_t NewVersion = 0;
};

struct site_changed {
  site_settings Site;
  std::vector<target_settings> Targets;
};

/// A target is leaving by its health answer.
struct target_leaving {
  std::string Target;
};

/// The other nodes, by id, that are thought to be up.
struct peers_changed {
  /// Those of the same site, with whom the budgets are shared.
  std::vector<std::string> Peers;
  /// All that may be named as witness.
  std::vector<std::string> Witnesses;
};

/// A message to another node could not be delivered.
struct peer_unreachable {
  std::string Id;
};

/// Proof that a node's process no longer runs.
struct holder_dead {
  std::string Id;
};

struct drain_changed {
  bool Draining = false;
  /// The process is going away: once its work has ended, its row is removed.
  bool Leaving = false;
};

struct clock_tick {};

using gateway_event =
    std::variant<request_arrived, request_cancelled, seal_asked, target_ended,
                 peer_message_arrived, record_seen, record_update_answered,
                 site_changed, target_leaving, peers_changed, peer_unreachable,
                 holder_dead, drain_changed, clock_tick>;

// Actions.

struct send_to_target {
  std::uint64_t Token = 0;
  std::string Target;
  std::string Address;
  /// Told to the backend server, which must have stopped by then.
  instant Deadline{};
};

struct cancel_at_target {
  std::uint64_t Token = 0;
};

/// The final answer to a request.
struct finish_request {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
  stored_answer Answer;
};

struct send_to_peer {
  std::string To;
  peer_message Message;
};

/// Conditional update of the site's pool record.
struct write_record {
  pool_record Proposed;
};

using gateway_action = std::variant<send_to_target, cancel_at_target,
                                    finish_request, send_to_peer, write_record>;

// State.

/// A request in this node's care.
struct work_item {
  work_request Request;
  home_token Home;
  /// Out of the queue, waiting for the witness alone.
  bool Parked = false;
  /// Sent to this target; empty while queued.
  std::string Target;
  std::int32_t Attempts = 0;
  std::vector<resource_amount> Units;
  instant ToldDeadline{};
  instant WitnessFirstAsked{};
  instant WitnessAsked{};
  bool Cancelled = false;
};

/// Work whose end isn't proved: its units stay taken until the time told to the
/// backend server has passed.
struct lingering_work {
  std::string Target;
  std::vector<resource_amount> Units;
  instant Until{};
};

struct gateway_node {
  gateway_settings Settings;
  site_settings Site;
  std::map<std::string, target_state> Targets;
  budget_holder Budget;
  /// Waiting requests by service.
  std::map<std::string, fair_queue> Queues;
  owner_table Owned;
  witness_table Witnessed;
  std::unordered_map<std::uint64_t, work_item> Work;
  std::vector<lingering_work> Lingering;
  std::vector<std::string> Peers;
  std::vector<std::string> Witnesses;
  std::size_t NextLender = 0;
  retry_budget Retries;
  /// By service: since when requests wait although nothing is in progress.
  std::map<std::string, instant> StalledSince;
  bool Draining = false;
  bool Leaving = false;
};

/// A node with its settings and nothing else; it takes work only once it has
/// heard of its site and holds a share.
gateway_node makeGateway(const gateway_settings &Settings);

/// Takes in one event; returns what is to be done.
std::vector<gateway_action>
stepGateway(gateway_node &Node, const gateway_event &Event, moment Moment);

/// What this node can take now for \p Service.
offer makeOffer(const gateway_node &Node, const std::string &Service,
                instant Now);

/// Whether a leaving node has no work, no loans and no row any more.
bool hasLeft(const gateway_node &Node);

/// Requests sent and not provably ended.
std::int64_t workInProgress(const gateway_node &Node);

/// Name of the power resource in a site's pool.
inline constexpr const char *PowerResource = "power";
std::string slotResource(const std::string &Target);
std::string linkResource(const std::string &Region);

} // namespace amaranthhoist
