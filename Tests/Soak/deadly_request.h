/// Sends a request that crashes each server executing it, repeatedly and to
/// varying nodes, until the end of the run.
#pragma once

#include "node_fleet.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhoist {

class deadly_request {
public:
  static constexpr const char *Path = "/safe/deadly";

  /// \p ChooseNode selects the node for the next attempt.
  deadly_request(node_fleet &Fleet, std::function<node_process &()> ChooseNode);
  ~deadly_request();

  void begin();
  /// Stops sending.
  void end() { Fleet.Loop.cancel(Timer); }
  /// Records that the request crashed a server.
  void recordCrash();

  [[nodiscard]] std::size_t crashes() const { return Crashes.size(); }
  /// Returns the number of servers crashed after all nodes had time to receive
  /// the third crash report.
  [[nodiscard]] std::size_t lateCrashes() const;
  /// Sends the request to each node. Adds a sentence to \p Broken for each node
  /// that does not refuse it.
  void checkAllRefuse(std::vector<std::string> &Broken);

private:
  std::unique_ptr<caller_call> call(node_process &Node);
  void send();

  node_fleet &Fleet;
  std::function<node_process &()> ChooseNode;
  timer_id Timer = 0;
  int Sent = 0;
  std::vector<std::unique_ptr<caller_call>> Calls;
  std::vector<instant> Crashes;
};

} // namespace amaranthhoist
