#include "request_log.h"

namespace amaranthhoist {

static constexpr duration LogPeriod = std::chrono::seconds(2);

request_log::request_log(node &Node) : Node(Node) {
  Node.Loop.runEvery(LogPeriod, [this] { logCounts(); });
}

void request_log::logCounts() {
  const request_counts &Counts = Node.Requests;
  if (Counts == Logged)
    return;
  Node.Log.write(log_kind::ClusterState, "requests",
                 {{"served", Counts.Served - Logged.Served},
                  {"refused", Counts.Refused - Logged.Refused},
                  {"failed", Counts.Failed - Logged.Failed},
                  {"forwarded", Counts.Forwarded - Logged.Forwarded}},
                 Node.Loop.now());
  Logged = Counts;
}

} // namespace amaranthhoist
