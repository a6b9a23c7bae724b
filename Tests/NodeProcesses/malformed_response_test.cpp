// Tests backend servers whose responses have a malformed head.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

/// A head is malformed by its status line, or by a field.
struct malformed_head {
  const char *StatusLine;
  const char *Fields;
};

constexpr malformed_head MalformedHeads[] = {
    {"HTTP/1.1 000 Zero", ""},
    {"HTTP/1.1 001 One", ""},
    {"HTTP/1.1 099 Low", ""},
    {"HTTP/1.1 600 High", ""},
    {"HTTP/1.1 999 High", ""},
    {"HTTP/1.1 20 Short", ""},
    {"HTTP/1.1 2 0", ""},
    {"HTTP/2.0 200 OK", ""},
    {"HTTP/0.9 200 OK", ""},
    {"HTTP/1.1 200 OK", "X Y: v\r\n"},
    {"HTTP/1.1 200 OK", "X\t: v\r\n"},
    {"HTTP/1.1 200 OK", "X\001Y: v\r\n"},
    {"HTTP/1.1 200 OK", "X: a\001b\r\n"}};

void apply(small_fleet &Fleet, const std::string &Server,
           const malformed_head &Head) {
  Fleet.Targets[Server]->StatusLine = Head.StatusLine;
  Fleet.Targets[Server]->Fields = Head.Fields;
}

} // namespace

// clang-format off
TEST_GROUP(MalformedResponse) {};
// clang-format on

// Failure: a caller gets a response with a status that is none, or with a
// malformed field.
TEST(MalformedResponse, IsNotPassedOn) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  int Request = 0;
  for (const malformed_head &Head : MalformedHeads) {
    apply(Fleet, "s1", Head);
    apply(Fleet, "s2", Head);
    const std::string Id = cat("id-", ++Request);
    const auto Response = Fleet.fetch(*Fleet.Node, "/once/x", Id, "POST");
    LONGS_EQUAL_TEXT(502, Response.Status, Head.StatusLine);
    CHECK(!Response.HasSignature);
    LONGS_EQUAL(1, runsOf(Fleet, Id));
  }
}

// Failure: the same where the request may be repeated: it isn't sent to the
// other server.
TEST(MalformedResponse, IdempotentRequestsAreServedByAnotherServer) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  int Request = 0;
  for (const malformed_head &Head : MalformedHeads) {
    apply(Fleet, "s1", Head);
    LONGS_EQUAL_TEXT(
        200, Fleet.fetch(*Fleet.Node, "/safe/x", cat("id-", ++Request)).Status,
        Head.StatusLine);
  }
}
