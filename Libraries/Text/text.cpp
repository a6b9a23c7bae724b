#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

void appendHex(std::string &Text, std::uint64_t Value, std::size_t Digits) {
  std::array<char, 16> Buffer{};
  const auto End =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Value, 16);
  const auto Size = static_cast<std::size_t>(End.ptr - Buffer.data());
  if (Size < Digits)
    Text.append(Digits - Size, '0');
  Text.append(Buffer.data(), Size);
}

std::optional<std::uint64_t> parseHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value, 16);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

static char toLowerAscii(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(
             Left.begin(), Left.end(), Right.begin(),
             [](char A, char B) { return toLowerAscii(A) == toLowerAscii(B); });
}

std::string toLower(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(), toLowerAscii);
  return Result;
}

std::string percentEncode(std::string_view Text) {
  constexpr std::string_view Kept = "-._~:@";
  std::string Encoded;
  for (const char Character : Text) {
    const bool IsAlphanumeric = (Character >= '0' && Character <= '9') ||
                                (Character >= 'A' && Character <= 'Z') ||
                                (Character >= 'a' && Character <= 'z');
    if (IsAlphanumeric || Kept.find(Character) != std::string_view::npos) {
      Encoded.push_back(Character);
      continue;
    }
    Encoded.push_back('%');
    appendHex(Encoded, static_cast<unsigned char>(Character), 2);
  }
  return Encoded;
}

std::string_view strip(std::string_view Text) {
  constexpr std::string_view Space = " \t\r\n";
  const std::size_t First = Text.find_first_not_of(Space);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Space) - First + 1);
}

std::vector<std::string_view> split(std::string_view Text, char Separator) {
  std::vector<std::string_view> Pieces;
  for (;;) {
    const std::size_t At = Text.find(Separator);
    Pieces.push_back(Text.substr(0, At));
    if (At == std::string_view::npos)
      return Pieces;
    Text.remove_prefix(At + 1);
  }
}

bool consumeSuffix(std::string_view &Text, std::string_view Suffix) {
  if (!Text.ends_with(Suffix))
    return false;
  Text.remove_suffix(Suffix.size());
  return true;
}

} // namespace amaranthhoist
