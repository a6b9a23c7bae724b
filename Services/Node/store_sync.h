/// Selects the source of the store's objects: peers while they have fresh
/// state, the store itself when this node is one of its watchers (StateSpread).
/// Notifies other instances of available state after a start, and maintains
/// this node's own object in the store.
#pragma once

#include "StateSpread/state_freshness.h"
#include "StateSpread/watch_duty.h"
#include "instance_registration.h"
#include "kind_follower.h"
#include "node.h"
#include "relay_link.h"
#include "replicated_state.h"
#include "state_bootstrap.h"
#include "state_server.h"
#include "store_connection.h"
#include "store_move.h"

#include <array>
#include <functional>

namespace amaranthhoist {

/// The node's connection to the store, as shown to operators.
struct store_status {
  /// "store", or the name of the instance that is polled.
  std::string Source;
  /// Its role for other instances: "watcher", "relay" or "leaf".
  std::string_view Role;
  /// Lower bound of the time since the state was fresh at the store.
  duration Age{};
  /// Time since the configuration in force was applied; zero if there is none
  /// yet.
  duration ConfigurationAge{};
  bool IsStoreUnresponsive = false;
  bool ListIsSure = false;
};

class store_sync {
public:
  /// \p AnnounceState notifies the instance that receives datagrams at an
  /// address that this one has the state.
  store_sync(node &Node,
             std::function<void(const std::string &)> AnnounceState);

  void start();
  /// Called when an instance with the control address \p Control is alive.
  void onSourceAnnounced(const std::string &Control) {
    Bootstrap.onSourceAnnounced(Control);
  }
  /// Called with the version of the configuration that another instance with
  /// the control address \p Control states.
  void onPeerVersion(const std::string &Control, std::int64_t Version);
  /// Responds to an instance that asks for changes.
  small_response handlePeerQuery(std::string_view Query) {
    return Server.handleQuery(Query);
  }
  [[nodiscard]] store_status status() const;
  /// Applies the settings in force, but for the store's address.
  void applySettings() { State.applySettings(); }
  /// Moves all calls to the store to \p Address once it answers there.
  void moveStore(const std::string &Address) { Move.start(Address); }
  [[nodiscard]] bool isMovePending() const { return Move.isPending(); }

private:
  void onStoreMoved(const std::string &Address);
  void decide();
  void decideDuringBootstrap();
  void onBootstrapFinished();
  void setUsesStore(bool IsWanted);
  /// Limits what the node sends to each server while other instances that it
  /// does not hear may know more.
  void updateInformed();
  /// Lower bound of the time since the state was fresh at the store.
  duration age() const;
  instant freshAt() const;
  void startFollowers();
  void probe();
  void probeNow();
  /// Probes the store by a check of the configuration, if there is one.
  void sendProbe();
  void handleProbeResult(bool IsAnswered);
  /// Applies the response to a check that was sent at \p SentAt. Returns
  /// whether the store answered.
  bool handleCheck(const store_response &Response, instant SentAt);
  /// The point in the store's history that the held configuration is from.
  [[nodiscard]] store_position configurationPosition() const;
  /// Called when a check shows a change that the watch has not delivered.
  void onMissedChange();
  void restartFollowers();
  /// Queries an instance that has a later configuration if the regular paths
  /// have missed it.
  void queryLaterVersion();
  /// Whether this instance has its state from the store itself, and a check has
  /// confirmed it.
  [[nodiscard]] bool isCurrent() const;
  /// Handles the era that the store states in the response to a probe.
  void checkEra(std::uint64_t Era);
  void onStoreResponsive();
  void removeDeadInstances();

  node &Node;
  std::function<void(const std::string &)> AnnounceState;
  replicated_state State;
  std::array<kind_follower, ObjectKinds> Followers;
  state_bootstrap Bootstrap;
  relay_link Relay;
  state_server Server;
  instance_registration Registration;
  store_connection Prober;
  store_connection Cleaner;
  store_move Move;
  watch_duty Duty;
  tree_place Place;
  bool HasFullState = false;
  instant BootstrappedAt{};
  /// Whether this node's object was listed when bootstrap finished.
  bool WasListed = false;
  bool UsesStore = false;
  /// Whether the store has to respond to a probe before anything else is asked.
  bool IsStoreUnconfirmed = false;
  /// Whether a probe timed out since the last response.
  bool HadProbeTimeout = false;
  timer_id NextProbe = 0;
  std::uint64_t StatedEra = 0;
  state_freshness Freshness;
  /// Time at which the store last responded to a probe.
  instant RespondedAt{};
  std::map<std::string, instant> DownSince;
};

} // namespace amaranthhoist
