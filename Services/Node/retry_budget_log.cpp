#include "retry_budget_log.h"

#include <algorithm>

namespace amaranthhoist {

/// Short compared to the window of the budget, so that the lines show when it
/// was used.
static constexpr duration LogPeriod = std::chrono::seconds(1);

retry_budget_log::retry_budget_log(node &Node) : Node(Node) {
  Node.Loop.runEvery(LogPeriod, [this] { logUsage(); });
  Node.Metrics.registerGauge("amaranthhoist_retry_budget_used_share",
                             [this] { return maxUsedShare(); });
  Node.Metrics.registerGauge("amaranthhoist_retry_budget_instances", [this] {
    return static_cast<double>(this->Node.Steering.Instances.size());
  });
}

double retry_budget_log::maxUsedShare() const {
  windowed_retry_budget &Budget = Node.Steering.RetryBudget;
  double Share = 0;
  for (const auto &[Service, Counts] : Budget.ByService) {
    const retry_usage Usage = retryUsage(
        Budget, Service, Node.Steering.Instances.size(), Node.Loop.now());
    const double Allowed = Usage.Retries + Usage.Available;
    if (Allowed > 0)
      Share = std::max(Share, Usage.Retries / Allowed);
  }
  return Share;
}

void retry_budget_log::logUsage() {
  windowed_retry_budget &Budget = Node.Steering.RetryBudget;
  const std::size_t Instances = Node.Steering.Instances.size();
  const instant Now = Node.Loop.now();
  for (const auto &[Service, Counts] : Budget.ByService) {
    const retry_usage Usage = retryUsage(Budget, Service, Instances, Now);
    logged_totals &Totals = Logged[Service];
    const bool IsUnchanged =
        Totals.Denied == Counts.Denied && Totals.Uncharged == Counts.Uncharged;
    if (Usage.Retries == 0 && IsUnchanged)
      continue;
    Totals = {Counts.Denied, Counts.Uncharged};
    Node.Log.write(log_kind::ClusterState, "retry_budget",
                   {{"service", Service},
                    {"requests", Usage.Requests},
                    {"retries", Usage.Retries},
                    {"allowed", Usage.Retries + Usage.Available},
                    {"instances", static_cast<std::int64_t>(Instances)},
                    {"denied", Counts.Denied},
                    {"uncharged", Counts.Uncharged}},
                   Now);
  }
}

} // namespace amaranthhoist
