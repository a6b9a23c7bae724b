#include "target_stand_in.h"

#include "Text/text.h"

namespace amaranthhoist {

/// Bytes that an endless response sends at a time and in all. The latter bounds
/// the stand-in's own memory.
static constexpr std::size_t PieceBytes = 65'536;
static constexpr std::size_t EndlessBytes = 64U << 20U;

std::string target_stand_in::bodyFor(std::string_view RequestId) {
  std::string Body;
  for (int Line = 0; Line < 40; ++Line)
    append(Body, RequestId, " line ", Line, "\n");
  return Body;
}

void target_stand_in::onRequest(stand_in_connection &Connection) {
  const message_head &Head = Connection.head();
  const std::string RequestId(Head.find("X-Attempt-Id").value_or(""));
  const auto Expected = Head.find("X-Expected-Instance");
  const auto TimeLeft = Head.find("X-Deadline-Remaining");
  LastDeadlineRemainingMs =
      TimeLeft ? parseNumber<std::int64_t>(*TimeLeft).value_or(-1) : -1;
  if (Expected && *Expected != Id) {
    Connection.respond(421, cat("X-Attempt-Id: ", RequestId, "\r\n"), "");
    return;
  }
  ++Arrivals;
  KeysReceived += static_cast<int>(Head.count("Api-Key"));
  for (std::size_t Index = 0; Index < Head.fieldCount(); ++Index)
    if (equalsIgnoringCase(Head.fieldAt(Index).Name, "Forwarded-Account"))
      CallersAccountFields.emplace_back(Head.fieldAt(Index).Value);
  if (Behavior == behavior::Sheds) {
    std::string Fields =
        cat("X-Attempt-Id: ", RequestId, "\r\nX-Not-Executed: 1\r\n");
    if (!RetryAfterSeconds.empty()) {
      append(Fields, "Retry-After: ", RetryAfterSeconds, "\r\n");
      ++BackoffRequests;
    }
    if (AnnouncesDraining)
      append(Fields, "Server-Leaving: 1\r\n");
    Connection.respond(503, Fields, "");
    return;
  }
  ++Runs[RequestId];
  ++RunsByAccount[std::string(Head.find("X-Tenant-Name").value_or(""))];
  InFlight[Connection.Number] = RequestId;
  const std::uint64_t Number = Connection.Number;
  if (!CrashingPath.empty() && Head.target() == CrashingPath) {
    Loop.runAfter(Work, [this] { crash(); });
    return;
  }
  Loop.runAfter(Work, [this, Number, RequestId] { finish(Number, RequestId); });
}

void target_stand_in::sendEndless(std::uint64_t Number,
                                  const std::string &RequestId) {
  const std::string Own =
      cat("X-Attempt-Id: ", RequestId, "\r\nX-Response-Stamp: stamp-",
          RequestId, "\r\n");
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Text(PieceBytes, 'x');
  std::string Start;
  std::string Piece = Text;
  switch (Behavior) {
  case behavior::EndlessHead:
    Start = cat("HTTP/1.1 200 OK\r\n", Own, "X-Field: ");
    break;
  case behavior::EndlessInterimResponses:
    Piece = "HTTP/1.1 102 Processing\r\n\r\n";
    break;
  case behavior::EndlessError:
    Start = cat("HTTP/1.1 500 Internal Server Error\r\n", Own, "\r\n");
    break;
  case behavior::EndlessRejection:
    Start = cat("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: ", RequestId,
                "\r\nX-Not-Executed: 1\r\n\r\n");
    break;
  case behavior::EndlessOtherResponse:
    Start = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
            "X-Response-Stamp: stamp-other\r\n\r\n";
    break;
  case behavior::EndlessChunkExtension:
    Start = cat("HTTP/1.1 200 OK\r\n", Own, Chunked, "5;");
    break;
  default:
    Start = cat("HTTP/1.1 200 OK\r\n", Own, Chunked, "0\r\nX-Field: ");
    break;
  }
  if (stand_in_connection *Connection = connection(Number))
    Connection->send(Start);
  repeat(Number, Piece, EndlessBytes);
}

void target_stand_in::repeat(std::uint64_t Number, const std::string &Piece,
                             std::size_t Bytes) {
  stand_in_connection *Connection = connection(Number);
  if (!Connection || Bytes == 0)
    return;
  std::string Text;
  while (Text.size() < PieceBytes)
    Text.append(Piece);
  Connection->send(Text);
  Loop.runAfter(duration::zero(), [this, Number, Piece, Bytes] {
    repeat(Number, Piece, Bytes - std::min(Bytes, PieceBytes));
  });
}

void target_stand_in::crash() {
  HasCrashed = true;
  InFlight.clear();
  shutDown();
  if (OnCrash)
    OnCrash();
}

void target_stand_in::onConnectionEnd(stand_in_connection &Connection) {
  auto Found = InFlight.find(Connection.Number);
  if (Found == InFlight.end())
    return;
  Abandoned.push_back(Found->second);
  InFlight.erase(Found);
}

void target_stand_in::finish(std::uint64_t Number,
                             const std::string &RequestId) {
  InFlight.erase(Number);
  stand_in_connection *Connection = connection(Number);
  if (!Connection)
    return;
  const std::string Body = bodyFor(RequestId) + std::string(PaddingBytes, 'x');
  const std::string Id = cat("X-Attempt-Id: ", RequestId, "\r\n");
  const std::string Fields = cat(
      Id, "X-Response-Stamp: stamp-", RequestId, "\r\nX-Server-Load: ", Load,
      "\r\n", AnnouncesDraining ? "Server-Leaving: 1\r\n" : "", this->Fields);
  switch (Behavior) {
  case behavior::Normal:
  case behavior::Sheds:
    if (StatusLine.empty())
      Connection->respond(Status, Fields, Body);
    else
      Connection->respond(StatusLine, Fields, Body);
    return;
  case behavior::ClosesAfterResponse:
    Connection->respond(200, Fields, Body);
    Connection->close();
    return;
  case behavior::LosesResponses:
    Connection->reset();
    return;
  case behavior::TruncatesBody:
    Connection->send(cat("HTTP/1.1 200 OK\r\n", Fields,
                         "Content-Length: ", Body.size(), "\r\n\r\n",
                         Body.substr(0, Body.size() / 2)));
    Connection->close();
    return;
  case behavior::SendsGarbage:
    Connection->send("this is no answer\r\n\r\n");
    return;
  case behavior::EndlessHead:
  case behavior::EndlessInterimResponses:
  case behavior::EndlessError:
  case behavior::EndlessRejection:
  case behavior::EndlessOtherResponse:
  case behavior::EndlessChunkExtension:
  case behavior::EndlessTrailer:
    sendEndless(Number, RequestId);
    return;
  case behavior::RespondsTwice:
    Connection->respond(200, Fields, Body);
    Connection->send(cat("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n",
                         "X-Response-Stamp: stamp-other\r\n",
                         "Content-Length: 5\r\n\r\nother"));
    return;
  case behavior::Unsigned:
    Connection->respond(200, Id, Body);
    return;
  case behavior::Silent:
    return;
  }
}

} // namespace amaranthhoist
