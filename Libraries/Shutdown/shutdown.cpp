#include "Shutdown/shutdown.h"

#include <algorithm>

namespace amaranthhoist {

/// All work must be finished this long before the end of the grace period, when
/// the process is killed.
static constexpr duration ShutdownMargin = std::chrono::milliseconds(350);

instant processEnd(const shutdown_schedule &Shutdown) {
  return Shutdown.StartedAt + Shutdown.GracePeriod - ShutdownMargin;
}

instant refusesRequestsFrom(const shutdown_schedule &Shutdown,
                            duration LongestTimeout) {
  return std::max(Shutdown.StartedAt + Shutdown.GracePeriod / 2,
                  processEnd(Shutdown) - LongestTimeout);
}

} // namespace amaranthhoist
