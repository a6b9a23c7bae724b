/// Tells a peer that reads slowly from one that is gone, while bytes wait for
/// it. TCP_USER_TIMEOUT alone can't: Linux also ends a connection whose peer
/// acknowledges every probe but keeps its window closed. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <optional>

namespace amaranthhoist {

/// What the kernel reports of a connection's sending side (TCP_INFO).
struct send_progress {
  /// Bytes that the peer has acknowledged since the connection was opened.
  std::uint64_t AckedBytes = 0;
  /// Bytes are sent and not acknowledged.
  bool HasUnacked = false;
  /// Bytes are not sent yet.
  bool HasUnsent = false;
  /// Probes of a closed window, or retransmissions, in a row without an
  /// acknowledgement.
  unsigned Unanswered = 0;
  duration SinceLastAck{};
};

/// One connection whose peer has not acknowledged all bytes.
struct peer_liveness {
  std::uint64_t AckedBytes = 0;
  instant LastAckAt{};
  bool IsChecked = false;
  /// The kernel's timeout is off, since the peer acknowledges without reading.
  bool IsTimeoutOff = false;
};

enum class liveness_action : std::uint8_t {
  None,
  /// Turn the kernel's timeout off: the peer is alive.
  TurnTimeoutOff,
  /// Turn it on again: the peer has acknowledged everything.
  TurnTimeoutOn,
  /// The peer is gone.
  GiveUp,
};

/// Whether the peer has acknowledged everything.
bool isIdle(const send_progress &Progress);

/// Decides from what the kernel reports at \p Now. \p Timeout is the time for
/// which a peer that is alive may acknowledge nothing.
liveness_action assessPeer(peer_liveness &Peer, const send_progress &Progress,
                           duration Timeout, instant Now);

/// Reads the state of a connection; none if the kernel doesn't report it.
std::optional<send_progress> readSendProgress(int Descriptor);

} // namespace amaranthhoist
