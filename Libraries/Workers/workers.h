/// Threads for blocking calls to backend servers and to the platform, made when
/// none is free, up to a limit.
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

  /// Runs \p Job on a free thread; a new one is made when none is free.
  void submit(std::function<void()> Job);

private:
  void run();

  const std::size_t MaxThreads;
  std::mutex Lock;
  std::condition_variable Changed;
  std::deque<std::function<void()>> Jobs;
  std::vector<std::thread> Threads;
  std::size_t Idle = 0;
  bool Stopping = false;
};

} // namespace amaranthhoist
