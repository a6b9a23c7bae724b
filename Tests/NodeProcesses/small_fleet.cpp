#include "small_fleet.h"

#include <cstdlib>

namespace amaranthhoist {

std::string nodeProgram() {
  const char *Path = std::getenv("AMARANTHHOIST_NODE");
  return Path ? Path : NODE_PROGRAM;
}

int runsOf(const node_fleet &Fleet, const std::string &Id) {
  int Runs = 0;
  for (const auto &[Name, Target] : Fleet.Targets) {
    auto Found = Target->Runs.find(Id);
    Runs += Found == Target->Runs.end() ? 0 : Found->second;
  }
  return Runs;
}

small_fleet::small_fleet(std::optional<double> OwnRetryRatio)
    : node_fleet(nodeProgram()) {
  RetryRatio = OwnRetryRatio.value_or(RetryRatio);
  putConfiguration(1);
  addTarget("s1");
  addTarget("s2");
  Node = &addNode("n1", "a1", "a");
  start(*Node);
  IsReady = waitReady(*Node) &&
            runUntil([&] { return Store.has("instances", "n1"); });
}

void small_fleet::setAll(target_stand_in::behavior Behavior) {
  for (auto &[Id, Target] : Targets)
    Target->Behavior = Behavior;
}

} // namespace amaranthhoist
