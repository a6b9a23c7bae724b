/// One gateway at one site: duplicate detection, fair queue, budgets, target
/// selection, and accounting of work in progress. Sans-I/O: events in, actions
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

/// Readings of the two clocks of one process. Only key expiry uses the wall
/// clock.
struct moment {
  instant Now{};
  std::int64_t WallMs = 0;
};

/// A request as an entry forwards it to a gateway.
struct work_request {
  /// Assigned by the daemon; unique in this process.
  std::uint64_t Token = 0;
  std::string RequestId;
  std::string Customer;
  std::string Service;
  work_class Class = work_class::Idempotent;
  /// Idempotency key; non-idempotent work only.
  std::string Key;
  /// Region of the entry; the request uses the link from that region to this
  /// site.
  std::string SourceRegion;
  std::int32_t Priority = 0;
  std::int32_t Weight = 1;
  instant Deadline{};
};

/// Settings of a site, from the operator.
struct site_settings {
  std::string Name;
  std::string Region;
  std::string FailureDomain;
  std::int64_t CapMilliwatts = 0;
  std::int64_t IdleMilliwatts = 0;
  /// Reserved for power that the site draws besides our work, and as a margin
  /// for lag.
  std::int64_t GuardMilliwatts = 0;
  /// Power draw of one busy slot, by service.
  std::map<std::string, std::int64_t> SlotMilliwatts;
  /// Maximum requests in progress over the link from each region; missing: no
  /// limit.
  std::map<std::string, std::int64_t> LinkLimits;
};

/// Settings of one backend server, from the platform's target list and the
/// operator.
struct target_settings {
  std::string Name;
  std::string Site;
  std::string Service;
  std::string Address;
  std::int64_t Slots = 1;
  bool Draining = false;
};

