/// Tries the servers of services whose paths are impaired (Reachability) by
/// connections without a request, so that no caller waits for them.
#pragma once

#include "connect_trial.h"
#include "node.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <memory>

namespace amaranthhoist {

class target_pool;

class server_prober {
public:
  server_prober(node &Node, target_pool &Pool);

  /// Called with each change of the paths to the service of \p Target.
  void onPathChange(path_change Change, const target &Target);

private:
  void tick();
  void begin(const target &Target);
  void finish(std::uint64_t Serial, const std::string &Id, bool IsReached);

  node &Node;
  target_pool &Pool;
  timer_id NextTick = 0;
  /// Keyed by the server's serial.
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<connect_trial>> Trials;
};

} // namespace amaranthhoist
