#include "caller_connection.h"

#include "Text/text.h"
#include "caller_server.h"

namespace amaranthhoist {

/// Bytes of later requests that are taken in while one is served: reading on
/// shows when the caller goes away.
static constexpr std::size_t MostBacklog = 65'536;
/// A caller that was told that the connection ends has this long to close it.
static constexpr duration EndingTime = std::chrono::seconds(1);
/// Head sizes are checked against the configuration; this bounds them before
/// there is one.
static constexpr std::size_t HardHeadLimit = 65'536;
/// Part of the memory limit that requests' bodies may fill.
static constexpr std::size_t BodyMemoryPart = 4;

caller_connection::caller_connection(node &Node, target_pool &Pool,
                                     caller_server &Server)
    : Node(Node), Pool(Pool), Server(Server), Stream(Node.Loop, *this),
      Reader(message_kind::Request, HardHeadLimit) {}

caller_connection::~caller_connection() {
  Node.Loop.cancel(Timer);
  releaseBody();
}

const request_limits &caller_connection::limits() const {
  static const request_limits Defaults;
  return Node.Steering.Routes ? Node.Steering.Routes->Configuration.Limits
                              : Defaults;
}

bool caller_connection::open(int Descriptor) {
  setTimer(limits().IdleTimeout, &caller_connection::onIdle);
  return Stream.open(Descriptor, /*IsConnected=*/true);
}

void caller_connection::setTimer(duration Delay,
                                 void (caller_connection::*Function)()) {
  Node.Loop.cancel(Timer);
  Timer = Node.Loop.after(Delay, [this, Function] {
    Timer = 0;
    (this->*Function)();
  });
}

void caller_connection::onIdle() { end(); }

void caller_connection::onSlow() { rejectAndEnd(408); }

void caller_connection::endIdle() {
  if (!isBusy() && !IsEnding)
    end();
}

void caller_connection::end() {
  if (IsEnding)
    return;
  IsEnding = true;
  Stream.endWhenDrained();
  setTimer(EndingTime, &caller_connection::leave);
}

void caller_connection::leave() {
  Stream.close();
  Server.retire(*this);
}

void caller_connection::onEnd(stream_end /*End*/) {
  Node.Loop.cancel(Timer);
  if (Current && !Current->callerLeft()) {
    // The work goes on; the server keeps the exchange until it is over.
    Server.adopt(std::move(Current));
  } else if (Current) {
    Node.Retired.push_back(std::move(Current));
  }
  Server.retire(*this);
}

void caller_connection::onBytes(std::string_view Bytes) {
  if (IsEnding)
    return;
  Backlog.append(Bytes);
  if (Current && Backlog.size() > MostBacklog)
    Stream.pause();
  feedBacklog();
}

void caller_connection::onDrained() {
  if (Current)
    Current->callerDrained();
}

void caller_connection::feedBacklog() {
  if (IsFeeding)
    return;
  IsFeeding = true;
  std::size_t Taken = 0;
  while (Taken < Backlog.size() && !Current && !IsEnding) {
    const std::size_t Read = read(std::string_view(Backlog).substr(Taken));
    Taken += Read;
    if (Read == 0)
      break;
  }
  Backlog.erase(0, Taken);
  IsFeeding = false;
}

std::size_t caller_connection::read(std::string_view Bytes) {
  if (!Reader.hasBegun()) {
    RequestBegan = Node.Loop.now();
    HeadTaken = false;
    setTimer(limits().HeadTimeout, &caller_connection::onSlow);
  }
  const std::size_t Taken = Reader.feed(Bytes);
  const read_state State = Reader.state();
  if (State == read_state::Malformed) {
    rejectAndEnd(400);
    return Taken;
  }
  if (State == read_state::HeadTooLarge) {
    rejectAndEnd(431);
    return Taken;
  }
  if (State == read_state::InHead)
    return Taken;
  if (!HeadTaken && !takeHead())
    return Taken;
  const std::size_t NewBytes = Reader.body().size() - HeldBytes;
  HeldBytes += NewBytes;
  Node.HeldBodyBytes += NewBytes;
  if (HeldBytes > limits().MaxBodyBytes)
    rejectAndEnd(413);
  else if (Node.HeldBodyBytes >
           static_cast<std::size_t>(Node.Settings.MemoryMb) * 1'000'000 /
               BodyMemoryPart)
    rejectAndEnd(503);
  else if (State == read_state::Complete)
    serve();
  return Taken;
}

static std::optional<duration> timeLeft(const message_head &Head,
                                        std::string_view Name) {
  const auto Field = Head.find(Name);
  const auto Ms = Field ? parseNumber<std::uint32_t>(*Field) : std::nullopt;
  if (!Ms)
    return std::nullopt;
  return std::chrono::milliseconds(*Ms);
}

/// Checks what the head alone tells. False when the request was rejected.
bool caller_connection::takeHead() {
  HeadTaken = true;
  const message_head &Head = Reader.head();
  RequestKeepsAlive = Reader.keepsAlive();
  const bool HasTarget =
      Head.target().starts_with("/") && Head.method() != "CONNECT";
  if (!HasTarget || Head.count("host") != 1) {
    rejectAndEnd(400);
    return false;
  }
  if (Reader.contentLength().value_or(0) > limits().MaxBodyBytes) {
    rejectAndEnd(413);
    return false;
  }
  if (Reader.state() == read_state::Complete)
    return true;
  if (const auto Expect = Head.find("expect");
      Expect && equalsIgnoringCase(*Expect, "100-continue"))
    Stream.write("HTTP/1.1 100 Continue\r\n\r\n");
  // The body may take as long as the caller waits for the answer.
  setTimer(std::max(limits().HeadTimeout, timeLeft(Head, Node.Wire.TimeLeft)
                                              .value_or(limits().HeadTimeout)),
           &caller_connection::onSlow);
  return true;
}

caller_request caller_connection::makeRequest() {
  const message_head &Head = Reader.head();
  const wire_names &Wire = Node.Wire;
  caller_request Request;
  Request.Id = Head.find(Wire.RequestId).value_or("");
  Request.Method = Head.method();
  Request.Target = Head.target();
  Request.Host = Head.find("host").value_or("");
  Request.ObjectKey = Head.find(Wire.ObjectKey).value_or("");
  Request.TimeLeft = timeLeft(Head, Wire.TimeLeft);
  Request.Arrived = RequestBegan;
  Request.HasBody = Head.find("content-length").has_value() ||
                    Head.find("transfer-encoding").has_value();
  for (std::size_t Index = 0; Index < Head.fieldCount(); ++Index) {
    const auto Field = Head.fieldAt(Index);
    // Those that this node sets itself must not come from a caller.
    const bool IsOurs = equalsIgnoringCase(Field.Name, Wire.TimeLeft) ||
                        equalsIgnoringCase(Field.Name, Wire.ExpectedTarget) ||
                        equalsIgnoringCase(Field.Name, "content-length") ||
                        equalsIgnoringCase(Field.Name, "expect");
    if (!IsOurs && !isHopByHop(Field.Name) &&
        !isNamedByConnection(Head, Field.Name))
      appendField(Request.Fields, Field.Name, Field.Value);
  }
  Request.Body = std::move(Reader.body());
  return Request;
}

void caller_connection::serve() {
  Node.Loop.cancel(Timer);
  exchange_caller &Caller = *this;
  Current = std::make_unique<exchange>(Node, Pool, Caller, makeRequest());
  Current->begin();
}

bool caller_connection::keepsAlive() const {
  return RequestKeepsAlive && !Node.IsLeaving;
}

void caller_connection::releaseBody() {
  Node.HeldBodyBytes -= HeldBytes;
  HeldBytes = 0;
}

void caller_connection::onAnswered() {
  Node.Retired.push_back(std::move(Current));
  releaseBody();
  if (!keepsAlive()) {
    end();
    return;
  }
  Reader.reset();
  setTimer(limits().IdleTimeout, &caller_connection::onIdle);
  Stream.resume();
  feedBacklog();
}

void caller_connection::cutShort() {
  Node.Retired.push_back(std::move(Current));
  Stream.closeWithReset();
  Node.Loop.cancel(Timer);
  Server.retire(*this);
}

void caller_connection::rejectAndEnd(int Status) {
  std::string Text;
  append(Text, "HTTP/1.1 ", Status, " ", reasonOf(Status), "\r\n");
  if (const auto Id = Reader.head().find(Node.Wire.RequestId))
    appendField(Text, Node.Wire.RequestId, *Id);
  if (Status == 503)
    appendField(Text, "Retry-After", "0.5");
  Text.append("Connection: close\r\nContent-Length: 0\r\n\r\n");
  Node.Log.write(log_kind::Trouble, "rejected",
                 {{"status", static_cast<std::int64_t>(Status)}},
                 Node.Loop.now());
  releaseBody();
  Stream.write(Text);
  end();
}

} // namespace amaranthhoist
