/// Follows what changes in the store's objects by asking another instance, in
/// short polls: a source that has died shows within one.
#pragma once

#include "beliefs.h"
#include "node.h"
#include "store_caller.h"

#include <cstdint>
#include <string>

namespace amaranthhoist {

class relay_link {
public:
  relay_link(node &Node, beliefs &Beliefs);

  /// \p OwnCallsAreInVain: this instance asks the store itself and gets no
  /// answer, as its regular sources may.
  void start(bool OwnCallsAreInVain);
  void stop();
  /// When the state that was last taken over was fresh at the store.
  [[nodiscard]] instant freshAt() const { return FreshAt; }
  /// When an instance last answered, with whatever state.
  [[nodiscard]] instant answeredAt() const { return AnsweredAt; }

  /// The instance that is asked; empty: none yet.
  [[nodiscard]] const std::string &sourceName() const { return SourceName; }

private:
  void poll();
  void pollSoon();
  void take(const store_answer &Answer);
  void chooseSource();
  void setSource(const std::string &Name, const std::string &Control);

  node &Node;
  beliefs &Beliefs;
  store_caller Caller;
  timer_id NextPoll = 0;
  bool IsRunning = false;
  bool IsBlind = false;
  std::string SourceName;
  /// Sources in a row that were no use.
  std::size_t Misses = 0;
  /// Answers in a row from a source that isn't a regular one.
  int FurtherAnswers = 0;
  instant FreshAt{};
  instant AnsweredAt{};
};

} // namespace amaranthhoist
