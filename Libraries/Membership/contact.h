/// Whether this instance is itself cut off from the fleet. Used within this
/// library only.
#pragma once

#include "Membership/membership.h"

namespace amaranthhoist {

/// Starts to ask several members of different failure domains for an ack,
/// because \p Subject didn't send one. Does nothing if that is in progress.
void startContactCheck(membership &Membership, const std::string &Subject,
                       instant Now);

/// Returns whether the absence of a member's ack may be judged: this instance
/// has just received messages, or has turned out to be cut off. If neither is
/// known, starts to find out.
bool mayJudgeMissingAck(membership &Membership, const std::string &Subject,
                        instant Now);

/// Records that a message from \p From arrived, which ends an isolation.
void recordMessage(membership &Membership, const std::string &From,
                   instant Now);

/// Continues to ask for acks, and concludes from their absence that this
/// instance is cut off.
void updateIsolation(membership &Membership, instant Now);

/// Sends the probes that ask for contact.
void sendContactProbes(membership &Membership,
                       std::vector<outgoing_membership_message> &Messages);

} // namespace amaranthhoist
