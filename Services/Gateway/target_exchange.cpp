#include "target_exchange.h"

#include "Timers/timers.h"

#include <utility>

namespace amaranthhoist {

/// Maximum size of a response, in bytes, that is forwarded in one message.
static constexpr std::size_t MaxInlineResponse = 65'536;
/// Maximum size of a response to non-idempotent work, in bytes.
static constexpr std::size_t MaxKeyedResponse = 1'048'576;
/// Bytes of one response that are buffered between backend server and entry.
static constexpr std::size_t PipeLimit = 262'144;
/// A response that takes longer than this is streamed from then on.
static constexpr duration StreamDelay = std::chrono::milliseconds(20);
static constexpr std::int64_t CancelTimeoutMs = 1'000;
static constexpr std::int64_t ProbeTimeoutMs = 1'000;

std::unique_ptr<http_client> client_pool::acquire(const std::string &Address) {
  {
    const std::lock_guard Guard(Lock);
    auto &Clients = Free[Address];
    if (!Clients.empty()) {
      auto Client = std::move(Clients.back());
      Clients.pop_back();
      return Client;
    }
  }
  return std::make_unique<http_client>();
}

void client_pool::release(const std::string &Address,
                          std::unique_ptr<http_client> Client) {
  const std::lock_guard Guard(Lock);
  Free[Address].push_back(std::move(Client));
}

namespace {

/// Collects or streams one response while it is received.
class response_sink {
public:
  explicit response_sink(const exchange_request &Request) : Request(Request) {}

  void head(int Status, const http_headers &Headers) {
    HeadAt = currentInstant();
    this->Status = Status;
    this->Headers = Headers;
    // A response without this request's id belongs to another request, because
    // of a misrouting proxy or a reused connection. None of its bytes are
    // forwarded.
    Own = headerOr(Headers, "x-request-id") == Request.RequestId;
  }

  bool piece(std::string_view Bytes) {
    if (!Own)
      return false;
    if (Pipe)
      return Pipe->push(Bytes);
    Collected.append(Bytes);
    if (Request.Class == work_class::NonIdempotent)
      return Collected.size() <= MaxKeyedResponse;
    const bool Slow = currentInstant() - HeadAt > StreamDelay;
    if (Collected.size() > MaxInlineResponse || Slow)
      startStream();
    return true;
  }

  bool isOwn() const { return Own; }
  bool isStreaming() const { return Pipe != nullptr; }
  void finish(bool Whole) {
    if (Pipe)
      Pipe->finish(Whole);
  }
  std::string takeCollected() { return std::move(Collected); }

private:
  void startStream() {
    Pipe = std::make_shared<byte_pipe>(PipeLimit);
    Request.OnStream(Status, Headers, std::exchange(Collected, {}), Pipe);
  }

  const exchange_request &Request;
  instant HeadAt{};
  int Status = 0;
  http_headers Headers;
  bool Own = false;
  std::string Collected;
  std::shared_ptr<byte_pipe> Pipe;
};

} // namespace

static http_call makeCall(const exchange_request &Request,
                          response_sink &Sink) {
  http_call Call;
  Call.Method = Request.Method;
  Call.Url = "http://" + Request.Address + Request.Path;
  Call.Body = Request.Body;
  Call.BodySource = Request.BodySource;
  Call.Headers["X-Request-Id"] = Request.RequestId;
  Call.Headers["X-Deadline-Ms"] = std::to_string(Request.DeadlineWallMs);
  if (!Request.ContentType.empty())
    Call.Headers["Content-Type"] = Request.ContentType;
  if (!Request.Key.empty())
    Call.Headers["Idempotency-Key"] = Request.Key;
  Call.TimeoutMs = Request.TimeoutMs;
  Call.FreshConnection = Request.Class == work_class::NonIdempotent;
  Call.Abort = Request.Abort;
  Call.OnHead = [&Sink](int Status, const http_headers &Headers) {
    Sink.head(Status, Headers);
  };
  Call.OnBody = [&Sink](std::string_view Piece) { return Sink.piece(Piece); };
  return Call;
}

/// Requests the backend server to stop the work. Only the server's own
/// confirmation proves that the work has ended.
static bool cancelAtTarget(const exchange_request &Request) {
  http_client Client;
  http_call Call;
  Call.Method = "DELETE";
  Call.Url = "http://" + Request.Address + "/requests/" + Request.RequestId;
  Call.TimeoutMs = CancelTimeoutMs;
  const http_call_result Result = Client.call(Call);
  return Result.End == call_end::Complete && Result.Status == 200;
}

static attempt_end classifyEnd(const exchange_request &Request,
                               const http_call_result &Result, bool Own) {
  if (Result.End == call_end::NotConnected)
    return attempt_end::NotReached;
  if (Result.End == call_end::Complete && Own) {
    if (Result.Status == 503 && headerOr(Result.Headers, "x-not-run") == "1")
      return attempt_end::Shed;
    return attempt_end::Completed;
  }
  if (Request.Class == work_class::Idempotent && cancelAtTarget(Request))
    return attempt_end::Stopped;
  return attempt_end::Interrupted;
}

exchange_result runExchange(client_pool &Clients,
                            const exchange_request &Request) {
  std::unique_ptr<http_client> Client = Clients.acquire(Request.Address);
  response_sink Sink(Request);
  const http_call_result Call = Client->call(makeCall(Request, Sink));
  exchange_result Result;
  Result.End = classifyEnd(Request, Call, Sink.isOwn());
  Result.Streamed = Sink.isStreaming();
  Result.Draining = headerOr(Call.Headers, "x-draining") == "1";
  Sink.finish(Result.End == attempt_end::Completed);
  Result.Response.Status = Call.Status;
  Result.Response.ContentType = headerOr(Call.Headers, "content-type");
  Result.Response.Body = Sink.takeCollected();
  if (Call.End == call_end::Complete && Sink.isOwn())
    Clients.release(Request.Address, std::move(Client));
  return Result;
}

bool probeReportsDraining(http_client &Client, const std::string &Address,
                          const std::string &Path) {
  http_call Call;
  Call.Url = "http://" + Address + Path;
  Call.TimeoutMs = ProbeTimeoutMs;
  const http_call_result Result = Client.call(Call);
  // A timeout or an error does not mean that the server is draining. Failures
  // are counted where work is sent.
  return Result.End == call_end::Complete &&
         headerOr(Result.Headers, "x-draining") == "1";
}

} // namespace amaranthhoist
