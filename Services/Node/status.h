/// What a node believes, for an operator who asks.
#pragma once

#include "node.h"
#include "store_sync.h"

#include <string>

namespace amaranthhoist {

/// One JSON object: the instance, its configuration's version and age, from
/// whom it learns and how old that is, and its servers and peers by state.
std::string encodeStatus(const node &Node, const store_sync &Store);

} // namespace amaranthhoist
