// Tests how the statement of an instance that forwards a request is told apart
// from the caller's fields.

#include "ForwardedRequest/forwarded_request.h"
#include "Text/text.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

static constexpr std::string_view TimeLeft = "X-Time-Left";

static forwarding_fields decode(std::string_view Fields) {
  message_reader Reader(message_kind::Request, 65'536);
  Reader.feed(cat("GET / HTTP/1.1\r\n", Fields, "\r\n"));
  CHECK(Reader.state() == read_state::Complete);
  return decodeForwardingFields(Reader.head(), TimeLeft);
}

// clang-format off
TEST_GROUP(ForwardedRequest) {};
// clang-format on

TEST(ForwardedRequest, StatementSurvivesARoundTrip) {
  const auto Fields = decode(cat(
      encodeForwardingFields({"one", 2, 77}, TimeLeft, 1'500), "Host: h\r\n"));
  STRCMP_EQUAL("one", Fields.Request.Account.c_str());
  LONGS_EQUAL(2, Fields.Request.AttemptsLeft);
  LONGS_EQUAL(77, Fields.Request.Version);
  CHECK(Fields.contains(0) && Fields.contains(3) && !Fields.contains(4));
}

// Failure: fields of a caller are taken for the forwarding instance's.
TEST(ForwardedRequest, CallersFieldsAreNoStatement) {
  const std::string Forged = "Host: h\r\nForwarded-Attempts-Left: 9\r\n"
                             "Forwarded-Version: 9\r\n"
                             "forwarded-account: other\r\n";
  const std::string Statement =
      encodeForwardingFields({"", 2, 77}, TimeLeft, 1'500);
  const auto Fields = decode(cat(Statement, Forged));
  STRCMP_EQUAL("", Fields.Request.Account.c_str());
  LONGS_EQUAL(2, Fields.Request.AttemptsLeft);
  LONGS_EQUAL(77, Fields.Request.Version);
  CHECK(!Fields.contains(7));
}

// Failure: the same where an instance of an earlier build forwards the request
// and writes its statement behind the caller's fields, without an account.
TEST(ForwardedRequest, EarlierBuildsStatementIsTheLastOne) {
  const std::string Forged = "Forwarded-Account: other\r\nHost: h\r\n"
                             "Forwarded-Attempts-Left: 9\r\n";
  const std::string Statement = "X-Time-Left: 1500\r\n"
                                "Forwarded-Attempts-Left: 2\r\n"
                                "Forwarded-Version: 77\r\n";
  const auto Public = decode(cat(Forged, Statement, "Content-Length: 0\r\n"));
  STRCMP_EQUAL("", Public.Request.Account.c_str());
  LONGS_EQUAL(2, Public.Request.AttemptsLeft);
  CHECK(!Public.contains(0) && !Public.contains(2) && Public.contains(3));
  const auto Named = decode(cat(Forged, Statement, "Forwarded-Account: one\r\n",
                                "Content-Length: 0\r\n"));
  STRCMP_EQUAL("one", Named.Request.Account.c_str());
}

// Failure: an instance of an earlier build, which takes the first field of a
// name, takes the caller's.
TEST(ForwardedRequest, StatementPrecedesAllOtherFields) {
  message_reader Reader(message_kind::Request, 65'536);
  Reader.feed(cat("GET / HTTP/1.1\r\n",
                  encodeForwardingFields({"", 2, 77}, TimeLeft, 1),
                  "Forwarded-Account: other\r\nForwarded-Version: 9\r\n\r\n"));
  STRCMP_EQUAL("",
               std::string(*Reader.head().find("Forwarded-Account")).c_str());
  STRCMP_EQUAL("77",
               std::string(*Reader.head().find("Forwarded-Version")).c_str());
}

TEST(ForwardedRequest, MalformedStatementsPermitOneAttemptForNoAccount) {
  for (const char *Text : {"Host: h\r\n", "X-Time-Left: 5\r\n",
                           "X-Time-Left: 5\r\nForwarded-Attempts-Left: many\r\n"
                           "Forwarded-Version: \r\nForwarded-Account:\r\n"}) {
    const auto Fields = decode(Text);
    STRCMP_EQUAL("", Fields.Request.Account.c_str());
    LONGS_EQUAL(1, Fields.Request.AttemptsLeft);
    LONGS_EQUAL(0, Fields.Request.Version);
  }
}
