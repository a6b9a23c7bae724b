#include "HttpMessage/framing.h"

#include <algorithm>

namespace amaranthhoist {

/// Hexadecimal digits of a chunk's size that fit into 64 bits.
static constexpr int MaxSizeDigits = 16;

static bool isBlank(char Byte) { return Byte == ' ' || Byte == '\t'; }

/// Called at the end of a line. Returns whether it may end there.
static bool endLine(head_lines &Lines) {
  const bool IsEmpty = Lines.LineLength == 0;
  Lines.ExpectsLineFeed = false;
  // Empty lines may come before the first one (RFC 9112, 2.2).
  Lines.IsComplete = IsEmpty && Lines.HasStartLine;
  Lines.HasStartLine = Lines.HasStartLine || !IsEmpty;
  Lines.LineLength = 0;
  return IsEmpty || endHeadLine(Lines.Grammar);
}

std::optional<std::size_t> readLines(head_lines &Lines,
                                     std::string_view Bytes) {
  for (std::size_t At = 0; At < Bytes.size(); ++At) {
    const char Byte = Bytes[At];
    if (Lines.ExpectsLineFeed != (Byte == '\n'))
      return std::nullopt;
    if (Byte == '\n') {
      if (!endLine(Lines))
        return std::nullopt;
      if (Lines.IsComplete)
        return At + 1;
    } else if (Byte == '\r') {
      Lines.ExpectsLineFeed = true;
    } else {
      if (!readHeadByte(Lines.Grammar, Byte))
        return std::nullopt;
      ++Lines.LineLength;
    }
  }
  return Bytes.size();
}

static std::optional<unsigned> hexDigit(char Byte) {
  if (Byte >= '0' && Byte <= '9')
    return Byte - '0';
  const char Lower = static_cast<char>(Byte | 0x20);
  if (Lower >= 'a' && Lower <= 'f')
    return Lower - 'a' + 10;
  return std::nullopt;
}

using part = chunk_framing::part;

/// Reads one byte of the line that states the size of a chunk.
static bool readSize(chunk_framing &Framing, char Byte) {
  if (const auto Digit = hexDigit(Byte)) {
    Framing.BytesLeft = Framing.BytesLeft * 16 + *Digit;
    return ++Framing.Digits <= MaxSizeDigits;
  }
  Framing.Part = Byte == '\r' ? part::SizeLineFeed : part::Extension;
  return Framing.Digits > 0 && (Byte == '\r' || Byte == ';' || isBlank(Byte));
}

/// Continues with \p Next if \p Byte is \p Wanted.
static bool expect(chunk_framing &Framing, char Byte, char Wanted, part Next) {
  Framing.Part = Next;
  return Byte == Wanted;
}

/// Reads a line up to its carriage return, after which \p Next follows.
static bool readLine(chunk_framing &Framing, char Byte, part Next) {
  if (Byte == '\r')
    Framing.Part = Next;
  return Byte != '\n';
}

static bool readByte(chunk_framing &Framing, char Byte) {
  switch (Framing.Part) {
  case part::Size:
    return readSize(Framing, Byte);
  case part::Extension:
    return readLine(Framing, Byte, part::SizeLineFeed);
  case part::SizeLineFeed:
    return expect(Framing, Byte, '\n',
                  Framing.BytesLeft > 0 ? part::Data : part::TrailerStart);
  case part::DataReturn:
    return expect(Framing, Byte, '\r', part::DataLineFeed);
  case part::DataLineFeed:
    Framing.Digits = 0;
    return expect(Framing, Byte, '\n', part::Size);
  case part::TrailerStart:
    Framing.Part = Byte == '\r' ? part::LastLineFeed : part::TrailerLine;
    return Byte != '\n' && !isBlank(Byte);
  case part::TrailerLine:
    return readLine(Framing, Byte, part::TrailerLineFeed);
  case part::TrailerLineFeed:
    return expect(Framing, Byte, '\n', part::TrailerStart);
  case part::LastLineFeed:
    return expect(Framing, Byte, '\n', part::Complete);
  case part::Data:
  case part::Complete:
    return true;
  }
  return false;
}

bool readChunks(chunk_framing &Framing, std::string_view Bytes) {
  while (!Bytes.empty() && Framing.Part != part::Complete) {
    if (Framing.Part != part::Data) {
      if (!readByte(Framing, Bytes.front()))
        return false;
      Bytes.remove_prefix(1);
      continue;
    }
    const auto Taken = std::min<std::uint64_t>(Framing.BytesLeft, Bytes.size());
    Framing.BytesLeft -= Taken;
    Bytes.remove_prefix(static_cast<std::size_t>(Taken));
    if (Framing.BytesLeft == 0)
      Framing.Part = part::DataReturn;
  }
  return true;
}

} // namespace amaranthhoist
