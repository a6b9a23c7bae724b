#include "EventLoop/event_loop.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <sys/epoll.h>
#include <unistd.h>

namespace amaranthhoist {

/// Maximum number of events per epoll_wait call: large enough that a busy
/// iteration needs one call, small enough that timers are not starved.
static constexpr int MaxEvents = 128;

static instant readMonotonicClock() {
  timespec Time{};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

instant event_loop::suspendAwareNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return instant(std::chrono::seconds(Time.tv_sec) +
                 std::chrono::duration_cast<duration>(
                     std::chrono::nanoseconds(Time.tv_nsec)));
}

event_loop::event_loop() : EpollDescriptor(epoll_create1(EPOLL_CLOEXEC)) {
  // The process cannot serve anything without epoll.
  if (EpollDescriptor < 0)
    std::abort();
  refreshNow();
}

event_loop::~event_loop() { close(EpollDescriptor); }

void event_loop::refreshNow() { Now = readMonotonicClock(); }

bool event_loop::watch(int Descriptor, io_handler &Handler) {
  const auto Index = static_cast<std::size_t>(Descriptor);
  if (Registrations.size() <= Index)
    Registrations.resize(Index + 1);
  registration &Registration = Registrations[Index];
  Registration.Handler = &Handler;
  ++Registration.Generation;
  epoll_event Event{};
  Event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  Event.data.u64 = (static_cast<std::uint64_t>(Registration.Generation) << 32) |
                   static_cast<std::uint32_t>(Descriptor);
  return epoll_ctl(EpollDescriptor, EPOLL_CTL_ADD, Descriptor, &Event) == 0;
}

void event_loop::unwatch(int Descriptor) {
  // Closing the descriptor removes it from epoll, which saves a system call.
  Registrations[static_cast<std::size_t>(Descriptor)].Handler = nullptr;
}

timer_id event_loop::runAfter(duration Delay, std::function<void()> Function) {
  const timer_id Timer = ++LastTimerId;
  // A time in the past would place it before timers that are due already.
  const instant Time = Now + std::max(Delay, duration::zero());
  Timers.emplace(timer_key(Time, Timer), std::move(Function));
  TimerDeadlines.emplace_hint(TimerDeadlines.end(), Timer, Time);
  return Timer;
}

void event_loop::runEvery(duration Period, std::function<void()> Function) {
  runAfter(Period, [this, Period, Function = std::move(Function)]() mutable {
    Function();
    runEvery(Period, std::move(Function));
  });
}

void event_loop::cancel(timer_id &Timer) {
  auto Time = TimerDeadlines.find(Timer);
  if (Time != TimerDeadlines.end()) {
    Timers.erase(timer_key(Time->second, Timer));
    TimerDeadlines.erase(Time);
  }
  Timer = 0;
}

void event_loop::atEndOfIteration(std::function<void()> Function) {
  IterationCallbacks.push_back(std::move(Function));
}

int event_loop::epollTimeoutMs() const {
  if (Timers.empty())
    return -1;
  const duration Remaining = Timers.begin()->first.first - Now;
  if (Remaining <= duration::zero())
    return 0;
  // Rounded up, so that epoll_wait never returns before the timer is due.
  return static_cast<int>((Remaining.count() + 999) / 1'000);
}

void event_loop::runTimers() {
  // Those added from now on run in a later iteration, even if they are due at
  // once. Otherwise, one that adds the next would keep the loop from all else.
  const timer_id Last = LastTimerId;
  while (!Timers.empty() && Timers.begin()->first.first <= Now &&
         Timers.begin()->first.second <= Last) {
    auto Node = Timers.extract(Timers.begin());
    TimerDeadlines.erase(Node.key().second);
    Node.mapped()();
  }
}

void event_loop::destroyRetired() {
  // An object may own others that it retires.
  while (!Retired.empty())
    std::exchange(Retired, {}).clear();
}

void event_loop::run() {
  std::array<epoll_event, MaxEvents> Events{};
  while (!Stopping) {
    const int Count =
        epoll_wait(EpollDescriptor, Events.data(), MaxEvents, epollTimeoutMs());
    refreshNow();
    ++Iteration;
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = Events[static_cast<std::size_t>(Index)];
      const auto Descriptor = static_cast<std::uint32_t>(Event.data.u64);
      const auto Generation = static_cast<std::uint32_t>(Event.data.u64 >> 32);
      const registration &Registration = Registrations[Descriptor];
      if (!Registration.Handler || Registration.Generation != Generation)
        continue;
      Registration.Handler->onEvent(
          {(Event.events & EPOLLIN) != 0, (Event.events & EPOLLOUT) != 0,
           (Event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0,
           (Event.events & (EPOLLHUP | EPOLLERR)) != 0});
    }
    runTimers();
    for (const auto &Function : IterationCallbacks)
      Function();
    destroyRetired();
  }
  // A nested run() must not stop the outer one.
  Stopping = false;
}

} // namespace amaranthhoist
