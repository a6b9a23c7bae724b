/// What refusals mean to others.
#include "Steering/steering.h"

namespace amaranthhoist {

std::string_view toString(refusal Reason) {
  switch (Reason) {
  case refusal::NotConfigured:
    return "not_configured";
  case refusal::NoRoute:
    return "no_route";
  case refusal::ConfigurationOutdated:
    return "configuration_outdated";
  case refusal::NoAccount:
    return "no_account";
  case refusal::NoCommonRegion:
    return "no_common_region";
  case refusal::OverLimit:
    return "over_limit";
  case refusal::LimitUnknown:
    return "limit_unknown";
  case refusal::KeysUnconfirmed:
    return "keys_unconfirmed";
  case refusal::NoTarget:
    return "no_target";
  case refusal::BackingOff:
    return "resting";
  case refusal::Overloaded:
    return "no_room";
  case refusal::TooLate:
    return "too_late";
  case refusal::RetryBudgetExhausted:
    return "no_repeats";
  case refusal::Quarantined:
    return "quarantined";
  case refusal::ShuttingDown:
    return "leaving";
  case refusal::ForwardingLimit:
    return "forwarding_limit";
  case refusal::MemoryUsedUp:
    return "memory_used_up";
  }
  return "unknown";
}

bool mayBeServedElsewhere(refusal Reason) {
  switch (Reason) {
  case refusal::NotConfigured:
  case refusal::NoRoute:
  case refusal::ConfigurationOutdated:
  case refusal::NoAccount:
  case refusal::NoTarget:
  case refusal::ShuttingDown:
  case refusal::ForwardingLimit:
  case refusal::MemoryUsedUp:
    return true;
  default:
    return false;
  }
}

} // namespace amaranthhoist
