// What a backend server reports about itself with a response.
#include "exchange.h"

namespace amaranthhoist {

/// Upper bound of a server's Retry-After, so that a wrong value does not
/// exclude the server for the rest of its lifetime.
static constexpr duration MaxRetryAfter = std::chrono::hours(1);
/// Bytes of a malformed load report that are logged.
static constexpr std::size_t MaxLoggedReportBytes = 40;

/// Returns the backoff that a server requests from this node with a 503 and
/// Retry-After.
static std::optional<duration> requestedBackoff(const message_head &Head) {
  const auto Seconds =
      Head.status() == 503 ? retryAfterSeconds(Head) : std::nullopt;
  if (!Seconds)
    return std::nullopt;
  constexpr double Most = MaxRetryAfter.count() / 1e6;
  return duration(static_cast<std::int64_t>(std::min(*Seconds, Most) * 1e6));
}

void exchange::applyServerState(const message_head &Head) {
  // A 421 comes from another server and says nothing about the intended one.
  if (Head.status() == 421)
    return;
  const instant Now = Node.Loop.now();
  if (Head.find(Node.Wire.Leaving) == "1" && !Target->Entry.IsDraining) {
    recordDraining(Node.Steering.Targets, *Target);
    Node.Log.write(log_kind::ClusterState, "server_says_it_leaves",
                   {{"server", Target->Entry.Id}}, Now);
  }
  if (const auto Rest = requestedBackoff(Head)) {
    recordBackoff(Node.Steering.Targets, *Target, Now + *Rest);
    Node.Log.write(log_kind::ClusterState, "server_rests",
                   {{"server", Target->Entry.Id},
                    {"for_us", static_cast<std::int64_t>(Rest->count())},
                    {"repeat", Attempts.size() > 1}},
                   Now);
  }
}

std::optional<target_load> exchange::readLoad(const message_head &Head) {
  const auto Field = Head.find(Node.Wire.Load);
  if (!Field)
    return std::nullopt;
  const instant Now = Node.Loop.now();
  const auto Load = Node.Wire.DecodeLoad(*Field);
  if (Load) {
    recordServerLoad(Node.Steering, *Target, *Load, Now);
    return Load;
  }
  // A format that this build does not know would otherwise go unnoticed, and
  // the loads of all servers that use it be unknown.
  Node.Metrics.incrementCounter("amaranthhoist_load_reports_malformed_total");
  Node.Log.write(log_kind::RequestFailure, "load_report_malformed",
                 {{"server", Target->Entry.Id},
                  {"report", Field->substr(0, MaxLoggedReportBytes)}},
                 Now);
  return std::nullopt;
}

} // namespace amaranthhoist
