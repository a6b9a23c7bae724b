/// Lists and watches one kind of object in the platform's store.
#pragma once

#include "ObjectCache/object_cache.h"
#include "StoreClient/list_watch.h"
#include "node.h"
#include "replicated_state.h"
#include "store_connection.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace amaranthhoist {

class kind_follower {
public:
  /// \p OnFailure is called when the store does not respond to a call.
  kind_follower(node &Node, replicated_state &State, object_kind Kind,
                std::function<void()> OnFailure);
  ~kind_follower();

  /// Starts, continues after stop(), or restarts the call in flight: the store
  /// may have dropped it without closing its connection.
  void startOrRestart();
  /// Makes all further calls to the store at \p Address. A call in flight is
  /// made again there.
  void setServer(const std::string &Address);
  /// Called with the era that the store states in a response to another call.
  /// Lists again if the store was restored since the last list: a watch that it
  /// dropped may wait for its timeout.
  void onStoreEra(std::uint64_t Era);
  /// Stops making calls until startOrRestart().
  void stop();
  /// Stops like stop(), because the store does not respond. The store may drop
  /// its pending watches, so the next call is a list.
  void pause();
  /// Time at which the store last responded to this follower.
  [[nodiscard]] instant respondedAt() const { return RespondedAt; }

private:
  void step();
  void stepAfter(duration Delay);
  void handleResponse(const store_response &Response, bool IsWatch);
  bool handlePage(std::string_view Body);
  bool handleBatch(std::string_view Body);
  void logIfUndecodable(const stored_object &Object);
  void retry(store_failure Failure);
  void onStoreResponse();

  node &Node;
  replicated_state &State;
  object_kind Kind;
  std::function<void()> OnFailure;
  store_connection Connection;
  list_watch Watch;
  timer_id NextStep = 0;
  duration NextDelay{};
  bool IsRunning = false;
  bool MustList = false;
  bool IsStoreLost = false;
  instant RespondedAt{};
};

/// Decodes the store's response to a watch of \p Kind; none if it is malformed.
std::optional<kind_changes>
decodeBatchOf(object_kind Kind, std::string_view Body, std::uint64_t Era);

} // namespace amaranthhoist
