#include "EventLoop/event_loop.h"

#include <array>
#include <cstdlib>
#include <ctime>
#include <sys/epoll.h>
#include <unistd.h>

namespace amaranthhoist {

/// Events taken from the kernel at a time: enough that a busy round costs one
/// call, few enough that timers aren't starved.
static constexpr int MaxEvents = 128;

static instant readMonotonicClock() {
  timespec Time{};
  clock_gettime(CLOCK_MONOTONIC, &Time);
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

event_loop::event_loop() : Epoll(epoll_create1(EPOLL_CLOEXEC)) {
  // Without epoll nothing can be served.
  if (Epoll < 0)
    std::abort();
  refreshNow();
}

event_loop::~event_loop() { close(Epoll); }

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
  return epoll_ctl(Epoll, EPOLL_CTL_ADD, Descriptor, &Event) == 0;
}

void event_loop::unwatch(int Descriptor) {
  // Closing the descriptor takes it out of epoll; a call less.
  Registrations[static_cast<std::size_t>(Descriptor)].Handler = nullptr;
}

timer_id event_loop::after(duration Delay, std::function<void()> Function) {
  const timer_id Timer = ++LastTimer;
  const instant Time = Now + Delay;
  Timers.emplace(timer_key(Time, Timer), std::move(Function));
  TimerTimes.emplace_hint(TimerTimes.end(), Timer, Time);
  return Timer;
}

void event_loop::every(duration Period, std::function<void()> Function) {
  after(Period, [this, Period, Function = std::move(Function)]() mutable {
    Function();
    every(Period, std::move(Function));
  });
}

void event_loop::cancel(timer_id &Timer) {
  auto Time = TimerTimes.find(Timer);
  if (Time != TimerTimes.end()) {
    Timers.erase(timer_key(Time->second, Timer));
    TimerTimes.erase(Time);
  }
  Timer = 0;
}

void event_loop::atEndOfRound(std::function<void()> Function) {
  EndOfRound.push_back(std::move(Function));
}

int event_loop::waitMs() const {
  if (Timers.empty())
    return -1;
  const duration Left = Timers.begin()->first.first - Now;
  if (Left <= duration::zero())
    return 0;
  // Rounded up, so that a timer is never found too early and asked again.
  return static_cast<int>((Left.count() + 999) / 1'000);
}

void event_loop::runTimers() {
  while (!Timers.empty() && Timers.begin()->first.first <= Now) {
    auto Node = Timers.extract(Timers.begin());
    TimerTimes.erase(Node.key().second);
    Node.mapped()();
  }
}

void event_loop::run() {
  std::array<epoll_event, MaxEvents> Events{};
  while (!Stopping) {
    const int Count = epoll_wait(Epoll, Events.data(), MaxEvents, waitMs());
    refreshNow();
    for (int Index = 0; Index < Count; ++Index) {
      const epoll_event &Event = Events[static_cast<std::size_t>(Index)];
      const auto Descriptor = static_cast<std::uint32_t>(Event.data.u64);
      const auto Generation = static_cast<std::uint32_t>(Event.data.u64 >> 32);
      const registration &Registration = Registrations[Descriptor];
      if (!Registration.Handler || Registration.Generation != Generation)
        continue;
      Registration.Handler->onEvent(
          {(Event.events & EPOLLIN) != 0, (Event.events & EPOLLOUT) != 0,
           (Event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0});
    }
    runTimers();
    for (const auto &Function : EndOfRound)
      Function();
  }
  // A run may be nested in another one, which goes on.
  Stopping = false;
}

} // namespace amaranthhoist
