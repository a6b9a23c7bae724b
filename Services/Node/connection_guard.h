/// Keeps the memory that connections of others cause within its limits, by
/// closing those that hold most.
#pragma once

#include "node.h"

#include <string>
#include <string_view>

namespace amaranthhoist {

class connection_guard {
public:
  explicit connection_guard(node &Node);

private:
  /// \p Name is the account's name in logs and metrics.
  void watch(memory_account &Memory, const std::string &Name);
  void enforce(const memory_account &Memory, std::string_view Name);

  node &Node;
};

} // namespace amaranthhoist
