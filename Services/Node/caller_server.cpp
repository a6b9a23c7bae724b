#include "caller_server.h"

#include <algorithm>
#include <unistd.h>
#include <vector>

namespace amaranthhoist {

/// Delay before pending connections are accepted again when no descriptors are
/// left.
static constexpr duration AcceptRetryDelay = std::chrono::milliseconds(20);
/// Descriptors reserved for servers, the store and files.
static constexpr std::size_t ReservedDescriptors = 600;

caller_server::caller_server(node &Node, target_pool &Pool, caller_kind Kind)
    : Node(Node), Pool(Pool), Kind(Kind) {}

caller_server::~caller_server() { stopListening(); }

result<bool> caller_server::listen(const endpoint &Endpoint) {
  Listener = TRY(listenOn(Endpoint));
  if (!Node.Loop.watch(Listener, *this))
    return fail(error_code::Unavailable, "can't watch a listening socket");
  return true;
}

void caller_server::stopListening() {
  if (Listener < 0)
    return;
  Node.Loop.unwatch(Listener);
  close(Listener);
  Listener = -1;
}

void caller_server::onEvent(const io_event & /*Event*/) { acceptPending(); }

void caller_server::acceptPending() {
  const auto Limit = static_cast<std::size_t>(Node.Settings.FileDescriptors) -
                     ReservedDescriptors;
  while (Listener >= 0) {
    bool OutOfDescriptors = Connections.size() >= Limit;
    const int Descriptor =
        OutOfDescriptors ? -1 : acceptConnection(Listener, OutOfDescriptors);
    if (Descriptor < 0) {
      if (OutOfDescriptors && AcceptRetryTimer == 0)
        AcceptRetryTimer = Node.Loop.runAfter(AcceptRetryDelay, [this] {
          AcceptRetryTimer = 0;
          acceptPending();
        });
      return;
    }
    auto Connection = std::make_unique<caller_connection>(Node, Pool, *this);
    caller_connection *Raw = Connection.get();
    Connections.emplace(Raw, std::move(Connection));
    if (!Raw->open(Descriptor))
      retire(*Raw);
  }
}

void caller_server::closeIdleConnections() {
  std::vector<caller_connection *> All;
  for (const auto &[Raw, Connection] : Connections)
    All.push_back(Raw);
  for (caller_connection *Connection : All)
    Connection->closeIfIdle();
}

bool caller_server::isBusy() const {
  return !DetachedExchanges.empty() ||
         std::any_of(Connections.begin(), Connections.end(),
                     [](const auto &Entry) { return Entry.first->isBusy(); });
}

void caller_server::logAborted() {
  for (const auto &[Raw, Connection] : Connections)
    Raw->logAborted();
  for (const auto &[Raw, Exchange] : DetachedExchanges)
    Raw->logAborted();
}

void caller_server::retire(caller_connection &Connection) {
  auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  Node.Loop.retire(std::move(Found->second));
  Connections.erase(Found);
}

void caller_server::adopt(std::unique_ptr<exchange> Exchange) {
  exchange *Raw = Exchange.get();
  Raw->detach([this, Raw] {
    auto Found = DetachedExchanges.find(Raw);
    if (Found == DetachedExchanges.end())
      return;
    Node.Loop.retire(std::move(Found->second));
    DetachedExchanges.erase(Found);
  });
  DetachedExchanges.emplace(Raw, std::move(Exchange));
}

} // namespace amaranthhoist
