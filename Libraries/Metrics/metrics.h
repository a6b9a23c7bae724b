/// Counters, gauges, and latency histograms per customer, service and outcome,
/// in the Prometheus text exposition format. Boost.Accumulators computes the
/// statistics. No Debian package provides the exposition format for C++, so it
/// is implemented here.
#pragma once

#include "Core/core.h"

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>

namespace amaranthhoist {

/// Upper bounds of the histogram buckets in seconds.
inline constexpr std::array<double, 14> LatencyBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

/// Labels of one latency histogram.
struct latency_labels {
  std::string Customer;
  std::string Service;
  std::string Outcome;
  bool operator<(const latency_labels &Other) const {
    return std::tie(Customer, Service, Outcome) <
           std::tie(Other.Customer, Other.Service, Other.Outcome);
  }
};

/// Labels of one counter of attempts at backend servers.
struct attempt_labels {
  /// The region of the backend server.
  std::string Region;
  /// The attempt reused an open connection. A new connection needs two more
  /// network crossings before the server receives the request.
  bool IsOnReusedConnection = false;
  /// The attempt is not the first one of its request.
  bool IsRetry = false;
  bool operator<(const attempt_labels &Other) const {
    return std::tie(Region, IsOnReusedConnection, IsRetry) <
           std::tie(Other.Region, Other.IsOnReusedConnection, Other.IsRetry);
  }
};

/// All metrics of one process. Latency series are sharded by customer, and each
/// shard has its own lock.
class metrics_registry {
public:
  /// Bounds memory: once a shard has this many series, new series are recorded
  /// under the shared customer label "(others)".
  static constexpr std::size_t MaxSeriesPerShard = 4'000;

  void observeLatency(const latency_labels &Labels, duration Elapsed);
  void incrementCounter(const std::string &Name, std::int64_t Increment = 1);
  void countAttempt(const attempt_labels &Labels);
  /// Registers a gauge whose value is read from \p ReadValue at each
  /// exposition.
  void registerGauge(const std::string &Name,
                     std::function<double()> ReadValue);

  /// Formats all metrics in the text exposition format.
  std::string expose() const;

private:
  using statistics = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square_quantile>>;

  struct series {
    series();
    statistics Statistics;
    std::array<std::uint64_t, LatencyBounds.size()> Buckets{};
  };

  struct shard {
    mutable std::mutex Lock;
    std::map<latency_labels, std::unique_ptr<series>> Series;
  };

  void formatSeries(const latency_labels &Labels, const series &Series,
                    std::string &Text) const;
  void formatAttempts(std::string &Text) const;

  std::array<shard, 16> Shards;
  mutable std::mutex CounterLock;
  std::map<std::string, std::int64_t> Counters;
  std::map<attempt_labels, std::int64_t> Attempts;
  std::map<std::string, std::function<double()>> Gauges;
};

} // namespace amaranthhoist
