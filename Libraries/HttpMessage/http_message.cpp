#include "HttpMessage/http_message.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>

namespace amaranthhoist {

/// Buffers of a head up to these sizes are used again for the next one.
static constexpr std::size_t MaxKeptText = 2'048;
static constexpr std::size_t MaxKeptFields = 64;
/// What http-parser returns for a status that it doesn't know.
static constexpr std::string_view UnknownPhrase = "<unknown>";

message_head::field message_head::fieldAt(std::size_t Index) const {
  const span &Span = Spans[Index];
  const std::string_view All = Text;
  return {All.substr(Span.Name, Span.NameSize),
          strip(All.substr(Span.Value, Span.ValueSize))};
}

std::optional<std::string_view>
message_head::find(std::string_view Name) const {
  for (std::size_t Index = 0; Index < Spans.size(); ++Index) {
    const field Field = fieldAt(Index);
    if (Field.Name.size() == Name.size() &&
        equalsIgnoringCase(Field.Name, Name))
      return Field.Value;
  }
  return std::nullopt;
}

std::size_t message_head::count(std::string_view Name) const {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Spans.size(); ++Index)
    if (equalsIgnoringCase(fieldAt(Index).Name, Name))
      ++Count;
  return Count;
}

void message_head::clear() {
  Text.clear();
  Spans.clear();
  Target.clear();
  Status = 0;
  // Thousands of idle connections would keep what one large head needed.
  if (Text.capacity() > MaxKeptText)
    Text.shrink_to_fit();
  if (Spans.capacity() > MaxKeptFields)
    Spans.shrink_to_fit();
  if (Target.capacity() > MaxKeptText)
    Target.shrink_to_fit();
}

std::string_view message_head::method() const {
  return http_method_str(static_cast<http_method>(Method));
}

/// Callbacks for http-parser.
struct message_reader::callbacks {
  static message_reader &readerOf(http_parser *Parser) {
    return *static_cast<message_reader *>(Parser->data);
  }
  static int onTarget(http_parser *Parser, const char *At, std::size_t Size) {
    readerOf(Parser).Head.Target.append(At, Size);
    return 0;
  }
  static int onFieldName(http_parser *Parser, const char *At,
                         std::size_t Size) {
    message_reader &Reader = readerOf(Parser);
    // Trailers of a chunked body are ignored.
    if (Reader.State != read_state::InHead)
      return 0;
    if (Reader.LastWasFieldValue) {
      message_head::span Span;
      Span.Name = static_cast<std::uint32_t>(Reader.Head.Text.size());
      Reader.Head.Spans.push_back(Span);
      Reader.LastWasFieldValue = false;
    }
    Reader.Head.Text.append(At, Size);
    Reader.Head.Spans.back().NameSize += static_cast<std::uint32_t>(Size);
    return 0;
  }
  static int onFieldValue(http_parser *Parser, const char *At,
                          std::size_t Size) {
    message_reader &Reader = readerOf(Parser);
    if (Reader.State != read_state::InHead)
      return 0;
    message_head::span &Span = Reader.Head.Spans.back();
    if (!Reader.LastWasFieldValue)
      Span.Value = static_cast<std::uint32_t>(Reader.Head.Text.size());
    Reader.LastWasFieldValue = true;
    Reader.Head.Text.append(At, Size);
    Span.ValueSize += static_cast<std::uint32_t>(Size);
    return 0;
  }
  static int onHeadersComplete(http_parser *Parser) {
    message_reader &Reader = readerOf(Parser);
    Reader.finishHead();
    // Stops the parser, which would otherwise parse the body of a rejected
    // message.
    if (Reader.State == read_state::Malformed)
      return -1;
    return Reader.WithoutBody ? 1 : 0;
  }
  static int onBody(http_parser *Parser, const char *At, std::size_t Size) {
    message_reader &Reader = readerOf(Parser);
    Reader.reserveBody(Size);
    Reader.Body.append(At, Size);
    return 0;
  }
  static int onComplete(http_parser *Parser) {
    message_reader &Reader = readerOf(Parser);
    Reader.IsKeepAlive = http_should_keep_alive(Parser) != 0;
    Reader.State = read_state::Complete;
    // Stops the parser before the next message.
    http_parser_pause(Parser, 1);
    return 0;
  }
  static http_parser_settings makeSettings() {
    http_parser_settings Settings;
    http_parser_settings_init(&Settings);
    Settings.on_url = onTarget;
    Settings.on_header_field = onFieldName;
    Settings.on_header_value = onFieldValue;
    Settings.on_headers_complete = onHeadersComplete;
    Settings.on_body = onBody;
    Settings.on_message_complete = onComplete;
    return Settings;
  }
};

