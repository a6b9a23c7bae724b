/// HTTP/1.1 messages without I/O: readers that take bytes as they come and
/// stop at the end of a message, and writers. The grammar is the http-parser
/// library's; what it lets pass and a sender could use to make two parties
/// disagree on where a message ends is refused here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// The head of a message. Fields are views into one block of text.
class message_head {
public:
  struct field {
    std::string_view Name;
    std::string_view Value;
  };

  [[nodiscard]] std::size_t fieldCount() const { return Spans.size(); }
  [[nodiscard]] field fieldAt(std::size_t Index) const;
  /// Value of the first field of that name, whatever its case.
  [[nodiscard]] std::optional<std::string_view>
  find(std::string_view Name) const;
  /// How often a field of that name is there.
  [[nodiscard]] std::size_t count(std::string_view Name) const;

  /// Of a request.
  std::string_view method() const;
  /// Of a request: path and query as they were sent.
  [[nodiscard]] std::string_view target() const { return Target; }
  /// Of a response.
  [[nodiscard]] int status() const { return Status; }

private:
  friend class message_reader;
  struct span {
    std::uint32_t Name = 0;
    std::uint32_t NameSize = 0;
    std::uint32_t Value = 0;
    std::uint32_t ValueSize = 0;
  };
  std::string Text;
  std::vector<span> Spans;
  std::string Target;
  unsigned Method = 0;
  int Status = 0;
};

enum class message_kind : std::uint8_t { Request, Response };

enum class read_state : std::uint8_t {
  /// The head isn't whole.
  InHead,
  /// The head is whole, the body isn't.
  InBody,
  Complete,
  Malformed,
  HeadTooLarge,
};

/// Reads one message. Bytes after its end aren't taken.
class message_reader {
public:
  /// \p MaxHeadBytes: a longer head ends as HeadTooLarge.
  message_reader(message_kind Kind, std::size_t MaxHeadBytes);
  message_reader(const message_reader &) = delete;
  message_reader &operator=(const message_reader &) = delete;

  /// Begins the next message. \p WithoutBody: a response to a HEAD request,
  /// whose head tells a length that doesn't follow.
  void reset(bool WithoutBody = false);

  /// Takes bytes; how many of them belong to this message. Body bytes are
  /// added to body().
  std::size_t feed(std::string_view Bytes);
  /// The peer closed in order: ends a response that has no length.
  void feedEnd();

  [[nodiscard]] read_state state() const { return State; }
  /// Whether any byte of the message was read.
  [[nodiscard]] bool hasBegun() const { return Begun; }
  [[nodiscard]] const message_head &head() const { return Head; }
  /// Body bytes that were read and not taken away.
  std::string &body() { return Body; }
  /// Length that the head tells; none when chunked or until the close.
  [[nodiscard]] std::optional<std::uint64_t> contentLength() const {
    return ContentLength;
  }
  /// Whether only the close of the connection ends the body.
  [[nodiscard]] bool endsWithConnection() const { return EndsWithConnection; }
  /// Whether the connection may carry another message.
  [[nodiscard]] bool keepsAlive() const { return KeepsAlive; }

private:
  struct callbacks;
  friend struct callbacks;

  bool headLinesAreSound(std::string_view Bytes);
  bool headIsSound() const;
  void finishHead();

  message_kind Kind;
  std::size_t MaxHeadBytes;
  http_parser Parser{};
  read_state State = read_state::InHead;
  message_head Head;
  std::string Body;
  std::optional<std::uint64_t> ContentLength;
  bool Begun = false;
  bool WithoutBody = false;
  bool EndsWithConnection = false;
  bool KeepsAlive = false;
  bool LastWasValue = true;
  std::size_t HeadBytes = 0;
  /// For the check of line ends, across pieces.
  char LastByte = 0;
  bool AtLineStart = false;
  bool LineIsEmpty = true;
};

/// Whether \p Name concerns one connection only and isn't passed on.
bool isHopByHop(std::string_view Name);
/// Whether the head's Connection field lists \p Name.
bool isNamedByConnection(const message_head &Head, std::string_view Name);

/// Seconds that the head's Retry-After field tells, with fractions. None
/// without such a field, or where it holds anything else, a date included.
std::optional<double> retryAfterSeconds(const message_head &Head);

/// The customary phrase of a status.
std::string_view reasonOf(int Status);
/// Adds `Name: Value` and the end of the line.
void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value);
/// Adds one chunk of a chunked body.
void appendChunk(std::string &Text, std::string_view Piece);
/// Ends a chunked body.
void appendLastChunk(std::string &Text);

} // namespace amaranthhoist
