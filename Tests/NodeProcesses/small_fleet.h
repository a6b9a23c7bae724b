/// Two servers, one node, ready: where most tests start.
#pragma once

#include "node_fleet.h"

#include <string>

namespace amaranthhoist {

/// The node's program: from the environment, or the one that was built.
std::string nodeProgram();

/// How often a request was run, at all servers together.
int runsOf(const node_fleet &Fleet, const std::string &Id);

struct small_fleet : node_fleet {
  small_fleet();
  void setAll(target_stand_in::behavior Behavior);

  node_process *Node = nullptr;
  bool IsReady = false;
};

} // namespace amaranthhoist