message_reader::message_reader(message_kind Kind, std::size_t MaxHeadBytes)
    : Kind(Kind), MaxHeadBytes(MaxHeadBytes) {
  reset();
}

void message_reader::reset(bool NoBody) {
  http_parser_init(&Parser, Kind == message_kind::Request ? HTTP_REQUEST
                                                          : HTTP_RESPONSE);
  Parser.data = this;
  State = read_state::InHead;
  HeadBytes = 0;
  Head.clear();
  Body.clear();
  ContentLength.reset();
  HasStarted = false;
  WithoutBody = NoBody;
  BodyEndsAtClose = false;
  IsKeepAlive = false;
  LastWasFieldValue = true;
  Lines = {};
  Lines.Grammar.Kind = Kind;
  Chunks.reset();
}

/// Rejects framing on which two parties could disagree: more than one length, a
/// length together with chunked encoding, or transfer codings that not every
/// party supports.
bool message_reader::hasUnambiguousFraming() const {
  if (Head.count("content-length") > 1)
    return false;
  const auto Coding = Head.find("transfer-encoding");
  if (Coding) {
    // Chunks need HTTP/1.1 (RFC 9112, 6.1).
    if (Parser.http_minor == 0 || Head.count("transfer-encoding") > 1 ||
        Head.find("content-length").has_value() ||
        !equalsIgnoringCase(*Coding, "chunked"))
      return false;
  }
  // http-parser takes an empty value for no length.
  const auto Length = Head.find("content-length");
  return !Length || parseNumber<std::uint64_t>(*Length).has_value();
}

std::size_t message_reader::headMemory() const {
  return Head.Text.capacity() + Head.Target.capacity() +
         Head.Spans.capacity() * sizeof(message_head::span);
}

void message_reader::finishHead() {
  Head.Method = Parser.method;
  Head.Status = static_cast<int>(Parser.status_code);
  IsKeepAlive = http_should_keep_alive(&Parser) != 0;
  if (!hasUnambiguousFraming()) {
    State = read_state::Malformed;
    return;
  }
  State = read_state::InBody;
  if (Head.find("transfer-encoding").has_value())
    Chunks.emplace();
  if (Head.find("content-length").has_value())
    ContentLength = Parser.content_length;
  const bool NeverHasBody =
      Head.Status / 100 == 1 || Head.Status == 204 || Head.Status == 304;
  BodyEndsAtClose = Kind == message_kind::Response && !WithoutBody &&
                    !NeverHasBody && !ContentLength &&
                    !Head.find("transfer-encoding").has_value();
}

/// Makes room for \p Bytes more of the body. What doubles as it grows takes up
/// to twice the memory of a body whose length is known.
void message_reader::reserveBody(std::size_t Bytes) {
  const std::size_t Needed = Body.size() + Bytes;
  if (Needed > Body.capacity() && ContentLength && Needed <= *ContentLength)
    Body.reserve(std::min(static_cast<std::size_t>(*ContentLength),
                          std::max(Needed, 2 * Body.capacity())));
}

