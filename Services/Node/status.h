/// The status of a node, for operators.
#pragma once

#include "node.h"
#include "store_sync.h"

#include <string>

namespace amaranthhoist {

/// Encodes one JSON object: the instance, its configuration's version and age,
/// the source of its state and the state's age, and its servers and peers by
/// state.
std::string encodeStatus(const node &Node, const store_sync &Store);

} // namespace amaranthhoist
