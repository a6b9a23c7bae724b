// Peers that read slowly, and peers that are gone.

#include "EventLoop/peer_liveness.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::milliseconds;

namespace {

constexpr duration Timeout = milliseconds(1'200);
constexpr send_progress Idle{1'000, false, false, 0, milliseconds(700)};
/// A closed window: all that was sent is acknowledged, and bytes wait.
constexpr send_progress Closed{1'000, false, true, 1, milliseconds(400)};

struct assessed_peer {
  peer_liveness Peer;
  instant Now{milliseconds(10'000)};

  liveness_action at(duration Time, const send_progress &Progress) {
    return assessPeer(Peer, Progress, Timeout, Now + Time);
  }
};

} // namespace

// clang-format off
TEST_GROUP(PeerLiveness) {};
// clang-format on

// Failure: the kernel ends the connection to a server that reads nothing while
// it works, although it acknowledges every probe of its closed window.
TEST(PeerLiveness, PeerWithAClosedWindowIsWaitedFor) {
  assessed_peer Peer;
  CHECK(Peer.at(milliseconds(0), Closed) == liveness_action::TurnTimeoutOff);
  CHECK(Peer.at(milliseconds(300), Closed) == liveness_action::None);
  // Probes become rare; one that is unanswered says nothing yet.
  send_progress Rare = Closed;
  Rare.SinceLastAck = Timeout + milliseconds(1);
  CHECK(Peer.at(milliseconds(600), Rare) == liveness_action::None);
  CHECK(Peer.at(milliseconds(900), Idle) == liveness_action::TurnTimeoutOn);
}

// A window that closes over bytes in flight: they are acknowledged again and
// again without progress.
TEST(PeerLiveness, PeerThatShrinksItsWindowIsWaitedFor) {
  assessed_peer Peer;
  send_progress Shrunk{1'000, true, true, 0, milliseconds(400)};
  CHECK(Peer.at(milliseconds(0), Shrunk) == liveness_action::None);
  Shrunk.SinceLastAck = milliseconds(100);
  CHECK(Peer.at(milliseconds(300), Shrunk) == liveness_action::TurnTimeoutOff);
}

// Failure: a request waits until its deadline for a peer that is gone, because
// the kernel's timeout was turned off for it.
TEST(PeerLiveness, PeerThatStopsToAcknowledgeIsGivenUp) {
  assessed_peer Peer;
  CHECK(Peer.at(milliseconds(0), Closed) == liveness_action::TurnTimeoutOff);
  send_progress Silent = Closed;
  Silent.SinceLastAck = Timeout;
  Silent.Unanswered = 2;
  CHECK(Peer.at(milliseconds(800), Silent) == liveness_action::GiveUp);
}

// The kernel alone ends a connection whose peer has acknowledged nothing.
TEST(PeerLiveness, SilentPeerIsLeftToTheKernel) {
  assessed_peer Peer;
  for (int Time = 600; Time < 1'800; Time += 300) {
    const send_progress Silent{0, true, true, 2, milliseconds(Time)};
    CHECK(Peer.at(milliseconds(Time), Silent) == liveness_action::None);
  }
  CHECK_FALSE(Peer.Peer.IsTimeoutOff);
}

TEST(PeerLiveness, PeerThatTakesBytesKeepsTheTimeout) {
  assessed_peer Peer;
  for (int Time = 0; Time < 3'000; Time += 300) {
    const send_progress Flowing{static_cast<std::uint64_t>(1'000 + Time), true,
                                true, 0, milliseconds(20)};
    CHECK(Peer.at(milliseconds(Time), Flowing) == liveness_action::None);
  }
}
