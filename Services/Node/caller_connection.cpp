#include "caller_connection.h"

#include "Quarantine/quarantine.h"
#include "Text/text.h"
#include "caller_server.h"

namespace amaranthhoist {

/// Time a caller has to close the connection after it was told that the
/// connection ends.
static constexpr duration CloseTimeout = std::chrono::seconds(1);
/// Request bodies may use one part in this many of the memory limit.
static constexpr std::size_t BodyMemoryDivisor = 4;

static constexpr std::string_view ContinueHead =
    "HTTP/1.1 100 Continue\r\n\r\n";

caller_connection::caller_connection(node &Node, target_pool &Pool,
                                     caller_server &Server)
    : Node(Node), Pool(Pool), Server(Server), Stream(Node.Loop, *this),
      Reader(message_kind::Request, maxHeadBytes()), Input(Node.RequestMemory),
      Memory(Node.ResponseMemory) {
  Node.RequestMemory.Holders.insert(this);
  updateMemory();
}

caller_connection::~caller_connection() {
  Node.RequestMemory.Holders.erase(this);
  Node.Loop.cancel(Timer);
  Node.Turns.cancel(Turn);
  releaseBody();
}

const request_limits &caller_connection::limits() const {
  static const request_limits Defaults;
  return Node.Steering.Routes ? Node.Steering.Routes->Configuration.Limits
                              : Defaults;
}

bool caller_connection::open(int Descriptor) {
  recordActivity();
  Stream.limitReads(inputAllowance(Node.RequestMemory));
  setTimer(limits().IdleTimeout, &caller_connection::onIdleTimeout);
  return Stream.open(Descriptor, /*IsConnected=*/true);
}

void caller_connection::setTimer(duration Delay,
                                 void (caller_connection::*Function)()) {
  Node.Loop.cancel(Timer);
  Timer = Node.Loop.runAfter(Delay, [this, Function] {
    Timer = 0;
    (this->*Function)();
  });
}

void caller_connection::onIdleTimeout() { closeGracefully(); }

void caller_connection::onReadTimeout() { rejectAndClose(408); }

void caller_connection::closeIfIdle() {
  if (!isBusy() && !IsClosing)
    closeGracefully();
}

void caller_connection::closeGracefully() {
  if (IsClosing)
    return;
  IsClosing = true;
  Stream.shutdownWhenFlushed();
  if (Stream.pendingBytes() > 0)
    waitForFlush();
  else
    setTimer(CloseTimeout, &caller_connection::closeNow);
  // Closing with unread input would reset the connection, and discard what the
  // kernel still holds of the responses.
  Stream.resume();
}

void caller_connection::waitForFlush() {
  PendingAtWaitStart = Stream.pendingBytes();
  setTimer(limits().IdleTimeout, &caller_connection::onFlushTimeout);
}

void caller_connection::onFlushTimeout() {
  if (Stream.pendingBytes() < PendingAtWaitStart) {
    waitForFlush();
    return;
  }
  logUnsent("caller_stalled");
  Stream.closeWithReset();
  Server.retire(*this);
}

void caller_connection::logUnsent(std::string_view Why) {
  removeSent(Unsent, Stream.pendingBytes());
  for (const auto &Response : Unsent.Responses)
    Node.Log.write(
        log_kind::RequestFailure, "answer_cut",
        {{"request", Response.RequestId},
         {"why", Why},
         {"unsent_bytes", static_cast<std::int64_t>(Stream.pendingBytes())}},
        Node.Loop.now());
}

void caller_connection::closeNow() {
  Stream.close();
  Server.retire(*this);
}

void caller_connection::onDisconnect(disconnect_reason /*End*/) {
  Input.set(0);
  Node.Loop.cancel(Timer);
  Node.Turns.cancel(Turn);
  dropRequests();
  Server.retire(*this);
}

void caller_connection::dropRequests() {
  while (!Slots.empty()) {
    if (auto Exchange = Slots.front()->onCallerDisconnected())
      Server.adopt(std::move(Exchange));
    retireFirst();
  }
}

void caller_connection::endAfterAbort() {
  if (!HasSentResponse) {
    Stream.closeWithReset();
    onDisconnect(disconnect_reason::ConnectionLost);
    return;
  }
  // A reset would discard what the network still holds of the complete
  // responses. The broken one shows by its length or its missing last chunk.
  dropRequests();
  closeGracefully();
}

void caller_connection::onBytes(std::string_view Bytes) {
  if (IsClosing)
    return;
  LastBytesAt = Node.Loop.now();
  recordActivity();
  // No request behind the last one is served.
  if (!isLastRequestTaken())
    Backlog.append(Bytes);
  processBacklog();
}

void caller_connection::onPartlyFlushed() {
  recordActivity();
  Memory.set(Stream.pendingBytes());
}

void caller_connection::onFlushed() {
  recordActivity();
  Unsent.Responses.clear();
  Memory.set(0);
  if (!Slots.empty())
    Slots.front()->onCallerDrained();
  else if (IsClosing)
    setTimer(CloseTimeout, &caller_connection::closeNow);
  else if (!Reader.hasStarted())
    setTimer(limits().IdleTimeout, &caller_connection::onIdleTimeout);
  // Requests may wait because of the unsent bytes.
  processBacklog();
}

void caller_connection::sendNow(std::string_view Bytes) {
  Unsent.WrittenBytes += Bytes.size();
  Stream.write(Bytes);
  Memory.set(Stream.pendingBytes());
}

std::size_t caller_connection::feedReader(std::string_view Bytes) {
  if (!Reader.hasStarted()) {
    RequestStartedAt = LastBytesAt;
    IsHeadHandled = false;
    Reader.setMaxHeadBytes(maxHeadBytes());
    setTimer(limits().HeadTimeout, &caller_connection::onReadTimeout);
  }
  const std::size_t Taken = Reader.feed(Bytes);
  const read_state State = Reader.state();
  if (State == read_state::Malformed) {
    rejectAndClose(400);
    return Taken;
  }
  if (State == read_state::HeadTooLarge) {
    rejectAndClose(431);
    return Taken;
  }
  if (State == read_state::InHead)
    return Taken;
  if (!IsHeadHandled && !handleHead())
    return Taken;
  const std::size_t NewBytes = Reader.body().capacity() - BufferedBodyBytes;
  BufferedBodyBytes += NewBytes;
  Node.BufferedBodyBytes += NewBytes;
  if (Reader.body().size() > limits().MaxBodyBytes)
    rejectAndClose(413);
  else if (Node.BufferedBodyBytes >
           static_cast<std::size_t>(Node.Settings.MemoryMb) * 1'000'000 /
               BodyMemoryDivisor)
    rejectAndClose(503);
  else if (State == read_state::Complete)
    handleRequest();
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

/// Validates the request head. Returns false when the request was rejected.
bool caller_connection::handleHead() {
  IsHeadHandled = true;
  const message_head &Head = Reader.head();
  RequestKeepsAlive = Reader.isKeepAlive();
  const bool HasTarget =
      Head.target().starts_with("/") && Head.method() != "CONNECT";
  if (!HasTarget || Head.count("host") != 1) {
    rejectAndClose(400);
    return false;
  }
  if (Reader.contentLength().value_or(0) > limits().MaxBodyBytes) {
    rejectAndClose(413);
    return false;
  }
  if (Reader.state() == read_state::Complete)
    return true;
  if (const auto Expect = Head.find("expect");
      Expect && equalsIgnoringCase(*Expect, "100-continue")) {
    IsContinuePending = !Slots.empty();
    if (!IsContinuePending)
      sendNow(ContinueHead);
  }
  // The body may take as long as the caller waits for the response.
  setTimer(std::max(limits().HeadTimeout, timeLeft(Head, Node.Wire.TimeLeft)
                                              .value_or(limits().HeadTimeout)),
           &caller_connection::onReadTimeout);
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
  if (Head.count(Wire.ApiKey) == 1)
    Request.ApiKey = *Head.find(Wire.ApiKey);
  Request.TimeLeft = timeLeft(Head, Wire.TimeLeft);
  Request.ArrivedAt = RequestStartedAt;
  Request.HasBody = Head.find("content-length").has_value() ||
                    Head.find("transfer-encoding").has_value();
  const bool IsFromPeer = Server.kind() == caller_kind::Peer;
  const forwarding_fields Forwarding =
      IsFromPeer ? decodeForwardingFields(Head, Wire.TimeLeft)
                 : forwarding_fields();
  if (IsFromPeer)
    Request.Forwarded = Forwarding.Request;
  const connection_options Options(Head);
  for (std::size_t Index = 0; Index < Head.fieldCount(); ++Index) {
    const auto Field = Head.fieldAt(Index);
    if (Forwarding.contains(Index))
      continue;
    // Fields that this node sets itself must not come from a caller, and the
    // caller's secret is for this node alone.
    const bool IsOurs = equalsIgnoringCase(Field.Name, Wire.ApiKey) ||
                        equalsIgnoringCase(Field.Name, Wire.Account) ||
                        equalsIgnoringCase(Field.Name, Wire.TimeLeft) ||
                        equalsIgnoringCase(Field.Name, Wire.ExpectedTarget) ||
                        equalsIgnoringCase(Field.Name, "content-length") ||
                        equalsIgnoringCase(Field.Name, "expect");
    if (!IsOurs && !isHopByHop(Field.Name) && !Options.contains(Field.Name))
      appendField(Request.Fields, Field.Name, Field.Value);
  }
  Request.Body = std::move(Reader.body());
  const client_account *Account = findAccount(Node.Steering, Request.ApiKey);
  std::string_view AccountName = Account ? Account->Name : std::string_view();
  if (Request.Forwarded)
    AccountName = Request.Forwarded->Account;
  Request.Content = contentHash(
      {Request.Method, Request.Host, Request.Target, Request.ObjectKey,
       Head.find("authorization").value_or(""), Request.Body, AccountName});
  return Request;
}

/// If a response closes the connection, the caller resends all later requests,
/// including those that must not run twice, because nothing tells it that they
/// were accepted. Non-idempotent requests therefore wait until all earlier
/// responses are sent.
bool caller_connection::mayServeConcurrently(
    const caller_request &Request) const {
  return Slots.empty() ||
         findWorkClass(Node.Steering, Request.Host, Request.path()) ==
             work_class::Idempotent;
}

/// Called when a request is complete.
void caller_connection::handleRequest() {
  Node.Loop.cancel(Timer);
  caller_request Request = makeRequest();
  Reader.reset();
  if (mayServeConcurrently(Request))
    serve(std::move(Request));
  else
    DeferredRequest = std::move(Request);
}

void caller_connection::serve(caller_request Request) {
  IsLastRequestRead = !RequestKeepsAlive;
  slot_owner &Owner = *this;
  Slots.push_back(
      std::make_unique<response_slot>(Node, Pool, Owner, std::move(Request),
                                      RequestKeepsAlive, BufferedBodyBytes));
  // The slot accounts for these bytes from here on.
  BufferedBodyBytes = 0;
  Slots.back()->start();
}

bool caller_connection::isFirst(const response_slot &Slot) const {
  return !Slots.empty() && Slots.front().get() == &Slot;
}

/// While the node shuts down, only the last accepted request closes the
/// connection, since the requests behind an earlier one are already at servers.
bool caller_connection::keepsAliveAfter(const response_slot &Slot) {
  const bool IsLast = Slots.back().get() == &Slot;
  const bool GoesOn =
      Slot.requestsKeepAlive() && !(Node.IsShuttingDown && IsLast);
  IsLastRequestRead = IsLastRequestRead || !GoesOn;
  return GoesOn;
}

void caller_connection::retireFirst() {
  Node.Loop.retire(std::move(Slots.front()));
  Slots.pop_front();
}

void caller_connection::onFirstDone() {
  while (!Slots.empty() && Slots.front()->isDone()) {
    const bool IsAborted = Slots.front()->isAborted();
    const bool ClosesConnection = Slots.front()->closesConnection();
    if (!IsAborted)
      recordWritten(Unsent, Slots.front()->requestId(), Stream.pendingBytes());
    retireFirst();
    if (IsAborted) {
      endAfterAbort();
      return;
    }
    HasSentResponse = true;
    if (ClosesConnection) {
      closeGracefully();
      return;
    }
    if (!Slots.empty())
      Slots.front()->onBecameFirst();
  }
  if (Slots.empty())
    onAllResponsesSent();
  processBacklog();
}

/// Continues with work that was deferred until the earlier responses were sent.
void caller_connection::onAllResponsesSent() {
  if (DeferredRejection) {
    writeRejection(*DeferredRejection);
    return;
  }
  if (IsContinuePending)
    sendNow(ContinueHead);
  IsContinuePending = false;
  if (DeferredRequest) {
    caller_request Request = std::move(*DeferredRequest);
    DeferredRequest.reset();
    serve(std::move(Request));
    return;
  }
  if (Reader.hasStarted())
    return;
  if (Stream.pendingBytes() > 0)
    waitForFlush();
  else
    setTimer(limits().IdleTimeout, &caller_connection::onIdleTimeout);
}

void caller_connection::logAborted() {
  logUnsent("process_ended");
  for (const auto &Slot : Slots)
    Slot->logAborted();
}

void caller_connection::releaseBody() {
  Node.BufferedBodyBytes -= BufferedBodyBytes;
  BufferedBodyBytes = 0;
}

void caller_connection::rejectAndClose(int Status) {
  if (Slots.empty())
    writeRejection(Status);
  else
    DeferredRejection = Status;
}

void caller_connection::writeRejection(int Status) {
  std::string Text;
  append(Text, "HTTP/1.1 ", Status, " ", reasonPhrase(Status), "\r\n");
  if (const auto Id = Reader.head().find(Node.Wire.RequestId))
    appendField(Text, Node.Wire.RequestId, *Id);
  if (Status == 503)
    appendField(Text, "Retry-After", "0.5");
  Text.append("Connection: close\r\nContent-Length: 0\r\n\r\n");
  Node.Log.write(log_kind::RequestFailure, "rejected",
                 {{"status", static_cast<std::int64_t>(Status)}},
                 Node.Loop.now());
  releaseBody();
  sendNow(Text);
  closeGracefully();
}

} // namespace amaranthhoist
