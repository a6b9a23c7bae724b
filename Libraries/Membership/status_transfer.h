/// Transfer of the statuses that an instance missed: it has just started, or
/// was silent for a while. Updates are sent a limited number of times after a
/// change, so nobody would tell it later. Used within this library only.
#pragma once

#include "Membership/membership.h"

namespace amaranthhoist {

/// Asks further members for their statuses until enough have responded, or the
/// time for it has passed.
void requestStatuses(membership &Membership, instant Now,
                     std::vector<outgoing_membership_message> &Messages);

/// Starts to ask again.
void restartStatusTransfer(membership &Membership);

/// Returns the statuses of all members that are down, or have been suspected
/// for so long that a live one would have refuted it, for \p To; none if this
/// instance has yet to ask for them itself, or is cut off.
std::vector<outgoing_membership_message>
makeStatusResponse(const membership &Membership, const std::string &To,
                   instant Now);

/// Records that \p From responded.
void recordStatusResponse(membership &Membership, const std::string &From,
                          instant Now);

} // namespace amaranthhoist
