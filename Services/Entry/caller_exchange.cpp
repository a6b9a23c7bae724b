#include "caller_exchange.h"

#include "Logging/logging.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>

namespace amaranthhoist {

/// A body up to this size is read whole first and can be sent again.
static constexpr std::size_t MaxInlineBody = 65'536;
/// Bytes of a longer body held between caller and gateway.
static constexpr std::size_t UploadLimit = 262'144;
static constexpr std::size_t MaxNameLength = 128;
static constexpr std::int64_t MaxDeadlineMs = 86'400'000;
static constexpr auto PeerCheck = std::chrono::milliseconds(50);
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
  // The caller broke off its upload: the gateway must not take it for whole.
  if (Request->Upload)
    Request->Upload->finish(false);
  if (Submitted && !Ended)
    Daemon.abandon(Request);
  Daemon.drop(Request->Answer);
}

std::unique_ptr<http_response>
caller_exchange::malformed(int Status, const std::string &Reason) const {
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
    return malformed(405, "only GET is served here");
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
  return malformed(404, "no such path; see docs/CALLERS.md");
}

std::unique_ptr<http_response> caller_exchange::lookUp() {
  const std::string Customer = Head.Query["customer"];
  const std::string Service = Head.Query["service"];
  if (Customer.empty() || Service.empty())
    return malformed(400, "customer and service are required");
  if (!Daemon.isReady())
    return malformed(503, "this entry has no state yet; ask another one");
  const lookup_answer Answer =
      Daemon.lookUp(Customer, Service, Head.Query["client"]);
  nlohmann::ordered_json Document = {{"ttl_ms", Answer.TtlMs},
                                     {"home", Answer.Home},
                                     {"entries", nlohmann::json::array()}};
  for (const named_entry &Entry : Answer.Entries)
    Document["entries"].push_back(
        {{"address", Entry.Address}, {"region", Entry.Region}});
  auto Response = std::make_unique<http_response>();
  Response->Headers["Content-Type"] = "application/json";
  Response->Body = Document.dump() + "\n";
  return Response;
}

/// Parses the deadline header; a missing one leaves the default.
static bool readDeadline(const http_headers &Headers, std::int64_t &Ms) {
  const std::string Text = headerOr(Headers, "x-deadline-ms");
  if (Text.empty())
    return true;
  return absl::SimpleAtoi(Text, &Ms) && Ms >= 1 && Ms <= MaxDeadlineMs;
}

static work_class classOf(const http_head &Head) {
  if (Head.Method == "GET" || Head.Method == "HEAD")
    return work_class::Idempotent;
  return headerOr(Head.Headers, "x-idempotent") == "true"
             ? work_class::Idempotent
             : work_class::NonIdempotent;
}

/// Path and query as the backend server sees them: what follows the service,
/// just as it was sent.
static std::string backendPath(const std::string &Target, std::size_t Begin) {
  const std::string Rest = Target.substr(Begin);
  return Rest.starts_with("/") ? Rest : "/" + Rest;
}

std::unique_ptr<http_response> caller_exchange::beginRun() {
  if (!Daemon.isReady())
    return malformed(503, "this entry has no state yet; ask another one");
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
  Work.Class = classOf(Head);
  Request->Method = Head.Method;
  Request->ContentType = headerOr(Head.Headers, "content-type");
  Request->Path = backendPath(Head.Target, ServiceEnd);
  if (Work.Service.empty() || Work.Service.size() > MaxNameLength)
    return malformed(400, "the path must be /v1/run/SERVICE/...");
  if (Work.Customer.empty() || Work.Customer.size() > MaxNameLength)
    return malformed(400, "X-Customer is required, 128 bytes at most");
  std::int64_t DeadlineMs = Daemon.settings().Entry.DefaultDeadlineMs;
  if (!readDeadline(Head.Headers, DeadlineMs))
    return malformed(400, "X-Deadline-Ms must be from 1 to 86400000");
  Work.Deadline = Arrived + std::chrono::milliseconds(DeadlineMs);
  if (Work.Class == work_class::NonIdempotent)
    if (const auto Key = parseKey(Work.Key); !Key)
      return malformed(400, Key.error().Message);
  std::int64_t Length = 0;
  const std::string LengthText = headerOr(Head.Headers, "content-length");
  if (absl::SimpleAtoi(LengthText, &Length) &&
      Length > Daemon.settings().Entry.MaxBodyBytes)
    return malformed(413, "the body is too large");
  return nullptr;
}

