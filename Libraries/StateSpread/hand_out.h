/// Handing whole lists to instances that have just started, within what the
/// link of this instance can carry, and sending the rest to those that were
/// served before.
///
/// What goes wrong otherwise: hundreds of new instances ask the three seeds
/// that their settings name; a seed with a link of 20 Mbit/s would take seconds
/// for all the copies, and callers' requests would wait behind them. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Fleet/fleet.h"

#include <cstddef>
#include <string>
#include <vector>

namespace amaranthhoist {

/// An instance that asks for everything.
struct new_instance {
  std::string FailureDomain;
  std::string Region;
  /// Where it hands on the state once it has it, `ip:port`.
  std::string Control;
  /// Where it takes datagrams, `ip:port`.
  std::string Peer;
};

struct hand_out {
  double BytesPerSecond = 0;
  /// Bytes that may be handed out now; below zero after a long list.
  double Allowance = 0;
  instant RefilledAt{};
  /// Those that were served, the last one at the end.
  std::vector<new_instance> Served;
  /// Those that asked while this instance didn't know enough itself.
  std::vector<new_instance> Waiting;
};

hand_out makeHandOut(double LinkMbps, instant Now);

/// Whether whole lists of \p Bytes may be handed to \p Asker now; counts them.
bool mayHandOut(hand_out &HandOut, const new_instance &Asker, std::size_t Bytes,
                instant Now);

/// Control addresses of others that \p Asker can go to: those of its failure
/// domain that were served lately, then those of its region, then any.
std::vector<std::string> referralsFor(const hand_out &HandOut,
                                      const new_instance &Asker);

/// Remembers \p Asker, to be told once this instance knows enough.
void noteWaiting(hand_out &HandOut, const new_instance &Asker);

/// How long it takes until \p Lists lists of \p Bytes have been handed out. One
/// that tells others where the state is tells the next one after that time: a
/// small instance that told all at once would be asked by 32 other small ones
/// before the first large one.
duration timeToHandOut(const hand_out &HandOut, std::size_t Lists,
                       std::size_t Bytes);

/// Members of the fleet that this instance, which has just got the state, tells
/// where it can be had: if it has the state \p FromStore, the largest of each
/// other failure domain, which then do the same in theirs; and those of its own
/// domain, the largest first. Bounded by the number of failure domains.
std::vector<std::string> membersToTell(const fleet &Fleet, bool FromStore);

} // namespace amaranthhoist
