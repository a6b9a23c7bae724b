#include "caller_server.h"

#include <algorithm>
#include <unistd.h>
#include <vector>

namespace amaranthhoist {

/// Without descriptors left, waiting connections are tried again this often.
static constexpr duration AcceptAgainAfter = std::chrono::milliseconds(20);
/// Descriptors kept free for servers, the store and files.
static constexpr std::size_t ReservedDescriptors = 600;

caller_server::caller_server(node &Node, target_pool &Pool)
    : Node(Node), Pool(Pool) {}

caller_server::~caller_server() { stopListening(); }

result<bool> caller_server::listen(const endpoint &Endpoint) {
  Listener = TRY(listenAt(Endpoint));
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

void caller_server::onEvent(const io_event & /*Event*/) { acceptAll(); }

void caller_server::acceptAll() {
  const auto Limit = static_cast<std::size_t>(Node.Settings.FileDescriptors) -
                     ReservedDescriptors;
  while (Listener >= 0) {
    bool OutOfDescriptors = Connections.size() >= Limit;
    const int Descriptor =
        OutOfDescriptors ? -1 : acceptFrom(Listener, OutOfDescriptors);
    if (Descriptor < 0) {
      if (OutOfDescriptors && AcceptAgain == 0)
        AcceptAgain = Node.Loop.after(AcceptAgainAfter, [this] {
          AcceptAgain = 0;
          acceptAll();
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

void caller_server::endIdleConnections() {
  std::vector<caller_connection *> All;
  for (const auto &[Raw, Connection] : Connections)
    All.push_back(Raw);
  for (caller_connection *Connection : All)
    Connection->endIdle();
}

bool caller_server::isBusy() const {
  return !Adopted.empty() ||
         std::any_of(Connections.begin(), Connections.end(),
                     [](const auto &Entry) { return Entry.first->isBusy(); });
}

void caller_server::noteCutOff() {
  for (const auto &[Raw, Connection] : Connections)
    Raw->noteCutOff();
  for (const auto &[Raw, Exchange] : Adopted)
    Raw->noteCutOff();
}

void caller_server::retire(caller_connection &Connection) {
  auto Found = Connections.find(&Connection);
  if (Found == Connections.end())
    return;
  Node.Retired.push_back(std::move(Found->second));
  Connections.erase(Found);
}

void caller_server::adopt(std::unique_ptr<exchange> Exchange) {
  exchange *Raw = Exchange.get();
  Raw->goOnAlone([this, Raw] {
    auto Found = Adopted.find(Raw);
    if (Found == Adopted.end())
      return;
    Node.Retired.push_back(std::move(Found->second));
    Adopted.erase(Found);
  });
  Adopted.emplace(Raw, std::move(Exchange));
}

} // namespace amaranthhoist
