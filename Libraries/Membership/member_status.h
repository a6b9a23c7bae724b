/// Changes of a member's status, and which suspicions take effect when. Used
/// within this library only.
#pragma once

#include "Membership/membership.h"

namespace amaranthhoist {

/// What a status rests on.
enum class evidence : std::uint8_t {
  /// Probes of this instance.
  Own,
  /// Another's message.
  Received,
  /// Another's message about a member that doesn't count as up there, after it
  /// verified that.
  Verified,
};

/// Returns whether so many members of \p Member's failure domain are suspected
/// that the domain as a whole has probably failed.
bool isCorrelated(const membership &Membership, const member_state &Member);

/// Plans probes of further members of a failure domain in which one didn't
/// respond. Each of those that doesn't respond either plans as many again.
void planFollowUps(membership &Membership, const std::string &Name);

void setStatus(membership &Membership, const std::string &Name,
               member_state &Member, member_status Status, evidence Evidence,
               instant Now);

/// Sets whether \p Name counts as up.
void setUp(membership &Membership, const std::string &Name, bool IsUp);

/// Marks \p Name as up: a response from the member itself overrides any update
/// received from others.
void recordResponse(membership &Membership, const std::string &Name,
                    instant Now);

/// Marks \p Name as suspected because a probe of this instance got no response.
void recordMissingResponse(membership &Membership, const std::string &Name,
                           instant Now);

/// Marks members down whose suspicion has lasted too long.
void expireSuspicions(membership &Membership, instant Now);

/// Considers \p Name up again, which was suspected without anybody else's
/// knowledge, and probes it.
void withdrawSuspicion(membership &Membership, const std::string &Name,
                       member_state &Member, instant Now);

/// Ends the spread of \p Name's status by this instance.
void stopSpreading(membership &Membership, const std::string &Name);

} // namespace amaranthhoist
