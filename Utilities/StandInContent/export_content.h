/// Content of the backend stand-ins' exports, so that a caller can check every
/// byte that it gets.
#pragma once

#include <cstdint>
#include <string>

namespace amaranthhoist {

/// The byte at \p Place of the export named \p Name.
char exportByte(const std::string &Name, std::int64_t Place);

} // namespace amaranthhoist
