/// Checks the line ends of messages, which http-parser does not: it takes any
/// byte after a carriage return for the line feed that ends a head, and any two
/// bytes for the line end of a chunk. Parties that read such a message
/// differently disagree on where it ends (request smuggling). Incremental:
/// bytes may come in pieces of any size.
#pragma once

#include "HttpMessage/head_grammar.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace amaranthhoist {

/// Follows the lines of a head.
struct head_lines {
  head_grammar Grammar;
  std::size_t LineLength = 0;
  bool HasStartLine = false;
  bool ExpectsLineFeed = false;
  bool IsComplete = false;
};

/// Reads \p Bytes up to the end of the head, which sets IsComplete. Returns how
/// many belong to the head; none for a line end without a carriage return or
/// without a line feed, or for a line that the grammar doesn't allow.
std::optional<std::size_t> readLines(head_lines &Lines, std::string_view Bytes);

/// Follows the framing of a chunked body and its trailer.
struct chunk_framing {
  enum class part : std::uint8_t {
    Size,
    Extension,
    SizeLineFeed,
    Data,
    DataReturn,
    DataLineFeed,
    TrailerStart,
    TrailerLine,
    TrailerLineFeed,
    LastLineFeed,
    Complete,
  };
  part Part = part::Size;
  /// Bytes of the chunk that are still to come.
  std::uint64_t BytesLeft = 0;
  int Digits = 0;
};

/// Reads \p Bytes up to the end of the body. Returns false if its framing is
/// invalid.
bool readChunks(chunk_framing &Framing, std::string_view Bytes);

} // namespace amaranthhoist
