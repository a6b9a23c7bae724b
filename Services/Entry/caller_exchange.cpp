#include "caller_exchange.h"

#include "Logging/logging.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace amaranthhoist {

/// Bodies up to this size, in bytes, are buffered before forwarding, so that
/// they can be resent on a retry.
static constexpr std::size_t MaxInlineBody = 65'536;
/// Bytes of a longer body that are buffered between caller and gateway.
static constexpr std::size_t UploadLimit = 262'144;
static constexpr std::size_t MaxNameLength = 128;
static constexpr std::int64_t MaxDeadlineMs = 86'400'000;
static constexpr auto DisconnectCheckPeriod = std::chrono::milliseconds(50);
static constexpr std::string_view RunPrefix = "/v1/run/";

static std::string makeRequestId() {
  thread_local std::mt19937_64 Random{std::random_device()()};
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Id(16, '0');
  std::uint64_t Bits = Random();
  for (char &Character : Id) {
    Character = Digits[Bits & 15];
    Bits >>= 4;
  }
  return Id;
}

caller_exchange::caller_exchange(entry_daemon &Daemon, http_head Head)
    : Daemon(Daemon), Head(std::move(Head)), Arrived(currentInstant()) {}

caller_exchange::~caller_exchange() {
  if (!Request)
    return;
  // The caller disconnected during its upload. The gateway must not treat the
  // partial body as complete.
  if (Request->Upload)
    Request->Upload->finish(false);
  if (Submitted && !Ended)
    Daemon.onCallerDisconnected(Request);
  Daemon.releaseBody(Request->Response);
}

std::unique_ptr<http_response>
caller_exchange::makeRejection(int Status, const std::string &Reason) const {
  auto Response = std::make_unique<http_response>();
  Response->Status = Status;
  Response->Headers["Content-Type"] = "application/json";
  Response->Headers["X-Amaranthhoist-Outcome"] = "refused";
  Response->Body = nlohmann::json{{"error", Reason}}.dump() + "\n";
  return Response;
}

std::unique_ptr<http_response> caller_exchange::begin() {
  if (Head.Target.starts_with(RunPrefix))
    return beginRun();
  if (Head.Method != "GET")
    return makeRejection(405, "only GET is served here");
  auto Response = std::make_unique<http_response>();
  if (Head.Path == "/v1/entries")
    return lookUp();
  if (Head.Path == "/metrics") {
    Response->Headers["Content-Type"] = "text/plain; version=0.0.4";
    Response->Body = Daemon.metrics().expose();
    return Response;
  }
  if (Head.Path == "/v1/explain") {
    Response->Headers["Content-Type"] = "application/json";
    Response->Body =
        Daemon.explain(Head.Query["customer"], Head.Query["service"]) + "\n";
    return Response;
  }
  if (Head.Path == "/healthz") {
    Response->Status = Daemon.isReady() ? 200 : 503;
    Response->Body = Daemon.isReady() ? "ready\n" : "waiting for state\n";
    return Response;
  }
  return makeRejection(404, "no such path; see docs/CALLERS.md");
}

std::unique_ptr<http_response> caller_exchange::lookUp() {
  const std::string Customer = Head.Query["customer"];
  const std::string Service = Head.Query["service"];
  if (Customer.empty() || Service.empty())
    return makeRejection(400, "customer and service are required");
  if (!Daemon.isReady())
    return makeRejection(503, "this entry has no state yet; ask another one");
  const lookup_response LookupResponse =
      Daemon.lookUp(Customer, Service, Head.Query["client"]);
  nlohmann::ordered_json Document = {{"ttl_ms", LookupResponse.TtlMs},
                                     {"home", LookupResponse.Home},
                                     {"entries", nlohmann::json::array()}};
  for (const named_entry &Entry : LookupResponse.Entries)
    Document["entries"].push_back(
        {{"address", Entry.Address}, {"region", Entry.Region}});
  auto Response = std::make_unique<http_response>();
  Response->Headers["Content-Type"] = "application/json";
  Response->Body = Document.dump() + "\n";
  return Response;
}

