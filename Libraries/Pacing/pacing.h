/// Rates that all instances share without communication: each uses a part so
/// small that the sum stays within the bound, whatever the others do. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Targets/targets.h"
#include "Text/text.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Age at which a list of instances no longer entitles to a part of what they
/// share: the others remove an instance that they miss, and divide its part.
/// Ends at least a window of retries before they do.
inline constexpr duration InstanceListLease = std::chrono::seconds(15);

/// Bounds on retries, set by the operators.
struct retry_bounds {
  /// Retries allowed per request of callers.
  double Ratio = 0.1;
  /// Time window over which requests and retries are summed.
  duration Window = std::chrono::seconds(10);
  /// Retries allowed beyond the ratio, for all instances together.
  double Slack = 0;
};

/// Requests and retries of one service at this instance, by slice of the
/// window.
struct retry_counts {
  /// Slices of one window.
  static constexpr std::size_t SlicesPerWindow = 20;
  /// More are kept: the current slice has only begun, and what was spent in the
  /// first one may arrive later than it was sent. Without them it would be
  /// forgotten before its window has passed.
  static constexpr std::size_t Slices = SlicesPerWindow + 3;
  std::array<double, Slices> Requests{};
  std::array<double, Slices> Retries{};
  /// Tokens earned in the slice by requests and not spent yet; one pays for a
  /// retry.
  std::array<double, Slices> Tokens{};
  /// Part of the slack that was spent in the slice.
  std::array<double, Slices> SlackSpent{};
  /// Number of the slice that was written last.
  std::int64_t LastSlice = 0;
  /// Retries since the start that were denied, and those that needed no token
  /// because no earlier attempt had reached a server.
  std::int64_t Denied = 0;
  std::int64_t Uncharged = 0;
};

/// What one service's budget at this instance has spent over the last window,
/// and what is left.
struct retry_usage {
  double Requests = 0;
  double Retries = 0;
  /// Retries that may be sent now.
  double Available = 0;
};

/// Limits retries to a fraction of requests, so that they cannot multiply a
/// load that already fails. Each request earns a part of a token that expires;
/// an instance's part of the slack renews with the window.
struct windowed_retry_budget {
  retry_bounds Bounds;
  /// From this time on the slack is available. A process that has just started
  /// does not know what its predecessor has spent, which counts for one window.
  instant SlackAvailableFrom{};
  /// The part of the slack is leased until then; without a lease it doesn't
  /// end.
  std::optional<instant> SlackLeaseEnd;
  text_map<retry_counts> ByService;
};

/// Creates the budget of a process that starts at \p Now.
windowed_retry_budget makeRetryBudget(const retry_bounds &Bounds, instant Now);

/// Renews the lease on a part of the slack after the list of instances was
/// current at \p ListCurrentAt. A lease that isn't held begins one window
/// later, since others may have used its part meanwhile.
void renewSlackLease(windowed_retry_budget &Budget, instant ListCurrentAt,
                     instant Now);
/// Records a request of a caller for \p Service.
void countRequest(windowed_retry_budget &Budget, const std::string &Service,
                  instant Now);
/// Acquires a retry from the budget; returns false if none is left. \p
/// Instances share the slack; 0 if their number is not known yet.
bool tryAcquireRetry(windowed_retry_budget &Budget, const std::string &Service,
                     std::size_t Instances, instant Now);
/// Records a retry that needs no token.
void recordUnchargedRetry(windowed_retry_budget &Budget,
                          const std::string &Service);
/// Returns the usage of the budget for \p Service, as tryAcquireRetry() sees
/// it.
retry_usage retryUsage(windowed_retry_budget &Budget,
                       const std::string &Service, std::size_t Instances,
                       instant Now);

/// Number of \p Instances that rank above the one with \p OwnHash in the
/// rendezvous order for \p Hash; all instances agree on it without
/// communication.
std::size_t
countHigherRankedInstances(std::uint64_t Hash, std::uint64_t OwnHash,
                           const std::vector<std::uint64_t> &Instances);

/// Requests per second that this instance may send to a cold server that
/// sustains \p RequestsPerSecond from all instances. Only as many instances
/// send as can each send a whole request per second; for the others the rate is
/// 0. \p Instances are the hashes of all instances.
double coldRate(double RequestsPerSecond, std::uint64_t TargetHash,
                std::uint64_t OwnHash,
                const std::vector<std::uint64_t> &Instances);

/// How far all instances together may exceed what a cold server sustains, set
/// by the operators: requests in one second at most rate x overshoot + slack.
struct cold_bounds {
  /// 0: not stated.
  double Overshoot = 0;
  double Slack = 0;
};

/// Requests per second that an instance may send to each server while it does
/// not hear whether servers became cold: its part of what the bounds allow
/// beyond \p ColdRequestsPerSecond, which the others use up. Nullopt if the
/// bounds are not stated or the number of instances is not known.
std::optional<double> uninformedRate(const cold_bounds &Bounds,
                                     double ColdRequestsPerSecond,
                                     std::size_t Instances);

/// Time from which an instance that became uninformed at \p Since may send to a
/// server at \p OwnRate requests per second. The instances that become so
/// together share the interval between two requests of each.
instant firstUninformedRequest(instant Since, double OwnRate,
                               std::uint64_t TargetHash, std::uint64_t OwnHash,
                               const std::vector<std::uint64_t> &Instances);

/// Whether a request may be sent to \p Target now at \p OwnRate requests per
/// second.
bool admitsPacedRequest(const target &Target, double OwnRate, instant Now);
/// Records a request that is sent at \p OwnRate requests per second.
void recordPacedRequest(target &Target, double OwnRate, instant Now);

} // namespace amaranthhoist
