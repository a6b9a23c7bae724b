/// The connections of one listener, in the order of their last activity.
#pragma once

#include "Core/core.h"

#include <absl/container/flat_hash_map.h>
#include <cstddef>
#include <list>
#include <memory>

namespace amaranthhoist {

/// \p connection has `bool isInactive() const`: whether it may be closed for a
/// new one.
template <typename connection> class connection_set {
public:
  void add(std::unique_ptr<connection> Connection) {
    connection *Raw = Connection.get();
    Order.push_back(Raw);
    Entries.emplace(Raw, entry{std::move(Connection), std::prev(Order.end())});
  }

  /// Returns the connection, which is no longer a member; nullptr if it wasn't.
  std::unique_ptr<connection> remove(connection &Connection) {
    auto Found = Entries.find(&Connection);
    if (Found == Entries.end())
      return nullptr;
    auto Removed = std::move(Found->second.Connection);
    Order.erase(Found->second.Place);
    Entries.erase(Found);
    return Removed;
  }

  /// Called with each activity of a member.
  void touch(connection &Connection) {
    auto Found = Entries.find(&Connection);
    if (Found != Entries.end())
      Order.splice(Order.end(), Order, Found->second.Place);
  }

  /// Returns a member to be closed for a new connection: the first inactive one
  /// among those that have been without activity for longest; nullptr if there
  /// is none.
  [[nodiscard]] connection *findInactive() const {
    std::size_t Seen = 0;
    for (connection *Connection : Order) {
      if (Connection->isInactive())
        return Connection;
      if (++Seen == MaxSeen)
        break;
    }
    return nullptr;
  }

  [[nodiscard]] std::size_t size() const { return Entries.size(); }
  /// The members, those without activity for longest first.
  [[nodiscard]] const std::list<connection *> &all() const { return Order; }

private:
  /// Members that are looked at for an inactive one; all of a large set would
  /// take long for each new connection.
  static constexpr std::size_t MaxSeen = 64;

  struct entry {
    std::unique_ptr<connection> Connection;
    typename std::list<connection *>::iterator Place;
  };
  std::list<connection *> Order;
  absl::flat_hash_map<connection *, entry> Entries;
};

} // namespace amaranthhoist
