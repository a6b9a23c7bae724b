#include "EventLoop/peer_liveness.h"

namespace amaranthhoist {

/// Probes of a closed window that have to stay unanswered. Linux answers two
/// probes within half a second only once.
static constexpr unsigned MinUnansweredProbes = 2;
/// The kernel reports times in milliseconds.
static constexpr duration AckTimeResolution = std::chrono::milliseconds(5);

bool isIdle(const send_progress &Progress) {
  return !Progress.HasUnacked && !Progress.HasUnsent;
}

/// Whether the peer acknowledges without taking bytes. Nothing in flight while
/// bytes wait means that its window is closed; a window that closed over bytes
/// in flight shows by acknowledgements without progress.
static bool acknowledgesOnly(const peer_liveness &Peer,
                             const send_progress &Progress, instant LastAckAt) {
  if (!Progress.HasUnacked)
    return true;
  return Peer.IsChecked && Progress.AckedBytes == Peer.AckedBytes &&
         LastAckAt > Peer.LastAckAt + AckTimeResolution;
}

static liveness_action setTimeoutOff(peer_liveness &Peer, bool IsOff) {
  if (Peer.IsTimeoutOff == IsOff)
    return liveness_action::None;
  Peer.IsTimeoutOff = IsOff;
  return IsOff ? liveness_action::TurnTimeoutOff
               : liveness_action::TurnTimeoutOn;
}

liveness_action assessPeer(peer_liveness &Peer, const send_progress &Progress,
                           duration Timeout, instant Now) {
  // Not before: the kernel may still count from when the window closed.
  if (isIdle(Progress))
    return setTimeoutOff(Peer, false);
  const instant LastAckAt = Now - Progress.SinceLastAck;
  const bool IsAlive = Progress.SinceLastAck < Timeout;
  const bool ClosedWindow = acknowledgesOnly(Peer, Progress, LastAckAt);
  Peer.IsChecked = true;
  Peer.AckedBytes = Progress.AckedBytes;
  Peer.LastAckAt = LastAckAt;
  if (IsAlive)
    return ClosedWindow ? setTimeoutOff(Peer, true) : liveness_action::None;
  const bool IsGone =
      Peer.IsTimeoutOff && Progress.Unanswered >= MinUnansweredProbes;
  return IsGone ? liveness_action::GiveUp : liveness_action::None;
}

} // namespace amaranthhoist
