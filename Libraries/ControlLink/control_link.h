/// Connects a daemon to the control of its instance: receives the stream of
/// objects, writes to the platform and registers the daemon.
#pragma once

#include "Objects/objects.h"
#include "Protocol/protocol.capnp.h"
#include "Rpc/rpc.h"

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace amaranthhoist {

/// One batch of changes.
struct view_change {
  const object_view &View;
  /// The changed items. Contains all items after a registration or a restart of
  /// the control.
  const std::vector<item> &Items;
  /// Object keys of daemons that are suspected or down.
  const std::set<std::string> &Down;
  bool DownChanged = false;
  /// Whether the items include any of \p Kind.
  bool touches(std::string_view Kind) const;
};

/// Called on the loop's thread after each batch of changes.
using view_listener = std::function<void(const view_change &Change)>;
/// Called on the loop's thread with the result of a write.
using update_listener =
    std::function<void(update_result Result, std::int64_t Version)>;

/// The identity of a daemon and the key under which it registers.
struct link_identity {
  /// Key of the daemon's own object. An empty key means that the daemon does
  /// not register.
  std::string Key;
  daemon_record Record;
};

class control_link {
public:
  control_link(rpc_loop &Loop, std::string Address, link_identity Identity,
               view_listener Listener);

  /// Starts polling the control for changes. Returns at once.
  void start();

  /// Sends a conditional update. Called on the loop's thread only.
  void update(const std::string &Key, const std::string &Value,
              std::int64_t BaseVersion, bool Deleted,
              const update_listener &OnResult);

  /// Returns the incarnation of this daemon, or 0 until it is registered.
  /// Called on the loop's thread only.
  std::int64_t incarnation() const { return Incarnation; }

  /// Deletes the daemon's object, so that no other process uses the daemon any
  /// more.
  void unregister();

private:
  void poll();
  void applyBatch(wire::Control::ChangesResults::Reader Response);
  void registerIfNeeded();
  void announceAll();

  rpc_loop &Loop;
  std::string Address;
  link_identity Identity;
  view_listener Listener;
  object_view View;
  std::set<std::string> Down;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  std::int64_t Incarnation = 0;
  bool Writing = false;
  bool Unregistering = false;
};

} // namespace amaranthhoist
