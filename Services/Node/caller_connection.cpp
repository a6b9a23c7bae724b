#include "caller_connection.h"

#include "Quarantine/quarantine.h"
#include "Text/text.h"
#include "caller_server.h"

namespace amaranthhoist {

/// Bytes of later requests that are taken in while others are served: reading
/// on shows when the caller goes away.
static constexpr std::size_t MostBacklog = 65'536;
/// Requests of one connection that are served at a time. Served one after the
/// other, a request waits for all before it, and 6 % of them on a calm day, 9 %
/// on a heavy one, took over half of their objective to reach a server. Worth
/// +0.026 where callers send ahead (30 pairs). Bounded, since each may hold an
/// answer back.
static constexpr std::size_t MostAtATime = 8;
/// A caller that was told that the connection ends has this long to close it.
static constexpr duration EndingTime = std::chrono::seconds(1);
/// Head sizes are checked against the configuration; this bounds them before
/// there is one.
static constexpr std::size_t HardHeadLimit = 65'536;
/// Part of the memory limit that requests' bodies may fill.
static constexpr std::size_t BodyMemoryPart = 4;

static constexpr std::string_view ContinueHead =
    "HTTP/1.1 100 Continue\r\n\r\n";

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
  while (!Slots.empty()) {
    // Work that goes on is kept by the server until it is over.
    if (auto Exchange = Slots.front()->callerLeft())
      Server.adopt(std::move(Exchange));
    retireFirst();
  }
  Server.retire(*this);
}

void caller_connection::onBytes(std::string_view Bytes) {
  if (IsEnding)
    return;
  LastBytesAt = Node.Loop.now();
  Backlog.append(Bytes);
  if (!Slots.empty() && Backlog.size() > MostBacklog)
    Stream.pause();
  readOn();
}

void caller_connection::onDrained() {
  if (!Slots.empty())
    Slots.front()->callerDrained();
}

/// Whether the next request may be read while others are served.
bool caller_connection::mayReadOn() const {
  if (IsEnding || IsClosing || Held || HeldRejection)
    return false;
  // What a leaving node takes here would only keep it from ending.
  return Slots.empty() || (Slots.size() < MostAtATime && !Node.IsLeaving);
}

void caller_connection::readOn() {
  if (IsReading)
    return;
  IsReading = true;
  std::size_t Taken = 0;
  while (Taken < Backlog.size() && mayReadOn()) {
    const std::size_t Read = read(std::string_view(Backlog).substr(Taken));
    Taken += Read;
    if (Read == 0)
      break;
  }
  Backlog.erase(0, Taken);
  IsReading = false;
}

std::size_t caller_connection::read(std::string_view Bytes) {
  if (!Reader.hasBegun()) {
    RequestBegan = LastBytesAt;
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
    takeRequest();
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
      Expect && equalsIgnoringCase(*Expect, "100-continue")) {
    OwesContinue = !Slots.empty();
    if (!OwesContinue)
      Stream.write(ContinueHead);
  }
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
  Request.Content = contentHash(
      {Request.Method, Request.Host, Request.Target, Request.ObjectKey,
       Head.find("authorization").value_or(""), Request.Body});
  return Request;
}

/// If an answer ends the connection, the caller sends everything behind it
/// again, also what mustn't run twice, since nobody told it that it had been
/// taken. Such work has to wait until the answers before it are out.
bool caller_connection::mayServeBeside(const caller_request &Request) const {
  return Slots.empty() || classOf(Node.Steering, Request.Host,
                                  Request.path()) == work_class::Idempotent;
}

/// A request is whole.
void caller_connection::takeRequest() {
  Node.Loop.cancel(Timer);
  caller_request Request = makeRequest();
  Reader.reset();
  if (mayServeBeside(Request))
    serve(std::move(Request));
  else
    Held = std::move(Request);
}

void caller_connection::serve(caller_request Request) {
  IsClosing = !RequestKeepsAlive;
  slot_owner &Owner = *this;
  Slots.push_back(std::make_unique<answer_slot>(
      Node, Pool, Owner, std::move(Request), RequestKeepsAlive, HeldBytes));
  // Counted by the slot from here.
  HeldBytes = 0;
  Slots.back()->begin();
}

bool caller_connection::isFirst(const answer_slot &Slot) const {
  return !Slots.empty() && Slots.front().get() == &Slot;
}

/// While a node leaves, only the last of the requests that were taken ends the
/// connection: those behind it are with servers already.
bool caller_connection::goesOnAfter(const answer_slot &Slot) {
  const bool IsLast = Slots.back().get() == &Slot;
  const bool GoesOn = Slot.asksToKeepAlive() && !(Node.IsLeaving && IsLast);
  IsClosing = IsClosing || !GoesOn;
  return GoesOn;
}

void caller_connection::retireFirst() {
  Node.Retired.push_back(std::move(Slots.front()));
  Slots.pop_front();
}

void caller_connection::onFirstOver() {
  while (!Slots.empty() && Slots.front()->isOver()) {
    const bool IsCut = Slots.front()->isCut();
    const bool SaysClose = Slots.front()->saysClose();
    retireFirst();
    if (IsCut) {
      Stream.closeWithReset();
      onEnd(stream_end::Broken);
      return;
    }
    if (SaysClose) {
      end();
      return;
    }
    if (!Slots.empty())
      Slots.front()->becomeFirst();
  }
  if (Slots.empty())
    afterLastAnswer();
  Stream.resume();
  readOn();
}

/// Goes on with what had to wait for the answers before it.
void caller_connection::afterLastAnswer() {
  if (HeldRejection) {
    writeRejection(*HeldRejection);
    return;
  }
  if (OwesContinue)
    Stream.write(ContinueHead);
  OwesContinue = false;
  if (Held) {
    caller_request Request = std::move(*Held);
    Held.reset();
    serve(std::move(Request));
    return;
  }
  if (!Reader.hasBegun())
    setTimer(limits().IdleTimeout, &caller_connection::onIdle);
}

void caller_connection::noteCutOff() const {
  for (const auto &Slot : Slots)
    Slot->noteCutOff();
}

void caller_connection::releaseBody() {
  Node.HeldBodyBytes -= HeldBytes;
  HeldBytes = 0;
}

void caller_connection::rejectAndEnd(int Status) {
  if (Slots.empty())
    writeRejection(Status);
  else
    HeldRejection = Status;
}

void caller_connection::writeRejection(int Status) {
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
