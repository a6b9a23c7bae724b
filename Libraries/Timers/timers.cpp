#include "Timers/timers.h"

#include <algorithm>

namespace amaranthhoist {

instant currentInstant() {
  const auto Since = std::chrono::steady_clock::now().time_since_epoch();
  return instant(std::chrono::duration_cast<duration>(Since));
}

std::int64_t currentWallMs() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

moment currentMoment() { return {currentInstant(), currentWallMs()}; }

timer_service::timer_service() : Thread([this] { run(); }) {}

timer_service::~timer_service() { stop(); }

void timer_service::subscribe(duration Period, std::function<void()> Function) {
  const std::lock_guard Guard(Lock);
  Subscriptions.push_back(
      {Period, currentInstant() + Period, std::move(Function)});
  Changed.notify_all();
}

void timer_service::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    Changed.notify_all();
  }
  if (Thread.joinable())
    Thread.join();
}

void timer_service::run() {
  std::unique_lock Guard(Lock);
  while (!Stopping) {
    const instant Now = currentInstant();
    instant Wake = Now + std::chrono::seconds(1);
    std::vector<std::function<void()>> Due;
    for (subscription &Subscription : Subscriptions) {
      if (Subscription.Next <= Now) {
        Due.push_back(Subscription.Function);
        // The next call is scheduled relative to now instead of the missed
        // time: after a pause there is one call.
        Subscription.Next = Now + Subscription.Period;
      }
      Wake = std::min(Wake, Subscription.Next);
    }
    if (Due.empty()) {
      Changed.wait_for(Guard, Wake - Now);
      continue;
    }
    Guard.unlock();
    for (const auto &Function : Due)
      Function();
    Guard.lock();
  }
}

} // namespace amaranthhoist
