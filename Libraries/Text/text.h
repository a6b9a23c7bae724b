/// String helpers for the whole node. Debian builds Abseil with its own
/// string_view type, to which std::string_view does not convert, so these are
/// based on the standard library instead.
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

/// Appends strings and numbers to \p Text.
template <typename... Pieces>
void append(std::string &Text, const Pieces &...Values) {
  (appendPiece(Text, Values), ...);
}

/// Concatenates strings and numbers.
template <typename... Pieces> std::string cat(const Pieces &...Values) {
  std::string Text;
  append(Text, Values...);
  return Text;
}

/// Appends \p Value in hexadecimal, padded with zeros to at least \p Digits
/// digits.
void appendHex(std::string &Text, std::uint64_t Value, std::size_t Digits = 1);

/// Parses all of \p Text as a number; returns none if that fails.
template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value{};
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}
/// Parses all of \p Text as a hexadecimal number; returns none if that fails.
std::optional<std::uint64_t> parseHex(std::string_view Text);

/// Compares strings ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);
/// Converts ASCII letters to lower case.
std::string toLower(std::string_view Text);

/// Encodes \p Text as a part of a URL's path or query (RFC 3986).
std::string percentEncode(std::string_view Text);

/// Removes white space from both ends.
std::string_view strip(std::string_view Text);
std::vector<std::string_view> split(std::string_view Text, char Separator);
/// Removes \p Suffix from the end of \p Text. Returns whether it was present.
bool consumeSuffix(std::string_view &Text, std::string_view Suffix);

/// Transparent hash, which allows look-ups by any string type in maps with
/// std::string keys.
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
