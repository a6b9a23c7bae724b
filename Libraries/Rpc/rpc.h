/// Cap'n Proto RPC between the processes of the system: one event loop on its
/// own thread, with connections pooled by address. Other threads pass functions
/// to it.
#pragma once

#include "Core/core.h"

#include <capnp/rpc-twoparty.h>
#include <functional>
#include <kj/async-io.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace amaranthhoist {

/// The event loop, its thread and its connections.
class rpc_loop : public kj::TaskSet::ErrorHandler {
public:
  rpc_loop();
  ~rpc_loop();
  rpc_loop(const rpc_loop &) = delete;
  rpc_loop &operator=(const rpc_loop &) = delete;

  /// Runs \p Function on the loop's thread, after all functions posted before,
  /// and waits until it has returned. Do not call this on the loop's thread.
  void run(const std::function<void()> &Function);

  /// Schedules \p Function on the loop's thread, in the order of the calls, and
  /// returns at once. Avoids the two thread switches of run().
  void post(std::function<void()> Function);

  /// Whether the calling thread is the loop's.
  bool isLoopThread() const;

  /// Serves \p Main at `ip:port`. The port is not shared with any other
  /// process.
  result<bool> listen(const std::string &Address,
                      capnp::Capability::Client Main);

  // On the loop's thread only:

  /// Returns the main interface at \p Address, over the pooled connection.
  template <typename Interface>
  typename Interface::Client peer(const std::string &Address) {
    return bootstrap(Address).castAs<Interface>();
  }

  /// Removes the connection to \p Address from the pool. The next call makes a
  /// new one.
  void dropPeer(const std::string &Address);

  /// Keeps \p Promise running. Its failure is ignored.
  void keep(kj::Promise<void> &&Promise);

  /// Fails when \p Promise has not completed after \p Limit.
  template <typename T>
  kj::Promise<T> within(duration Limit, kj::Promise<T> &&Promise) {
    return Timer->timeoutAfter(Limit.count() * kj::MICROSECONDS,
                               kj::mv(Promise));
  }

  /// Completes after \p Time.
  kj::Promise<void> after(duration Time);

private:
  struct connection;

  capnp::Capability::Client bootstrap(const std::string &Address);
  void taskFailed(kj::Exception &&Exception) override;
  void awaitPosts();
  void runPosts();
  /// Runs the posted functions in order.
  void runDue();

  std::map<std::string, std::unique_ptr<connection>> Connections;
  std::uint64_t NextConnection = 1;
  std::unique_ptr<kj::TaskSet> Tasks;
  kj::AsyncIoProvider *Io = nullptr;
  kj::Timer *Timer = nullptr;
  const kj::Executor *Executor = nullptr;
  kj::Own<kj::PromiseFulfiller<void>> Stop;
  std::mutex PostLock;
  std::vector<std::function<void()>> Posted;
  /// Set while the loop sleeps on an empty queue. The thread that posts the
  /// next function extracts it to wake the loop.
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> Wake;
  std::thread Thread;
  bool Stopped = false;
};

} // namespace amaranthhoist
