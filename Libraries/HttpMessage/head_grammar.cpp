#include "HttpMessage/head_grammar.h"

#include <string_view>

namespace amaranthhoist {

using part = head_grammar::part;

/// What must stand at the start of a status line, and at the end of a request
/// line. A zero stands for any digit, an `s` for the first digit of a status.
static constexpr std::string_view StatusPattern = "HTTP/1.0 s00";
static constexpr std::string_view VersionPattern = "HTTP/1.0";

static bool isDigit(char Byte) { return Byte >= '0' && Byte <= '9'; }

static bool isControl(char Byte) {
  const auto Code = static_cast<unsigned char>(Byte);
  return Code < 0x20 || Code == 0x7f;
}

/// Field values and reason phrases.
static bool isText(char Byte) { return Byte == '\t' || !isControl(Byte); }

/// Methods and field names (RFC 9110, 5.6.2).
static bool isTokenByte(char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  const char Lower = static_cast<char>(Byte | 0x20);
  return isDigit(Byte) || (Lower >= 'a' && Lower <= 'z') ||
         Marks.find(Byte) != std::string_view::npos;
}

static bool matches(std::string_view Pattern, std::size_t At, char Byte) {
  if (At >= Pattern.size())
    return false;
  if (Pattern[At] == '0')
    return isDigit(Byte);
  if (Pattern[At] == 's')
    return Byte >= '1' && Byte <= '5';
  return Byte == Pattern[At];
}

static void enter(head_grammar &Grammar, part Part) {
  Grammar.Part = Part;
  Grammar.Length = 0;
}

/// Reads a byte of a part that ends before \p Separator, after which \p Next
/// follows.
static bool readUntil(head_grammar &Grammar, char Byte, bool IsAllowed,
                      char Separator, part Next) {
  if (Byte == Separator) {
    const bool IsEmpty = Grammar.Length == 0;
    enter(Grammar, Next);
    return !IsEmpty;
  }
  ++Grammar.Length;
  return IsAllowed;
}

static bool readStatus(head_grammar &Grammar, char Byte) {
  if (Grammar.Length == StatusPattern.size()) {
    enter(Grammar, part::Reason);
    return Byte == ' ';
  }
  return matches(StatusPattern, Grammar.Length++, Byte);
}

bool readHeadByte(head_grammar &Grammar, char Byte) {
  if (Grammar.Part == part::Start)
    enter(Grammar,
          Grammar.Kind == message_kind::Request ? part::Method : part::Status);
  switch (Grammar.Part) {
  case part::Start:
    return false;
  case part::Method:
    return readUntil(Grammar, Byte, isTokenByte(Byte), ' ', part::Target);
  case part::Target:
    return readUntil(Grammar, Byte, !isControl(Byte), ' ',
                     part::RequestVersion);
  case part::RequestVersion:
    return matches(VersionPattern, Grammar.Length++, Byte);
  case part::Status:
    return readStatus(Grammar, Byte);
  case part::Reason:
  case part::FieldValue:
    return isText(Byte);
  case part::FieldName:
    return readUntil(Grammar, Byte, isTokenByte(Byte), ':', part::FieldValue);
  }
  return false;
}

/// Whether a line may end here. A status line without a reason may lack the
/// blank before it, too.
static bool mayEnd(const head_grammar &Grammar) {
  switch (Grammar.Part) {
  case part::RequestVersion:
    return Grammar.Length == VersionPattern.size();
  case part::Status:
    return Grammar.Length == StatusPattern.size();
  case part::Reason:
  case part::FieldValue:
    return true;
  default:
    return false;
  }
}

bool endHeadLine(head_grammar &Grammar) {
  const bool MayEnd = mayEnd(Grammar);
  enter(Grammar, part::FieldName);
  return MayEnd;
}

} // namespace amaranthhoist
