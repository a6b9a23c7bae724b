/// Decides from whom the node learns the store's objects: from peers while they
/// know, from the store itself when it is this node's turn (StateSpread). Tells
/// others where the state is after a start, and keeps this node's own object in
/// the store.
#pragma once

#include "StateSpread/watch_duty.h"
#include "beliefs.h"
#include "kind_follower.h"
#include "learner.h"
#include "node.h"
#include "own_object.h"
#include "relay_link.h"
#include "state_server.h"
#include "store_caller.h"

#include <array>
#include <functional>

namespace amaranthhoist {

/// What operators are told of the node's link to the store.
struct store_view {
  /// "store", or the name of the instance that is asked.
  std::string LearnsFrom;
  /// What it does for others: "watcher", "relay" or "leaf".
  std::string_view Role;
  /// How long ago the state was fresh at the store, at best.
  duration Age{};
  /// Since the configuration in force was applied; zero: none yet.
  duration ConfigurationAge{};
  bool StoreIsSilent = false;
  bool ListIsSure = false;
};

class store_sync {
public:
  /// \p Tell tells the instance that takes datagrams at an address that this
  /// one has the state.
  store_sync(node &Node, std::function<void(const std::string &)> Tell);

  void start();
  /// An instance with the control address \p Control lives.
  void hear(const std::string &Control) { Learner.hear(Control); }
  /// The answer to an instance that asks what changed.
  small_answer answerPeer(std::string_view Query) {
    return Server.answer(Query);
  }
  [[nodiscard]] store_view view() const;

private:
  void decide();
  void decideWhileLearning();
  void takeLearned();
  void setDirect(bool IsWanted);
  /// How long ago the state was fresh at the store, at best.
  duration age() const;
  instant freshAt() const;
  void startFollowers();
  void probe();
  void probeNow();
  void takeProbe(bool IsAnswered);
  void takeReturn();
  void removeDead();

  node &Node;
  std::function<void(const std::string &)> Tell;
  beliefs Beliefs;
  std::array<kind_follower, ObjectKinds> Followers;
  learner Learner;
  relay_link Relay;
  state_server Server;
  own_object OwnObject;
  store_caller Prober;
  store_caller Cleaner;
  store_duty Duty;
  bool HasLearned = false;
  instant LearnedAt{};
  /// Whether this node's object was listed then.
  bool WasListed = false;
  bool IsDirect = false;
  /// Whether the store's next answer is awaited before anything is asked.
  bool IsInDoubt = false;
  /// Whether a probe went unanswered since the last answer.
  bool HadSilence = false;
  timer_id NextProbe = 0;
  instant AnsweredAt{};
  std::map<std::string, instant> DownSince;
};

} // namespace amaranthhoist
