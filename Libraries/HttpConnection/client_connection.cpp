#include "HttpConnection/client_connection.h"

#include "Text/text.h"

namespace amaranthhoist {

/// Longest head of an answer that is read.
static constexpr std::size_t MaxResponseHead = 65'536;
/// Answers to other calls that are skipped before a connection counts as out
/// of step.
static constexpr int MaxSkipped = 2;

client_connection::client_connection(event_loop &Loop)
    : Loop(Loop), Stream(Loop, *this),
      Reader(message_kind::Response, MaxResponseHead) {}

bool client_connection::connect(const endpoint &Endpoint, duration Silence) {
  auto Descriptor = connectTo(Endpoint, Silence);
  return Descriptor && Stream.open(*Descriptor, /*IsConnected=*/false);
}

void client_connection::call(call_owner &NewOwner, std::string_view Request,
                             bool ToHead) {
  Owner = &NewOwner;
  IsHead = ToHead;
  HeadTaken = false;
  Skipping = false;
  Skipped = 0;
  ++Calls;
  Reader.reset(IsHead);
  Stream.write(Request);
}

void client_connection::close() {
  Owner = nullptr;
  IsReusable = false;
  Stream.close();
}

void client_connection::onConnected() { Stream.resume(); }

/// How long the server keeps an idle connection: `timeout=N` in whole seconds.
static duration keptFor(const message_head &Head) {
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

void client_connection::takeHead() {
  HeadTaken = true;
  const message_head &Head = Reader.head();
  // Interim answers precede the real one.
  Skipping = Head.status() / 100 == 1;
  if (Skipping)
    return;
  Skipping = !Owner->onHead(Head);
  if (Skipping) {
    // An answer too many: this connection is out of step, and what comes next
    // on it can't be trusted beyond the present call.
    IsReusable = false;
    ++Skipped;
    return;
  }
  KeptFor = keptFor(Head);
}

void client_connection::onBytes(std::string_view Bytes) {
  if (!Owner) {
    // Nothing was asked: whatever this is belongs to no call.
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
    if (!HeadTaken && State != read_state::InHead) {
      takeHead();
      if (!Owner)
        return;
      if (Skipped > MaxSkipped) {
        failCall(/*Garbled=*/true);
        return;
      }
    }
    if (Skipping)
      Reader.body().clear();
    else if (HeadTaken && !Reader.body().empty())
      Owner->onBody(Reader.body());
    if (!Owner)
      return;
    if (State != read_state::Complete)
      return;
    if (!Skipping) {
      finish(Bytes);
      return;
    }
    HeadTaken = false;
    Skipping = false;
    Reader.reset(IsHead);
  }
}

void client_connection::finish(std::string_view Rest) {
  IsReusable = IsReusable && Reader.keepsAlive() && Rest.empty() &&
               Stream.pending() == 0 && Stream.isOpen();
  IdleSince = Loop.now();
  call_owner *Finished = Owner;
  Owner = nullptr;
  if (!IsReusable)
    Stream.close();
  Finished->onComplete();
}

void client_connection::failCall(bool Garbled) {
  call_owner *Failed = Owner;
  const call_failure Failure{!Stream.isConnected(), Calls > 1,
                             Reader.hasBegun(), Garbled};
  close();
  if (Failed)
    Failed->onFailure(Failure);
}

void client_connection::onEnd(stream_end End) {
  IsReusable = false;
  if (!Owner)
    return;
  if (End == stream_end::InOrder && HeadTaken && !Skipping) {
    Reader.feedEnd();
    if (Reader.state() == read_state::Complete) {
      finish({});
      return;
    }
  }
  failCall(/*Garbled=*/false);
}

} // namespace amaranthhoist
