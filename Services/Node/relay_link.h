/// Polls other instances for changes of the store's objects. Polls are short,
/// so that a dead source is detected within one.
#pragma once

#include "StateSpread/source_polls.h"
#include "node.h"
#include "replicated_state.h"
#include "store_connection.h"

#include <array>
#include <string>

namespace amaranthhoist {

class relay_link {
public:
  relay_link(node &Node, replicated_state &State);

  /// \p StoreIsUnresponsive: this instance asks the store itself and gets no
  /// response, as its regular sources may.
  void start(bool StoreIsUnresponsive);
  void stop();
  /// Queries the instance at the address \p Control once, beside the polls.
  void query(const std::string &Control);
  /// Time at which the last applied state was fresh at the store.
  [[nodiscard]] instant freshAt() const { return FreshAt; }
  /// Time at which an instance last responded, with state of any age.
  [[nodiscard]] instant respondedAt() const { return RespondedAt; }

  /// The instance that is polled; empty if there is none yet.
  [[nodiscard]] const std::string &sourceName() const { return SourceName; }

private:
  void poll();
  void schedulePoll();
  /// Applies a response of \p Source. Returns whether its state is fresh.
  bool applyResponse(const store_response &Response, const std::string &Source);
  void logSource(const std::string &Name);

  node &Node;
  replicated_state &State;
  source_polls Polls;
  std::array<store_connection, MaxPolls> Connections;
  /// For query().
  store_connection Direct;
  timer_id NextPoll = 0;
  bool IsRunning = false;
  std::string SourceName;
  /// The source of the last fresh state.
  std::string FreshSource;
  instant FreshAt{};
  instant RespondedAt{};
};

} // namespace amaranthhoist
