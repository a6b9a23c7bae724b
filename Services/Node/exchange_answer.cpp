/// The part of an exchange that responds to the caller.
#include "exchange.h"

#include "Text/text.h"

namespace amaranthhoist {

/// Responses up to this size are buffered until complete, so that one whose
/// connection breaks can be retried without the caller noticing.
static constexpr std::size_t MaxBufferedResponse = 65'536;

/// The customer in metrics for a host that no route has.
static constexpr std::string_view UnknownCustomer = "(unknown)";

static std::string beginHead(int Status, const std::string &Fields,
                             bool KeepsAlive) {
  std::string Text;
  Text.reserve(128 + Fields.size());
  append(Text, "HTTP/1.1 ", Status, " ", reasonPhrase(Status), "\r\n", Fields);
  if (!KeepsAlive)
    appendField(Text, "Connection", "close");
  return Text;
}

/// Whether a response that is held back until it is complete, a refusal or an
/// error without a stated length, is longer than any valid one. It may have no
/// end.
bool exchange::isHeldBodyTooLong() const {
  const bool IsHeld =
      ServerDidNotRun || (Status >= 500 && !Connection->contentLength());
  return IsHeld && ResponseBytes > MaxBufferedResponse;
}

void exchange::onBody(std::string &Body) {
  ResponseBytes += Body.size();
  if (Caller && !ServerDidNotRun)
    BufferedBody.append(Body);
  Body.clear();
  if (isHeldBodyTooLong()) {
    onFailure({.HadResponseBytes = true, .IsMalformed = true});
    return;
  }
  if (BufferedBody.empty())
    return;
  if (!IsStreaming) {
    const bool IsLong =
        Connection->contentLength().value_or(0) > MaxBufferedResponse ||
        BufferedBody.size() > MaxBufferedResponse;
    if (!IsLong)
      return;
    beginStreaming();
  }
  if (IsChunked) {
    std::string Chunk;
    appendChunk(Chunk, BufferedBody);
    Caller->send(Chunk);
  } else {
    Caller->send(BufferedBody);
  }
  BufferedBody.clear();
  if (Caller && Caller->unsentBytes() > unsentAllowance(Node.ResponseMemory))
    pauseReading(Body);
}

void exchange::pauseReading(std::string &Body) {
  IsReadingPaused = true;
  Connection->pauseReading();
  // Thousands of slow callers would keep as many empty buffers.
  BufferedBody.shrink_to_fit();
  Body.shrink_to_fit();
}

void exchange::onCallerDrained() {
  if (!IsReadingPaused || !Connection)
    return;
  IsReadingPaused = false;
  Connection->resumeReading();
}

void exchange::beginStreaming() {
  IsStreaming = true;
  const auto Length = Connection->contentLength();
  IsChunked = !Length.has_value();
  std::string Head =
      beginHead(Status, ResponseFields, Caller->decideKeepAlive());
  if (IsChunked)
    appendField(Head, "Transfer-Encoding", "chunked");
  else
    appendField(Head, "Content-Length", cat(*Length));
  Head.append("\r\n");
  Caller->send(Head);
}

void exchange::finishResponse() {
  if (Caller && IsStreaming && IsChunked) {
    std::string Last;
    appendLastChunk(Last);
    Caller->send(Last);
  } else if (Caller && !IsStreaming) {
    std::string Text =
        beginHead(Status, ResponseFields, Caller->decideKeepAlive());
    // The response to a HEAD request has a content length without a body.
    const bool HasNoBody =
        Status == 204 || Status == 304 || Request.Method == "HEAD";
    if (!HasNoBody)
      appendField(Text, "Content-Length", cat(BufferedBody.size()));
    append(Text, "\r\n", BufferedBody);
    Caller->send(Text);
  }
  count(Status < 500 ? Node.Requests.Served : Node.Requests.Failed);
  const duration Elapsed = Node.Loop.now() - Request.ArrivedAt;
  Node.Metrics.observeLatency(
      {customerName(), Plan.Service, Status < 500 ? "answered" : "failed"},
      Elapsed);
  log(Status < 500 ? log_kind::Success : log_kind::RequestFailure, "answered",
      "server", Status);
  if (Caller)
    Caller->onResponseComplete();
  finish();
}

std::string exchange::customerName() const {
  if (!Plan.Account.empty())
    return Plan.Account;
  // Callers may make up any number of hosts, and series of metrics are kept.
  const auto &Routes = Node.Steering.Routes;
  const std::string_view Host =
      Routes ? findHost(*Routes, Request.Host) : std::string_view();
  return std::string(Host.empty() ? UnknownCustomer : Host);
}

static int statusOf(refusal Reason) {
  switch (Reason) {
  case refusal::NoRoute:
    return 404;
  case refusal::NoAccount:
    return 401;
  case refusal::OverLimit:
    return 429;
  default:
    return 503;
  }
}

static bool concernsAccount(refusal Reason) {
  switch (Reason) {
  case refusal::NoAccount:
  case refusal::NoCommonRegion:
  case refusal::OverLimit:
  case refusal::LimitUnknown:
  case refusal::KeysUnconfirmed:
    return true;
  default:
    return false;
  }
}

void exchange::count(std::int64_t &Counter) const {
  // The instance that forwards a request counts it.
  if (!Request.Forwarded)
    ++Counter;
}

void exchange::refuse(refusal Reason) {
  count(Node.Requests.Refused);
  std::optional<duration> Return;
  const int OwnStatus = statusOf(Reason);
  if (OwnStatus == 503 || OwnStatus == 429) {
    if (!HasPlan)
      Plan.Deadline =
          Node.Loop.now() + Request.TimeLeft.value_or(std::chrono::seconds(1));
    Return =
        retryAfter(Node.Steering, Plan, Reason, Request.Id, Node.Loop.now());
  }
  if (Reason == refusal::OverLimit)
    Return = *Return + Node.Quotas->retryAfter(Plan.Account);
  if (concernsAccount(Reason))
    logAccountRefusal(Reason, OwnStatus, Return.value_or(duration::zero()));
  else if (OwnStatus == 503)
    logRefusal(toString(Reason), OwnStatus, *Return);
  else
    log(log_kind::RequestFailure, "gave_up", toString(Reason), OwnStatus);
  RefusedHereAlone = mayBeServedElsewhere(Reason);
  IsBusyHere = Reason == refusal::ForwardingLimit;
  sendOwnResponse(OwnStatus, Return, toString(Reason));
}

/// Formats a duration in seconds with at most three decimals.
static std::string inSeconds(duration Time) {
  const std::int64_t Milliseconds = Time.count() / 1'000;
  return cat(static_cast<double>(Milliseconds) / 1e3);
}

void exchange::giveUp(int OwnStatus, std::string_view Why) {
  count(Node.Requests.Failed);
  log(log_kind::RequestFailure, "gave_up", Why, OwnStatus);
  sendOwnResponse(OwnStatus, std::nullopt, Why);
}

void exchange::sendOwnResponse(int OwnStatus,
                               std::optional<duration> RetryAfter,
                               std::string_view Why) {
  Node.Metrics.observeLatency({customerName(), Plan.Service, std::string(Why)},
                              Node.Loop.now() - Request.ArrivedAt);
  if (Caller) {
    std::string Fields;
    appendField(Fields, Node.Wire.RequestId, Request.Id);
    if (Request.Forwarded)
      appendField(Fields, AttemptsField, cat(Plan.DeliveredAttempts));
    if (Request.Forwarded && RefusedHereAlone)
      appendField(Fields, AskOthersField, IsBusyHere ? BusyValue : "1");
    if (RetryAfter)
      appendField(Fields, "Retry-After", inSeconds(*RetryAfter));
    std::string Text = beginHead(OwnStatus, Fields, Caller->decideKeepAlive());
    appendField(Text, "Content-Length", "0");
    Text.append("\r\n");
    Caller->send(Text);
    Caller->onResponseComplete();
  }
  finish();
}

} // namespace amaranthhoist
