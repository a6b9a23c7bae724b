/// Probes: the regular one of each period, follow-ups of failures, and the
/// verification of suspicions. Used within this library only.
#pragma once

#include "Membership/membership.h"

namespace amaranthhoist {

using membership_messages = std::vector<outgoing_membership_message>;

/// Returns a message that carries statuses still to be sent.
outgoing_membership_message makeMessage(membership &Membership,
                                        const std::string &To,
                                        membership_message::kind Kind,
                                        const std::string &Subject,
                                        const std::string &OnBehalfOf);

/// Probes suspected members again, a bounded number in each tick.
void recheckSuspected(membership &Membership, instant Now,
                      membership_messages &Messages);

/// Sends pending updates to a few members at once. By the probes alone, two a
/// second, it takes five seconds until all of 295 have the failure of a member,
/// and as long until all have its refutation.
void gossipUpdates(membership &Membership, membership_messages &Messages);

/// Escalates the probes that get no response, and starts the next ones: of a
/// random member, and of this instance's successor.
void runProbes(membership &Membership, instant Now,
               membership_messages &Messages);

/// Sends the probes that follow failures, and suspects whoever didn't respond
/// to earlier ones.
void runFollowUps(membership &Membership, instant Now,
                  membership_messages &Messages);

/// Records that a probe of \p Subject was answered.
void endProbe(membership &Membership, const std::string &Subject);

} // namespace amaranthhoist
