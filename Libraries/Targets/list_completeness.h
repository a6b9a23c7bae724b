/// Tracks whether the platform's list of backend servers is complete. After a
/// store outage it is not for a while: entries expire, and are registered again
/// within two seconds of the store's return. If only this instance could not
/// reach the store, no entries expired, and peers that remained connected
/// report this. Sans-I/O.
#pragma once

#include "Core/core.h"

namespace amaranthhoist {

struct list_completeness {
  instant LastOutage{};
  bool HadOutage = false;
  /// Time of the last report from a peer that is connected to the store.
  instant LastPeerReport{};
  bool HasPeerReport = false;
};

/// Records that the store did not respond, or that it responds again after an
/// outage.
void recordStoreOutage(list_completeness &Completeness, instant Now);
/// Records whether a peer with fresh state considers its list complete.
void recordPeerView(list_completeness &Completeness, bool PeerListIsComplete,
                    instant Now);
bool isListComplete(const list_completeness &Completeness, instant Now);

} // namespace amaranthhoist
