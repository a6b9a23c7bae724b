#include "target_pool.h"

#include <absl/container/flat_hash_set.h>

namespace amaranthhoist {

/// Keep-alive time assumed for a server that does not announce one; common
/// servers keep connections 5 s or longer.
static constexpr duration DefaultKeepAlive = std::chrono::seconds(5);
/// Safety margin at the end of the keep-alive time: when a close crosses a
/// request, it is unknown whether the request was run.
static constexpr duration KeepAliveMargin = std::chrono::milliseconds(1'500);
/// Non-idempotent requests can't be retried after such a crossing, so they only
/// use connections that were in use this recently.
static constexpr duration MaxIdleForNonIdempotent =
    std::chrono::milliseconds(3'000);
/// Maximum number of idle connections to one server; more are only needed in
/// bursts.
static constexpr std::size_t MaxIdlePerTarget = 6;
/// A peer that acknowledges nothing for this long counts as disconnected:
/// several round trips between regions, and well under every deadline.
static constexpr duration AckTimeout = std::chrono::milliseconds(1'200);
static constexpr duration SweepPeriod = std::chrono::seconds(1);

target_pool::target_pool(node &Node)
    : Node(Node), Crashes(Node), Prober(Node, *this) {
  Node.Loop.runEvery(SweepPeriod, [this] { closeStaleConnections(); });
}

bool target_pool::mayReuse(const client_connection &Connection,
                           work_class Class) const {
  if (!Connection.isOpen())
    return false;
  const duration Kept = Connection.KeepAliveTimeout > duration::zero()
                            ? Connection.KeepAliveTimeout
                            : DefaultKeepAlive;
  duration Usable = Kept - KeepAliveMargin;
  if (Class == work_class::NonIdempotent)
    Usable = std::min(Usable, MaxIdleForNonIdempotent);
  return Node.Loop.now() - Connection.IdleSince < Usable;
}

connection_handle target_pool::acquire(const target &Target, work_class Class) {
  auto Found = Idle.find(Target.Serial);
  if (Found == Idle.end())
    return nullptr;
  auto &Connections = Found->second;
  while (!Connections.empty() && !Connections.back()->isOpen())
    Connections.pop_back();
  // The last connection is the most recently used.
  if (Connections.empty() || !mayReuse(*Connections.back(), Class))
    return nullptr;
  auto Connection = std::move(Connections.back());
  Connections.pop_back();
  return Connection;
}

connection_handle target_pool::connect(const target &Target) {
  auto Endpoint = parseEndpoint(Target.Entry.Address);
  if (!Endpoint)
    return nullptr;
  auto Connection = makeConnection(Node.Loop);
  if (!Connection->connect(*Endpoint, AckTimeout))
    return nullptr;
  return Connection;
}

void target_pool::release(const target &Target, connection_handle Connection) {
  auto &Connections = Idle[Target.Serial];
  if (Connections.size() < MaxIdlePerTarget)
    Connections.push_back(std::move(Connection));
}

void target_pool::closeIdle(const std::string &Service) {
  const auto Found = Node.Steering.Targets.ByService.find(Service);
  if (Found == Node.Steering.Targets.ByService.end())
    return;
  for (const target *Target : Found->second)
    Idle.erase(Target->Serial);
}

void target_pool::closeStaleConnections() {
  absl::flat_hash_set<std::uint64_t> Known;
  for (const auto &[Id, Target] : Node.Steering.Targets.ById)
    Known.insert(Target->Serial);
  absl::erase_if(Idle, [&](auto &Entry) {
    std::erase_if(Entry.second, [&](const auto &Connection) {
      return !mayReuse(*Connection, work_class::Idempotent);
    });
    return Entry.second.empty() || !Known.contains(Entry.first);
  });
}

} // namespace amaranthhoist
