/// Admission, routing and retry decisions for the requests of callers: selects
/// the backend server, decides whether an attempt is retried and when a request
/// is refused. Combines the route table, the target directory, placement and
/// the rates that all instances share. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Pacing/pacing.h"
#include "Placement/home_demand.h"
#include "Placement/region_spillover.h"
#include "Quarantine/quarantine.h"
#include "Reachability/reachability.h"
#include "RouteTable/route_table.h"
#include "Targets/targets.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Weights of the failure domains for one service, with the state they are
/// derived from.
struct service_weights {
  region_spillover Spillover;
  home_demand HomeDemand;
  /// For the primary candidate of an object.
  std::vector<double> Primary;
  /// The same for routes with large bodies: the own failure domain first.
  std::vector<double> BulkPrimary;
  /// For the secondary candidate, which takes what the primary has no capacity
  /// for.
  std::vector<double> Secondary;
  instant UpdatedAt{};
};

/// The state that decisions on requests depend on.
struct steering {
  /// Empty until the first configuration arrives.
  std::optional<route_table> Routes;
  target_directory Targets;
  windowed_retry_budget RetryBudget;
  /// The paths from this instance to the servers.
  reachability Reachability;
  /// Request contents that crash the servers which run them.
  quarantine Quarantine;
  /// Hashes of all instances; this instance's hash is the first. Empty until
  /// the list of instances is known: what they share can't be divided before.
  std::vector<std::uint64_t> Instances;
  /// Index of this instance's region in the target directory.
  std::size_t OwnRegion = 0;
  /// Index of this instance's failure domain in the target directory.
  std::size_t OwnDomain = 0;
  /// This instance's state is old, and other instances that it does not hear
  /// may know more: servers may have become cold without its notice.
  bool IsUninformed = false;
  /// When that began.
  instant UninformedSince{};
  cold_bounds ColdBounds;
  /// How far requests with large bodies stay in the own failure domain: from 0,
  /// where all servers of the region are alike, to 1, where they leave it only
  /// for want of slots there.
  double BulkLocality = 0;
  /// Shares of the sum of all accounts' limits that are bound to each region.
  std::vector<double> ExpectedHomeShares;
  /// Weights of the failure domains by service.
  text_map<service_weights> Weights;
  /// The least urgent priority (highest number) among the routes and accounts.
  int LeastUrgentPriority = 0;
};

/// Applies a configuration. Returns false and changes nothing unless it is
/// newer than the current one: behavior that callers have seen must not revert.
bool applyConfiguration(steering &Steering, configuration Configuration);

/// An in-flight request. Copies the settings of its route on arrival, so that a
/// new configuration does not change a request while it is in flight.
struct request_plan {
  std::string Service;
  std::uint64_t KeyHash = 0;
  /// Fingerprint of the request content (contentHash()).
  std::uint64_t Content = 0;
  work_class Class = work_class::NonIdempotent;
  int Priority = 0;
  /// Its bodies are large.
  bool IsBulk = false;
  int MaxAttempts = 1;
  /// The regions that both the route and the account allow; empty: all.
  std::vector<std::string> HomeRegions;
  /// The account of the caller; empty if the route needs none.
  std::string Account;
  /// Identifies the caller when its request is sent again.
  key_digest KeyDigest{};
  /// Version of the configuration that the account was found in.
  std::uint64_t Version = 0;
  instant Arrived{};
  /// Deadline of the final response: the route's timeout or the caller's,
  /// whichever ends first.
  instant Deadline{};
  duration Objective{};
  /// Number of servers that the request was sent to.
  int Attempts = 0;
  /// Number of attempts that reached a server, or may have.
  int DeliveredAttempts = 0;
  /// Whether a server may have executed the request.
  bool MayHaveRun = false;
  /// The last server rejected the request although it reported free slots: the
  /// rejection says nothing about load.
  bool WasRejectedWithRoom = false;
  /// Servers that gave no response to this request; they are excluded from
  /// further attempts.
  std::vector<std::string> TriedTargets;
};

/// Why a request was refused.
enum class refusal : std::uint8_t {
  /// No configuration has been applied yet.
  NotConfigured,
  NoRoute,
  /// Another instance has a later configuration, by which the request has to be
  /// handled.
  ConfigurationOutdated,
  /// The caller's API key is missing, or no account holds it.
  NoAccount,
  /// The route and the account have home regions, and none in common.
  NoCommonRegion,
  /// The account has reached its limit.
  OverLimit,
  /// Whether the account has reached its limit is not known: no instance that
  /// coordinates it responds.
  LimitUnknown,
  /// The configuration may be outdated, and keys may have been revoked since.
  KeysUnconfirmed,
  /// No server of the service is usable.
  NoTarget,
  /// All servers that are otherwise usable requested backoff (Retry-After).
  BackingOff,
  /// The candidate servers have no capacity.
  Overloaded,
  /// Too little time is left before the deadline to run the request.
  TooLate,
  /// The retry budget is exhausted.
  RetryBudgetExhausted,
  /// The content is quarantined because servers crash while running it.
  Quarantined,
  /// This instance is shutting down and could not complete the request in time.
  ShuttingDown,
  /// This instance serves as many requests of other instances as it may.
  ForwardingLimit,
  /// Responses that callers have not taken use up the memory for them.
  MemoryUsedUp,
};

/// The name of a refusal in logs and metrics.
std::string_view toString(refusal Reason);

