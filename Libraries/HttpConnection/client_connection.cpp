#include "HttpConnection/client_connection.h"

#include "Text/text.h"

namespace amaranthhoist {

/// Maximum size of a response head in bytes.
static constexpr std::size_t MaxResponseHeadBytes = 65'536;
/// Number of responses to other calls that are skipped before the connection is
/// considered out of sync.
static constexpr int MaxSkippedResponses = 2;
/// Interim responses (1xx) to one call; servers send one or two.
static constexpr int MaxInterimResponses = 16;
/// Body bytes of skipped responses, several times the largest response.
static constexpr std::size_t MaxSkippedBytes = 4'194'304;
/// A call without a response is first checked after one part in this many of
/// the peer's timeout. Most responses come sooner.
static constexpr int FirstCheckDivisor = 2;
/// Later checks. The kernel's timeout must not pass between two.
static constexpr int CheckDivisor = 4;

client_connection::client_connection(event_loop &Loop)
    : Loop(Loop), Stream(Loop, *this),
      Reader(message_kind::Response, MaxResponseHeadBytes) {}

void connection_deleter::operator()(client_connection *Connection) const {
  Connection->close();
  Connection->Loop.retire(std::unique_ptr<retirable>(Connection));
}

connection_handle makeConnection(event_loop &Loop) {
  return connection_handle(new client_connection(Loop));
}

bool client_connection::connect(const endpoint &Endpoint,
                                duration NewPeerTimeout) {
  PeerTimeout = NewPeerTimeout;
  auto Descriptor = connectTo(Endpoint, PeerTimeout);
  return Descriptor && Stream.open(*Descriptor, /*IsConnected=*/false);
}

void client_connection::call(call_owner &NewOwner, std::string_view Request,
                             bool IsHeadRequest) {
  Owner = &NewOwner;
  IsForHead = IsHeadRequest;
  HeadHandled = false;
  IsSkippingResponse = false;
  SkippedResponses = 0;
  InterimResponses = 0;
  SkippedBytes = 0;
  ++CallCount;
  Reader.reset(IsForHead);
  Stream.write(Request);
  checkPeerAfter(PeerTimeout / FirstCheckDivisor);
}

void client_connection::checkPeerAfter(duration Delay) {
  Loop.cancel(PeerCheck);
  PeerCheck = Loop.runAfter(Delay, [this] {
    PeerCheck = 0;
    // Before the connection is established, its kernel timeout alone counts.
    if (!Stream.isConnected() || Stream.checkPeer(PeerTimeout))
      checkPeerAfter(PeerTimeout / CheckDivisor);
  });
}

void client_connection::close() {
  Loop.cancel(PeerCheck);
  Owner = nullptr;
  IsReusable = false;
  Stream.close();
}

void client_connection::abort() {
  if (Owner)
    Stream.closeWithReset();
  close();
}

void client_connection::onConnected() { Stream.resume(); }

/// Parses `timeout=N` of the Keep-Alive field: the whole seconds for which the
/// server keeps an idle connection open.
static duration parseKeepAliveTimeout(const message_head &Head) {
  const auto Field = Head.find("keep-alive");
  if (!Field)
    return duration::zero();
  for (std::string_view Part : split(*Field, ',')) {
    Part = strip(Part);
    constexpr std::string_view Timeout = "timeout=";
    if (!Part.starts_with(Timeout))
      continue;
    const auto Seconds =
        parseNumber<std::uint32_t>(Part.substr(Timeout.size()));
    if (Seconds)
      return std::chrono::seconds(*Seconds);
  }
  return duration::zero();
}

void client_connection::handleHead() {
  HeadHandled = true;
  const message_head &Head = Reader.head();
  // Interim responses precede the final one.
  IsSkippingResponse = Head.status() / 100 == 1;
  if (IsSkippingResponse) {
    ++InterimResponses;
    return;
  }
  IsSkippingResponse = !Owner->onHead(Head);
  if (IsSkippingResponse) {
    // An extra response: the connection is out of sync and must not be reused
    // after the current call.
    IsReusable = false;
    ++SkippedResponses;
    return;
  }
  KeepAliveTimeout = parseKeepAliveTimeout(Head);
}

void client_connection::onBytes(std::string_view Bytes) {
  if (!Owner) {
    // No call is in flight, so that these bytes belong to no call.
    close();
    return;
  }
  while (!Bytes.empty()) {
    Bytes.remove_prefix(Reader.feed(Bytes));
    const read_state State = Reader.state();
    if (State == read_state::Malformed || State == read_state::HeadTooLarge) {
      failCall(/*Garbled=*/true);
      return;
    }
    if (!HeadHandled && State != read_state::InHead) {
      handleHead();
      if (!Owner)
        return;
    }
    if (IsSkippingResponse) {
      SkippedBytes += Reader.body().size();
      Reader.body().clear();
    }
    if (SkippedResponses > MaxSkippedResponses ||
        InterimResponses > MaxInterimResponses ||
        SkippedBytes > MaxSkippedBytes) {
      failCall(/*Garbled=*/true);
      return;
    }
    if (!IsSkippingResponse && HeadHandled && !Reader.body().empty())
      Owner->onBody(Reader.body());
    if (!Owner)
      return;
    if (State != read_state::Complete)
      return;
    if (!IsSkippingResponse) {
      finish(Bytes);
      return;
    }
    HeadHandled = false;
    IsSkippingResponse = false;
    Reader.reset(IsForHead);
  }
}

void client_connection::finish(std::string_view Trailing) {
  IsReusable = IsReusable && Reader.isKeepAlive() && Trailing.empty() &&
               Stream.pendingBytes() == 0 && Stream.isOpen() &&
               !Stream.isPeerSlow();
  IdleSince = Loop.now();
  Loop.cancel(PeerCheck);
  call_owner *Finished = Owner;
  Owner = nullptr;
  if (!IsReusable)
    Stream.close();
  Finished->onComplete();
}

void client_connection::failCall(bool Garbled) {
  call_owner *Failed = Owner;
  const call_failure Failure{!Stream.isConnected(), CallCount > 1,
                             Reader.hasStarted(), Garbled};
  close();
  if (Failed)
    Failed->onFailure(Failure);
}

void client_connection::onDisconnect(disconnect_reason Reason) {
  IsReusable = false;
  if (!Owner)
    return;
  if (Reason == disconnect_reason::Graceful && HeadHandled &&
      !IsSkippingResponse) {
    Reader.finishAtClose();
    if (Reader.state() == read_state::Complete) {
      finish({});
      return;
    }
  }
  failCall(/*Garbled=*/false);
}

} // namespace amaranthhoist