/// Settings of a gateway node.
struct gateway_settings {
  /// Instance, site and incarnation; changes with each start of the process.
  std::string Id;
  /// Failure domain that this process runs in.
  std::string FailureDomain;
  budget_timing Budget;
  queue_limits Queue;
  key_limits Keys;
  target_policy Targets;
  retry_budget Retries;
  /// Longest deadline that is sent to a backend server.
  duration MaxBackendDeadline = std::chrono::seconds(120);
  /// Added to the deadline sent to the backend server before unconfirmed work
  /// counts as ended.
  duration CompletionMargin = std::chrono::seconds(2);
  /// Interval of retries of the request to the witness.
  duration WitnessRetryInterval = std::chrono::milliseconds(100);
  /// A request is given up when its witness has not responded within this time:
  /// the caller may still have time for another home.
  duration WitnessTimeout = std::chrono::milliseconds(1'000);
  /// Base of the Retry-After time in refusals.
  duration RetryAfter = std::chrono::seconds(1);
  /// Requests wait this long, for a loan or for the share of a dead holder,
  /// while no work is in progress here whose end would free units. Equals the
  /// base of RetryAfter: as long as a refused caller waits before it retries.
  duration StallTimeout = std::chrono::seconds(1);
  /// After a stalled wait, requests are refused immediately for this long; then
  /// some requests wait again. Uses the same base as RetryAfter, so that a
  /// caller that retries is not refused on outdated state.
  duration StallRefusalPeriod = std::chrono::seconds(1);
};

// Events.

struct request_arrived {
  work_request Request;
};

/// The caller, or the entry between, disconnected.
struct request_cancelled {
  std::uint64_t Token = 0;
};

/// Requests the result of a key from this node, as its witness, because the
/// owner is unreachable.
struct seal_requested {
  std::uint64_t Token = 0;
  std::string Key;
};

/// How an attempt at a target ended.
enum class attempt_end : std::uint8_t {
  /// The complete response was received and belongs to this request.
  Completed,
  /// Proved not executed: connection refused.
  NotReached,
  /// Proved not executed: reported by the backend server.
  Shed,
  /// No complete response; the request may have been executed and may still be
  /// running.
  Interrupted,
  /// The backend server confirmed that it has stopped the request.
  Stopped,
};

struct attempt_ended {
  std::uint64_t Token = 0;
  attempt_end End = attempt_end::Interrupted;
  duration Elapsed{};
  /// Whether a part of the answer has reached the caller already.
  bool Streamed = false;
  /// The backend server reported that it is draining.
  bool Draining = false;
  /// Stored for retries of non-idempotent work.
  stored_response Response;
};

/// Request of the owner to its witness to record a key.
struct witness_record {
  std::string Key;
  std::int64_t ExpiresAtMs = 0;
};

struct witness_reply {
  std::string Key;
  bool Recorded = false;
};

/// A target reported that it is draining. The node that receives the report
/// notifies the other nodes of the site.
struct draining_notice {
  std::string Target;
};

using peer_message =
    std::variant<loan_message, witness_record, witness_reply, draining_notice>;

struct peer_message_arrived {
  std::string From;
  peer_message Message;
};

/// The site's pool record was received, by a read or a watch.
struct record_received {
  pool_record Record;
};

struct record_update_completed {
  pool_record Proposed;
  update_result Result = update_result::Uncertain;
  std::int64_t NewVersion = 0;
};

struct site_changed {
  site_settings Site;
  std::vector<target_settings> Targets;
};

/// A health check reported that a target is draining.
struct target_draining {
  std::string Target;
};

/// The other nodes, by id, that are up in the current view.
struct peers_changed {
  /// Nodes of the same site, which share its budgets.
  std::vector<std::string> Peers;
  /// All nodes that may be chosen as a witness.
  std::vector<std::string> Witnesses;
};

/// A message to another node could not be delivered.
struct peer_unreachable {
  std::string Id;
};

/// A node's process is proved to be no longer running.
struct holder_dead {
  std::string Id;
};

struct drain_changed {
  bool Draining = false;
  /// The process is shutting down: once its work has ended, its row is removed.
  bool ShuttingDown = false;
};

struct clock_tick {};

using gateway_event =
    std::variant<request_arrived, request_cancelled, seal_requested,
                 attempt_ended, peer_message_arrived, record_received,
                 record_update_completed, site_changed, target_draining,
                 peers_changed, peer_unreachable, holder_dead, drain_changed,
                 clock_tick>;

// Actions.

struct send_to_target {
  std::uint64_t Token = 0;
  std::string Target;
  std::string Address;
  /// Sent to the backend server, which must have stopped by then.
  instant Deadline{};
};

struct cancel_at_target {
  std::uint64_t Token = 0;
};

/// The final outcome of a request.
struct finish_request {
  std::uint64_t Token = 0;
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
  stored_response Response;
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

/// A request that this node is handling.
struct work_item {
  work_request Request;
  home_token Home;
  /// Removed from the queue; waits only for the witness.
  bool Parked = false;
  /// Target that the request was sent to; empty while it is queued.
  std::string Target;
  std::int32_t Attempts = 0;
  std::vector<resource_amount> Units;
  instant BackendDeadline{};
  instant FirstWitnessRequest{};
  instant LastWitnessRequest{};
  bool Cancelled = false;
};

/// Work whose end is not confirmed: its units stay in use until the deadline
/// sent to the backend server has passed.
struct unconfirmed_work {
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
  std::vector<unconfirmed_work> UnconfirmedWork;
  std::vector<std::string> Peers;
  std::vector<std::string> Witnesses;
  std::size_t NextLender = 0;
  retry_budget Retries;
  /// Start of the current stall, by service: requests wait although no work is
  /// in progress.
  std::map<std::string, instant> StalledSince;
  bool Draining = false;
  bool ShuttingDown = false;
};

/// Creates a node with its settings only; it accepts work once it has received
/// its site and holds a share.
gateway_node makeGateway(const gateway_settings &Settings);

/// Handles one event and returns the resulting actions.
std::vector<gateway_action>
stepGateway(gateway_node &Node, const gateway_event &Event, moment Moment);

/// Load report: the work that this node can accept now for \p Service.
offer makeOffer(const gateway_node &Node, const std::string &Service,
                instant Now);

/// Whether a node that is shutting down has no work, no loans and no row left.
bool hasShutDown(const gateway_node &Node);

/// Number of requests that were sent and have not provably ended.
std::int64_t workInProgress(const gateway_node &Node);

/// Name of the power resource in the pool of a site.
inline constexpr const char *PowerResource = "power";
std::string slotResource(const std::string &Target);
std::string linkResource(const std::string &Region);

} // namespace amaranthhoist
