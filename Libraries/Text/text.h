/// Small operations on text for the whole of the node. Debian builds Abseil
/// with a string view of its own that std::string_view doesn't convert to,
/// hence these few over the standard library.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <array>
#include <charconv>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>
#include <xxhash.h>

namespace amaranthhoist {

inline void appendPiece(std::string &Text, std::string_view Piece) {
  Text.append(Piece);
}
template <typename Number>
requires std::integral<Number> || std::floating_point<Number>
void appendPiece(std::string &Text, Number Value) {
  std::array<char, 32> Digits{};
  const auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  Text.append(Digits.data(), End.ptr);
}

/// Adds texts and numbers to \p Text.
template <typename... Pieces>
void append(std::string &Text, const Pieces &...Values) {
  (appendPiece(Text, Values), ...);
}

/// Texts and numbers, joined.
template <typename... Pieces> std::string cat(const Pieces &...Values) {
  std::string Text;
  append(Text, Values...);
  return Text;
}

/// Adds \p Value in hexadecimal, with at least \p Digits digits.
void appendHex(std::string &Text, std::uint64_t Value, std::size_t Digits = 1);

/// The whole of \p Text as a number; none when it is anything else.
template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}
/// Likewise in hexadecimal.
std::optional<std::uint64_t> parseHex(std::string_view Text);

/// ASCII only.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);
std::string toLower(std::string_view Text);

/// Without white space at both ends.
std::string_view strip(std::string_view Text);
std::vector<std::string_view> split(std::string_view Text, char Separator);
/// Removes \p Suffix from the end of \p Text; whether it was there.
bool consumeSuffix(std::string_view &Text, std::string_view Suffix);

/// Lets maps by std::string be asked with any kind of text.
struct text_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const {
    return XXH3_64bits(Text.data(), Text.size());
  }
};
template <typename T>
using text_map =
    absl::flat_hash_map<std::string, T, text_hash, std::equal_to<>>;
using text_set = absl::flat_hash_set<std::string, text_hash, std::equal_to<>>;

} // namespace amaranthhoist
