/// Polls another instance for changes of the store's objects. Polls are short,
/// so that a dead source is detected within one.
#pragma once

#include "node.h"
#include "replicated_state.h"
#include "store_connection.h"

#include <cstdint>
#include <string>

namespace amaranthhoist {

class relay_link {
public:
  relay_link(node &Node, replicated_state &State);

  /// \p StoreIsUnresponsive: this instance asks the store itself and gets no
  /// response, as its regular sources may.
  void start(bool StoreIsUnresponsive);
  void stop();
  /// Time at which the last applied state was fresh at the store.
  [[nodiscard]] instant freshAt() const { return FreshAt; }
  /// Time at which an instance last responded, with state of any age.
  [[nodiscard]] instant respondedAt() const { return RespondedAt; }

  /// The instance that is polled; empty if there is none yet.
  [[nodiscard]] const std::string &sourceName() const { return SourceName; }

private:
  void poll();
  void pollSoon();
  void handleResponse(const store_response &Response);
  void tryNextSource();
  void chooseSource();
  void setSource(const std::string &Name, const std::string &Control);

  node &Node;
  replicated_state &State;
  store_connection Connection;
  timer_id NextPoll = 0;
  bool IsRunning = false;
  bool IsDisconnectedFromStore = false;
  std::string SourceName;
  /// Consecutive sources that gave no fresh state.
  std::size_t FailedSources = 0;
  /// Consecutive responses from a source that isn't a regular one.
  int FallbackResponses = 0;
  instant FreshAt{};
  instant RespondedAt{};
};

} // namespace amaranthhoist
