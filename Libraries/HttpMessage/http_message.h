/// HTTP/1.1 messages without I/O: an incremental reader that stops at the end
/// of a message, and serialization helpers. The http-parser library parses the
/// grammar. The reader also rejects messages that http-parser accepts although
/// their framing is ambiguous: two parties could disagree on where such a
/// message ends (request smuggling).
#pragma once

#include "HttpMessage/framing.h"
#include "Text/text.h"

#include <cstddef>
#include <cstdint>
#include <http_parser.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// The head of a message. Fields are views into one text buffer.
class message_head {
public:
  struct field {
    std::string_view Name;
    std::string_view Value;
  };

  [[nodiscard]] std::size_t fieldCount() const { return Spans.size(); }
  [[nodiscard]] field fieldAt(std::size_t Index) const;
  /// Returns the value of the first field called \p Name, ignoring case.
  [[nodiscard]] std::optional<std::string_view>
  find(std::string_view Name) const;
  /// Returns the number of fields called \p Name, ignoring case.
  [[nodiscard]] std::size_t count(std::string_view Name) const;

  /// The method of a request.
  std::string_view method() const;
  /// The path and query of a request, as received.
  [[nodiscard]] std::string_view target() const { return Target; }
  /// The status code of a response.
  [[nodiscard]] int status() const { return Status; }

private:
  friend class message_reader;
  void clear();
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

enum class read_state : std::uint8_t {
  /// The head is incomplete.
  InHead,
  /// The head is complete, the body is not.
  InBody,
  Complete,
  Malformed,
  HeadTooLarge,
};

/// Reads one message at a time. Does not consume bytes after its end.
class message_reader {
public:
  /// A head longer than \p MaxHeadBytes, with its line ends, leads to
  /// read_state::HeadTooLarge.
  message_reader(message_kind Kind, std::size_t MaxHeadBytes);
  message_reader(const message_reader &) = delete;
  message_reader &operator=(const message_reader &) = delete;

  /// Prepares for the next message. \p WithoutBody marks a response to a HEAD
  /// request, whose head states the length of a body that is not sent.
  void reset(bool WithoutBody = false);

  /// Changes the limit of the constructor.
  void setMaxHeadBytes(std::size_t Bytes) { MaxHeadBytes = Bytes; }

  /// Parses \p Bytes and returns how many of them belong to this message.
  /// Appends body bytes to body().
  std::size_t feed(std::string_view Bytes);
  /// Handles a graceful close by the peer, which completes a response without a
  /// length.
  void finishAtClose();

  [[nodiscard]] read_state state() const { return State; }
  /// Whether any byte of the message has been read.
  [[nodiscard]] bool hasStarted() const { return HasStarted; }
  [[nodiscard]] const message_head &head() const { return Head; }
  /// Memory held for the head, in bytes.
  [[nodiscard]] std::size_t headMemory() const;
  /// Body bytes that were read and not yet removed by the caller.
  std::string &body() { return Body; }
  /// The Content-Length; none if the body is chunked or ends with the
  /// connection.
  [[nodiscard]] std::optional<std::uint64_t> contentLength() const {
    return ContentLength;
  }
  /// Whether the body ends only when the connection is closed.
  [[nodiscard]] bool bodyEndsAtClose() const { return BodyEndsAtClose; }
  /// Whether the connection can be reused for another message.
  [[nodiscard]] bool isKeepAlive() const { return IsKeepAlive; }

private:
  struct callbacks;
  friend struct callbacks;

  std::size_t feedHead(std::string_view Bytes);
  std::size_t feedBody(std::string_view Bytes);
  std::size_t parse(std::string_view Bytes);
  bool hasUnambiguousFraming() const;
  void reserveBody(std::size_t Bytes);
  void finishHead();

  message_kind Kind;
  std::size_t MaxHeadBytes;
  http_parser Parser{};
  read_state State = read_state::InHead;
  /// Bytes of the head so far.
  std::size_t HeadBytes = 0;
  message_head Head;
  std::string Body;
  std::optional<std::uint64_t> ContentLength;
  bool HasStarted = false;
  bool WithoutBody = false;
  bool BodyEndsAtClose = false;
  bool IsKeepAlive = false;
  bool LastWasFieldValue = true;
  head_lines Lines;
  /// Set if the body is chunked.
  std::optional<chunk_framing> Chunks;
};

/// Whether \p Name is a hop-by-hop field, which is not forwarded.
bool isHopByHop(std::string_view Name);
/// The names that the Connection fields of a head list: fields of those names
/// are hop-by-hop, too. They are parsed once, since a head may have thousands
/// of fields and list as many.
class connection_options {
public:
  explicit connection_options(const message_head &Head);
  /// Whether the head lists \p Name, ignoring case.
  [[nodiscard]] bool contains(std::string_view Name) const;

private:
  /// In lower case.
  text_set Names;
};

/// Returns the value of the Retry-After field in seconds, which may be
/// fractional. Returns none if the field is missing or holds anything other
/// than a non-negative finite number, such as a date.
std::optional<double> retryAfterSeconds(const message_head &Head);

/// Returns the standard reason phrase of a status code; empty if it has none.
std::string_view reasonPhrase(int Status);
/// Appends `Name: Value` and a line ending.
void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value);
/// Appends one chunk of a chunked body; nothing if \p Piece is empty.
void appendChunk(std::string &Text, std::string_view Piece);
/// Appends the last chunk, which ends a chunked body.
void appendLastChunk(std::string &Text);

} // namespace amaranthhoist
