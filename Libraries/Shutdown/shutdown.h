/// When an instance that shuts down stops accepting requests, so that none is
/// cut off by the end of its process. The answer depends on the timeouts in
/// force, which may change during the shutdown. Sans-I/O.
#pragma once

#include "Core/core.h"

namespace amaranthhoist {

/// A shutdown in progress.
struct shutdown_schedule {
  /// When the instance was told to stop.
  instant StartedAt{};
  /// Time from then on until the process is killed: the settings' value at that
  /// moment, since a later one may not be what the operator's init waits for.
  duration GracePeriod{};
};

/// Returns when the process ends, whatever is in flight.
instant processEnd(const shutdown_schedule &Shutdown);

/// Returns the time from which on requests are refused if none takes longer
/// than \p LongestTimeout. Requests that arrive in the first half of the grace
/// period are accepted in any case: callers with older look-ups still send
/// them.
instant refusesRequestsFrom(const shutdown_schedule &Shutdown,
                            duration LongestTimeout);

} // namespace amaranthhoist
