/// Applies the store's objects, from whichever source, to the node's state: its
/// configuration, servers, evacuated failure domains and fleet.
#pragma once

#include "ObjectCache/deferred_changes.h"
#include "ObjectCache/object_cache.h"
#include "Targets/list_completeness.h"
#include "node.h"

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace amaranthhoist {

class replicated_state {
public:
  explicit replicated_state(node &Node);

  /// Applies changes. Returns false for those older than the cached state,
  /// which are ignored.
  bool update(kind_changes Changes);

  /// \p Callback is called once, when the state is complete for the first time.
  void notifyFullState(std::function<void()> Callback) {
    OnFullState = std::move(Callback);
  }
  /// Called when the store responds.
  void onStoreResponse();
  /// Applies the settings in force.
  void applySettings();
  /// Called when the store stops responding, and when it responds again.
  void onStoreOutage();
  /// Called with a peer's fresh state, which tells whether its server list is
  /// complete.
  void onPeerListState(const cache_changes &Changes);
  [[nodiscard]] bool isTargetListComplete() const;
  /// Time since the store last responded to this instance or its source before
  /// the outage that goes on, if one does; unset if not known.
  [[nodiscard]] std::optional<duration> storeContactAge() const;

  /// Returns whether a full list of every kind has been received.
  [[nodiscard]] bool hasFullState() const;
  /// Time since the configuration in force was applied; zero if there is none
  /// yet.
  [[nodiscard]] duration configurationAge() const;
  [[nodiscard]] const object_cache &cache() const { return Cache; }

private:
  void apply(object_kind Kind, const object_change &Change);
  void applyAll(object_kind Kind, std::span<const object_change> Changes);
  /// Called with the first list of an era, before it is applied.
  void beginEra(kind_changes &Changes, const text_set &RemovedBefore);
  void applyDeferred();
  void applyConfigurationText(const std::string &Text);
  /// Logs which keys of \p Former the configuration in force lacks.
  void logRevokedKeys(const account_directory &Former);
  void applyTarget(const object_change &Change);
  void applyEvacuation(const object_change &Change);
  void applyInstance(const object_change &Change);
  void applyInstances();
  void logRejected(const kind_changes &Changes);
  void logUnreadable(object_kind Kind, std::string_view Name,
                     std::string_view Why);
  void runMaintenance();
  void logRegionSpillover();

  node &Node;
  object_cache Cache;
  std::array<deferred_changes, ObjectKinds> Deferred;
  /// The listed instances whose objects are readable, by name.
  text_map<fleet_member> Instances;
  list_completeness Trust;
  instant ConfigurationAppliedAt{};
  std::function<void()> OnFullState;
  /// Last logged share of the requests that spill over to all regions, by
  /// service.
  text_map<double> LoggedSpillover;
};

} // namespace amaranthhoist
