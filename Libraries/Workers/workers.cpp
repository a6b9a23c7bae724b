#include "Workers/workers.h"

namespace amaranthhoist {

worker_pool::~worker_pool() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    StateChanged.notify_all();
  }
  for (std::thread &Thread : Threads)
    Thread.join();
}

void worker_pool::submit(std::function<void()> Job) {
  const std::lock_guard Guard(Lock);
  Jobs.push_back(std::move(Job));
  if (IdleThreads < Jobs.size() && Threads.size() < MaxThreads)
    Threads.emplace_back([this] { run(); });
  StateChanged.notify_one();
}

void worker_pool::run() {
  std::unique_lock Guard(Lock);
  while (true) {
    ++IdleThreads;
    StateChanged.wait(Guard, [this] { return Stopping || !Jobs.empty(); });
    --IdleThreads;
    if (Jobs.empty())
      return;
    const std::function<void()> Job = std::move(Jobs.front());
    Jobs.pop_front();
    Guard.unlock();
    Job();
    Guard.lock();
  }
}

} // namespace amaranthhoist