/// Whether a refusal concerns the instance rather than the request or the
/// servers, so that another instance may serve the request.
bool mayBeServedElsewhere(refusal Reason);

/// The attributes of a request that routing depends on.
struct request_facts {
  std::string_view Host;
  /// Without the query string.
  std::string_view Path;
  /// Key of the object that the request concerns; empty if there is none.
  std::string_view ObjectKey;
  std::string_view RequestId;
  /// Remaining time until the caller's timeout, if the caller states one.
  std::optional<duration> TimeLeft;
  instant Arrived{};
  /// Fingerprint of the request content (contentHash()).
  std::uint64_t Content = 0;
  /// The caller's API key; empty if there is none, or more than one.
  std::string_view ApiKey = {};
  /// Another instance read the request, confirmed its account and counted it.
  bool IsForwarded = false;
  /// The account that it confirmed; empty if the route needs none.
  std::string_view Account = {};
};

/// The longest timeout among the current routes.
duration longestTimeout(const steering &Steering);

/// The work class of a request with this host and path; non-idempotent if no
/// route matches.
work_class findWorkClass(const steering &Steering, std::string_view Host,
                         std::string_view Path);

/// The account that holds \p ApiKey in the current configuration, or nullptr.
const client_account *findAccount(const steering &Steering,
                                  std::string_view ApiKey);

/// Checks before a request is sent, possibly again, that its caller's key is
/// still valid: it may have been revoked while the request waited. Updates the
/// account of the plan. Returns why the request is refused, or nullopt.
std::optional<refusal> confirmAccount(const steering &Steering,
                                      request_plan &Plan);

/// Finds the route and the account of a request and creates its plan.
tl::expected<request_plan, refusal> planRequest(steering &Steering,
                                                const request_facts &Facts);

/// Number of servers of an object that are checked for capacity before a
/// request for it is refused. With two, a hot object has a secondary server.
/// With more, a hot object evicts objects that are warm on other servers, and
/// all requests slow down (measured: docs/PLATFORM-DESIGN.md).
inline constexpr std::size_t CandidatesPerObject = 2;

/// A server that a request may be sent to, with the values that decide whether
/// it has capacity.
struct candidate {
  target *Target = nullptr;
  /// Estimated number of requests in flight at the server, from all instances.
  double Load = 0;
  /// Predicted wait for a slot, and the longest wait that counts as having
  /// capacity.
  duration Wait{};
  duration MaxWait{};
  bool HasCapacity = false;
};

/// The candidates of one request, in order of preference.
struct candidate_list {
  std::array<candidate, CandidatesPerObject> Candidates{};
  std::size_t Count = 0;
  /// Whether any server of the service is usable at all.
  bool HasUsableTargets = false;

  [[nodiscard]] std::span<const candidate> candidates() const {
    return {Candidates.data(), Count};
  }
};

/// Evaluates the candidates of a request. The same state and time give the same
/// result, so that a refusal can be explained after the decision.
/// \p IgnoresPaths: servers that this instance doesn't reach are included.
candidate_list findCandidates(steering &Steering, const request_plan &Plan,
                              instant Now, bool IgnoresPaths = false);

/// Selects the server for the next attempt. Does not count the attempt.
tl::expected<target *, refusal>
chooseTarget(steering &Steering, const request_plan &Plan, instant Now);

/// Whether the server that an instance which reaches all of them would choose
/// has been reached by this one. Only for services whose paths are impaired.
bool reachesBestTarget(steering &Steering, const request_plan &Plan,
                       instant Now);

/// Whether servers that may run the request are excluded because no connection
/// to them could be established.
bool hasUnreachableTargets(const steering &Steering, const request_plan &Plan,
                           instant Now);

/// Records a load report from \p Target.
void recordServerLoad(steering &Steering, target &Target,
                      const target_load &Load, instant Now);

/// Records that a server rejected the request without running it. \p Load is
/// what it reported with the rejection, if anything.
void recordRejection(request_plan &Plan,
                     const std::optional<target_load> &Load);

/// Records the start of an attempt at \p Target.
void beginAttempt(steering &Steering, request_plan &Plan, target &Target,
                  instant Now);

/// Whether another attempt may follow the one that has just failed. Acquires a
/// token from the retry budget if the attempt needs one. Non-idempotent work is
/// never sent again once a byte of it may have reached a server, unless that
/// server itself states that it did not run the request.
bool mayRetry(steering &Steering, const request_plan &Plan, instant Now);

/// An attempt whose connection ended without a complete response.
struct broken_attempt {
  /// The connection was never established.
  bool NotConnected = false;
  /// The connection had served other requests before.
  bool WasReused = false;
  /// Response bytes were received, valid or not.
  bool HadResponseBytes = false;
  /// Time from sending the request to the end of the connection.
  duration Elapsed{};
};

/// Classifies a broken attempt for the health of its server. Returns Cancelled,
/// which does not affect health, if a reused connection ends at once: the
/// server most likely closed it as idle.
attempt_result classifyBrokenAttempt(const broken_attempt &Attempt);

/// The Retry-After time for a caller that was refused for \p Reason. In general
/// it is jittered, so that callers refused together do not return together, and
/// short enough that time is left to serve them. For a quarantined content it
/// is the time of the next trial. While all servers request backoff it is
/// jittered after the end of the first backoff.
duration retryAfter(const steering &Steering, const request_plan &Plan,
                    refusal Reason, std::string_view RequestId, instant Now);

} // namespace amaranthhoist
