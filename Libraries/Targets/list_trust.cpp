#include "Targets/list_trust.h"

namespace amaranthhoist {

/// Two seconds for entries to come back, and a little for the way here.
static constexpr duration UnsureAfterTrouble = std::chrono::milliseconds(2'200);
/// A peer's word goes before what this instance sees of the store for so long:
/// a few of the polls that ask for it.
static constexpr duration PeerHolds = std::chrono::milliseconds(1'200);

void noteStoreTrouble(list_trust &Trust, instant Now) {
  if (Trust.HasPeer && Now - Trust.PeerSpoke <= PeerHolds)
    return;
  Trust.LastTrouble = Now;
  Trust.HadTrouble = true;
}

void notePeerTrust(list_trust &Trust, bool PeerIsSure, instant Now) {
  Trust.PeerSpoke = Now;
  Trust.HasPeer = true;
  Trust.HadTrouble = !PeerIsSure;
  if (!PeerIsSure)
    Trust.LastTrouble = Now;
}

bool isListSure(const list_trust &Trust, instant Now) {
  return !Trust.HadTrouble || Now - Trust.LastTrouble > UnsureAfterTrouble;
}

} // namespace amaranthhoist
