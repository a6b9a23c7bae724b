#include "caller_server.h"

#include <algorithm>
#include <vector>

namespace amaranthhoist {

caller_server::caller_server(node &Node, target_pool &Pool, caller_kind Kind)
    : Node(Node), Pool(Pool), Kind(Kind), Listener(Node.Loop, *this) {}

result<bool> caller_server::listen(const endpoint &Endpoint) {
  return Listener.listen(Endpoint);
}

bool caller_server::closeInactive() {
  caller_connection *Inactive = Connections.findInactive();
  if (!Inactive)
    return false;
  Inactive->closeForNew();
  return true;
}

void caller_server::onAccepted(int Descriptor) {
  auto Connection = std::make_unique<caller_connection>(Node, Pool, *this);
  caller_connection *Raw = Connection.get();
  Connections.add(std::move(Connection));
  if (!Raw->open(Descriptor))
    retire(*Raw);
}

void caller_server::closeIdleConnections() {
  // Closing one changes the set.
  const std::vector<caller_connection *> All(Connections.all().begin(),
                                             Connections.all().end());
  for (caller_connection *Connection : All)
    Connection->closeIfIdle();
}

bool caller_server::isBusy() const {
  const auto &All = Connections.all();
  return !DetachedExchanges.empty() ||
         std::any_of(All.begin(), All.end(),
                     [](const auto *Each) { return Each->isBusy(); });
}

void caller_server::logAborted() {
  for (caller_connection *Connection : Connections.all())
    Connection->logAborted();
  for (const auto &[Raw, Exchange] : DetachedExchanges)
    Raw->logAborted();
}

void caller_server::retire(caller_connection &Connection) {
  if (auto Removed = Connections.remove(Connection))
    Node.Loop.retire(std::move(Removed));
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
