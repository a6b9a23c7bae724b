/// Timer service of a daemon: parts subscribe to a period; one thread calls
/// them. Also the only place that reads the clocks.
#pragma once

#include "Core/core.h"
#include "Gateway/gateway.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace amaranthhoist {

/// The process's monotonic clock as an instant. It goes on while the process
/// is stopped, so a paused holder sees on waking that its time is over.
instant currentInstant();

/// Milliseconds since the Unix epoch.
std::int64_t currentWallMs();

/// Both clocks.
moment currentMoment();

/// Calls subscribers periodically on one thread.
class timer_service {
public:
  timer_service();
  ~timer_service();
  timer_service(const timer_service &) = delete;
  timer_service &operator=(const timer_service &) = delete;

  /// Calls \p Function every \p Period from now on.
  void subscribe(duration Period, std::function<void()> Function);

  /// Ends the thread; no call is made afterwards.
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
