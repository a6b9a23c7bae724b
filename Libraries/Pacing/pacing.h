/// Rates that all instances share without talking: each takes a part so small
/// that the sum keeps the bound, whatever the others do. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Targets/targets.h"
#include "Text/text.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Bounds on repeats, from the operators.
struct repeat_bounds {
  /// Repeats allowed for each request of callers.
  double Ratio = 0.1;
  /// Time over which requests and repeats are summed.
  duration Window = std::chrono::seconds(10);
  /// Repeats allowed beyond the ratio, all instances together.
  double Slack = 0;
};

/// Requests and repeats of one service at this instance, in slices of the
/// window.
struct repeat_counts {
  static constexpr std::size_t Slices = 20;
  std::array<double, Slices> Requests{};
  std::array<double, Slices> Repeats{};
  /// Number of the slice that was written last.
  std::int64_t LastSlice = 0;
};

/// Keeps repeats a fraction of requests, so that they can't multiply a load
/// that already fails.
struct repeat_budget {
  repeat_bounds Bounds;
  text_map<repeat_counts> ByService;
};

/// Counts a request of a caller for \p Service.
void countRequest(repeat_budget &Budget, const std::string &Service,
                  instant Now);
/// Whether a repeat may be sent now; counts it. \p Instances share the slack.
bool takeRepeat(repeat_budget &Budget, const std::string &Service,
                std::size_t Instances, instant Now);

/// How many of \p Instances come before the one with \p OwnHash in the order
/// that \p Hash gives them: all instances agree on it without talking.
std::size_t instancesBefore(std::uint64_t Hash, std::uint64_t OwnHash,
                            const std::vector<std::uint64_t> &Instances);

/// How many requests a second this instance may send to a cold server that
/// bears \p RequestsPerSecond from all instances. Only as many instances send
/// as can each send a whole request a second; the others leave it alone. 0 for
/// those. \p Instances are the hashes of all instances.
double coldRate(double RequestsPerSecond, std::uint64_t TargetHash,
                std::uint64_t OwnHash,
                const std::vector<std::uint64_t> &Instances);

/// Whether a request may go to \p Target as far as its warming goes.
bool bearsRequest(const target &Target, double OwnRate, instant Now);
/// Counts a request to a cold server.
void countColdRequest(target &Target, double OwnRate, instant Now);

} // namespace amaranthhoist
