#include "Targets/list_completeness.h"

#include <algorithm>

namespace amaranthhoist {

/// Two seconds for entries to be registered again, plus propagation delay to
/// this instance.
static constexpr duration IncompleteAfterOutage =
    std::chrono::milliseconds(2'200);
/// Time for which a peer's report takes precedence over this instance's own
/// view of the store: a few polling intervals.
static constexpr duration PeerReportValidFor = std::chrono::milliseconds(1'200);

/// Heartbeats after the last contact for which no entry expires because of the
/// outage: entries expire after three, a heartbeat may have been due at the
/// last contact, and heartbeats may be a quarter of a period late.
static constexpr double HeartbeatsWithoutExpiry = 1.75;

static bool hasRecoveredFromOutage(const list_completeness &Completeness,
                                   instant Now) {
  return !Completeness.HadOutage ||
         Now - Completeness.LastOutage > IncompleteAfterOutage;
}

/// Whether no entry can have expired yet because of the outage.
static bool precedesExpiry(const list_completeness &Completeness, instant Now) {
  if (!Completeness.LastContact)
    return false;
  const auto Heartbeat =
      static_cast<double>(Completeness.ServerHeartbeat.count());
  return Now - *Completeness.LastContact <
         duration(
             static_cast<std::int64_t>(HeartbeatsWithoutExpiry * Heartbeat));
}

void recordStoreResponse(list_completeness &Completeness, instant Now) {
  if (hasRecoveredFromOutage(Completeness, Now))
    Completeness.LastContact = Now;
}

void recordStoreRestored(list_completeness &Completeness, instant Now) {
  recordStoreOutage(Completeness, Now);
  Completeness.LastContact.reset();
}

void recordStoreOutage(list_completeness &Completeness, instant Now) {
  if (Completeness.HasPeerReport &&
      Now - Completeness.LastPeerReport <= PeerReportValidFor)
    return;
  Completeness.LastOutage = Now;
  Completeness.HadOutage = true;
}

/// Keeps the latest contact. It never follows a report of completeness alone: a
/// peer's list counts as complete for a while after its own contact ended.
static void recordPeerContact(list_completeness &Completeness,
                              std::optional<duration> ContactAge, instant Now) {
  if (!ContactAge)
    return;
  const instant Contact = Now - *ContactAge;
  Completeness.LastContact =
      std::max(Completeness.LastContact.value_or(Contact), Contact);
}

void recordPeerView(list_completeness &Completeness, bool PeerListIsComplete,
                    std::optional<duration> ContactAge, instant Now) {
  Completeness.LastPeerReport = Now;
  Completeness.HasPeerReport = true;
  Completeness.HadOutage = !PeerListIsComplete;
  if (PeerListIsComplete)
    recordPeerContact(Completeness, ContactAge, Now);
  else
    Completeness.LastOutage = Now;
}

bool isListComplete(const list_completeness &Completeness, instant Now) {
  return hasRecoveredFromOutage(Completeness, Now) ||
         precedesExpiry(Completeness, Now);
}

} // namespace amaranthhoist
