#include "StateSpread/state_freshness.h"

#include <algorithm>

namespace amaranthhoist {

/// A check is overdue after this multiple of the time that the last one took,
/// within bounds: the shortest covers two round trips between the farthest
/// regions, the longest the store's slowest responses.
static constexpr int OverdueFactor = 3;
static constexpr duration MinOverdueTime = std::chrono::milliseconds(150);
static constexpr duration MaxOverdueTime = std::chrono::milliseconds(700);

/// Age of the state from which on servers may have become cold without this
/// node's notice: the delay of a change on its longest path, and detection.
static constexpr duration MaxInformedAge = std::chrono::milliseconds(2'000);
/// Share of the other instances that a node has to hear to know as much as any
/// of them while nobody reaches the store.
static constexpr double MinHeardShare = 0.75;
void recordCheck(state_freshness &Freshness, instant SentAt, instant Now) {
  Freshness.ConfirmedAt = std::max(Freshness.ConfirmedAt, SentAt);
  Freshness.ResponseTime = Now - SentAt;
}

bool isConfirmed(const state_freshness &Freshness, instant Now) {
  const duration Overdue = std::clamp(OverdueFactor * Freshness.ResponseTime,
                                      MinOverdueTime, MaxOverdueTime);
  return Now - Freshness.ConfirmedAt <= CheckPeriod + Overdue;
}

bool isUninformed(const informed_inputs &Inputs) {
  if (Inputs.StateAge <= MaxInformedAge)
    return false;
  // A process that has started since then counts all others as up at first,
  // and what it was told of the servers is as old as the state.
  if (Inputs.SinceBootstrap < Inputs.StateAge)
    return true;
  // So does one whose isolation has ended, though it may hear one other only.
  if (Inputs.SinceIsolation && *Inputs.SinceIsolation < Inputs.StateAge)
    return true;
  const auto Others = static_cast<double>(Inputs.OtherInstances);
  return Others - static_cast<double>(Inputs.InstancesDown) <
         MinHeardShare * Others;
}

} // namespace amaranthhoist
