/// Tracks whether the platform's list of backend servers is complete. After a
/// store outage it is not for a while: entries expire, and are registered again
/// within two seconds of the store's return. If only this instance could not
/// reach the store, no entries expired, and peers that remained connected
/// report this. An entry expires only after its server has been silent for
/// several heartbeats, so what is removed early in an outage has left.
/// Sans-I/O.
#pragma once

#include "Core/core.h"

#include <optional>

namespace amaranthhoist {

struct list_completeness {
  instant LastOutage{};
  bool HadOutage = false;
  /// Time of the last report from a peer that is connected to the store.
  instant LastPeerReport{};
  bool HasPeerReport = false;
  /// Period of the servers' heartbeats to the store.
  duration ServerHeartbeat = std::chrono::milliseconds(1'500);
  /// The last time before the outage at which the store responded, to this
  /// instance or to the peer whose report this instance received. Unset when no
  /// time is known until which the list had no gaps.
  std::optional<instant> LastContact;
};

/// Records a response of the store. Responses that follow an outage show that
/// the list is complete only once the entries were registered again.
void recordStoreResponse(list_completeness &Completeness, instant Now);

/// Records that the store did not respond, or that it responds again after an
/// outage.
void recordStoreOutage(list_completeness &Completeness, instant Now);
/// Records that the store was restored from an earlier copy: entries may be
/// missing from now on, however short the outage was.
void recordStoreRestored(list_completeness &Completeness, instant Now);
/// Records whether a peer with fresh state considers its list complete, and how
/// long ago the store responded to it or its source.
void recordPeerView(list_completeness &Completeness, bool PeerListIsComplete,
                    std::optional<duration> ContactAge, instant Now);
bool isListComplete(const list_completeness &Completeness, instant Now);

} // namespace amaranthhoist
