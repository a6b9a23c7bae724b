#include "link_proxy.h"

#include "stand_in_server.h"

#include <cstdlib>
#include <deque>
#include <unistd.h>

namespace amaranthhoist {

/// One-way delay of a delayed link. Exceeds the retry time-out between nodes.
static constexpr duration Delay = std::chrono::milliseconds(300);
/// Time-out of connections to the server. Long enough that the proxy itself
/// never closes a connection.
static constexpr duration ConnectionTimeout = std::chrono::seconds(120);

/// One proxied connection: forwards bytes between the caller's and the server's
/// stream.
class proxied_connection {
public:
  explicit proxied_connection(link_proxy &Proxy)
      : Proxy(Proxy), FromCaller(*this, /*IsToServer=*/true),
        FromServer(*this, /*IsToServer=*/false), Caller(Proxy.Loop, FromCaller),
        Server(Proxy.Loop, FromServer) {}

  ~proxied_connection() { Proxy.Loop.cancel(NextDelivery); }

  bool open(int Accepted) {
    const auto Endpoint = parseEndpoint(Proxy.Server);
    auto Connecting = connectTo(*Endpoint, ConnectionTimeout);
    const bool HasServer =
        Connecting && Server.open(*Connecting, /*IsConnected=*/false);
    const bool HasCaller = Caller.open(Accepted, /*IsConnected=*/true);
    return HasServer && HasCaller;
  }

  void reset() {
    Caller.closeWithReset();
    Server.closeWithReset();
  }

  /// Forwards the pieces that are due and that the link mode permits.
  void deliver() {
    Proxy.Loop.cancel(NextDelivery);
    const instant Now = Proxy.Loop.now();
    while (!Held.empty() && mayPass(Held.front().IsToServer) &&
           Held.front().Due <= Now) {
      const piece Piece = std::move(Held.front());
      Held.pop_front();
      pass(Piece);
    }
    if (!Held.empty() && mayPass(Held.front().IsToServer))
      NextDelivery = Proxy.Loop.runAfter(Held.front().Due - Now, [this] {
        NextDelivery = 0;
        deliver();
      });
  }

private:
  /// Bytes in transit. A piece without bytes is the end of that direction.
  struct piece {
    bool IsToServer = false;
    instant Due{};
    std::string Bytes;
    disconnect_reason End = disconnect_reason::Graceful;
  };

  class side : public stream_owner {
  public:
    side(proxied_connection &Owner, bool IsToServer)
        : Owner(Owner), IsToServer(IsToServer) {}
    void onConnected() override { Owner.Server.resume(); }
    void onBytes(std::string_view Bytes) override {
      Owner.enqueue({IsToServer, {}, std::string(Bytes), {}});
    }
    void onDisconnect(disconnect_reason End) override {
      Owner.enqueue({IsToServer, {}, {}, End});
    }

  private:
    proxied_connection &Owner;
    bool IsToServer;
  };

  [[nodiscard]] bool mayPass(bool IsToServer) const {
    if (Proxy.Mode == link_mode::Silent)
      return false;
    return Proxy.Mode != link_mode::OneWay || IsToServer;
  }

  void enqueue(piece Piece) {
    Piece.Due = Proxy.Loop.now();
    if (Proxy.Mode == link_mode::Delayed)
      Piece.Due += Delay;
    Held.push_back(std::move(Piece));
    deliver();
  }

  void pass(const piece &Piece) {
    stream &To = Piece.IsToServer ? Server : Caller;
    if (!Piece.Bytes.empty()) {
      To.write(Piece.Bytes);
      return;
    }
    if (Piece.End == disconnect_reason::Graceful)
      To.shutdownWhenFlushed();
    else
      To.closeWithReset();
    if (!Caller.isOpen() && !Server.isOpen())
      Proxy.retire(*this);
  }

  link_proxy &Proxy;
  side FromCaller;
  side FromServer;
  stream Caller;
  stream Server;
  std::deque<piece> Held;
  timer_id NextDelivery = 0;
};

link_proxy::link_proxy(event_loop &Loop, std::string Server)
    : Loop(Loop), Server(std::move(Server)), Address(freeAddress()) {
  Loop.atEndOfIteration([this] { Retired.clear(); });
  listen();
}

link_proxy::~link_proxy() { goDown(); }

void link_proxy::listen() {
  auto Descriptor = listenOn(*parseEndpoint(Address));
  if (!Descriptor || !Loop.watch(*Descriptor, *this))
    std::abort();
  Listener = *Descriptor;
}

void link_proxy::goDown() {
  resetAll();
  if (Listener < 0)
    return;
  Loop.unwatch(Listener);
  close(Listener);
  Listener = -1;
}

void link_proxy::setMode(link_mode NewMode) {
  Mode = NewMode;
  std::vector<proxied_connection *> All;
  for (const auto &[Raw, Connection] : Connections)
    All.push_back(Raw);
  for (proxied_connection *Connection : All)
    Connection->deliver();
}

void link_proxy::resetAll() {
  for (auto &[Raw, Connection] : Connections) {
    Connection->reset();
    Retired.push_back(std::move(Connection));
  }
  Connections.clear();
}

void link_proxy::onEvent(const io_event & /*Event*/) {
  bool OutOfDescriptors = false;
  for (int Accepted = acceptConnection(Listener, OutOfDescriptors);
       Accepted >= 0; Accepted = acceptConnection(Listener, OutOfDescriptors)) {
    auto Connection = std::make_unique<proxied_connection>(*this);
    proxied_connection *Raw = Connection.get();
    Connections.emplace(Raw, std::move(Connection));
    if (!Raw->open(Accepted))
      retire(*Raw);
  }
}

void link_proxy::retire(proxied_connection &Connection) {
  auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  Found->second->reset();
  Retired.push_back(std::move(Found->second));
  Connections.erase(Found);
}

} // namespace amaranthhoist
