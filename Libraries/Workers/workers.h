/// A thread pool for blocking calls to backend servers and to the platform.
/// Threads are created when none is idle, up to a limit.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace amaranthhoist {

class worker_pool {
public:
  explicit worker_pool(std::size_t MaxThreads) : MaxThreads(MaxThreads) {}
  ~worker_pool();
  worker_pool(const worker_pool &) = delete;
  worker_pool &operator=(const worker_pool &) = delete;

  /// Queues \p Job. Creates a thread if none is idle and the limit allows it.
  void submit(std::function<void()> Job);

private:
  void run();

  const std::size_t MaxThreads;
  std::mutex Lock;
  std::condition_variable StateChanged;
  std::deque<std::function<void()>> Jobs;
  std::vector<std::thread> Threads;
  std::size_t IdleThreads = 0;
  bool Stopping = false;
};

} // namespace amaranthhoist
