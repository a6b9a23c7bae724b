/// Which daemons are thought to be up. Each control probes one member per
/// period, in a shuffled round; a silent one is probed through others, then
/// suspected; suspicions spread on the probes. A node's cost doesn't grow with
/// the fleet. A member is a daemon; its instance's control answers for it, as
/// long as the daemon shows signs of life.
///
/// A suspicion that is only heard of is checked before it is believed. What
/// goes wrong otherwise: a live member whose link is full for a moment misses
/// one probe, everybody drops it, and hears of its answer seconds later; of 295
/// instances two or three at a time were out of use for 4 s without a fault.
/// So whoever hears of a suspicion probes the member itself, which also tells
/// the member to refute it, and drops it when no answer comes.
///
/// Suspicion only reduces use: nothing here returns units or ends a key.
/// Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace amaranthhoist {

enum class member_status : std::uint8_t { Up, Suspect, Down };

/// What is believed of one member. Counter is raised by whoever answers for the
/// member, or hears its answer, to refute a suspicion; a higher counter wins,
/// then the worse status.
struct member_belief {
  std::string Name;
  member_status Status = member_status::Up;
  std::uint64_t Counter = 0;
};

/// A probe, its answer, or a request to probe somebody else.
struct membership_message {
  enum class kind : std::uint8_t { Ping, Ack, PingFor };
  kind Kind = kind::Ping;
  /// The member that is probed, or that an Ack is for.
  std::string Subject;
  /// Ping: who wants to know in the end; empty when it is the sender.
  std::string OnBehalfOf;
  std::vector<member_belief> Beliefs;
};

/// To is a member, or for answers whoever sent the message.
struct outgoing_membership_message {
  std::string To;
  membership_message Message;
};

/// Knobs of the probing.
struct membership_policy {
  duration ProbePeriod = std::chrono::seconds(1);
  duration AckTimeout = std::chrono::milliseconds(300);
  duration SuspectTime = std::chrono::seconds(3);
  std::size_t IndirectProbes = 2;
  /// A suspected member is probed again this often by who suspects it.
  duration RecheckPeriod = std::chrono::milliseconds(300);
  /// A suspicion heard of is believed after so long without an answer of the
  /// member: a trip between regions and a busy instance's pause, twice.
  duration RumourTime = std::chrono::milliseconds(600);
  /// Members that check a rumour at once, on average; the others wait as long
  /// again for what those find. Bounds the probes that a live member gets.
  std::size_t Checkers = 64;
  /// Suspected members probed in one tick: when many die at once the rest
  /// waits.
  std::size_t MostRechecks = 4;
  std::size_t MaxBeliefsPerMessage = 16;
  /// Messages that carry a changed belief before it rests.
  int BeliefRepeats = 12;
};

struct member_state {
  member_status Status = member_status::Up;
  std::uint64_t Counter = 0;
  instant SuspectSince{};
  /// Messages that will still carry this belief.
  int RepeatsLeft = 0;
};

/// A member that is suspected, and not yet believed to be down.
struct doubted_member {
  /// When it is probed again.
  instant NextCheck{};
  /// From then on it counts as not up.
  instant UsableUntil{};
};

/// A member answered for here.
struct own_member {
  std::uint64_t Counter = 0;
  int RepeatsLeft = 0;
};

/// The probe under way.
struct running_probe {
  std::string Subject;
  instant Sent{};
  bool Indirect = false;
};

struct membership {
  /// The members answered for here: this control and its instance's daemons
  /// that show signs of life.
  std::map<std::string, own_member> Own;
  membership_policy Policy;
  std::mt19937_64 Random;
  std::map<std::string, member_state> Members;
  /// Members whose belief is still to be sent, or that are suspected: what a
  /// tick and a message look at, so that neither grows with the fleet.
  std::set<std::string> Changing;
  /// Where the next message goes on among them.
  std::string NextBelief;
  /// Members that are suspected and may still answer.
  std::map<std::string, doubted_member> Doubted;
  /// Members that are believed to be suspected or down.
  std::set<std::string> NotUp;
  /// Members still to be probed in this round.
  std::vector<std::string> Round;
  running_probe Probe;
  instant NextProbe{};
};

/// Sets who belongs to the fleet, own members included or not. New members
/// count as up.
void setMembers(membership &Membership, const std::set<std::string> &Names);

/// Sets the members that this control answers for.
void setOwnMembers(membership &Membership,
                   const std::vector<std::string> &Names);

/// Probes, escalates and times out.
std::vector<outgoing_membership_message> membershipTick(membership &Membership,
                                                        instant Now);

/// Takes in a message.
std::vector<outgoing_membership_message>
handleMembershipMessage(membership &Membership, const std::string &From,
                        const membership_message &Message, instant Now);

/// The members that are believed to be suspected or down.
const std::set<std::string> &downMembers(const membership &Membership);

/// Whether \p Name may be used: known, and not believed to be suspected.
bool isUp(const membership &Membership, const std::string &Name);

} // namespace amaranthhoist
