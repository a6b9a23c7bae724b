/// A fleet of two backend servers and one ready node, the setup of most tests.
#pragma once

#include "node_fleet.h"

#include <optional>
#include <string>

namespace amaranthhoist {

/// Returns the path of the node executable: AMARANTHHOIST_NODE if set,
/// otherwise the one from this build.
std::string nodeProgram();

/// Returns how often all servers together executed a request.
int runsOf(const node_fleet &Fleet, const std::string &Id);

struct small_fleet : node_fleet {
  explicit small_fleet(std::optional<double> RetryRatio = std::nullopt);
  void setAll(target_stand_in::behavior Behavior);

  node_process *Node = nullptr;
  bool IsReady = false;
};

} // namespace amaranthhoist
