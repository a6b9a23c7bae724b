/// Logs how this node's callers are served: counts over all requests, since
/// lines of single requests are limited.
#pragma once

#include "node.h"

namespace amaranthhoist {

class request_log {
public:
  explicit request_log(node &Node);

private:
  void logCounts();

  node &Node;
  request_counts Logged;
};

} // namespace amaranthhoist
