#include "Targets/list_completeness.h"

namespace amaranthhoist {

/// Two seconds for entries to be registered again, plus propagation delay to
/// this instance.
static constexpr duration IncompleteAfterOutage =
    std::chrono::milliseconds(2'200);
/// Time for which a peer's report takes precedence over this instance's own
/// view of the store: a few polling intervals.
static constexpr duration PeerReportValidFor = std::chrono::milliseconds(1'200);

void recordStoreOutage(list_completeness &Completeness, instant Now) {
  if (Completeness.HasPeerReport &&
      Now - Completeness.LastPeerReport <= PeerReportValidFor)
    return;
  Completeness.LastOutage = Now;
  Completeness.HadOutage = true;
}

void recordPeerView(list_completeness &Completeness, bool PeerListIsComplete,
                    instant Now) {
  Completeness.LastPeerReport = Now;
  Completeness.HasPeerReport = true;
  Completeness.HadOutage = !PeerListIsComplete;
  if (!PeerListIsComplete)
    Completeness.LastOutage = Now;
}

bool isListComplete(const list_completeness &Completeness, instant Now) {
  return !Completeness.HadOutage ||
         Now - Completeness.LastOutage > IncompleteAfterOutage;
}

} // namespace amaranthhoist
