// Tests the HTTP server and client over loopback.

#include "Http/http.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

static const char *Address = "127.0.0.1:19871";

// clang-format off
TEST_GROUP(Http) {};
// clang-format on

// Guards against a backend server that receives another path or fewer arguments
// than the caller sent. The failure occurs when the target is decoded, its
// arguments are sorted into a map, and the target is assembled again: decoding
// discards the difference between distinct targets.
TEST(Http, PreservesTheRequestTarget) {
  auto Server = http_server::createWhole(
      Address, [](const http_head &Head, const std::string &Body) {
        http_response Response;
        Response.Body = Head.Target + " " + Body;
        return Response;
      });
  CHECK(Server.has_value());
  http_client Client;
  http_call Call;
  Call.Method = "POST";
  Call.Body = "body";
  const std::string Target = "/a%2Fb%0d%0aX:y/c?b=1&a=2&a=3+4%26";
  Call.Url = std::string("http://") + Address + Target;
  const http_call_result Result = Client.call(Call);
  STRCMP_EQUAL((Target + " body").c_str(), Result.Body.c_str());
}

// Guards against a partial export that is mistaken for a complete one. The
// source fails after some bytes. The caller must observe an interrupted call,
// never a complete one.
TEST(Http, ReportsATruncatedBodyAsIncomplete) {
  for (const std::int64_t Length : {std::int64_t(1'000), std::int64_t(-1)}) {
    auto Server = http_server::createWhole(
        Address, [Length](const http_head &, const std::string &) {
          http_response Response;
          Response.Length = Length;
          auto Given = std::make_shared<bool>(false);
          Response.Reader = [Given](std::span<char> Buffer) -> std::int64_t {
            if (std::exchange(*Given, true))
              return BodyBroken;
            Buffer[0] = 'x';
            return 1;
          };
          return Response;
        });
    CHECK(Server.has_value());
    http_client Client;
    http_call Call;
    Call.Url = std::string("http://") + Address + "/";
    CHECK(Client.call(Call).End == call_end::Broken);
  }
}

TEST(Http, DistinguishesRefusedFromInterruptedConnections) {
  http_client Client;
  http_call Call;
  Call.Url = std::string("http://") + Address + "/";
  CHECK(Client.call(Call).End == call_end::NotConnected);
}

TEST(Http, PipePropagatesEndAndInterruption) {
  for (const bool Whole : {true, false}) {
    byte_pipe Pipe(8);
    CHECK(Pipe.push("abc"));
    Pipe.finish(Whole);
    char Buffer[8];
    LONGS_EQUAL(3, Pipe.pop(Buffer));
    LONGS_EQUAL(Whole ? BodyEnd : BodyBroken, Pipe.pop(Buffer));
  }
}
