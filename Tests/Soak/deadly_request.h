/// A request that crashes each server which runs it, and comes again at any
/// node until the end of the run.
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

  /// \p ChooseNode gives the node for the next attempt.
  deadly_request(node_fleet &Fleet, std::function<node_process &()> ChooseNode);
  ~deadly_request();

  void begin();
  /// Sends nothing more.
  void end() { Fleet.Loop.cancel(Timer); }
  /// A server has crashed under it.
  void noteCrash();

  [[nodiscard]] std::size_t crashes() const { return Crashes.size(); }
  /// Servers that it crashed when all nodes had had time to learn of the third.
  [[nodiscard]] std::size_t lateCrashes() const;
  /// Sends it to each node; those that don't refuse it, a sentence each.
  void askAll(std::vector<std::string> &Broken);

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
