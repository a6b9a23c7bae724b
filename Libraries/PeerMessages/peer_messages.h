/// The datagrams between the nodes of a fleet, encoded by Cap'n Proto. The
/// generated sources come from peer_messages.capnp.
#pragma once

#include "Membership/membership.h"
#include "ObjectCache/object_cache.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// A message of the membership protocol and who sent it.
struct peer_datagram {
  std::string Sender;
  /// Where the sender hands on the store's objects, `ip:port`. A node that was
  /// just started and can't reach the store learns of its peers by this.
  std::string Control;
  membership_message Message;
};

std::string encodeDatagram(const peer_datagram &Datagram);

/// None when \p Bytes are no such datagram.
std::optional<peer_datagram> decodeDatagram(std::string_view Bytes);

/// The body with which an instance hands on objects of the store.
std::string encodeChanges(const cache_changes &Changes);
std::optional<cache_changes> decodeChanges(std::string_view Bytes);

} // namespace amaranthhoist
