/// Keeps the node's beliefs in step with the platform's store: configuration,
/// backend servers, evacuated failure domains, and the fleet's own instances.
#pragma once

#include "codec.h"
#include "kind_follower.h"
#include "node.h"
#include "store_caller.h"

namespace amaranthhoist {

class store_sync {
public:
  explicit store_sync(node &Node);

  void start();
  /// Reads the list of instances soon, because an unknown one has spoken.
  void refreshInstances();

private:
  void takeConfigurations(std::vector<stored<configuration>> &All);
  void takeConfiguration(const configuration &Configuration);
  void takeTargets(std::vector<stored<target_entry>> &All);
  void takeTarget(stored_change<target_entry> &Change);
  void takeEvacuations(std::vector<stored<platform::evacuation>> &All);
  void setDomainEvacuated(const std::string &Domain, bool IsEvacuated);
  bool listIsSure() const;

  void probe();
  void takeProbe(bool IsAnswered);
  void listInstances();
  void takeInstances(const store_answer &Answer);
  void registerNode();
  void writeOwnObject(bool Create);

  node &Node;
  kind_follower<configuration> Configurations;
  kind_follower<target_entry> Targets;
  kind_follower<platform::evacuation> Evacuations;
  store_caller Writer;
  store_caller Prober;
  store_caller Lister;
  bool IsRegistered = false;
  bool IsListing = false;
  /// Whether the last probe of the store went unanswered.
  bool IsInDoubt = false;
  instant NextListing{};
};

} // namespace amaranthhoist
