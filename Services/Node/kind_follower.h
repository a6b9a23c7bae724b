/// Follows one kind of object in the platform's store and tells what it holds.
#pragma once

#include "StoreClient/list_watch.h"
#include "codec.h"
#include "node.h"
#include "store_caller.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// The longest that a watch waits at the store; each further call costs.
inline constexpr duration WatchWait = std::chrono::seconds(10);
/// Longer than the store's slowest answers while it is in trouble.
inline constexpr duration ListTime = std::chrono::milliseconds(1'500);
/// For an answer to come back after the store's wait.
inline constexpr duration WatchMargin = std::chrono::milliseconds(1'500);

/// What a follower tells its owner.
template <typename T> struct follower_events {
  std::function<void(std::vector<stored<T>> &)> OnAll;
  std::function<void(stored_change<T> &)> OnChange;
};

template <typename T> class kind_follower {
public:
  kind_follower(node &Node, std::string_view Kind, follower_events<T> Events)
      : Node(Node), Kind(Kind), Events(std::move(Events)), Caller(Node) {}

  void start() { step(); }

  /// Gives up on the call under way and makes it anew: the store may have
  /// forgotten it without a sign on its connection.
  void restart() {
    if (Caller.abandon())
      step();
  }

  /// When a call failed last, and whether the last one failed.
  instant LastTrouble{};
  bool IsAway = false;

private:
  void step() {
    const store_request Request = nextRequest(Watch);
    const bool IsWatch = Request.Verb == store_verb::Watch;
    const std::string Path =
        platform::encodeRequestPath(Kind, Request, WatchWait);
    Caller.call("GET", Path, {}, IsWatch ? WatchWait + WatchMargin : ListTime,
                [this, IsWatch](const store_answer &Answer) {
                  take(Answer, IsWatch);
                });
  }

  void take(const store_answer &Answer, bool IsWatch) {
    if (Answer.Status == 410)
      return retry(store_failure::HistoryGone);
    if (Answer.Status == 429 || Answer.Status == 503)
      return retry(store_failure::Refused);
    if (Answer.Status == 0)
      return retry(store_failure::Silent);
    if (Answer.Status != 200)
      return retry(store_failure::Garbled);
    std::vector<std::string> Unreadable;
    const bool IsSound = IsWatch ? takeChangesFrom(Answer.Body, Unreadable)
                                 : takePageFrom(Answer.Body, Unreadable);
    for (const std::string &Message : Unreadable)
      Node.Log.write(log_kind::Belief, "store_object_unreadable",
                     {{"kind", Kind}, {"why", Message}}, Node.Loop.now());
    if (!IsSound)
      return retry(store_failure::Garbled);
    if (IsAway)
      Node.Log.write(log_kind::Belief, "store_regained", {{"kind", Kind}},
                     Node.Loop.now());
    IsAway = false;
    stepAfter(Wait);
  }

  bool takePageFrom(std::string_view Body,
                    std::vector<std::string> &Unreadable) {
    auto Page = platform::decodePage<T>(Body, Unreadable);
    if (!Page)
      return false;
    Wait = duration::zero();
    if (std::vector<stored<T>> *All = takePage(Watch, std::move(*Page)))
      Events.OnAll(*All);
    return true;
  }

  bool takeChangesFrom(std::string_view Body,
                       std::vector<std::string> &Unreadable) {
    auto Batch = platform::decodeChanges<T>(Body, Unreadable);
    if (!Batch)
      return false;
    Wait = takeChanges(Watch, *Batch);
    for (stored_change<T> &Change : Batch->Changes)
      Events.OnChange(Change);
    return true;
  }

  void retry(store_failure Failure) {
    const duration Delay = takeFailure(Watch, Failure);
    if (Failure != store_failure::HistoryGone) {
      LastTrouble = Node.Loop.now();
      if (!IsAway)
        Node.Log.write(log_kind::Belief, "store_lost",
                       {{"kind", Kind},
                        {"failure", static_cast<std::int64_t>(Failure)}},
                       Node.Loop.now());
      IsAway = true;
    }
    stepAfter(Delay);
  }

  /// Never calls straight on: the caller is still at the end of the last call.
  void stepAfter(duration Delay) {
    Node.Loop.after(Delay, [this] { step(); });
  }

  node &Node;
  std::string_view Kind;
  follower_events<T> Events;
  store_caller Caller;
  list_watch<T> Watch;
  duration Wait{};
};

} // namespace amaranthhoist
