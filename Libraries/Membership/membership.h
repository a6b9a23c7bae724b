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
/// Failures are correlated: a failure domain or a region fails as a whole. At
/// one probe per period and instance the last of many dead members would be
/// probed only after several seconds, so each unanswered probe is followed by
/// probes of further members of the same failure domain, and once several
/// members of a domain are suspected, received suspicions of others take effect
/// without being verified first. See docs/design/mass-failures.md.
///
/// A missing ack is judged only by an instance that is in contact with others.
/// One that has just received nothing asks several members of different failure
/// domains for an ack at once: any of them shows that it is not cut off. If
/// none responds it is, and its suspicions are not sent, and end when it
/// receives a message again. See docs/design/loss-detection.md.
///
/// If the policy says so, each member is also probed at regular intervals by
/// its predecessor on a ring of all members: a loss is found within one
/// period, while random probes alone may miss it for several.
///
/// An instance that starts, or was silent for a while, asks a few members for
/// the statuses that it missed.
///
/// A suspicion only reduces the use of a member: nothing here returns units or
/// ends a key. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
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

/// Status of the member whose name has the hash \p NameHash (stableHash). Takes
/// a third of the bytes of a member_update; instances of earlier builds ignore
/// it.
struct hashed_update {
  std::uint64_t NameHash = 0;
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
  /// Further updates, of other members than Updates.
  std::vector<hashed_update> HashedUpdates;
  /// Asks for the statuses of all members that are not up.
  bool RequestsStatuses = false;
  /// The updates are such statuses.
  bool HasStatuses = false;
};

/// To is a member; for responses it is the sender of the message.
struct outgoing_membership_message {
  std::string To;
  membership_message Message;
};

/// Parameters of the failure detector.
struct membership_policy {
  duration ProbePeriod = std::chrono::seconds(1);
  /// Whether each period also has a probe of the instance's successor.
  bool ProbesSuccessor = false;
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
  /// Members to which a tick sends pending updates: one for so many of them,
  /// within these bounds.
  std::size_t UpdatesPerGossipReceiver = 16;
  std::size_t MinGossipReceivers = 2;
  std::size_t MaxGossipReceivers = 6;
  /// Updates in addition to those, if receivers understand them.
  std::size_t MaxHashedUpdatesPerMessage = 0;
  /// Messages that carry a changed status: at least, and for each doubling of
  /// the fleet, since a status spreads in as many steps.
  int MinTransmissions = 12;
  int TransmissionsPerDoubling = 3;
  /// Members of the same failure domain that are probed after an unanswered
  /// probe.
  std::size_t FollowUpProbes = 8;
  /// Bounds the follow-up probes sent in one tick.
  std::size_t MaxFollowUpsPerTick = 6;
  /// Other members of a failure domain that have to be suspected for received
  /// suspicions to take effect at once: one of so many, within these bounds.
  std::size_t MembersPerCorrelatedFailure = 8;
  std::size_t MinCorrelatedFailures = 3;
  std::size_t MaxCorrelatedFailures = 8;
  /// Members that an instance asks for an ack to find out whether it is cut
  /// off; twice as many in the second round, and so on.
  std::size_t ContactProbes = 3;
  /// Rounds, each an AckTimeout, after which it counts as cut off.
  std::size_t ContactRounds = 2;
  /// An instance that received nothing for this long has missed updates.
  duration MissedUpdatesTime = std::chrono::seconds(1);
  /// Whether an instance that starts asks others for the statuses of members;
  /// they respond if their messages can carry them.
  bool RequestsStatuses = false;
};

struct member_state {
  member_status Status = member_status::Up;
  std::uint64_t Incarnation = 0;
  instant SuspectSince{};
  /// Time of the last message received from it; none: never.
  std::optional<instant> LastHeard;
  /// Messages that have carried this status, and that still will.
  int Transmissions = 0;
  int TransmissionsLeft = 0;
  /// Empty if not known.
  std::string FailureDomain;
  /// Whether this instance suspected it while itself cut off.
  bool IsSuspectedInIsolation = false;
};

/// The members of a failure domain, which are likely to fail together.
struct member_group {
  /// In random order.
  std::vector<std::string> Names;
  /// Position of the next to get a follow-up probe.
  std::size_t NextFollowUp = 0;
  /// Members of it that are suspected; those that are down don't count.
  std::size_t Suspects = 0;
  /// Follow-up probes still to be sent.
  std::size_t FollowUpsLeft = 0;
};

