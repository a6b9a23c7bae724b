#include "Rpc/rpc.h"

#include "Settings/settings.h"

#include <capnp/message.h>
#include <future>
#include <kj/debug.h>

namespace amaranthhoist {

/// Timeout for connecting to a peer.
static constexpr duration ConnectTimeout = std::chrono::milliseconds(1'000);

/// One pooled connection. The bootstrap capability is a promise until the
/// connection is made, so calls can be made at once.
struct rpc_loop::connection {
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyClient> Client;
  std::optional<capnp::Capability::Client> Main;
  /// Distinguishes this connection from a later one to the same address.
  std::uint64_t Number = 0;
};

rpc_loop::rpc_loop() {
  std::promise<void> Ready;
  Thread = std::thread([this, &Ready] {
    kj::AsyncIoContext Context = kj::setupAsyncIo();
    Io = Context.provider.get();
    Timer = &Context.provider->getTimer();
    Executor = &kj::getCurrentThreadExecutor();
    Tasks = std::make_unique<kj::TaskSet>(*this);
    auto Paf = kj::newPromiseAndFulfiller<void>();
    Stop = kj::mv(Paf.fulfiller);
    awaitPosts();
    Ready.set_value();
    Paf.promise.wait(Context.waitScope);
    Tasks.reset();
    Connections.clear();
  });
  Ready.get_future().wait();
}

rpc_loop::~rpc_loop() {
  run([this] {
    Stopped = true;
    Stop->fulfill();
  });
  Thread.join();
}

bool rpc_loop::isLoopThread() const {
  return std::this_thread::get_id() == Thread.get_id();
}

void rpc_loop::run(const std::function<void()> &Function) {
  try {
    Executor->executeSync([&] {
      runDue();
      Function();
    });
  } catch (const kj::Exception &Exception) {
    // The loop has ended because the process is exiting.
    KJ_LOG(INFO, "rpc loop call failed", Exception);
  }
}

void rpc_loop::post(std::function<void()> Function) {
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> Sleeper;
  {
    const std::lock_guard Guard(PostLock);
    Posted.push_back(std::move(Function));
    Sleeper = kj::mv(Wake);
  }
  if (Sleeper.get() != nullptr)
    Sleeper->fulfill();
}

void rpc_loop::awaitPosts() {
  auto Paf = kj::newPromiseAndCrossThreadFulfiller<void>();
  keep(Paf.promise.then([this] { runPosts(); }));
  const std::lock_guard Guard(PostLock);
  Wake = kj::mv(Paf.fulfiller);
}

void rpc_loop::runPosts() {
  // The wake-up is armed before the queue is emptied: a post in between may
  // wake the loop once too often, but never once too little.
  awaitPosts();
  runDue();
}

void rpc_loop::runDue() {
  std::vector<std::function<void()>> Due;
  {
    const std::lock_guard Guard(PostLock);
    Due.swap(Posted);
  }
  for (const std::function<void()> &Function : Due)
    Function();
}

void rpc_loop::keep(kj::Promise<void> &&Promise) {
  Tasks->add(kj::mv(Promise));
}

kj::Promise<void> rpc_loop::after(duration Time) {
  return Timer->afterDelay(Time.count() * kj::MICROSECONDS);
}

void rpc_loop::taskFailed(kj::Exception &&) {
  // Kept promises handle their own failures. The remaining failure is a
  // disconnected peer, which the caller observes as a failed call.
}

void rpc_loop::dropPeer(const std::string &Address) {
  auto Found = Connections.find(Address);
  if (Found == Connections.end())
    return;
  // Calls in flight hold their own references. The streams are closed with the
  // last one.
  auto Old = std::move(Found->second);
  Connections.erase(Found);
  Tasks->add(kj::Promise<void>(kj::READY_NOW).attach(kj::mv(Old)));
}

capnp::Capability::Client rpc_loop::bootstrap(const std::string &Address) {
  auto Found = Connections.find(Address);
  if (Found != Connections.end() && Found->second->Main)
    return *Found->second->Main;
  auto Fresh = std::make_unique<connection>();
  connection *Raw = Fresh.get();
  const std::uint64_t Number = NextConnection++;
  Raw->Number = Number;
  Connections[Address] = std::move(Fresh);
  auto Connecting = Io->getNetwork().parseAddress(Address).then(
      [](kj::Own<kj::NetworkAddress> Parsed) {
        auto Promise = Parsed->connect();
        return Promise.attach(kj::mv(Parsed));
      });
  auto Ready =
      within(ConnectTimeout, kj::mv(Connecting))
          .then(
              [this, Raw, Number, Address](kj::Own<kj::AsyncIoStream> Stream)
                  -> capnp::Capability::Client {
                auto Held = Connections.find(Address);
                if (Held == Connections.end() || Held->second->Number != Number)
                  kj::throwFatalException(
                      KJ_EXCEPTION(DISCONNECTED, "connection dropped"));
                Raw->Stream = kj::mv(Stream);
                Raw->Client = kj::heap<capnp::TwoPartyClient>(*Raw->Stream);
                keep(Raw->Client->onDisconnect().then(
                    [this, Raw, Number, Address] {
                      auto Current = Connections.find(Address);
                      if (Current != Connections.end() &&
                          Current->second->Number == Number)
                        dropPeer(Address);
                    }));
                return Raw->Client->bootstrap();
              },
              [this, Raw, Number, Address](
                  kj::Exception &&Exception) -> capnp::Capability::Client {
                auto Held = Connections.find(Address);
                if (Held != Connections.end() && Held->second->Number == Number)
                  Connections.erase(Held);
                kj::throwFatalException(kj::mv(Exception));
              });
  Raw->Main = capnp::Capability::Client(kj::mv(Ready));
  return *Raw->Main;
}

result<bool> rpc_loop::listen(const std::string &Address,
                              capnp::Capability::Client Main) {
  TRY(parseAddress(Address));
  result<bool> Outcome = true;
  // The server has the lifetime of the loop.
  struct server_state {
    kj::Own<capnp::TwoPartyServer> Server;
    kj::Own<kj::ConnectionReceiver> Receiver;
  };
  auto State = std::make_shared<server_state>();
  State->Server = kj::heap<capnp::TwoPartyServer>(kj::mv(Main));
  auto Listening = Io->getNetwork().parseAddress(Address).then(
      [this, State](kj::Own<kj::NetworkAddress> Parsed) {
        State->Receiver = Parsed->listen();
        keep(State->Server->listen(*State->Receiver));
      });
  keep(Listening.catch_([Address](kj::Exception &&Exception) {
    KJ_LOG(FATAL, "can't listen", Address, Exception);
    // Another process has bound the address. An earlier start of this daemon
    // may still be running, and two processes must not act as one daemon.
    std::_Exit(3);
  }));
  keep(kj::Promise<void>(kj::NEVER_DONE).attach(kj::mv(State)));
  return Outcome;
}

} // namespace amaranthhoist