/// Parses the deadline header. Leaves \p Ms at its default when the header is
/// absent.
static bool readDeadline(const http_headers &Headers, std::int64_t &Ms) {
  const std::string Text = headerOr(Headers, "x-deadline-ms");
  if (Text.empty())
    return true;
  return absl::SimpleAtoi(Text, &Ms) && Ms >= 1 && Ms <= MaxDeadlineMs;
}

static work_class readWorkClass(const http_head &Head) {
  if (Head.Method == "GET" || Head.Method == "HEAD")
    return work_class::Idempotent;
  return headerOr(Head.Headers, "x-idempotent") == "true"
             ? work_class::Idempotent
             : work_class::NonIdempotent;
}

/// Returns the path and query for the backend server: the part of \p Target
/// after the service name, exactly as the caller sent it.
static std::string backendPath(const std::string &Target, std::size_t Begin) {
  const std::string Rest = Target.substr(Begin);
  return Rest.starts_with("/") ? Rest : "/" + Rest;
}

std::unique_ptr<http_response> caller_exchange::beginRun() {
  if (!Daemon.isReady())
    return makeRejection(503, "this entry has no state yet; ask another one");
  const std::size_t ServiceEnd = std::min(
      Head.Target.find_first_of("/?", RunPrefix.size()), Head.Target.size());
  Request = std::make_shared<entry_request>();
  caller_request &Work = Request->Request;
  Work.Token = Daemon.newToken();
  Work.RequestId = makeRequestId();
  Work.Service =
      Head.Target.substr(RunPrefix.size(), ServiceEnd - RunPrefix.size());
  Work.Customer = headerOr(Head.Headers, "x-customer");
  Work.Key = headerOr(Head.Headers, "idempotency-key");
  Work.Class = readWorkClass(Head);
  Request->Method = Head.Method;
  Request->ContentType = headerOr(Head.Headers, "content-type");
  Request->Path = backendPath(Head.Target, ServiceEnd);
  if (Work.Service.empty() || Work.Service.size() > MaxNameLength)
    return makeRejection(400, "the path must be /v1/run/SERVICE/...");
  if (Work.Customer.empty() || Work.Customer.size() > MaxNameLength)
    return makeRejection(400, "X-Customer is required, 128 bytes at most");
  std::int64_t DeadlineMs = Daemon.settings().Entry.DefaultDeadlineMs;
  if (!readDeadline(Head.Headers, DeadlineMs))
    return makeRejection(400, "X-Deadline-Ms must be from 1 to 86400000");
  Work.Deadline = Arrived + std::chrono::milliseconds(DeadlineMs);
  if (Work.Class == work_class::NonIdempotent)
    if (const auto Key = parseKey(Work.Key); !Key)
      return makeRejection(400, Key.error().Message);
  std::int64_t Length = 0;
  const std::string LengthText = headerOr(Head.Headers, "content-length");
  if (absl::SimpleAtoi(LengthText, &Length) &&
      Length > Daemon.settings().Entry.MaxBodyBytes)
    return makeRejection(413, "the body is too large");
  return nullptr;
}

std::unique_ptr<http_response> caller_exchange::body(std::string_view Piece) {
  if (!Request)
    return makeRejection(400, "no body is taken here");
  Received += static_cast<std::int64_t>(Piece.size());
  if (Received > Daemon.settings().Entry.MaxBodyBytes)
    return makeRejection(413, "the body is too large");
  if (!Request->Upload &&
      Request->Body.size() + Piece.size() <= MaxInlineBody) {
    Request->Body.append(Piece);
    return nullptr;
  }
  if (!Request->Upload) {
    Request->Upload = std::make_shared<byte_pipe>(UploadLimit);
    Submitted = true;
    Daemon.submit(Request);
    // The buffered bytes go through the pipe first, which preserves their
    // order.
    if (!Request->Upload->push(std::exchange(Request->Body, {})))
      return waitForEnd();
  }
  // The reader has closed the pipe: the response is available or about to be,
  // and the rest of the body is not needed.
  if (!Request->Upload->push(Piece))
    return waitForEnd();
  return nullptr;
}

std::unique_ptr<http_response> caller_exchange::end() {
  if (!Request)
    return makeRejection(400, "no such request");
  if (Request->Upload)
    Request->Upload->finish(true);
  if (!Submitted) {
    Submitted = true;
    Daemon.submit(Request);
  }
  return waitForEnd();
}

