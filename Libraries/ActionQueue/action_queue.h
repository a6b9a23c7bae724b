/// Performs actions, which are decided under a lock on any thread, on an
/// rpc_loop's thread in the order of the decisions.
///
/// Without the queue, a thread that decides, releases the lock and posts the
/// actions can be overtaken by a step on the loop itself, which decides later
/// and acts at once: a request is cancelled before it is sent, or a holder
/// reports that it has shut down before it has returned what it borrowed. An
/// action that triggers a further step has the same effect on the actions after
/// it. In both cases a peer receives messages in another order than the state
/// changed.
#pragma once

#include "Rpc/rpc.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace amaranthhoist {

/// The actions of one state that is protected by one lock.
template <typename Action> class action_queue {
public:
  using performer = std::function<void(Action &)>;

  /// \p Perform is called on the loop's thread, once for each action.
  action_queue(rpc_loop &Loop, performer Perform)
      : Loop(Loop), Perform(std::move(Perform)) {}

  /// Appends the actions of one decision. Call this while holding the lock
  /// under which the decision was made: the order of the calls is the order of
  /// the decisions.
  void append(std::vector<Action> Actions) {
    const std::lock_guard Guard(Lock);
    for (Action &Next : Actions)
      Waiting.push_back(std::move(Next));
  }

  /// Performs all queued actions, including those of other threads. Off the
  /// loop's thread it posts the work to the loop and returns at once; within an
  /// action it leaves the work to the call that performs that action. Do not
  /// call this while holding the lock of the decisions.
  void drain() {
    if (!Loop.isLoopThread()) {
      Loop.post([this] { drain(); });
      return;
    }
    if (IsDraining)
      return;
    IsDraining = true;
    // When an action throws, the remaining actions are left for the next call.
    const auto Ended = kj::defer([this] { IsDraining = false; });
    while (std::optional<Action> Next = popFirst())
      Perform(*Next);
  }

private:
  std::optional<Action> popFirst() {
    const std::lock_guard Guard(Lock);
    if (Waiting.empty())
      return std::nullopt;
    std::optional<Action> First = std::move(Waiting.front());
    Waiting.pop_front();
    return First;
  }

  rpc_loop &Loop;
  performer Perform;
  std::mutex Lock;
  std::deque<Action> Waiting;
  /// Used on the loop's thread only.
  bool IsDraining = false;
};

} // namespace amaranthhoist
