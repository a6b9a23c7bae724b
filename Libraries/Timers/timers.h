/// Timer service of a daemon: components subscribe with a period and are called
/// on one thread. This is also the only component that reads the clocks.
#pragma once

#include "Core/core.h"
#include "Gateway/gateway.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace amaranthhoist {

/// Returns the monotonic clock of the process. It advances while the process is
/// stopped, so a paused holder detects on resuming that its time has expired.
instant currentInstant();

/// Milliseconds since the Unix epoch.
std::int64_t currentWallMs();

/// Returns both clocks.
moment currentMoment();

/// Calls subscribers periodically on one thread.
class timer_service {
public:
  timer_service();
  ~timer_service();
  timer_service(const timer_service &) = delete;
  timer_service &operator=(const timer_service &) = delete;

  /// Starts calling \p Function every \p Period.
  void subscribe(duration Period, std::function<void()> Function);

  /// Ends the thread. No function is called afterwards.
  void stop();

private:
  struct subscription {
    duration Period{};
    instant Next{};
    std::function<void()> Function;
  };

  void run();

  std::mutex Lock;
  std::condition_variable Changed;
  std::vector<subscription> Subscriptions;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace amaranthhoist
