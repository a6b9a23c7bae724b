/// Checks the lines of a head, which http-parser does only in part: it takes
/// any number for a status, any version, and control bytes in values. Parties
/// that read such a head differently disagree on what it says (RFC 9110, 5 and
/// 15; RFC 9112, 2.3, 3, 4 and 5). Incremental: one byte at a time.
#pragma once

#include <cstddef>
#include <cstdint>

namespace amaranthhoist {

enum class message_kind : std::uint8_t { Request, Response };

/// The position in a head.
struct head_grammar {
  enum class part : std::uint8_t {
    /// The start line's first byte.
    Start,
    Method,
    Target,
    RequestVersion,
    /// Version and status code.
    Status,
    Reason,
    FieldName,
    FieldValue,
  };
  message_kind Kind = message_kind::Request;
  part Part = part::Start;
  /// Bytes of the part so far.
  std::size_t Length = 0;
};

/// Reads a byte of a line without its end. Returns false if it isn't allowed
/// there.
bool readHeadByte(head_grammar &Grammar, char Byte);

/// Called at the end of a line that isn't empty. Returns whether it may end
/// there. A field follows.
bool endHeadLine(head_grammar &Grammar);

} // namespace amaranthhoist