std::unique_ptr<http_response> caller_exchange::body(std::string_view Piece) {
  if (!Request)
    return malformed(400, "no body is taken here");
  Received += static_cast<std::int64_t>(Piece.size());
  if (Received > Daemon.settings().Entry.MaxBodyBytes)
    return malformed(413, "the body is too large");
  if (!Request->Upload &&
      Request->Body.size() + Piece.size() <= MaxInlineBody) {
    Request->Body.append(Piece);
    return nullptr;
  }
  if (!Request->Upload) {
    Request->Upload = std::make_shared<byte_pipe>(UploadLimit);
    Submitted = true;
    Daemon.submit(Request);
    // Everything goes through the pipe, in order.
    if (!Request->Upload->push(std::exchange(Request->Body, {})))
      return waitForEnd();
  }
  // Nobody takes the rest: the answer is there already, or about to be.
  if (!Request->Upload->push(Piece))
    return waitForEnd();
  return nullptr;
}

std::unique_ptr<http_response> caller_exchange::end() {
  if (!Request)
    return malformed(400, "no such request");
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
  while (!Request->Changed.wait_for(Guard, PeerCheck,
                                    [&] { return Request->Done; })) {
    Guard.unlock();
    const bool Left = peerHasLeft(Head.Socket);
    if (Left) {
      Ended = true;
      Daemon.abandon(Request);
      return malformed(499, "the caller went away");
    }
    Guard.lock();
  }
  Ended = true;
  const finish_caller End = Request->End;
  Guard.unlock();
  auto Response = answerOf(End);
  log(End, Response->Status);
  return Response;
}

/// The status tells the outcomes apart as the header does.
static int statusOf(outcome Outcome) {
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

static body_reader restReader(entry_daemon &Daemon,
                              const std::shared_ptr<entry_request> &Request) {
  auto Given = std::make_shared<std::size_t>(0);
  return [&Daemon, Request, Given](std::span<char> Buffer) -> std::int64_t {
    const std::string &First = Request->Answer.Body;
    if (*Given < First.size()) {
      const std::size_t Part = std::min(Buffer.size(), First.size() - *Given);
      First.copy(Buffer.data(), Part, *Given);
      *Given += Part;
      return static_cast<std::int64_t>(Part);
    }
    return Daemon.readRest(*Request->Answer.Rest, Buffer);
  };
}

std::unique_ptr<http_response>
caller_exchange::answerOf(const finish_caller &End) {
  auto Response = std::make_unique<http_response>();
  Response->Headers["X-Amaranthhoist-Outcome"] =
      std::string(toString(End.Outcome));
  Response->Headers["X-Request-Id"] = Request->Request.RequestId;
  if (End.Outcome == outcome::Answered) {
    received_answer &Answer = Request->Answer;
    Response->Status = Answer.Status;
    if (!Answer.ContentType.empty())
      Response->Headers["Content-Type"] = Answer.ContentType;
    if (Answer.Rest) {
      Response->Length = Answer.Length;
      Response->Reader = restReader(Daemon, Request);
    } else {
      Response->Body = std::move(Answer.Body);
    }
    return Response;
  }
  Response->Status = statusOf(End.Outcome);
  const std::int64_t Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(End.RetryAfter)
          .count();
  // Whole seconds by the standard; the exact spread in a header of our own.
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
