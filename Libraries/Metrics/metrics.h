/// Counters, and latency histograms per customer and class, in the usual text
/// format. The statistics are Boost.Accumulators'. No Debian package offers the
/// exposition for C++, so the few lines of format are here.
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

/// Upper bounds of the histogram's buckets, in seconds.
inline constexpr std::array<double, 14> LatencyBounds = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

/// Labels of one histogram.
struct latency_labels {
  std::string Customer;
  std::string Service;
  std::string Outcome;
  bool operator<(const latency_labels &Other) const {
    return std::tie(Customer, Service, Outcome) <
           std::tie(Other.Customer, Other.Service, Other.Outcome);
  }
};

/// Labels of a counter of attempts at backend servers.
struct attempt_labels {
  /// The backend server's.
  std::string Region;
  /// On a connection that was open already; a new one takes two crossings more
  /// before the server has the request.
  bool IsOnKeptConnection = false;
  /// Not the first attempt for its request.
  bool IsRepeat = false;
  bool operator<(const attempt_labels &Other) const {
    return std::tie(Region, IsOnKeptConnection, IsRepeat) <
           std::tie(Other.Region, Other.IsOnKeptConnection, Other.IsRepeat);
  }
};

/// All metrics of one process. Sharded by customer, each shard with its own
/// lock.
class metrics_registry {
public:
  /// Customers beyond this many share one label, so that memory is bounded.
  static constexpr std::size_t MaxSeriesPerShard = 4'000;

  void observeLatency(const latency_labels &Labels, duration Took);
  void count(const std::string &Name, std::int64_t By = 1);
  void countAttempt(const attempt_labels &Labels);
  /// Calls \p Read for a gauge's value at each exposition.
  void gauge(const std::string &Name, std::function<double()> Read);

  /// Everything in the text exposition format.
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

  void exposeSeries(const latency_labels &Labels, const series &Series,
                    std::string &Text) const;
  void exposeAttempts(std::string &Text) const;

  std::array<shard, 16> Shards;
  mutable std::mutex CounterLock;
  std::map<std::string, std::int64_t> Counters;
  std::map<attempt_labels, std::int64_t> Attempts;
  std::map<std::string, std::function<double()>> Gauges;
};

} // namespace amaranthhoist
