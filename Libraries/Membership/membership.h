/// Failure detector in the manner of SWIM: which daemons are up. Each control
/// probes one member per period, in a shuffled round; a member that doesn't
/// respond is probed indirectly through other members, then suspected. Status
/// updates are piggybacked on the probes. The cost per node doesn't grow with
/// the fleet. A member is a daemon; the control of its instance responds to
/// probes on its behalf, as long as the daemon shows that it is alive.
///
/// A suspicion that was received from another member is verified before it
/// takes effect. Otherwise a live member whose link is saturated for a moment
/// and that misses one probe is dropped by every instance, until its refutation
/// arrives seconds later; of 295 instances two or three at a time were out of
/// use for 4 s without a fault. Therefore an instance that receives a suspicion
/// probes the suspected member itself, which also prompts the member to refute
/// it, and drops the member only when no ack arrives.
///
/// A suspicion only reduces the use of a member: nothing here returns units or
/// ends a key. Sans-I/O.
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

/// Status of one member, as sent in messages. To refute a suspicion, the
/// control that responds for the member, or an instance that gets an ack from
/// it, raises the incarnation. The higher incarnation wins, then the worse
/// status.
struct member_update {
  std::string Name;
  member_status Status = member_status::Up;
  std::uint64_t Incarnation = 0;
};

/// A probe, its ack, or a request to probe a third member.
struct membership_message {
  enum class kind : std::uint8_t { Ping, Ack, IndirectPing };
  kind Kind = kind::Ping;
  /// The member that is probed, or that an Ack is for.
  std::string Subject;
  /// The member that requested an indirect probe and gets its ack; empty in a
  /// direct probe.
  std::string OnBehalfOf;
  std::vector<member_update> Updates;
};

/// To is a member; for responses it is the sender of the message.
struct outgoing_membership_message {
  std::string To;
  membership_message Message;
};

/// Parameters of the failure detector.
struct membership_policy {
  duration ProbePeriod = std::chrono::seconds(1);
  duration AckTimeout = std::chrono::milliseconds(300);
  duration SuspicionTimeout = std::chrono::seconds(3);
  std::size_t IndirectProbes = 2;
  /// Interval at which an instance probes a member that it suspects.
  duration RecheckPeriod = std::chrono::milliseconds(300);
  /// A received suspicion takes effect when the member hasn't responded for
  /// this long: a trip between regions and a busy instance's pause, twice.
  duration SuspicionVerifyTime = std::chrono::milliseconds(600);
  /// Expected number of members that verify a received suspicion at once; the
  /// others wait as long again for their result. Bounds the probes that a live
  /// member gets.
  std::size_t ExpectedVerifiers = 64;
  /// Bounds the suspected members probed in one tick: when many fail at once
  /// the rest waits.
  std::size_t MaxRechecksPerTick = 4;
  std::size_t MaxUpdatesPerMessage = 16;
  /// Messages that carry a changed status.
  int TransmissionsPerUpdate = 12;
};

struct member_state {
  member_status Status = member_status::Up;
  std::uint64_t Incarnation = 0;
  instant SuspectSince{};
  /// Messages that will still carry this status.
  int TransmissionsLeft = 0;
};

/// A member that is suspected, and not yet considered down.
struct suspected_member {
  /// Time of the next probe.
  instant NextRecheck{};
  /// From then on the member counts as not up.
  instant UsableUntil{};
};

/// A member that this control responds for.
struct own_member {
  std::uint64_t Incarnation = 0;
  int TransmissionsLeft = 0;
};

/// The probe in progress.
struct active_probe {
  std::string Subject;
  instant Sent{};
  bool Indirect = false;
};

struct membership {
  /// The members that this control responds for: itself and its instance's
  /// daemons that are alive.
  std::map<std::string, own_member> Own;
  membership_policy Policy;
  std::mt19937_64 Random;
  std::map<std::string, member_state> Members;
  /// Members whose status is still to be sent, or that are suspected. A tick
  /// and a message iterate over these alone, so that their cost doesn't grow
  /// with the fleet.
  std::set<std::string> Pending;
  /// The first of them to include in the next message.
  std::string NextUpdate;
  /// Members that are suspected and may still respond.
  std::map<std::string, suspected_member> Suspected;
  /// Members that count as suspected or down.
  std::set<std::string> NotUp;
  /// Members still to be probed in this round.
  std::vector<std::string> Round;
  active_probe Probe;
  instant NextProbe{};
};

/// Sets the members of the fleet; own members may be included. New members
/// count as up.
void setMembers(membership &Membership, const std::set<std::string> &Names);

/// Sets the members that this control responds for.
void setOwnMembers(membership &Membership,
                   const std::vector<std::string> &Names);

/// Sends probes, escalates unanswered ones and expires suspicions.
std::vector<outgoing_membership_message> membershipTick(membership &Membership,
                                                        instant Now);

/// Handles a message and returns the responses.
std::vector<outgoing_membership_message>
handleMembershipMessage(membership &Membership, const std::string &From,
                        const membership_message &Message, instant Now);

/// Returns the members that count as suspected or down.
const std::set<std::string> &downMembers(const membership &Membership);

/// Returns whether \p Name may be used: a member that doesn't count as
/// suspected or down.
bool isUp(const membership &Membership, const std::string &Name);

} // namespace amaranthhoist
