// Mutated HTTP messages: a message that is split anywhere is read as the whole.

#include "Fuzz/mutation.h"
#include "HttpMessage/http_message.h"
#include "Text/text.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <vector>

using namespace amaranthhoist;

namespace {

constexpr std::size_t MaxHeadBytes = 400;

const std::array<std::string, 4> Requests = {
    "GET /safe/x?a=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\n\r\n",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world",
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;ext=1\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
    "GET / HTTP/1.0\r\nConnection: keep-alive\r\nHost: h\r\n\r\n"};
const std::array<std::string, 4> Responses = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Response-Stamp: s\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "a\r\n0123456789\r\n0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n\r\nno length",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"};
constexpr std::array<std::string_view, 12> Words = {
    "\r\n",
    "\n",
    "\r\n\r\n",
    "Content-Length: 18446744073709551616\r\n",
    " ",
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "\t folded",
    "Transfer-Encoding: chunked\r\n",
    "ffffffffffffffff\r\n",
    "Connection: close\r\n",
    "HTTP/1.1",
    ":"};

struct outcome {
  read_state State = read_state::InHead;
  std::size_t Consumed = 0;
  std::string Fields;
  std::string Body;
  bool operator==(const outcome &) const = default;
};

/// Reads \p Text in pieces that end at \p Ends.
outcome readPieces(message_kind Kind, std::string_view Text,
                   const std::vector<std::size_t> &Ends) {
  message_reader Reader(Kind, MaxHeadBytes);
  outcome Outcome;
  for (const std::size_t End : Ends) {
    if (Outcome.Consumed >= End)
      continue;
    Outcome.Consumed +=
        Reader.feed(Text.substr(Outcome.Consumed, End - Outcome.Consumed));
    const read_state State = Reader.state();
    if (State != read_state::InHead && State != read_state::InBody)
      break;
  }
  Outcome.State = Reader.state();
  if (Outcome.State == read_state::Malformed ||
      Outcome.State == read_state::HeadTooLarge) {
    // Where a fault is noticed may depend on the pieces.
    Outcome.Consumed = 0;
    return Outcome;
  }
  Outcome.Body = Reader.body();
  if (Outcome.State != read_state::InHead)
    for (std::size_t Index = 0; Index < Reader.head().fieldCount(); ++Index)
      append(Outcome.Fields, Reader.head().fieldAt(Index).Name, "=",
             Reader.head().fieldAt(Index).Value, ";");
  return Outcome;
}

void checkSplits(message_kind Kind, std::span<const std::string> Samples) {
  mutator Mutator(Kind == message_kind::Request ? 1 : 2);
  for (int Round = 0; Round < fuzzRounds(); ++Round) {
    const std::string Text = Mutator.mutate(Samples, Words);
    const outcome Whole = readPieces(Kind, Text, {Text.size()});
    const std::size_t First = Mutator.below(Text.size() + 1);
    const std::size_t Second = First + Mutator.below(Text.size() - First + 1);
    const outcome Split = readPieces(Kind, Text, {First, Second, Text.size()});
    CHECK_TEXT(Whole == Split, Text.c_str());
    CHECK(Whole.Body.size() <= Text.size());
  }
}

} // namespace

// clang-format off
TEST_GROUP(HttpFuzz) {};
// clang-format on

TEST(HttpFuzz, RequestsAreReadAlikeInPieces) {
  checkSplits(message_kind::Request, Requests);
}

TEST(HttpFuzz, ResponsesAreReadAlikeInPieces) {
  checkSplits(message_kind::Response, Responses);
}
