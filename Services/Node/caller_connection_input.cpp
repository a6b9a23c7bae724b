/// The part of a caller's connection that decides how much it reads, and what
/// it may hold.
#include "caller_connection.h"

#include "caller_server.h"

namespace amaranthhoist {

/// Maximum number of requests of one connection that are served concurrently.
/// Served one after the other, a request waits for all earlier ones, and 6 % of
/// them on a calm day, 9 % on a heavy one, took over half of their objective to
/// reach a server. Concurrency is worth +0.026 where callers pipeline (30
/// pairs). It is bounded because each request may buffer a response.
static constexpr std::size_t MaxConcurrentRequests = 8;
/// A buffer for pipelined requests up to this size is kept once it is empty.
static constexpr std::size_t MaxKeptBacklog = 4'096;
/// A connection with its timer, and its place in the server.
static constexpr std::size_t ConnectionBytes = sizeof(caller_connection) + 512;
/// A caller that has taken nothing for this long may be closed for a new one.
static constexpr duration StallTime = std::chrono::seconds(1);
/// The operators' limit needn't count the start line, nor what another instance
/// adds to a forwarded request.
static constexpr std::size_t StartLineBytes = 4'096;
static constexpr std::size_t StatementBytes = 4'096;

std::size_t caller_connection::heldBytes() const {
  std::size_t Sum = Input.bytes();
  for (const auto &Slot : Slots)
    Sum += Slot->heldBytes();
  return Sum;
}

void caller_connection::drop() {
  Stream.closeWithReset();
  onDisconnect(disconnect_reason::ConnectionLost);
}

bool caller_connection::isInactive() const {
  if (Stream.pendingBytes() > 0)
    return Node.Loop.now() - LastActivityAt >= StallTime;
  return Slots.empty() && !DeferredRequest;
}

void caller_connection::closeForNew() {
  logUnsent("closed_for_others");
  Node.Metrics.incrementCounter("amaranthhoist_connections_replaced_total");
  drop();
}

void caller_connection::recordActivity() {
  LastActivityAt = Node.Loop.now();
  Server.touch(*this);
}

void caller_connection::updateMemory() {
  if (Backlog.empty() && Backlog.capacity() > MaxKeptBacklog)
    Backlog.shrink_to_fit();
  Input.set(ConnectionBytes + Backlog.capacity() + Reader.headMemory() +
            (DeferredRequest ? memoryOf(*DeferredRequest) : 0));
}

std::size_t caller_connection::maxHeadBytes() const {
  const bool IsFromPeer = Server.kind() == caller_kind::Peer;
  return limits().MaxHeadBytes + StartLineBytes +
         (IsFromPeer ? StatementBytes : 0);
}

bool caller_connection::isLastRequestTaken() const {
  return IsLastRequestRead || DeferredRejection.has_value();
}

/// Returns whether the next request may be parsed while others are served.
bool caller_connection::mayReadNext() const {
  if (IsClosing || DeferredRequest || isLastRequestTaken())
    return false;
  if (!Reader.hasStarted() &&
      Stream.pendingBytes() > unsentAllowance(Node.ResponseMemory))
    return false;
  // Nobody waits for the response to a request that is read only now.
  if (Stream.hasPeerDisconnected())
    return false;
  // A request accepted while the node shuts down would delay its exit.
  return Slots.empty() ||
         (Slots.size() < MaxConcurrentRequests && !Node.IsShuttingDown);
}

void caller_connection::processBacklog() {
  // Responses may end, and this be called, while a request is begun.
  if (IsReading)
    return;
  if (Turn == 0) {
    IsReading = true;
    takeRequests();
    IsReading = false;
  }
  updateMemory();
  if (!IsClosing)
    updateReading();
}

/// A caller may send far more requests at once than it may expect to be served.
/// Each that is begun needs memory until the iteration ends, even if it is
/// refused at once, and keeps the loop from other callers.
void caller_connection::takeRequests() {
  if (BegunIn != Node.Loop.iteration()) {
    BegunIn = Node.Loop.iteration();
    Begun = 0;
  }
  std::size_t Taken = 0;
  while (Taken < Backlog.size() && mayReadNext()) {
    if (Begun >= Node.Settings.RequestsPerTurn) {
      waitForTurn();
      break;
    }
    const std::size_t Consumed =
        feedReader(std::string_view(Backlog).substr(Taken));
    Taken += Consumed;
    if (Consumed == 0)
      break;
    Begun += Reader.hasStarted() ? 0 : 1;
  }
  if (IsClosing || isLastRequestTaken())
    Backlog.clear();
  else
    Backlog.erase(0, Taken);
}

void caller_connection::waitForTurn() {
  Node.Metrics.incrementCounter("amaranthhoist_request_turns_total");
  Turn = Node.Turns.add([this] {
    Turn = 0;
    processBacklog();
  });
}

/// Reads on only while little is buffered. Reading detects when the caller
/// disconnects.
void caller_connection::updateReading() {
  const std::size_t Allowance = inputAllowance(Node.RequestMemory);
  Stream.limitReads(Allowance);
  if (Backlog.size() > Allowance)
    Stream.pause();
  else
    Stream.resume();
}

} // namespace amaranthhoist
