/// One thread's event loop over epoll, with the timer service that all parts
/// subscribe to. Plumbing: the only place of the node program that reads the
/// monotonic clock. All calls come on the loop's thread.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace amaranthhoist {

/// What became of a file descriptor.
struct io_event {
  bool Readable = false;
  bool Writable = false;
  /// The peer closed, or the connection failed.
  bool HungUp = false;
};

/// Gets the events of one file descriptor. Events are edge-triggered: a
/// handler reads or writes until the kernel has no more, or remembers to come
/// back.
class io_handler {
public:
  virtual ~io_handler() = default;
  virtual void onEvent(const io_event &Event) = 0;
};

/// Names a subscription of the timer service; 0 is none.
using timer_id = std::uint64_t;

class event_loop {
public:
  event_loop();
  ~event_loop();
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// The time of the current round of events, on the monotonic clock.
  [[nodiscard]] instant now() const { return Now; }

  /// Registers \p Descriptor until unwatch(). False when the kernel refuses.
  [[nodiscard]] bool watch(int Descriptor, io_handler &Handler);
  /// Events of \p Descriptor that wait in this round are dropped too.
  void unwatch(int Descriptor);

  /// Calls \p Function once, \p Delay from now.
  timer_id after(duration Delay, std::function<void()> Function);
  /// Calls \p Function every \p Period from now on.
  void every(duration Period, std::function<void()> Function);
  /// Forgets a timer, run or not, and sets \p Timer to none.
  void cancel(timer_id &Timer);

  /// Calls \p Function at the end of each round of events.
  void atEndOfRound(std::function<void()> Function);

  /// Serves until stop().
  void run();
  void stop() { Stopping = true; }

private:
  struct registration {
    io_handler *Handler = nullptr;
    std::uint32_t Generation = 0;
  };
  using timer_key = std::pair<instant, timer_id>;

  int waitMs() const;
  void runTimers();
  void refreshNow();

  int Epoll = -1;
  bool Stopping = false;
  instant Now{};
  /// By file descriptor.
  std::vector<registration> Registrations;
  std::map<timer_key, std::function<void()>> Timers;
  std::map<timer_id, instant> TimerTimes;
  timer_id LastTimer = 0;
  std::vector<std::function<void()>> EndOfRound;
};

} // namespace amaranthhoist
