/// Fetches the full state from other instances after a start.
#pragma once

#include "StateSpread/bootstrap.h"
#include "node.h"
#include "replicated_state.h"
#include "store_connection.h"

#include <string>

namespace amaranthhoist {

class state_bootstrap {
public:
  state_bootstrap(node &Node, replicated_state &State);

  /// Starts; stops by itself once the node has full state, from any source.
  void start();
  /// Called when the instance at \p Control, `ip:port`, announces that it has
  /// the state.
  void onSourceAnnounced(const std::string &Control);

  /// Returns whether the store itself may be asked.
  [[nodiscard]] bool mayAskStore() const;
  /// Currently estimated time from which the store may be asked.
  [[nodiscard]] instant storeFallbackAt() const { return Learning.ListStoreAt; }
  /// Time at which the state was fresh at the store, if it came from a peer.
  [[nodiscard]] instant freshAt() const { return FreshAt; }
  /// Control address of the peer that served the state; empty if none did.
  [[nodiscard]] const std::string &source() const { return Source; }

private:
  void tick();
  void requestState(store_connection &Connection, const std::string &Control);
  void handleResponse(const store_response &Response,
                      const std::string &Control);

  node &Node;
  replicated_state &State;
  bootstrap Learning;
  /// Separate from the seeds' connection, so that announced sources don't wait
  /// for an unresponsive seed.
  store_connection AnnouncedConnection;
  store_connection SeedConnection;
  timer_id NextTick = 0;
  instant FreshAt{};
  std::string Source;
};

} // namespace amaranthhoist