/// A member that is suspected, and not yet considered down.
struct suspected_member {
  /// Time of the next probe.
  instant NextRecheck{};
  /// From then on the member counts as not up; none: set by the first probe.
  std::optional<instant> UsableUntil;
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

/// The search for a member that sends an ack, while none of the last probes got
/// one.
struct contact_check {
  /// The member whose ack is missing. It isn't asked.
  std::string Subject;
  instant SentAt{};
  std::size_t Rounds = 0;
  /// Probes still to be sent in this round.
  std::size_t ProbesLeft = 0;
};

/// The requests for statuses that this instance missed.
struct status_transfer {
  bool IsInProgress = true;
  std::optional<instant> StartedAt;
  /// Members that are still to be asked, after the first choice of them.
  std::vector<std::string> Unasked;
  bool HasAsked = false;
  std::size_t Responses = 0;
};

/// The place of a member on the ring, which orders them.
struct ring_place {
  std::string FailureDomain;
  std::uint64_t NameHash = 0;
  std::string Name;
  bool operator<(const ring_place &Other) const {
    return std::tie(FailureDomain, NameHash, Name) <
           std::tie(Other.FailureDomain, Other.NameHash, Other.Name);
  }
};

struct membership {
  /// The members that this control responds for: itself and its instance's
  /// daemons that are alive.
  std::map<std::string, own_member> Own;
  membership_policy Policy;
  std::mt19937_64 Random;
  std::map<std::string, member_state> Members;
  /// The names of Members, for random picks whose cost doesn't grow with the
  /// fleet.
  std::vector<std::string> Names;
  std::unordered_map<std::uint64_t, std::string> NamesByHash;
  /// Members by failure domain.
  std::map<std::string, member_group> Groups;
  /// Members whose status is still to be sent, preceded by the number of
  /// messages that have carried it: what is new goes first.
  std::set<std::pair<int, std::string>> Pending;
  /// Members that are suspected, or were until this instance's isolation ended.
  /// A tick iterates over these alone, so that its cost doesn't grow with the
  /// fleet.
  std::map<std::string, suspected_member> Suspected;
  /// The first of them to probe in the next tick.
  std::string NextRecheck;
  /// Members that count as suspected or down.
  std::set<std::string> NotUp;
  /// Rises with each change of Members or NotUp, so that what is derived from
  /// them is computed once for each change.
  std::uint64_t Version = 0;
  /// Members still to be probed in this round.
  std::vector<std::string> Round;
  active_probe Probe;
  instant NextProbe{};
  /// The probe of the next member in the order of Ring, and the time of the
  /// next one.
  active_probe SuccessorProbe;
  instant NextSuccessorProbe{};
  /// The members by failure domain, and in it by the hash of their names, so
  /// that few of the probes of successors leave a failure domain.
  std::vector<ring_place> Ring;
  /// Empty if not known.
  std::string OwnFailureDomain;
  /// Failure domains in which follow-up probes are to be sent.
  std::deque<std::string> FollowUpDomains;
  /// Follow-up probes in progress, by subject: when they were sent.
  std::map<std::string, instant> FollowUps;
  /// Time of the last message from any member; none before the first tick.
  std::optional<instant> LastHeard;
  bool IsIsolated = false;
  /// End of the last isolation; none if there was none.
  std::optional<instant> IsolationEndedAt;
  std::optional<contact_check> ContactCheck;
  status_transfer Transfer;
  /// Whether this instance has had the statuses of members from others, or has
  /// asked for them in vain.
  bool HasView = false;
};

/// Sets the members of the fleet; own members may be included. New members
/// count as up.
void setMembers(membership &Membership, const std::set<std::string> &Names);

/// Sets the members of the fleet together with their failure domains; own
/// members may be included.
void setMembersWithDomains(
    membership &Membership,
    const std::map<std::string, std::string> &FailureDomains);

/// Sets the members that this control responds for.
void setOwnMembers(membership &Membership,
                   const std::vector<std::string> &Names);

/// Returns the number of messages that carry a changed status.
int transmissionsPerUpdate(const membership &Membership);

/// Sends probes, escalates unanswered ones and expires suspicions. Asks for
/// statuses that were missed.
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

/// Returns whether \p Name may be named to callers: it is up, and if this
/// instance has yet to learn who is not, it has heard from it.
bool isKnownUp(const membership &Membership, const std::string &Name);

} // namespace amaranthhoist
