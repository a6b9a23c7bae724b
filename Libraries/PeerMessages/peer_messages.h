/// The messages between the nodes of a fleet, encoded by Cap'n Proto:
/// datagrams, and the state that nodes hand on. The generated sources come from
/// peer_messages.capnp.
#pragma once

#include "Membership/membership.h"
#include "ObjectCache/object_cache.h"
#include "Quarantine/quarantine.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// A message of the membership protocol and who sent it.
struct peer_datagram {
  std::string Sender;
  /// Where the sender hands on the store's objects, `ip:port`. A node that was
  /// just started and can't reach the store learns of its peers by this.
  std::string Control;
  membership_message Message;
  /// Contents of requests under which servers crashed.
  std::vector<crash_report> Crashes;
};

std::string encodeDatagram(const peer_datagram &Datagram);

/// None when \p Bytes are no such datagram.
std::optional<peer_datagram> decodeDatagram(std::string_view Bytes);

/// Kinds of object as they travel: encoded, and compressed where that pays.
/// Apart from what differs from one asker to the next, so that the whole lists
/// are packed once for all that ask.
struct packed_kinds {
  std::string Bytes;
  /// Size before compression; 0: not compressed.
  std::size_t PlainSize = 0;
};

/// A list of servers is mostly the same words again and again: compressed it
/// takes a seventh of its bytes (1,080 servers of 350 bytes: 378 KB and 53 KB,
/// by the test of this module), so that an instance with a slow link has it in
/// a seventh of the time.
packed_kinds packKinds(const std::vector<kind_changes> &Kinds);

/// The body with which an instance hands on objects of the store. \p Kinds
/// stands for the kinds of \p Changes, which are left out.
std::string encodeChanges(const cache_changes &Changes,
                          const packed_kinds &Kinds);
std::string encodeChanges(const cache_changes &Changes);
std::optional<cache_changes> decodeChanges(std::string_view Bytes);

} // namespace amaranthhoist
