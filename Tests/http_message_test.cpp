// Tests that the message reader rejects ambiguous framing, and that no input
// makes it consume more bytes than it was given.

#include "HttpMessage/http_message.h"

#include <CppUTest/TestHarness.h>
#include <random>
#include <string>
#include <vector>

using namespace amaranthhoist;

namespace {

constexpr std::size_t HeadLimit = 4'096;

read_state readMessage(message_kind Kind, std::string_view Text,
                       std::size_t PieceSize) {
  message_reader Reader(Kind, HeadLimit);
  while (!Text.empty()) {
    const std::string_view Piece = Text.substr(0, PieceSize);
    const std::size_t Consumed = Reader.feed(Piece);
    if (Consumed < Piece.size())
      break;
    Text.remove_prefix(Consumed);
  }
  return Reader.state();
}

read_state readRequest(std::string_view Text, std::size_t PieceSize = 1'000) {
  return readMessage(message_kind::Request, Text, PieceSize);
}

void checkResponse(const std::string &Text, read_state Wanted) {
  for (std::size_t Size : {1U, 7U, 1'000U})
    CHECK_TEXT(readMessage(message_kind::Response, Text, Size) == Wanted,
               Text.c_str());
}

/// Field lines of which no party may make sense, without their line end.
std::vector<std::string> invalidFields() {
  std::vector<std::string> Fields = {": x", "no colon", "X", "X :y", "X\t: y"};
  for (int Byte = 0; Byte < 256; ++Byte) {
    const char Character = static_cast<char>(Byte);
    const bool IsControl = Byte < 0x20 || Byte == 0x7f;
    const bool IsSeparator =
        std::string_view(" \"(),/;<=>?@[\\]{}").find(Character) !=
        std::string_view::npos;
    if (IsControl || IsSeparator || Byte >= 0x80)
      Fields.push_back(std::string("X") + Character + "Y: v");
    if (IsControl && Character != '\t')
      Fields.push_back(std::string("X: a") + Character + "b");
  }
  return Fields;
}

} // namespace

// clang-format off
TEST_GROUP(HttpMessage) {};
// clang-format on

TEST(HttpMessage, ReadsRequestInPiecesOfAnySize) {
  const std::string Text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Key:  v \r\n"
                           "Content-Length: 5\r\n\r\nhello";
  for (std::size_t Size = 1; Size <= Text.size(); ++Size) {
    message_reader Reader(message_kind::Request, HeadLimit);
    for (std::size_t At = 0; At < Text.size(); At += Size)
      Reader.feed(std::string_view(Text).substr(At, Size));
    CHECK(Reader.state() == read_state::Complete);
    CHECK(Reader.head().target() == "/a/b?c=d");
    CHECK(Reader.head().find("x-key").value() == "v");
    CHECK(Reader.body() == "hello");
  }
}

// Guards against request smuggling: two parties parse ambiguous framing
// differently and disagree on where a message ends, so that its remainder runs
// as a request that no client sent.
TEST(HttpMessage, RejectsAmbiguousFraming) {
  for (
      const char *Text :
      {"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
       "Content-Length: 2\r\n\r\nab",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n",
       "GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n folded\r\n\r\n",
       "GET / HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\nhello",
       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "zz\r\n"}) {
    for (std::size_t Size : {1U, 7U, 1'000U})
      CHECK(readRequest(Text, Size) == read_state::Malformed);
  }
}

// Failure: any byte after a carriage return ends a head, and any two bytes end
// a chunk, so that two parties disagree on where a message ends.
TEST(HttpMessage, RejectsIncompleteLineEnds) {
  const std::string Head = "GET / HTTP/1.1\r\nHost: h\r\n";
  const std::string Chunked =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Text :
       {Head + "\rX: y\r\n\r\n", Head + "X: a\rb\r\n\r\n",
        "\r\n\r\n" + Head + "X: y\n\r\n", Chunked + "5\rXhello\r\n0\r\n\r\n",
        Chunked + "5\r\nhello!!0\r\n\r\n", Chunked + "5\r\nhello\r!0\r\n\r\n",
        Chunked + "5;a\nhello\r\n0\r\n\r\n", Chunked + "5\nhello\r\n0\r\n\r\n",
        Chunked + "0\r\nA: b\n\r\n", Chunked + "0\r\nA: b\r\n\rX",
        Chunked + "0\r\nA: b\r\n folded\r\n\r\n", Chunked + ";a\r\n",
        Chunked + "10000000000000000\r\n"})
    for (std::size_t Size : {1U, 7U, 1'000U})
      CHECK_TEXT(readRequest(Text, Size) == read_state::Malformed,
                 Text.c_str());
}

TEST(HttpMessage, ReadsChunksWithExtensionsAndTrailers) {
  for (std::size_t Size : {1U, 7U, 1'000U})
    CHECK(readRequest("\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "a;x=\"y\"\r\n01\r\n45\n789\r\n1 \r\nz\r\n0;e\r\nA: b\r\n"
                      "C: d\r\n\r\n",
                      Size) == read_state::Complete);
}

// Failure: a response with a status that is none, or of a version that isn't
// spoken, passes for a valid one.
TEST(HttpMessage, RejectsInvalidStatusLines) {
  for (const char *Line : {"HTTP/1.1 000 No",     "HTTP/1.1 001 No",
                           "HTTP/1.1 042 No",     "HTTP/1.1 099 No",
                           "HTTP/1.1 600 No",     "HTTP/1.1 999 No",
                           "HTTP/1.1 20 OK",      "HTTP/1.1 2 0",
                           "HTTP/1.1 2000 OK",    "HTTP/1.1  200",
                           "HTTP/1.1 -20 OK",     "HTTP/1.1 2x0 OK",
                           "HTTP/1.1 ",           "HTTP/1.1",
                           "HTTP/2.0 200 OK",     "HTTP/0.9 200 OK",
                           "HTTP/1 200 OK",       "HTTP/1.10 200 OK",
                           "HTTP/11.1 200 OK",    "http/1.1 200 OK",
                           "HTTP/1.1\t200 OK",    "HTTP/1.1 200\tOK",
                           "HTTP/1.1 200 a\x01z", " HTTP/1.1 200 OK",
                           "ICY 200 OK",          "200 OK"})
    checkResponse(std::string(Line) + "\r\nContent-Length: 0\r\n\r\n",
                  read_state::Malformed);
}

TEST(HttpMessage, AcceptsAllStatusCodes) {
  for (int Status = 200; Status < 600; ++Status)
    for (const char *Reason : {"", " ", " Any Reason", " caf\xc3\xa9"})
      checkResponse("HTTP/1.1 " + std::to_string(Status) + Reason +
                        "\r\nContent-Length: 0\r\n\r\n",
                    read_state::Complete);
  checkResponse("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
                read_state::Complete);
}

// Failure: a field whose name holds a blank or a control byte, or whose value
// holds a control byte, is passed on, or hides the length of the body.
TEST(HttpMessage, RejectsInvalidFields) {
  for (const std::string &Field : invalidFields()) {
    checkResponse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + Field +
                      "\r\n\r\n",
                  read_state::Malformed);
    for (std::size_t Size : {1U, 7U, 1'000U})
      CHECK(readRequest("GET / HTTP/1.1\r\nHost: h\r\n" + Field + "\r\n\r\n",
                        Size) == read_state::Malformed);
  }
}

// Failure: a length that is no number passes for one, or for none.
TEST(HttpMessage, RejectsInvalidLengths) {
  for (const char *Length : {"", "+1", "-1", "1 1", "1,1", "0x1", "1.0", "a",
                             "18446744073709551616"})
    checkResponse(std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + Length +
                      "\r\n\r\na",
                  read_state::Malformed);
  checkResponse("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
                read_state::Malformed);
}

// Failure: a request line of another version, or with other blanks, passes.
TEST(HttpMessage, RejectsInvalidRequestLines) {
  for (const char *Line :
       {"GET / HTTP/2.0", "GET / HTTP/0.9", "GET / HTTP/1", "GET /",
        "GET  / HTTP/1.1", "GET /  HTTP/1.1", "GET / HTTP/1.1 ",
        "GET\t/ HTTP/1.1", "GET /a b HTTP/1.1", "GET /\x01 HTTP/1.1",
        " GET / HTTP/1.1", "GE T / HTTP/1.1", "GET / http/1.1"})
    for (std::size_t Size : {1U, 7U, 1'000U})
      CHECK_TEXT(readRequest(std::string(Line) + "\r\nHost: h\r\n\r\n", Size) ==
                     read_state::Malformed,
                 Line);
}

TEST(HttpMessage, StatusesWithoutAStandardReasonHaveNone) {
  CHECK(reasonPhrase(200) == "OK");
  CHECK(reasonPhrase(299).empty());
}

TEST(HttpMessage, IgnoresLineEndingsInBody) {
  CHECK(readRequest("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
                    "a\n b") == read_state::Complete);
}

TEST(HttpMessage, ReportsOversizedHead) {
  const std::string Text =
      "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2 * HeadLimit, 'x') +
      "\r\n\r\n";
  CHECK(readRequest(Text) == read_state::HeadTooLarge);
}

TEST(HttpMessage, StopsBeforeTheNextMessage) {
  message_reader Reader(message_kind::Request, HeadLimit);
  const std::string One = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  CHECK(Reader.feed(One + "GET /2 HTTP/1.1\r\n") == One.size());
  CHECK(Reader.state() == read_state::Complete);
}

// Guards against passing on a truncated response as complete. A response
// without a length ends with its connection, and only the way in which the
// connection is closed shows whether the response is complete.
TEST(HttpMessage, ResponseWithoutLengthEndsAtConnectionClose) {
  message_reader Reader(message_kind::Response, HeadLimit);
  Reader.feed("HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(Reader.state() == read_state::InBody);
  CHECK(Reader.bodyEndsAtClose());
  Reader.finishAtClose();
  CHECK(Reader.state() == read_state::Complete);
  message_reader WithLength(message_kind::Response, HeadLimit);
  WithLength.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  WithLength.finishAtClose();
  CHECK(WithLength.state() == read_state::InBody);
}

TEST(HttpMessage, ResponseToHeadRequestHasNoBody) {
  message_reader Reader(message_kind::Response, HeadLimit);
  Reader.reset(/*WithoutBody=*/true);
  Reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  CHECK(Reader.state() == read_state::Complete);
}

TEST(HttpMessage, NeverConsumesMoreThanItsInput) {
  std::mt19937_64 Random(7);
  const std::string Valid = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                            "chunked\r\nX-A: b\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Text = Valid;
    for (int Change = 0; Change < 4; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    message_reader Reader(Random() % 2 == 0 ? message_kind::Request
                                            : message_kind::Response,
                          HeadLimit);
    const std::size_t Cut = Random() % Text.size();
    CHECK(Reader.feed(std::string_view(Text).substr(0, Cut)) <= Cut);
    CHECK(Reader.feed(std::string_view(Text).substr(Cut)) <= Text.size() - Cut);
    CHECK(Reader.body().size() <= Text.size());
  }
}

// Guards against accepting a Retry-After value that is not a number of seconds.
TEST(HttpMessage, ParsesRetryAfterSecondsOnly) {
  const auto Read = [](const std::string &Value) {
    message_reader Reader(message_kind::Response, HeadLimit);
    Reader.feed("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + Value +
                "\r\nContent-Length: 0\r\n\r\n");
    return retryAfterSeconds(Reader.head());
  };
  DOUBLES_EQUAL(3, Read("3").value(), 0);
  DOUBLES_EQUAL(0.25, Read("0.25").value(), 0);
  for (const char *Text : {"-1", "nan", "inf", "", "3 s", "1e999",
                           "Thu, 03 Dec 2026 10:00:00 GMT"})
    CHECK_FALSE(Read(Text).has_value());
}
