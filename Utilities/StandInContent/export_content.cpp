#include "export_content.h"

#include "Core/core.h"

namespace amaranthhoist {

char exportByte(const std::string &Name, std::int64_t Offset) {
  const std::uint64_t Block =
      stableHash(Name, static_cast<std::uint64_t>(Offset / 8));
  return static_cast<char>('a' + ((Block >> (8 * (Offset % 8))) & 15));
}

} // namespace amaranthhoist
