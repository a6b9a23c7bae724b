/// Learns the store's objects from other instances, and hands on what this one
/// knows. Asked by short polls: a source that has died shows within one.
#pragma once

#include "beliefs.h"
#include "node.h"
#include "store_caller.h"

#include <cstdint>
#include <functional>
#include <string>

namespace amaranthhoist {

class relay_link {
public:
  /// \p OwnAge tells how long ago this instance heard from the store, directly
  /// or through others.
  relay_link(node &Node, beliefs &Beliefs, std::function<duration()> OwnAge);

  void start();
  void stop();
  /// When the state that was last taken over was fresh at the store.
  [[nodiscard]] instant freshAt() const { return FreshAt; }

  /// The instance that is asked; empty: none yet.
  [[nodiscard]] const std::string &sourceName() const { return SourceName; }

  /// The body for an instance that asks with \p Query.
  std::string answer(std::string_view Query) const;

private:
  void poll();
  void take(const store_answer &Answer);
  void chooseSource();
  void chooseSeed();

  node &Node;
  beliefs &Beliefs;
  std::function<duration()> OwnAge;
  store_caller Caller;
  timer_id NextPoll = 0;
  bool IsRunning = false;
  std::string SourceName;
  /// Sources in a row that were no use.
  std::size_t Misses = 0;
  /// Answers in a row from a source that isn't a watcher.
  int FurtherAnswers = 0;
  instant FreshAt{};
};

} // namespace amaranthhoist
