#include "deadly_request.h"

#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

/// Time between two attempts.
static constexpr duration Pause = std::chrono::milliseconds(100);
/// Time within which nodes synchronize their state.
static constexpr duration Touch = std::chrono::seconds(4);
static constexpr std::size_t CrashThreshold = 3;

deadly_request::deadly_request(node_fleet &Fleet,
                               std::function<node_process &()> ChooseNode)
    : Fleet(Fleet), ChooseNode(std::move(ChooseNode)) {}

deadly_request::~deadly_request() { end(); }

void deadly_request::begin() {
  if (Timer == 0)
    send();
}

std::unique_ptr<caller_call> deadly_request::call(node_process &Node) {
  // All attempts use the same object key: another key would give another
  // request content.
  Fleet.ObjectKey = "deadly";
  auto Call = Fleet.startRequest(Node, Path, cat("d-", ++Sent));
  Fleet.ObjectKey.clear();
  return Call;
}

void deadly_request::send() {
  std::erase_if(Calls,
                [](const auto &Call) { return Call->response().IsCompleted; });
  Calls.push_back(call(ChooseNode()));
  Timer = Fleet.Loop.runAfter(Pause, [this] { send(); });
}

void deadly_request::recordCrash() { Crashes.push_back(Fleet.Loop.now()); }

std::size_t deadly_request::lateCrashes() const {
  if (Crashes.size() < CrashThreshold)
    return 0;
  const instant Known = Crashes[CrashThreshold - 1] + Touch;
  return static_cast<std::size_t>(std::count_if(
      Crashes.begin(), Crashes.end(), [&](instant At) { return At > Known; }));
}

void deadly_request::checkAllRefuse(std::vector<std::string> &Broken) {
  if (Crashes.size() < CrashThreshold)
    return;
  Fleet.runFor(Touch);
  for (auto &Node : Fleet.Nodes) {
    const auto Call = call(*Node);
    Fleet.runUntil([&] { return Call->response().IsCompleted; });
    if (Call->response().Status != 503)
      Broken.push_back(cat(Node->Name, " answers a deadly request ",
                           Call->response().Status));
  }
}

} // namespace amaranthhoist
