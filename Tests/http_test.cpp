// Tests the HTTP server and client over loopback.

#include "EventLoop/socket.h"
#include "Http/http.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <sys/poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace amaranthhoist;

static const char *Address = "127.0.0.1:19871";

/// Answers one request with \p Response, whatever it is, and closes.
static void answerOnce(int Listener, std::string_view Response) {
  pollfd Waiting{Listener, POLLIN, 0};
  poll(&Waiting, 1, /*timeout=*/10'000);
  const int Connection = accept(Listener, nullptr, nullptr);
  std::array<char, 4'096> Request{};
  recv(Connection, Request.data(), Request.size(), 0);
  send(Connection, Response.data(), Response.size(), MSG_NOSIGNAL);
  close(Connection);
}

static http_call_result callServerThatSends(std::string_view Response) {
  const int Listener = listenOn(*parseEndpoint(Address)).value();
  std::thread Server([&] { answerOnce(Listener, Response); });
  http_client Client;
  http_call Call;
  Call.Url = std::string("http://") + Address + "/";
  Call.FreshConnection = true;
  http_call_result Result = Client.call(Call);
  Server.join();
  close(Listener);
  return Result;
}

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

// Failure: a response with a status that is none, or with a malformed field,
// passes for a complete one, since libcurl accepts it.
TEST(Http, ReportsAMalformedHeadAsBroken) {
  for (const char *Head :
       {"HTTP/1.1 000 Zero\r\n", "HTTP/1.1 099 Low\r\n",
        "HTTP/1.1 600 High\r\n", "HTTP/1.1 999 High\r\n",
        "HTTP/1.1 200 OK\r\nX Y: v\r\n", "HTTP/1.1 200 OK\r\nX\x01Y: v\r\n",
        "HTTP/1.1 200 OK\r\nX : v\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 042 Odd\r\n"}) {
    const auto Result =
        callServerThatSends(std::string(Head) + "Content-Length: 2\r\n\r\nok");
    CHECK_TEXT(Result.End == call_end::Broken, Head);
  }
}

TEST(Http, AcceptsInterimResponsesAndTrailers) {
  const auto Result = callServerThatSends(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 299 \r\nX-A: b\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT: t\r\n\r\n");
  CHECK(Result.End == call_end::Complete);
  LONGS_EQUAL(299, Result.Status);
  STRCMP_EQUAL("ok", Result.Body.c_str());
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
