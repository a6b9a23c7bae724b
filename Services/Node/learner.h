/// Gets the whole state from other instances after a start.
#pragma once

#include "StateSpread/bootstrap.h"
#include "beliefs.h"
#include "node.h"
#include "store_caller.h"

#include <string>

namespace amaranthhoist {

class learner {
public:
  learner(node &Node, beliefs &Beliefs);

  /// Begins; ends by itself once the node knows all, from wherever.
  void start();
  /// Somebody has the state at \p Control, `ip:port`.
  void hear(const std::string &Control);

  /// Whether the store itself is to be asked.
  [[nodiscard]] bool mayAskStore() const;
  /// From when on, as it looks now.
  [[nodiscard]] instant askStoreAt() const { return Learning.AskStoreAt; }
  /// When the state was fresh at the store, if it came from a peer.
  [[nodiscard]] instant freshAt() const { return FreshAt; }
  /// Control address of the peer that gave the state; empty: none did.
  [[nodiscard]] const std::string &source() const { return Source; }

private:
  void tick();
  void ask(store_caller &Caller, const std::string &Control);
  void take(const store_answer &Answer, const std::string &Control);

  node &Node;
  beliefs &Beliefs;
  learning Learning;
  /// Those heard of needn't wait for a seed that is silent.
  store_caller HeardCaller;
  store_caller SeedCaller;
  timer_id NextTick = 0;
  instant FreshAt{};
  std::string Source;
};

} // namespace amaranthhoist
