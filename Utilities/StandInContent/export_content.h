/// Content of the exports streamed by the backend stand-ins. It is
/// deterministic, so that a caller can verify every byte that it receives.
#pragma once

#include <cstdint>
#include <string>

namespace amaranthhoist {

/// Returns the byte at \p Offset of the export named \p Name.
char exportByte(const std::string &Name, std::int64_t Offset);

} // namespace amaranthhoist
