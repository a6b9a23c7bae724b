/// The part of an exchange that answers the caller.
#include "exchange.h"

#include "Text/text.h"

namespace amaranthhoist {

/// Answers up to this size are held until they are whole, so that one that
/// breaks off can be fetched again without the caller noticing.
static constexpr std::size_t HeldAnswer = 65'536;
/// Unsent bytes at which reading from the server stops, so that a slow caller
/// costs bounded memory.
static constexpr std::size_t MostUnsent = 262'144;

static std::string beginHead(int Status, const std::string &Fields,
                             bool KeepsAlive) {
  std::string Text;
  Text.reserve(128 + Fields.size());
  append(Text, "HTTP/1.1 ", Status, " ", reasonOf(Status), "\r\n", Fields);
  if (!KeepsAlive)
    appendField(Text, "Connection", "close");
  return Text;
}

void exchange::onBody(std::string &Body) {
  if (Caller && !ServerDidNotRun)
    Held.append(Body);
  Body.clear();
  if (Held.empty())
    return;
  if (!IsStreaming) {
    const bool IsLong = Connection->contentLength().value_or(0) > HeldAnswer ||
                        Held.size() > HeldAnswer;
    if (!IsLong || Status >= 500)
      return;
    beginStreaming();
  }
  if (IsChunked) {
    std::string Chunk;
    appendChunk(Chunk, Held);
    Caller->send(Chunk);
  } else {
    Caller->send(Held);
  }
  Held.clear();
  if (Caller && Caller->unsent() > MostUnsent) {
    IsReadingPaused = true;
    Connection->pauseReading();
  }
}

void exchange::callerDrained() {
  if (!IsReadingPaused || !Connection)
    return;
  IsReadingPaused = false;
  Connection->resumeReading();
}

void exchange::beginStreaming() {
  IsStreaming = true;
  const auto Length = Connection->contentLength();
  IsChunked = !Length.has_value();
  std::string Head = beginHead(Status, AnswerFields, Caller->keepsAlive());
  if (IsChunked)
    appendField(Head, "Transfer-Encoding", "chunked");
  else
    appendField(Head, "Content-Length", cat(*Length));
  Head.append("\r\n");
  Caller->send(Head);
}

void exchange::deliver() {
  if (Caller && IsStreaming && IsChunked) {
    std::string Last;
    appendLastChunk(Last);
    Caller->send(Last);
  } else if (Caller && !IsStreaming) {
    std::string Text = beginHead(Status, AnswerFields, Caller->keepsAlive());
    // The answer to a HEAD request tells a length that doesn't follow.
    const bool HasNoBody =
        Status == 204 || Status == 304 || Request.Method == "HEAD";
    if (!HasNoBody)
      appendField(Text, "Content-Length", cat(Held.size()));
    append(Text, "\r\n", Held);
    Caller->send(Text);
  }
  const duration Took = Node.Loop.now() - Request.Arrived;
  Node.Metrics.observeLatency(
      {Request.Host, Plan.Service, Status < 500 ? "answered" : "failed"}, Took);
  log(Status < 500 ? log_kind::Success : log_kind::Trouble, "answered",
      "server", Status);
  if (Caller)
    Caller->onAnswered();
  over();
}

static int statusOf(refusal Reason) {
  return Reason == refusal::NoRoute ? 404 : 503;
}

void exchange::refuse(refusal Reason) {
  std::optional<duration> Return;
  if (Reason != refusal::NoRoute) {
    if (!HasPlan)
      Plan.Deadline =
          Node.Loop.now() + Request.TimeLeft.value_or(std::chrono::seconds(1));
    Return =
        retryAfter(Node.Steering, Plan, Reason, Request.Id, Node.Loop.now());
  }
  answerOwn(statusOf(Reason), Return, toString(Reason));
}

/// Seconds with three decimals at most.
static std::string inSeconds(duration Time) {
  const std::int64_t Milliseconds = Time.count() / 1'000;
  return cat(static_cast<double>(Milliseconds) / 1e3);
}

void exchange::answerOwn(int OwnStatus, std::optional<duration> RetryAfter,
                         std::string_view Why) {
  if (OwnStatus == 503)
    logRefusal(Why, OwnStatus, RetryAfter.value_or(duration::zero()));
  else
    log(log_kind::Trouble, "gave_up", Why, OwnStatus);
  Node.Metrics.observeLatency({Request.Host, Plan.Service, std::string(Why)},
                              Node.Loop.now() - Request.Arrived);
  if (Caller) {
    std::string Fields;
    appendField(Fields, Node.Wire.RequestId, Request.Id);
    if (RetryAfter)
      appendField(Fields, "Retry-After", inSeconds(*RetryAfter));
    std::string Text = beginHead(OwnStatus, Fields, Caller->keepsAlive());
    appendField(Text, "Content-Length", "0");
    Text.append("\r\n");
    Caller->send(Text);
    Caller->onAnswered();
  }
  over();
}

} // namespace amaranthhoist
