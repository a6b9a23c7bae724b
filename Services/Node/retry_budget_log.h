/// Logs and exposes how much of the retry budget this node has used, and by
/// which inputs it is computed.
#pragma once

#include "node.h"

#include <cstdint>

namespace amaranthhoist {

class retry_budget_log {
public:
  explicit retry_budget_log(node &Node);

private:
  void logUsage();
  /// The largest share of its budget that any service has used.
  [[nodiscard]] double maxUsedShare() const;

  node &Node;
  struct logged_totals {
    std::int64_t Denied = 0;
    std::int64_t Uncharged = 0;
  };
  text_map<logged_totals> Logged;
};

} // namespace amaranthhoist
