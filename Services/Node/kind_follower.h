/// Follows one kind of object in the platform's store.
#pragma once

#include "ObjectCache/object_cache.h"
#include "StoreClient/list_watch.h"
#include "beliefs.h"
#include "node.h"
#include "store_caller.h"

#include <functional>
#include <string_view>

namespace amaranthhoist {

class kind_follower {
public:
  /// \p Failed is called when the store doesn't answer a call.
  kind_follower(node &Node, beliefs &Beliefs, object_kind Kind,
                std::function<void()> Failed);
  ~kind_follower();

  /// Begins, goes on after stop(), or makes the call under way anew: the store
  /// may have forgotten it without a sign on its connection.
  void startOrRestart();
  /// Makes no more calls until startOrRestart().
  void stop();
  /// Likewise, as the store is silent: it may forget what waits there, so that
  /// the next call is a list.
  void pause();

private:
  void step();
  void stepAfter(duration Delay);
  void take(const store_answer &Answer, bool IsWatch);
  bool takePageFrom(std::string_view Body);
  bool takeBatchFrom(std::string_view Body);
  void retry(store_failure Failure);
  void noteAnswered();

  node &Node;
  beliefs &Beliefs;
  object_kind Kind;
  std::function<void()> Failed;
  store_caller Caller;
  list_watch Watch;
  timer_id NextStep = 0;
  duration Wait{};
  bool IsRunning = false;
  bool MustList = false;
  bool IsAway = false;
};

} // namespace amaranthhoist
