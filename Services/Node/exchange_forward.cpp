/// The part of an exchange that forwards a request to another instance.
#include "exchange.h"

#include "Text/text.h"

namespace amaranthhoist {

/// Instances that one request is forwarded to at most; each refuses within a
/// round trip.
static constexpr std::size_t MaxPeersPerRequest = 4;
/// Instances are reached within a round trip between the farthest regions.
static constexpr duration PeerConnectTimeout = std::chrono::milliseconds(250);
static constexpr duration PeerAckTimeout = std::chrono::milliseconds(1'200);

void exchange::updateReachability(attempt_result Result) {
  reachability &Reachability = Node.Steering.Reachability;
  const instant Now = Node.Loop.now();
  if (Result == attempt_result::Unreachable) {
    Pool.onPathChange(
        recordConnectFailure(Reachability, Node.Steering.Targets, *Target, Now),
        *Target);
    return;
  }
  const bool HasResponded = Result == attempt_result::Answered ||
                            Result == attempt_result::Shed ||
                            Result == attempt_result::Replaced;
  if (HasResponded)
    recordResponse(Reachability, *Target, AttemptStartedAt);
}

const fleet_member *exchange::findPeer() const {
  if (Request.Forwarded || TriedPeers.size() >= MaxPeersPerRequest)
    return nullptr;
  return choosePeer(
      Node.Forwarding, Node.Fleet,
      {Plan.Service, Plan.HomeRegions, TriedPeers, stableHash(Request.Id)},
      Node.Loop.now());
}

const fleet_member *exchange::preferredPeer() {
  const bool ReachesBest =
      Request.Forwarded ||
      !isImpaired(Node.Steering.Reachability, Plan.Service) ||
      reachesBestTarget(Node.Steering, Plan, Node.Loop.now());
  return ReachesBest ? nullptr : findPeer();
}

bool exchange::isForWantOfPaths(refusal Reason) const {
  const bool IsImpaired = isImpaired(Node.Steering.Reachability, Plan.Service);
  if (Reason == refusal::Overloaded)
    return IsImpaired;
  return Reason == refusal::NoTarget &&
         (IsImpaired ||
          hasUnreachableTargets(Node.Steering, Plan, Node.Loop.now()));
}

void exchange::forwardOrRefuse(refusal Reason) {
  const bool IsForWantOfPaths = isForWantOfPaths(Reason);
  const fleet_member *Member = IsForWantOfPaths ? findPeer() : nullptr;
  if (Member) {
    if (acquireQuota())
      startForwarding(*Member);
    return;
  }
  // The servers in reach are full, and the instance that forwarded the request
  // may ask others.
  const bool ConcernsThisAlone = IsForWantOfPaths && Request.Forwarded;
  refuse(ConcernsThisAlone ? refusal::NoTarget : Reason);
}

bool exchange::retryAtPeer() {
  const fleet_member *Member = findPeer();
  if (!Member || !acquireRetryQuota() ||
      !mayRetry(Node.Steering, Plan, Node.Loop.now()))
    return false;
  startForwarding(*Member);
  return true;
}

/// The number of servers that the peer may send the request to. One attempt is
/// kept for the case that the peer dies and it is unknown how many it made. A
/// retry of an account's request needs its key or a token, which this instance
/// alone has.
int exchange::attemptsForPeer() const {
  const int Left = Plan.MaxAttempts - Plan.DeliveredAttempts;
  return Plan.Account.empty() ? std::max(1, Left - 1) : 1;
}

std::string exchange::encodeForwarded() const {
  const duration Left = Plan.Deadline - Node.Loop.now();
  std::string Text;
  Text.reserve(256 + Request.Fields.size() + Request.Body.size());
  append(Text, Request.Method, " ", Request.Target, " HTTP/1.1\r\n",
         encodeForwardingFields(
             {Plan.Account, attemptsForPeer(), configurationVersion(Node)},
             Node.Wire.TimeLeft,
             std::max<std::int64_t>(1, Left.count() / 1'000)),
         Request.Fields);
  if (Request.HasBody)
    appendField(Text, "Content-Length", cat(Request.Body.size()));
  append(Text, "\r\n", Request.Body);
  return Text;
}

void exchange::startForwarding(const fleet_member &Member) {
  HoldsToken = false;
  HasResponseHead = false;
  ServerDidNotRun = false;
  ResponseBytes = 0;
  PeerAttempts.reset();
  Peer = Member.Name;
  TriedPeers.push_back(Peer);
  AttemptStartedAt = Node.Loop.now();
  recordForwardingStart(Node.Forwarding, AttemptStartedAt);
  Attempts.push_back({Peer, AttemptStartedAt, {}, {}});
  count(Node.Requests.Forwarded);
  Node.Log.write(log_kind::Attempt, "forwarded",
                 {{"request", Request.Id},
                  {"content", ContentName},
                  {"peer", Peer},
                  {"version", configurationVersion(Node)},
                  {"left_us", static_cast<std::int64_t>(
                                  (Plan.Deadline - AttemptStartedAt).count())}},
                 AttemptStartedAt);
  Connection = makeConnection(Node.Loop);
  const auto Endpoint = parseEndpoint(Member.Peer);
  if (!Endpoint || !Connection->connect(*Endpoint, PeerAckTimeout)) {
    onPeerFailure({.NotConnected = true});
    return;
  }
  ConnectTimer =
      Node.Loop.runAfter(PeerConnectTimeout, [this] { onConnectTimeout(); });
  Connection->call(*this, encodeForwarded(), Request.Method == "HEAD");
}

bool exchange::onPeerHead(const message_head &Head) {
  const auto Id = Head.find(Node.Wire.RequestId);
  if (Id && *Id != Request.Id)
    return false;
  Node.Loop.cancel(ConnectTimer);
  HasResponseHead = true;
  const bool IsSigned = Head.find(Node.Wire.Signature).has_value();
  // An earlier build passes a server's field of this name on.
  if (const auto Field = Head.find(AttemptsField); Field && !IsSigned)
    PeerAttempts = parseNumber<int>(*Field);
  const auto AskOthers = Head.find(AskOthersField);
  PeerRefusedAlone = AskOthers.has_value();
  PeerIsBusy = AskOthers == BusyValue;
  ServerDidNotRun = PeerAttempts.has_value();
  const bool ClaimsSuccess = Head.status() / 100 == 2;
  if (ClaimsSuccess && (!Id || !IsSigned)) {
    onPeerFailure({.HadResponseBytes = true, .IsMalformed = true});
    return true;
  }
  storeResponseHead(Head);
  return true;
}

/// Whether a response that an instance made itself states that the request has
/// not run and never will.
static bool promisesNotRun(int Status) {
  return Status != 502 && Status != 504;
}

void exchange::onPeerComplete() {
  dropConnection();
  if (!PeerAttempts) {
    Plan.MayHaveRun = true;
    finishForwarding(forwarding_result::Served);
    finishResponse();
    return;
  }
  Plan.DeliveredAttempts += *PeerAttempts;
  if (!promisesNotRun(Status)) {
    Plan.MayHaveRun = true;
    finishForwarding(forwarding_result::Served);
    giveUp(Status, "peer_gave_up");
    return;
  }
  keepToken();
  const bool AsksOthers = PeerRefusedAlone && *PeerAttempts == 0;
  const auto Refused =
      PeerIsBusy ? forwarding_result::Busy : forwarding_result::Refused;
  finishForwarding(AsksOthers ? Refused : forwarding_result::Served);
  BufferedBody.clear();
  if (!Caller) {
    finish();
    return;
  }
  if (AsksOthers && (!confirmCaller() || retryAtPeer()))
    return;
  if (Plan.MayHaveRun)
    giveUp(502, "attempt_failed");
  else
    refuse(AsksOthers ? refusal::NoTarget : refusal::Overloaded);
}

void exchange::onPeerFailure(const call_failure &Failure) {
  dropConnection();
  finishForwarding(forwarding_result::Failed);
  if (Failure.NotConnected) {
    keepToken();
  } else {
    Plan.DeliveredAttempts += attemptsForPeer();
    Plan.MayHaveRun = true;
  }
  if (!Caller) {
    finish();
    return;
  }
  if (IsStreaming) {
    log(log_kind::RequestFailure, "answer_cut", "peer_broke_off", Status);
    Caller->abortResponse();
    finish();
    return;
  }
  BufferedBody.clear();
  if (!confirmCaller() || retryAtPeer())
    return;
  if (Plan.MayHaveRun)
    giveUp(502, "attempt_failed");
  else
    refuse(refusal::NoTarget);
}

static std::string_view toString(forwarding_result Result) {
  switch (Result) {
  case forwarding_result::Served:
    return "served";
  case forwarding_result::Refused:
    return "refused";
  case forwarding_result::Busy:
    return "busy";
  case forwarding_result::Failed:
    return "failed";
  }
  return "unknown";
}

void exchange::finishForwarding(forwarding_result Result) {
  const instant Now = Node.Loop.now();
  recordForwarding(Node.Forwarding, Plan.Service, Peer,
                   {Result, AttemptStartedAt}, Now);
  Node.Metrics.incrementCounter(
      cat("amaranthhoist_requests_forwarded_total{result=\"", toString(Result),
          "\"}"));
  Attempts.back().Elapsed = Now - AttemptStartedAt;
  Attempts.back().Outcome = toString(Result);
  Peer.clear();
}

} // namespace amaranthhoist
