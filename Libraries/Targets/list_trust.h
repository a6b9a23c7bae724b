/// Whether the platform's list of backend servers can be believed to name all
/// that live. After the store was away it can't for a while: entries lapsed,
/// and are back within two seconds of its return. A store that only this
/// instance couldn't reach was not away, and peers that stayed in touch know.
/// Sans-I/O.
#pragma once

#include "Core/core.h"

namespace amaranthhoist {

struct list_trust {
  instant LastTrouble{};
  bool HadTrouble = false;
  /// When a peer in touch with the store spoke last.
  instant PeerSpoke{};
  bool HasPeer = false;
};

/// The store didn't answer, or answers again after that.
void noteStoreTrouble(list_trust &Trust, instant Now);
/// A peer whose state is fresh tells whether its list is sure.
void notePeerTrust(list_trust &Trust, bool PeerIsSure, instant Now);
bool isListSure(const list_trust &Trust, instant Now);

} // namespace amaranthhoist
