/// Turns the store's objects, wherever they came from, into what the node
/// believes: its configuration, servers, evacuated failure domains and fleet.
#pragma once

#include "ObjectCache/object_cache.h"
#include "Targets/list_completeness.h"
#include "node.h"

#include <string>
#include <string_view>

namespace amaranthhoist {

class beliefs {
public:
  explicit beliefs(node &Node);

  /// Takes in changes; older ones than are known are left out.
  void take(kind_changes Changes);

  /// The store fell silent, or answers again after that.
  void noteTrouble();
  /// A peer whose state is fresh tells whether its list is sure.
  void notePeer(bool ListIsSure);
  [[nodiscard]] bool listIsSure() const;

  /// Whether every kind was known whole once.
  [[nodiscard]] bool knowsAll() const;
  /// Since the configuration in force was applied; zero: none yet.
  [[nodiscard]] duration configurationAge() const;
  [[nodiscard]] const object_cache &cache() const { return Cache; }

private:
  void apply(object_kind Kind, const object_change &Change);
  void applyConfigurationText(const std::string &Text);
  void applyTarget(const object_change &Change);
  void applyEvacuation(const object_change &Change);
  void applyInstances();
  void tellUnreadable(object_kind Kind, std::string_view Name,
                      std::string_view Why);
  void keepHouse();
  void tellSpreads();

  node &Node;
  object_cache Cache;
  list_trust Trust;
  instant ConfigurationSince{};
  /// Shares of the work that is spread over all regions, by service, as the log
  /// has them.
  text_map<double> ToldSpreads;
};

} // namespace amaranthhoist
