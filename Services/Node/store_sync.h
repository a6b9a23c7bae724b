/// Decides from whom the node learns the store's objects: two instances of each
/// region ask the store itself, the others ask them, and each falls back on the
/// other way, or on any instance, when its own gives nothing fresh. Also keeps
/// this node's own object in the store.
#pragma once

#include "beliefs.h"
#include "kind_follower.h"
#include "node.h"
#include "relay_link.h"
#include "store_caller.h"

#include <array>

namespace amaranthhoist {

/// What operators are told of the node's link to the store.
struct store_view {
  /// "store", or the name of the instance that is asked.
  std::string LearnsFrom;
  /// How long ago the state was fresh at the store, at best.
  duration Age{};
  /// Since the configuration in force was applied; zero: none yet.
  duration ConfigurationAge{};
  bool StoreIsSilent = false;
  bool ListIsSure = false;
};

class store_sync {
public:
  explicit store_sync(node &Node);

  void start();
  /// The body for an instance that asks what changed.
  std::string answerPeer(std::string_view Query) const {
    return Relay.answer(Query);
  }
  [[nodiscard]] store_view view() const;

private:
  void decide();
  void setDirect(bool IsWanted);
  /// How long ago the state was fresh at the store, at best.
  duration age() const;
  void probe();
  void takeProbe(bool IsAnswered);
  void takeReturn();
  void listInstances();
  void takeInstances(const list_page &Page);
  void registerNode(bool Create);
  void removeDead();

  node &Node;
  beliefs Beliefs;
  std::array<kind_follower, ObjectKinds> Followers;
  relay_link Relay;
  store_caller Writer;
  store_caller Prober;
  store_caller Cleaner;
  bool IsDirect = false;
  /// Whether the list of instances was read once.
  bool KnowsInstances = false;
  /// Whether the store's next answer is awaited before anything is asked.
  bool IsInDoubt = false;
  /// Whether a probe went unanswered since the last answer.
  bool HadSilence = false;
  timer_id NextProbe = 0;
  instant Started{};
  instant AnsweredAt{};
  instant DirectUntil{};
  std::map<std::string, instant> DownSince;
};

} // namespace amaranthhoist
