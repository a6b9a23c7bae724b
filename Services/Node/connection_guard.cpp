#include "connection_guard.h"

#include "Text/text.h"

namespace amaranthhoist {

connection_guard::connection_guard(node &Node) : Node(Node) {
  watch(Node.RequestMemory, "requests");
  watch(Node.AuxiliaryMemory, "auxiliary");
}

void connection_guard::watch(memory_account &Memory, const std::string &Name) {
  Node.Metrics.registerGauge(
      cat("amaranthhoist_connection_memory_bytes{of=\"", Name, "\"}"),
      [&Memory] { return static_cast<double>(Memory.UsedBytes); });
  Node.Loop.atEndOfIteration([this, &Memory, Name] { enforce(Memory, Name); });
}

void connection_guard::enforce(const memory_account &Memory,
                               std::string_view Name) {
  const std::size_t UsedBytes = Memory.UsedBytes;
  const auto Dropped = holdersToDrop(Memory);
  if (Dropped.empty())
    return;
  for (memory_holder *Holder : Dropped)
    Holder->drop();
  Node.Metrics.incrementCounter(
      cat("amaranthhoist_connections_dropped_total{of=\"", Name, "\"}"),
      static_cast<std::int64_t>(Dropped.size()));
  Node.Log.write(
      log_kind::ClusterState, "connections_dropped",
      {{"of", Name},
       {"connections", static_cast<std::int64_t>(Dropped.size())},
       {"used_bytes", static_cast<std::int64_t>(UsedBytes)},
       {"limit_bytes", static_cast<std::int64_t>(Memory.LimitBytes)}},
      Node.Loop.now());
}

} // namespace amaranthhoist
