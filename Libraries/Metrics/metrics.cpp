#include "Metrics/metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

namespace amaranthhoist {

namespace acc = boost::accumulators;

static const std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

metrics_registry::series::series()
    : Statistics(acc::extended_p_square_probabilities = Quantiles) {}

void metrics_registry::observeLatency(const latency_labels &Labels,
                                      duration Elapsed) {
  const double Seconds = std::chrono::duration<double>(Elapsed).count();
  shard &Shard = Shards[stableHash(Labels.Customer) % Shards.size()];
  const std::lock_guard Guard(Shard.Lock);
  latency_labels Key = Labels;
  if (Shard.Series.size() >= MaxSeriesPerShard && !Shard.Series.contains(Key))
    Key.Customer = "(others)";
  std::unique_ptr<series> &Series = Shard.Series[Key];
  if (!Series)
    Series = std::make_unique<series>();
  Series->Statistics(Seconds);
  for (std::size_t Bucket = 0; Bucket < LatencyBounds.size(); ++Bucket)
    if (Seconds <= LatencyBounds[Bucket])
      ++Series->Buckets[Bucket];
}

void metrics_registry::incrementCounter(const std::string &Name,
                                        std::int64_t Increment) {
  const std::lock_guard Guard(CounterLock);
  Counters[Name] += Increment;
}

void metrics_registry::countAttempt(const attempt_labels &Labels) {
  const std::lock_guard Guard(CounterLock);
  ++Attempts[Labels];
}

void metrics_registry::registerGauge(const std::string &Name,
                                     std::function<double()> ReadValue) {
  const std::lock_guard Guard(CounterLock);
  Gauges[Name] = std::move(ReadValue);
}

static std::string escapeLabel(const std::string &Value) {
  return absl::StrReplaceAll(Value,
                             {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

void metrics_registry::formatSeries(const latency_labels &Labels,
                                    const series &Series,
                                    std::string &Text) const {
  const std::string Common = absl::StrCat(
      "customer=\"", escapeLabel(Labels.Customer), "\",service=\"",
      escapeLabel(Labels.Service), "\",outcome=\"", Labels.Outcome, "\"");
  const char *Name = "amaranthhoist_request_seconds";
  for (std::size_t Bucket = 0; Bucket < LatencyBounds.size(); ++Bucket)
    absl::StrAppend(&Text, Name, "_bucket{", Common, ",le=\"",
                    LatencyBounds[Bucket], "\"} ", Series.Buckets[Bucket],
                    "\n");
  const auto Count = acc::count(Series.Statistics);
  absl::StrAppend(&Text, Name, "_bucket{", Common, ",le=\"+Inf\"} ", Count,
                  "\n");
  absl::StrAppend(&Text, Name, "_sum{", Common, "} ",
                  acc::sum(Series.Statistics), "\n");
  absl::StrAppend(&Text, Name, "_count{", Common, "} ", Count, "\n");
  absl::StrAppend(&Text, Name, "_max{", Common, "} ",
                  acc::max(Series.Statistics), "\n");
  for (const double Quantile : Quantiles)
    absl::StrAppend(
        &Text, Name, "_quantile{", Common, ",quantile=\"", Quantile, "\"} ",
        acc::quantile(Series.Statistics, acc::quantile_probability = Quantile),
        "\n");
}

void metrics_registry::formatAttempts(std::string &Text) const {
  if (Attempts.empty())
    return;
  const char *Name = "amaranthhoist_attempts_total";
  absl::StrAppend(&Text, "# TYPE ", Name, " counter\n");
  for (const auto &[Labels, Value] : Attempts)
    absl::StrAppend(&Text, Name, "{region=\"", escapeLabel(Labels.Region),
                    "\",connection=\"",
                    Labels.IsOnReusedConnection ? "kept" : "new",
                    "\",attempt=\"", Labels.IsRetry ? "repeat" : "first",
                    "\"} ", Value, "\n");
}

std::string metrics_registry::expose() const {
  std::string Text = "# TYPE amaranthhoist_request_seconds histogram\n";
  for (const shard &Shard : Shards) {
    const std::lock_guard Guard(Shard.Lock);
    for (const auto &[Labels, Series] : Shard.Series)
      formatSeries(Labels, *Series, Text);
  }
  const std::lock_guard Guard(CounterLock);
  for (const auto &[Name, Value] : Counters)
    absl::StrAppend(&Text, "# TYPE ", Name, " counter\n", Name, " ", Value,
                    "\n");
  formatAttempts(Text);
  for (const auto &[Name, ReadValue] : Gauges)
    absl::StrAppend(&Text, "# TYPE ", Name, " gauge\n", Name, " ", ReadValue(),
                    "\n");
  return Text;
}

} // namespace amaranthhoist