std::size_t message_reader::feed(std::string_view Bytes) {
  if (Bytes.empty() || State == read_state::Complete ||
      State == read_state::Malformed || State == read_state::HeadTooLarge)
    return 0;
  HasStarted = true;
  const std::size_t HeadBytes =
      State == read_state::InHead ? feedHead(Bytes) : 0;
  if (State != read_state::InBody || HeadBytes == Bytes.size())
    return HeadBytes;
  return HeadBytes + feedBody(Bytes.substr(HeadBytes));
}

std::size_t message_reader::feedHead(std::string_view Bytes) {
  const auto Size = readLines(Lines, Bytes);
  if (!Size) {
    State = read_state::Malformed;
    return 0;
  }
  const std::size_t Consumed = parse(Bytes.substr(0, *Size));
  HeadBytes += Consumed;
  if (HeadBytes > MaxHeadBytes)
    State = read_state::HeadTooLarge;
  else if (Lines.IsComplete && State == read_state::InHead)
    State = read_state::Malformed;
  return Consumed;
}

std::size_t message_reader::feedBody(std::string_view Bytes) {
  if (Chunks && !readChunks(*Chunks, Bytes)) {
    State = read_state::Malformed;
    return 0;
  }
  return parse(Bytes);
}

std::size_t message_reader::parse(std::string_view Bytes) {
  static const http_parser_settings Settings = callbacks::makeSettings();
  const std::size_t Consumed =
      http_parser_execute(&Parser, &Settings, Bytes.data(), Bytes.size());
  const auto Error = static_cast<http_errno>(Parser.http_errno);
  if (Error == HPE_HEADER_OVERFLOW)
    State = read_state::HeadTooLarge;
  else if (Error != HPE_OK && Error != HPE_PAUSED)
    State = read_state::Malformed;
  return Consumed;
}

void message_reader::finishAtClose() {
  static const http_parser_settings Settings = callbacks::makeSettings();
  if (State == read_state::InBody && BodyEndsAtClose)
    http_parser_execute(&Parser, &Settings, nullptr, 0);
}

bool isHopByHop(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> Names = {
      "connection",
      "keep-alive",
      "proxy-connection",
      "te",
      "trailer",
      "upgrade",
      "transfer-encoding",
      "proxy-authenticate",
      "proxy-authorization"};
  return std::any_of(Names.begin(), Names.end(), [&](std::string_view Other) {
    return Name.size() == Other.size() && equalsIgnoringCase(Name, Other);
  });
}

connection_options::connection_options(const message_head &Head) {
  for (std::size_t Index = 0; Index < Head.fieldCount(); ++Index) {
    const auto Field = Head.fieldAt(Index);
    if (!equalsIgnoringCase(Field.Name, "connection"))
      continue;
    for (std::string_view Token : split(Field.Value, ','))
      Names.insert(toLower(strip(Token)));
  }
}

bool connection_options::contains(std::string_view Name) const {
  return !Names.empty() && Names.contains(toLower(Name));
}

std::optional<double> retryAfterSeconds(const message_head &Head) {
  const auto Field = Head.find("retry-after");
  const auto Seconds = Field ? parseNumber<double>(*Field) : std::nullopt;
  // parseNumber() also accepts "nan" and "inf".
  if (!Seconds || !std::isfinite(*Seconds) || *Seconds < 0)
    return std::nullopt;
  return Seconds;
}

std::string_view reasonPhrase(int Status) {
  const std::string_view Phrase =
      http_status_str(static_cast<http_status>(Status));
  return Phrase == UnknownPhrase ? std::string_view() : Phrase;
}

void appendField(std::string &Text, std::string_view Name,
                 std::string_view Value) {
  append(Text, Name, ": ", Value, "\r\n");
}

void appendChunk(std::string &Text, std::string_view Piece) {
  if (Piece.empty())
    return;
  appendHex(Text, Piece.size());
  append(Text, "\r\n", Piece, "\r\n");
}

void appendLastChunk(std::string &Text) { Text.append("0\r\n\r\n"); }

} // namespace amaranthhoist
