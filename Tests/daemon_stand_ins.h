/// What a daemon under test meets: gateways on a loop of their own, and the
/// objects that a control would hand it.
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

/// After this something counts as never happening. Nothing is measured by it.
inline constexpr duration HangLimit = std::chrono::seconds(20);

/// Settings of an instance that follows no control.
instance_settings standInSettings();

/// Waits until \p Holds; false after HangLimit.
bool waitUntil(const std::function<bool()> &Holds);

/// All other gateways, at one address. Work that is sent there is never
/// answered; as witness it answers that nothing ran.
class stand_in_gateways {
public:
  stand_in_gateways();
  ~stand_in_gateways();

  const std::string Address;
  std::atomic<int> Runs = 0;
  std::atomic<int> Seals = 0;

  /// Messages delivered so far: node meant, and the message.
  std::vector<std::pair<std::string, peer_message>> delivered();

private:
  class server;

  std::mutex Lock;
  std::vector<std::pair<std::string, peer_message>> Delivered;
  rpc_loop Loop;
};

/// The control of an instance: hands on what it is given, and writes whatever a
/// daemon asks for.
class stand_in_control {
public:
  stand_in_control();
  ~stand_in_control();

  const std::string Address;

  /// Hands on a change; a value of "" removes the object.
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

/// Objects as a control hands them on, batch by batch.
class daemon_view {
public:
  void put(const std::string &Key, std::int64_t Version,
           const std::string &Value);
  void remove(const std::string &Key, std::int64_t Version);
  /// What has changed since the last call. Valid until the next call.
  view_change change();

private:
  object_view View;
  std::vector<item> Fresh;
  std::vector<item> Batch;
  std::set<std::string> Down;
};

} // namespace amaranthhoist
