#include "Gateway/node.h"

#include <algorithm>

namespace amaranthhoist::gateway {

bool hasNoServer(const gateway_node &Node, const std::string &Service) {
  return std::none_of(
      Node.Targets.begin(), Node.Targets.end(), [&](const auto &Entry) {
        const target_state &Target = Entry.second;
        return Target.Service == Service && !Target.Leaving && !Target.Down;
      });
}

/// Whether anything here ends by itself soon and makes room. Work of unknown
/// end gives its units back by time alone, and counts if that is near: without
/// it, goodput falls by up to a tenth when servers lose answers (policy bench).
static bool hasWorkInProgress(const gateway_node &Node, instant Now) {
  std::int64_t InFlight = 0;
  for (const auto &[Name, Target] : Node.Targets)
    InFlight += Target.InFlight;
  const instant Soon = Now + Node.Settings.StallLimit;
  const auto Far = std::count_if(
      Node.Lingering.begin(), Node.Lingering.end(),
      [Soon](const lingering_work &Work) { return Work.Until > Soon; });
  return InFlight > Far;
}

bool isStalled(const gateway_node &Node, const std::string &Service,
               instant Now) {
  auto Since = Node.StalledSince.find(Service);
  if (Since == Node.StalledSince.end() || hasWorkInProgress(Node, Now))
    return false;
  const instant Known = Since->second + Node.Settings.StallLimit;
  return Now >= Known && Now < Known + Node.Settings.StallMemory;
}

static void noteStall(gateway_node &Node, const std::string &Service,
                      instant Now) {
  if (hasWorkInProgress(Node, Now)) {
    Node.StalledSince.erase(Service);
    return;
  }
  const auto [Since, Fresh] = Node.StalledSince.try_emplace(Service, Now);
  const duration Memory = Node.Settings.StallLimit + Node.Settings.StallMemory;
  if (!Fresh && Now >= Since->second + Memory)
    Since->second = Now;
}

/// Without this a request waits in the queue for servers that are known to be
/// dead, sent only as one of their trials, or for units that come back when a
/// dead holder's row is removed: its caller is told after seconds, up to its
/// deadline, what is known before, and could have been served at another site.
/// When all servers of a site die, the longest wait for a refusal is 22 ms
/// instead of 3.2 s, over real processes; a wait for units ends after
/// StallLimit instead of up to 12 s.
void refuseHopeless(gateway_node &Node, const std::string &Service, instant Now,
                    actions &Actions) {
  fair_queue &Queue = Node.Queues[Service];
  if (Queue.Total == 0)
    return;
  noteStall(Node, Service, Now);
  const bool NoServer = hasNoServer(Node, Service);
  if (!NoServer && !isStalled(Node, Service, Now))
    return;
  const std::string Reason =
      NoServer ? "no backend server takes work" : "no share to run it on";
  while (auto Next = dequeue(Queue))
    giveUp(Node, Next->Token, Reason, Actions);
}

} // namespace amaranthhoist::gateway
