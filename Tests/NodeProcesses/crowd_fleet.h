/// A node with little memory and few descriptors, and what must hold for it
/// beside a crowd of callers that read nothing.
#pragma once

#include "crowd.h"
#include "small_fleet.h"

#include <string>

namespace amaranthhoist {

struct crowd_fleet : node_fleet {
  crowd_fleet();
  /// Starts the node. Returns false if it doesn't get ready.
  bool begin();

  /// How long a crowd sends before the node is looked at. On a slow machine the
  /// node gets less of it.
  duration CrowdTime = std::chrono::seconds(3);

  /// Lets the crowd send for a while, then checks that the node lives within
  /// its limits and serves others, beside the crowd and after it.
  void checkBeside(const crowd_plan &Plan, const char *Name);
  /// Whether one ordinary request, one look-up and one query of the readiness
  /// are answered with 200.
  bool servesOthers();
  /// Checks that the node lives and stays within its limits.
  void checkLimits(const char *Name);

  node_process *Node = nullptr;

private:
  bool isServed();
  int Requests = 0;
};

/// A request with the fields that the platform's callers send.
std::string crowdRequest(std::string_view Line, std::string_view Fields = {});

} // namespace amaranthhoist