std::unique_ptr<http_response> caller_exchange::waitForEnd() {
  std::unique_lock Guard(Request->Lock);
  while (!Request->Changed.wait_for(Guard, DisconnectCheckPeriod,
                                    [&] { return Request->Done; })) {
    Guard.unlock();
    const bool Left = hasPeerDisconnected(Head.Socket);
    if (Left) {
      Ended = true;
      Daemon.onCallerDisconnected(Request);
      return makeRejection(499, "the caller went away");
    }
    Guard.lock();
  }
  Ended = true;
  const finish_caller End = Request->End;
  Guard.unlock();
  auto Response = makeResponse(End);
  log(End, Response->Status);
  return Response;
}

/// Each outcome has its own status, in addition to the outcome header.
static int httpStatus(outcome Outcome) {
  switch (Outcome) {
  case outcome::Answered:
    return 200;
  case outcome::Refused:
    return 429;
  case outcome::NotRun:
    return 503;
  case outcome::Unknown:
    return 504;
  }
  return 504;
}

static body_reader
makeBodyReader(entry_daemon &Daemon,
               const std::shared_ptr<entry_request> &Request) {
  auto Given = std::make_shared<std::size_t>(0);
  return [&Daemon, Request, Given](std::span<char> Buffer) -> std::int64_t {
    const std::string &First = Request->Response.Body;
    if (*Given < First.size()) {
      const std::size_t Part = std::min(Buffer.size(), First.size() - *Given);
      First.copy(Buffer.data(), Part, *Given);
      *Given += Part;
      return static_cast<std::int64_t>(Part);
    }
    return Daemon.readRest(*Request->Response.Rest, Buffer);
  };
}

std::unique_ptr<http_response>
caller_exchange::makeResponse(const finish_caller &End) {
  auto Response = std::make_unique<http_response>();
  Response->Headers["X-Amaranthhoist-Outcome"] =
      std::string(toString(End.Outcome));
  Response->Headers["X-Request-Id"] = Request->Request.RequestId;
  if (End.Outcome == outcome::Answered) {
    received_response &GatewayResponse = Request->Response;
    Response->Status = GatewayResponse.Status;
    if (!GatewayResponse.ContentType.empty())
      Response->Headers["Content-Type"] = GatewayResponse.ContentType;
    if (GatewayResponse.Rest) {
      Response->Length = GatewayResponse.Length;
      Response->Reader = makeBodyReader(Daemon, Request);
    } else {
      Response->Body = std::move(GatewayResponse.Body);
    }
    return Response;
  }
  Response->Status = httpStatus(End.Outcome);
  const std::int64_t Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(End.RetryAfter)
          .count();
  // HTTP allows only whole seconds in Retry-After. The exact jittered value
  // goes into X-Retry-After-Ms.
  Response->Headers["Retry-After"] =
      std::to_string(std::max<std::int64_t>(1, (Ms + 999) / 1'000));
  Response->Headers["X-Retry-After-Ms"] = std::to_string(Ms);
  Response->Headers["Content-Type"] = "application/json";
  Response->Body = nlohmann::ordered_json{{"outcome", toString(End.Outcome)},
                                          {"reason", End.Reason},
                                          {"retry_after_ms", Ms}}
                       .dump() +
                   "\n";
  return Response;
}

void caller_exchange::log(const finish_caller &End, int Status) const {
  const caller_request &Work = Request->Request;
  const duration Took = currentInstant() - Arrived;
  Daemon.metrics().observeLatency(
      {Work.Customer, Work.Service, std::string(toString(End.Outcome))}, Took);
  const bool Answered = End.Outcome == outcome::Answered;
  logLine(Answered ? log_level::Debug : log_level::Info, "request",
          {{"request_id", Work.RequestId},
           {"customer", Work.Customer},
           {"service", Work.Service},
           {"gateway", Request->Gateway},
           {"outcome", std::string(toString(End.Outcome))},
           {"reason", End.Reason},
           {"status", std::to_string(Status)},
           {"took_us", std::to_string(Took.count())}});
}

} // namespace amaranthhoist
