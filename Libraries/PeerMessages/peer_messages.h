/// Messages between the nodes of a fleet, encoded by Cap'n Proto: datagrams,
/// and the state of the store that nodes serve to each other. The generated
/// sources come from peer_messages.capnp.
#pragma once

#include "Membership/membership.h"
#include "ObjectCache/object_cache.h"
#include "Quarantine/quarantine.h"
#include "Quota/quota.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// A message of the membership protocol, its sender and piggybacked crash
/// reports.
struct peer_datagram {
  std::string Sender;
  /// Address at which the sender serves the store's objects, `ip:port`. A node
  /// that has just started and can't reach the store discovers its peers by it.
  std::string Control;
  membership_message Message;
  /// Reports of the request contents under which servers crashed.
  std::vector<crash_report> Crashes;
  /// Number of the holder that sends the requests, or that the responses are
  /// for.
  std::uint64_t QuotaHolder = 0;
  std::vector<quota_request> QuotaRequests;
  std::vector<quota_response> QuotaResponses;
  /// Version of the configuration in force at the sender; 0 if not stated.
  std::int64_t ConfigurationVersion = 0;
};

std::string encodeDatagram(const peer_datagram &Datagram);

/// Returns none when \p Bytes are no valid datagram.
std::optional<peer_datagram> decodeDatagram(std::string_view Bytes);

/// Changes by kind of object as sent: encoded, and compressed if large enough.
/// Separate from the fields that differ between requesters, so that the full
/// snapshot is packed once for all of them.
struct packed_kinds {
  std::string Bytes;
  /// Size before compression; 0: not compressed.
  std::size_t PlainSize = 0;
};

/// Encodes and compresses \p Kinds. A list of servers is highly repetitive:
/// compressed it takes a seventh of its bytes (1,080 servers of 350 bytes: 378
/// KB and 53 KB, by the test of this module), so that an instance with a slow
/// link receives it in a seventh of the time.
packed_kinds packKinds(const std::vector<kind_changes> &Kinds);

/// Encodes the body by which an instance serves objects of the store. \p Kinds
/// replaces the kinds of \p Changes, which are ignored.
std::string encodeChanges(const cache_changes &Changes,
                          const packed_kinds &Kinds);
std::string encodeChanges(const cache_changes &Changes);
std::optional<cache_changes> decodeChanges(std::string_view Bytes);

} // namespace amaranthhoist
