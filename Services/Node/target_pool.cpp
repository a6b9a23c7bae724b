#include "target_pool.h"

#include <absl/container/flat_hash_set.h>

namespace amaranthhoist {

/// A server that hasn't told how long it keeps connections is taken to keep
/// them this long; common servers keep them 5 s or longer.
static constexpr duration AssumedKept = std::chrono::seconds(5);
/// Left out at the end of that time: a close that crosses a request leaves
/// open whether the request was run.
static constexpr duration KeptMargin = std::chrono::milliseconds(1'500);
/// Non-idempotent work can't be sent again after such a crossing, so it only
/// takes connections that were in use this lately.
static constexpr duration FreshForWrites = std::chrono::milliseconds(3'000);
/// Idle connections to one server: more are only needed in bursts.
static constexpr std::size_t MostIdle = 6;
/// A peer that acknowledges nothing for so long counts as gone. Several round
/// trips between regions, and well under every deadline.
static constexpr duration Silence = std::chrono::milliseconds(1'200);
static constexpr duration SweepPeriod = std::chrono::seconds(1);

target_pool::target_pool(node &Node) : Node(Node), Crashes(Node) {
  Node.Loop.every(SweepPeriod, [this] { sweep(); });
}

bool target_pool::isFresh(const client_connection &Connection,
                          work_class Class) const {
  if (!Connection.isOpen())
    return false;
  const duration Kept =
      Connection.KeptFor > duration::zero() ? Connection.KeptFor : AssumedKept;
  duration Usable = Kept - KeptMargin;
  if (Class == work_class::NonIdempotent)
    Usable = std::min(Usable, FreshForWrites);
  return Node.Loop.now() - Connection.IdleSince < Usable;
}

std::unique_ptr<client_connection> target_pool::take(const target &Target,
                                                     work_class Class) {
  auto Found = Idle.find(Target.Serial);
  if (Found == Idle.end())
    return nullptr;
  auto &Connections = Found->second;
  while (!Connections.empty() && !Connections.back()->isOpen())
    Connections.pop_back();
  // The last one is the freshest of all.
  if (Connections.empty() || !isFresh(*Connections.back(), Class))
    return nullptr;
  auto Connection = std::move(Connections.back());
  Connections.pop_back();
  return Connection;
}

std::unique_ptr<client_connection> target_pool::open(const target &Target) {
  auto Endpoint = parseEndpoint(Target.Entry.Address);
  if (!Endpoint)
    return nullptr;
  auto Connection = std::make_unique<client_connection>(Node.Loop);
  if (!Connection->connect(*Endpoint, Silence))
    return nullptr;
  return Connection;
}

void target_pool::put(const target &Target,
                      std::unique_ptr<client_connection> Connection) {
  auto &Connections = Idle[Target.Serial];
  if (Connections.size() < MostIdle)
    Connections.push_back(std::move(Connection));
  else
    Connection->close();
}

void target_pool::sweep() {
  absl::flat_hash_set<std::uint64_t> Known;
  for (const auto &[Id, Target] : Node.Steering.Targets.ById)
    Known.insert(Target->Serial);
  absl::erase_if(Idle, [&](auto &Entry) {
    std::erase_if(Entry.second, [&](const auto &Connection) {
      return !isFresh(*Connection, work_class::Idempotent);
    });
    return Entry.second.empty() || !Known.contains(Entry.first);
  });
}

} // namespace amaranthhoist
