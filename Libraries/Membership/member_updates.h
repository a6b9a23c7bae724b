/// Statuses that messages carry. Used within this library only.
#pragma once

#include "Membership/membership.h"

namespace amaranthhoist {

/// Adds to \p Message the statuses that are still to be sent.
void collectUpdates(membership &Membership, membership_message &Message);

void applyUpdates(membership &Membership, const membership_message &Message,
                  instant Now);

} // namespace amaranthhoist
