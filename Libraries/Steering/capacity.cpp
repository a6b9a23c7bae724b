// How long a request would wait at a server.
#include "Steering/candidates.h"

#include <algorithm>

namespace amaranthhoist {

/// Slots beyond a server's own that each priority step may use. The server
/// queues a few requests, and urgent ones wait there instead of being refused
/// while less urgent ones are served.
static constexpr double QueueSlotsPerPriorityStep = 1;
static constexpr double MaxPriorityQueueSlots = 2;
/// Response time assumed for a server that has not responded yet.
static constexpr duration DefaultResponseTime = std::chrono::milliseconds(400);

/// Number of queue slots at a server that the priority of a request may use.
static double queueAllowance(const steering &Steering,
                             const request_plan &Plan) {
  return std::min(MaxPriorityQueueSlots,
                  QueueSlotsPerPriorityStep *
                      (Steering.LeastUrgentPriority - Plan.Priority));
}

duration predictedWait(const steering &Steering, const request_plan &Plan,
                       const target &Target, double Load) {
  const double Slots = Target.Entry.Slots;
  const double Before = Load - queueAllowance(Steering, Plan) - Slots + 1;
  if (Before <= 0)
    return duration::zero();
  const duration Mean = Target.MeanResponseTime > duration::zero()
                            ? Target.MeanResponseTime
                            : DefaultResponseTime;
  return duration(static_cast<std::int64_t>(Before / Slots *
                                            static_cast<double>(Mean.count())));
}

} // namespace amaranthhoist
