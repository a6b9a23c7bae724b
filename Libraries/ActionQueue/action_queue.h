/// What is decided under a lock, on any thread, is carried out on an rpc_loop's
/// thread in the order of the decisions.
///
/// Without it a thread that decides, lets go of the lock and posts what follows
/// is overtaken by a step on the loop itself, which decides later and acts at
/// once: a request is cancelled before it is sent, a holder says that it has
/// left before it has given back what it borrowed. An action that leads to a
/// further step has the same effect on the actions after it. Both can be seen
/// as messages at a peer in another order than the state changed.
#pragma once

#include "Rpc/rpc.h"

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace amaranthhoist {

/// Actions of one state that is kept under one lock.
template <typename Action> class action_queue {
public:
  using performer = std::function<void(Action &)>;

  /// \p Perform is called on the loop's thread, once for each action.
  action_queue(rpc_loop &Loop, performer Perform)
      : Loop(Loop), Perform(std::move(Perform)) {}

  /// Adds what one decision asks for. To be called with the lock held under
  /// which it was decided: the order of the calls is that of the decisions.
  void append(std::vector<Action> Actions) {
    const std::lock_guard Guard(Lock);
    for (Action &Next : Actions)
      Waiting.push_back(std::move(Next));
  }

  /// Carries out all that was added, other threads' additions too. Off the
  /// loop's thread it leaves this to the loop and returns at once; within an
  /// action, to the call that carries that one out. Not to be called with the
  /// lock of the decisions held.
  void drain() {
    if (!Loop.isLoopThread()) {
      Loop.post([this] { drain(); });
      return;
    }
    if (IsDraining)
      return;
    IsDraining = true;
    // An action that throws leaves the others to the next call.
    const auto Ended = kj::defer([this] { IsDraining = false; });
    while (std::optional<Action> Next = takeFirst())
      Perform(*Next);
  }

private:
  std::optional<Action> takeFirst() {
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
  /// The loop's thread only.
  bool IsDraining = false;
};

} // namespace amaranthhoist
