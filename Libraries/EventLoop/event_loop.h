/// Single-threaded event loop over epoll, with the timers used by all
/// components. It is the only part of the node program that reads the
/// monotonic clock. All member functions must be called on the loop's thread.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace amaranthhoist {

/// Readiness of a file descriptor.
struct io_event {
  bool Readable = false;
  bool Writable = false;
  /// The peer closed the connection, or the connection failed.
  bool Disconnected = false;
  /// The connection failed, or both sides are closed.
  bool Failed = false;
};

/// Receives the events of one file descriptor. Events are edge-triggered: a
/// handler must read or write until the call would block, or record that it has
/// to resume later.
class io_handler {
public:
  virtual ~io_handler() = default;
  virtual void onEvent(const io_event &Event) = 0;
};

/// An object that is destroyed after the current round of events, because its
/// own code may still be on the stack.
class retirable {
public:
  virtual ~retirable() = default;
};

/// Identifies a timer; 0 means no timer.
using timer_id = std::uint64_t;

class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// The monotonic time at which the current iteration of the loop started.
  [[nodiscard]] instant now() const { return Now; }

  /// Number of the current iteration, for limits on the work of one.
  [[nodiscard]] std::uint64_t iteration() const { return Iteration; }

  /// The present time on a clock that, unlike now(), includes the time during
  /// which the instance was suspended.
  [[nodiscard]] static instant suspendAwareNow();

  /// Registers \p Descriptor until unwatch(). Returns false if the kernel
  /// rejects the registration.
  [[nodiscard]] bool watch(int Descriptor, io_handler &Handler);
  /// Unregisters \p Descriptor. Also drops its events that are still queued in
  /// the current iteration.
  void unwatch(int Descriptor);

  /// Schedules a single call of \p Function after \p Delay, in a later
  /// iteration than the present one.
  timer_id runAfter(duration Delay, std::function<void()> Function);
  /// Schedules repeated calls of \p Function, the first after one \p Period.
  void runEvery(duration Period, std::function<void()> Function);
  /// Cancels a timer, which may have fired already, and sets \p Timer to 0.
  void cancel(timer_id &Timer);

  /// Registers \p Function to be called at the end of each loop iteration.
  void atEndOfIteration(std::function<void()> Function);

  /// Destroys \p Object at the end of the current iteration. It must not expect
  /// further events.
  void retire(std::unique_ptr<retirable> Object) {
    Retired.push_back(std::move(Object));
  }

  /// Processes events until stop() is called.
  void run();
  void stop() { Stopping = true; }

private:
  struct registration {
    io_handler *Handler = nullptr;
    std::uint32_t Generation = 0;
  };
  using timer_key = std::pair<instant, timer_id>;

  int epollTimeoutMs() const;
  void runTimers();
  void refreshNow();
  void destroyRetired();

  int EpollDescriptor = -1;
  bool Stopping = false;
  instant Now{};
  std::uint64_t Iteration = 0;
  /// Indexed by file descriptor.
  std::vector<registration> Registrations;
  std::map<timer_key, std::function<void()>> Timers;
  std::map<timer_id, instant> TimerDeadlines;
  timer_id LastTimerId = 0;
  std::vector<std::function<void()>> IterationCallbacks;
  /// The last member, since the objects use the others while they are
  /// destroyed.
  std::vector<std::unique_ptr<retirable>> Retired;
};

} // namespace amaranthhoist
