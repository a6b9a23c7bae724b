/// Serves full snapshots of the store's state to instances that have just
/// started, limited by the bandwidth of this instance's link, and refers the
/// other requesters to instances that already got one.
///
/// Without a limit, hundreds of new instances request a snapshot from the three
/// seeds in their settings; a seed with a link of 20 Mbit/s would need seconds
/// for all the copies, and callers' requests would queue behind them. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Fleet/fleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthhoist {

/// An instance that requests a full snapshot.
struct snapshot_requester {
  std::string FailureDomain;
  std::string Region;
  /// Address at which it serves the state once it has it, `ip:port`.
  std::string Control;
  /// Address at which it receives datagrams, `ip:port`.
  std::string Peer;
};

struct snapshot_throttle {
  double BytesPerSecond = 0;
  /// Bytes that may be sent now; negative after a large snapshot.
  double Allowance = 0;
  instant RefilledAt{};
  /// Instances that got a snapshot, oldest first.
  std::vector<snapshot_requester> Served;
  /// Instances that requested a snapshot before this instance had the full
  /// state.
  std::vector<snapshot_requester> Waiting;
};

snapshot_throttle makeSnapshotThrottle(double LinkMbps, instant Now);

/// Returns whether a snapshot of \p Bytes may be sent to \p Requester now, and
/// if so deducts it from the allowance.
bool mayServeSnapshot(snapshot_throttle &Throttle,
                      const snapshot_requester &Requester, std::size_t Bytes,
                      instant Now);

/// Returns control addresses of other instances that \p Requester can query:
/// recently served instances of its failure domain first, then of its region,
/// then any.
std::vector<std::string> referralsFor(const snapshot_throttle &Throttle,
                                      const snapshot_requester &Requester);

/// Records \p Requester, which is notified once this instance has the full
/// state.
void recordWaiting(snapshot_throttle &Throttle,
                   const snapshot_requester &Requester);

/// Returns the time until \p Snapshots snapshots of \p Bytes have been sent. An
/// instance that announces its state to others waits this long before the next
/// announcement: a small instance that notified all of them at once would get
/// requests from 32 other small instances before the first large one.
duration snapshotSendTime(const snapshot_throttle &Throttle,
                          std::size_t Snapshots, std::size_t Bytes);

/// Returns the members that this instance notifies after it got the full state:
/// the largest members of its own failure domain, largest first, and if the
/// state came \p FromStore, the largest ones of each other failure domain,
/// which then notify theirs. Bounded by the number of failure domains.
std::vector<std::string> membersToNotify(const fleet &Fleet, bool FromStore);

} // namespace amaranthhoist
