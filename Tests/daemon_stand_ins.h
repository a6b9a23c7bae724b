/// Test doubles for the daemon tests: gateways on their own event loop, and the
/// objects that a control would send to the daemon under test.
#pragma once

#include "ControlLink/control_link.h"
#include "Protocol/protocol.h"
#include "Rpc/rpc.h"
#include "Settings/settings.h"
#include "Timers/timers.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace amaranthhoist {

/// Time after which a test assumes that an event will not occur. No measurement
/// depends on it.
inline constexpr duration HangLimit = std::chrono::seconds(20);

/// Settings of an instance without a control.
instance_settings standInSettings();

/// Waits until \p Holds returns true. Returns false after HangLimit.
bool waitUntil(const std::function<bool()> &Holds);

/// Stands in for all other gateways, at one address. It never responds to work;
/// as witness it responds that nothing has run.
class stand_in_gateways {
public:
  stand_in_gateways();
  ~stand_in_gateways();

  const std::string Address;
  std::atomic<int> Runs = 0;
  std::atomic<int> Seals = 0;

  /// Messages delivered so far, each with its destination node.
  std::vector<std::pair<std::string, peer_message>> delivered();

private:
  class server;

  std::mutex Lock;
  std::vector<std::pair<std::string, peer_message>> Delivered;
  rpc_loop Loop;
};

/// Stands in for the control of an instance: passes on the changes given to it,
/// and accepts every write of a daemon.
class stand_in_control {
public:
  stand_in_control();
  ~stand_in_control();

  const std::string Address;

  /// Passes on a change. A value of "" removes the object.
  void announce(const std::string &Key, std::int64_t Version,
                const std::string &Value);
  /// Whether a daemon has written \p Key.
  bool hasWritten(const std::string &Key);

private:
  class server;

  std::mutex Lock;
  std::vector<item> Items;
  std::set<std::string> Written;
  rpc_loop Loop;
};

/// The objects as a control sends them, in batches.
class daemon_view {
public:
  void put(const std::string &Key, std::int64_t Version,
           const std::string &Value);
  void remove(const std::string &Key, std::int64_t Version);
  /// Returns the changes since the last call. The result is valid until the
  /// next call.
  view_change change();

private:
  object_view View;
  std::vector<item> Fresh;
  std::vector<item> Batch;
  std::set<std::string> Down;
};

} // namespace amaranthhoist
