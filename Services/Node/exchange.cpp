#include "exchange.h"

#include "Quarantine/quarantine.h"
#include "Text/text.h"

namespace amaranthhoist {

/// A server stops at the deadline it was given and reports that itself. Its
/// response is awaited this much longer before this node responds instead.
static constexpr duration DeadlineGrace = std::chrono::milliseconds(120);
/// Maximum number of unreachable servers before a request is refused. Each
/// costs the caller up to ConnectTimeout.
static constexpr int MaxUnreachableTargets = 3;
/// Time between the check of an API key and the request's arrival at a server.
static constexpr duration RevocationMargin = std::chrono::milliseconds(500);
/// An exchange with its plan, timers and slot, and a connection to a server.
static constexpr std::size_t ExchangeBytes = sizeof(exchange) + 2'048;
/// Interval at which a request that arrives during bootstrap is tried again:
/// short compared to the latency objectives, and few wake-ups while the lists
/// are fetched.
static constexpr duration BootstrapCheckPeriod = std::chrono::milliseconds(10);

std::size_t memoryOf(const caller_request &Request) {
  return ExchangeBytes + Request.Id.capacity() + Request.Method.capacity() +
         Request.Target.capacity() + Request.Host.capacity() +
         Request.ObjectKey.capacity() + Request.ApiKey.capacity() +
         Request.Fields.capacity();
}

exchange::exchange(node &Node, target_pool &Pool, exchange_caller &Caller,
                   caller_request InitialRequest)
    : Node(Node), Pool(Pool), Caller(&Caller),
      Request(std::move(InitialRequest)),
      ContentName(contentName(Request.Content)), Memory(Node.RequestMemory) {
  Memory.set(memoryOf(Request));
  ++(Request.Forwarded ? Node.ForwardedInFlight : Node.OwnInFlight);
}

exchange::~exchange() {
  Node.Loop.cancel(DeadlineTimer);
  Node.Loop.cancel(ConnectTimer);
  Node.Loop.cancel(BootstrapTimer);
  releaseToken();
  if (Target)
    recordResult(Node.Steering.Targets, *Target, attempt_result::Cancelled,
                 duration::zero(), Node.Loop.now());
  if (!Peer.empty())
    recordForwardingCancelled(Node.Forwarding, AttemptStartedAt);
  --(Request.Forwarded ? Node.ForwardedInFlight : Node.OwnInFlight);
}

void exchange::start() {
  if (Node.refusesNewRequests()) {
    refuse(refusal::ShuttingDown);
    return;
  }
  if (isUsedUp(Node.ResponseMemory) || isUsedUp(Node.RequestMemory)) {
    refuse(refusal::MemoryUsedUp);
    return;
  }
  if (Request.Forwarded &&
      !acceptsForwarded({Node.ForwardedInFlight - 1, Node.OwnInFlight,
                         capacityOf(Node.Fleet.Own), Node.Settings.MemoryMb})) {
    refuse(refusal::ForwardingLimit);
    return;
  }
  if (Node.isBootstrapping()) {
    // A refused request would be retried after a quarter of a second at the
    // earliest.
    BootstrapTimer = Node.Loop.runAfter(BootstrapCheckPeriod, [this] {
      BootstrapTimer = 0;
      start();
    });
    return;
  }
  planAndSend();
}

void exchange::planAndSend() {
  const request_facts Facts{Request.Host,
                            Request.path(),
                            Request.ObjectKey,
                            Request.Id,
                            Request.TimeLeft,
                            Request.ArrivedAt,
                            Request.Content,
                            Request.ApiKey,
                            Request.Forwarded.has_value(),
                            Request.Forwarded
                                ? std::string_view(Request.Forwarded->Account)
                                : std::string_view()};
  const std::int64_t Version = configurationVersion(Node);
  if (Request.Forwarded && Version < Request.Forwarded->Version) {
    refuse(refusal::ConfigurationOutdated);
    return;
  }
  auto Planned = planRequest(Node.Steering, Facts);
  if (!Planned) {
    // A later version may have the route.
    const bool IsOutdated = Planned.error() == refusal::NoRoute &&
                            isBehind(Node.ConfigurationLag, Version);
    refuse(IsOutdated ? refusal::ConfigurationOutdated : Planned.error());
    return;
  }
  Plan = std::move(*Planned);
  HasPlan = true;
  if (Request.Forwarded) {
    Plan.MaxAttempts =
        std::min(Plan.MaxAttempts, Request.Forwarded->AttemptsLeft);
  } else if (!Plan.Account.empty() && keysAreUnconfirmed()) {
    refuse(refusal::KeysUnconfirmed);
    return;
  }
  // The instance that forwards a request has spent a token for it.
  UsesToken = !Request.Forwarded && !Plan.Account.empty() &&
              Node.Quotas->isLimited(Plan.Account);
  DeadlineTimer =
      Node.Loop.runAfter(Plan.Deadline - Node.Loop.now() + DeadlineGrace,
                         [this] { onDeadline(); });
  attemptNext();
}

bool exchange::keysAreUnconfirmed() const {
  const node_bounds &Bounds = Node.Settings.Bounds;
  return Bounds.RefusesUnconfirmedKeys &&
         Node.StateAge() >= Bounds.RevocationTime - RevocationMargin;
}

bool exchange::confirmCaller() {
  // The instance that forwards a request has confirmed its caller.
  const auto Refused =
      Request.Forwarded ? std::nullopt : confirmAccount(Node.Steering, Plan);
  if (!Refused)
    return true;
  if (Plan.MayHaveRun)
    giveUp(502, toString(*Refused));
  else
    refuse(*Refused);
  return false;
}

void exchange::attemptNext() {
  if (!confirmCaller())
    return;
  // An instance that reaches servers of the service may serve it.
  if (Request.Forwarded &&
      isIsolated(Node.Steering.Reachability, Plan.Service)) {
    refuse(refusal::NoTarget);
    return;
  }
  if (const fleet_member *Member = preferredPeer()) {
    if (acquireQuota())
      startForwarding(*Member);
    return;
  }
  auto Chosen = chooseTarget(Node.Steering, Plan, Node.Loop.now());
  if (!Chosen) {
    forwardOrRefuse(Chosen.error());
    return;
  }
  if (acquireQuota())
    startAttempt(**Chosen);
}

bool exchange::acquireQuota() {
  if (!UsesToken || HoldsToken)
    return true;
  const quota_verdict Verdict = Node.Quotas->acquire(Plan.Account, *this);
  HoldsToken = Verdict == quota_verdict::Granted;
  WaitsForToken = Verdict == quota_verdict::Pending;
  if (!HoldsToken && !WaitsForToken)
    onQuotaVerdict(Verdict);
  return HoldsToken;
}

bool exchange::acquireRetryQuota() {
  if (UsesToken && !HoldsToken)
    HoldsToken = Node.Quotas->acquireHeld(Plan.Account);
  return !UsesToken || HoldsToken;
}

void exchange::onQuotaVerdict(quota_verdict Verdict) {
  WaitsForToken = false;
  if (Verdict == quota_verdict::Granted) {
    HoldsToken = true;
    attemptNext();
    return;
  }
  refuse(Verdict == quota_verdict::Exhausted ? refusal::OverLimit
                                             : refusal::LimitUnknown);
}

void exchange::releaseToken() {
  if (WaitsForToken)
    Node.Quotas->cancel(*this);
  if (HoldsToken)
    Node.Quotas->giveBack(Plan.Account);
  WaitsForToken = false;
  HoldsToken = false;
}

std::string exchange::encodeRequest(const target &Target) const {
  const duration Left = Plan.Deadline - Node.Loop.now();
  std::string Text;
  Text.reserve(256 + Request.Fields.size() + Request.Body.size());
  append(Text, Request.Method, " ", Request.Target, " HTTP/1.1\r\n",
         Request.Fields);
  appendField(Text, Node.Wire.TimeLeft,
              cat(std::max<std::int64_t>(1, Left.count() / 1'000)));
  appendField(Text, Node.Wire.ExpectedTarget, Target.Entry.Id);
  if (!Plan.Account.empty())
    appendField(Text, Node.Wire.Account, Plan.Account);
  if (Request.HasBody)
    appendField(Text, "Content-Length", cat(Request.Body.size()));
  append(Text, "\r\n", Request.Body);
  return Text;
}

void exchange::startAttempt(target &Chosen) {
  Target = &Chosen;
  HoldsToken = false;
  AttemptStartedAt = Node.Loop.now();
  HasResponseHead = false;
  ServerDidNotRun = false;
  ResponseBytes = 0;
  beginAttempt(Node.Steering, Plan, Chosen, AttemptStartedAt);
  Attempts.push_back({Chosen.Entry.Id, AttemptStartedAt, {}, {}});
  Connection = Pool.acquire(Chosen, Plan.Class);
  const bool IsRepeat = Attempts.size() > 1;
  Node.Metrics.countAttempt({Chosen.Region, Connection != nullptr, IsRepeat});
  if (Plan.IsBulk)
    Node.Metrics.incrementCounter(
        Chosen.DomainIndex == Node.Steering.OwnDomain
            ? "amaranthhoist_bulk_attempts_own_domain_total"
            : "amaranthhoist_bulk_attempts_other_domain_total");
  Node.Log.write(log_kind::Attempt, "sent",
                 {{"request", Request.Id},
                  {"content", ContentName},
                  {"server", Chosen.Entry.Id},
                  {"region", Chosen.Region},
                  {"failure_domain", Chosen.Entry.FailureDomain},
                  {"load", estimatedLoad(Chosen, AttemptStartedAt)},
                  {"kept_connection", Connection != nullptr},
                  {"repeat", IsRepeat},
                  {"version", configurationVersion(Node)},
                  {"left_us", static_cast<std::int64_t>(
                                  (Plan.Deadline - AttemptStartedAt).count())}},
                 AttemptStartedAt);
  if (!Connection) {
    Connection = Pool.connect(Chosen);
    if (!Connection) {
      onFailure({.NotConnected = true});
      return;
    }
    ConnectTimer =
        Node.Loop.runAfter(ConnectTimeout, [this] { onConnectTimeout(); });
  }
  Connection->call(*this, encodeRequest(Chosen), Request.Method == "HEAD");
}

void exchange::dropConnection() {
  Node.Loop.cancel(ConnectTimer);
  abortConnection(Connection);
}

void exchange::finishAttempt(attempt_result Result) {
  if (!Target)
    return;
  const duration Elapsed = Node.Loop.now() - AttemptStartedAt;
  recordResult(Node.Steering.Targets, *Target, Result, Elapsed,
               Node.Loop.now());
  updateReachability(Result);
  Attempts.back().Elapsed = Elapsed;
  Attempts.back().Outcome = toString(Result);
  Target = nullptr;
}

void exchange::onConnectTimeout() {
  ConnectTimer = 0;
  if (!Connection || Connection->isConnected())
    return;
  onFailure({.NotConnected = true});
}

void exchange::storeResponseHead(const message_head &Head) {
  Status = Head.status();
  ResponseFields.clear();
  const connection_options Options(Head);
  for (std::size_t Index = 0; Index < Head.fieldCount(); ++Index) {
    const auto Field = Head.fieldAt(Index);
    const bool IsLength = equalsIgnoringCase(Field.Name, "content-length");
    if (isHopByHop(Field.Name) || Options.contains(Field.Name) ||
        (IsLength && Request.Method != "HEAD") ||
        (Request.Forwarded && isOwnResponseField(Field.Name)))
      continue;
    appendField(ResponseFields, Field.Name, Field.Value);
  }
}

bool exchange::onHead(const message_head &Head) {
  if (!Peer.empty())
    return onPeerHead(Head);
  const auto Id = Head.find(Node.Wire.RequestId);
  // This is a late response to an earlier request on this connection.
  if (Id && *Id != Request.Id)
    return false;
  Node.Loop.cancel(ConnectTimer);
  HasResponseHead = true;
  const auto Load = readLoad(Head);
  applyServerState(Head);
  ServerDidNotRun =
      Head.find(Node.Wire.NotRun).has_value() || Head.status() == 421;
  if (ServerDidNotRun)
    recordRejection(Plan, Load);
  const bool ClaimsSuccess = Head.status() / 100 == 2;
  if (ClaimsSuccess && (!Id || !Head.find(Node.Wire.Signature).has_value())) {
    // The response was not made by the server and must not reach the caller.
    onFailure({.HadResponseBytes = true, .IsMalformed = true});
    return true;
  }
  storeResponseHead(Head);
  return true;
}

void exchange::onComplete() {
  if (!Peer.empty()) {
    onPeerComplete();
    return;
  }
  const bool WasReplaced = Status == 421;
  ++Plan.DeliveredAttempts;
  if (Connection->isReusable())
    Pool.release(*Target, std::move(Connection));
  else
    dropConnection();
  Node.Loop.cancel(ConnectTimer);
  if (ServerDidNotRun) {
    keepToken();
    Plan.TriedTargets.push_back(Target->Entry.Id);
    finishAttempt(WasReplaced ? attempt_result::Replaced
                              : attempt_result::Shed);
    retryOrFinish();
    return;
  }
  Plan.MayHaveRun = true;
  const bool ServerFailed = Status >= 500;
  if (!ServerFailed)
    logQuarantine(Node, recordValidResponse(Node.Steering.Quarantine,
                                            Plan.Content, Node.Loop.now()));
  const std::string Id = Target->Entry.Id;
  finishAttempt(ServerFailed && Status != 504 ? attempt_result::Failed
                                              : attempt_result::Answered);
  if (ServerFailed && Caller && !IsStreaming &&
      Plan.Class == work_class::Idempotent) {
    Plan.TriedTargets.push_back(Id);
    if (confirmAccount(Node.Steering, Plan) == std::nullopt &&
        chooseTarget(Node.Steering, Plan, Node.Loop.now()) &&
        acquireRetryQuota() && mayRetry(Node.Steering, Plan, Node.Loop.now())) {
      log(log_kind::RequestFailure, "repeat", "server_error", Status);
      BufferedBody.clear();
      attemptNext();
      return;
    }
  }
  finishResponse();
}

void exchange::onFailure(const call_failure &Failure) {
  if (!Peer.empty()) {
    onPeerFailure(Failure);
    return;
  }
  dropConnection();
  if (!Target)
    return;
  const std::string Id = Target->Entry.Id;
  const attempt_result Result =
      classifyBrokenAttempt({Failure.NotConnected, Failure.WasReused,
                             Failure.HadResponseBytes || Failure.IsMalformed,
                             Node.Loop.now() - AttemptStartedAt});
  if (Result != attempt_result::Unreachable) {
    ++Plan.DeliveredAttempts;
    Plan.MayHaveRun = true;
    Pool.onConnectionBroken(*Target, Request.Content);
  } else {
    keepToken();
  }
  finishAttempt(Result);
  if (Result != attempt_result::Cancelled)
    Plan.TriedTargets.push_back(Id);
  retryOrFinish();
}

void exchange::retryOrFinish() {
  if (!Caller) {
    finish();
    return;
  }
  if (IsStreaming) {
    log(log_kind::RequestFailure, "answer_cut", "server_broke_off", Status);
    Caller->abortResponse();
    finish();
    return;
  }
  BufferedBody.clear();
  if (!confirmCaller())
    return;
  const instant Now = Node.Loop.now();
  const bool TooManyUnreachable =
      Plan.Attempts - Plan.DeliveredAttempts >= MaxUnreachableTargets;
  auto Chosen = chooseTarget(Node.Steering, Plan, Now);
  const bool GoesToPeer = preferredPeer() != nullptr;
  if (Chosen && !TooManyUnreachable && !GoesToPeer && acquireRetryQuota() &&
      mayRetry(Node.Steering, Plan, Now)) {
    log(log_kind::RequestFailure, "repeat", "attempt_failed", 0);
    startAttempt(**Chosen);
    return;
  }
  const bool HasNoServer = TooManyUnreachable || GoesToPeer ||
                           (!Chosen && (Chosen.error() == refusal::NoTarget ||
                                        isForWantOfPaths(Chosen.error())));
  if (HasNoServer && retryAtPeer())
    return;
  if (Plan.MayHaveRun) {
    giveUp(502, "attempt_failed");
    return;
  }
  if (TooManyUnreachable)
    refuse(refusal::NoTarget);
  else
    refuse(Chosen ? refusal::RetryBudgetExhausted : Chosen.error());
}

void exchange::onDeadline() {
  DeadlineTimer = 0;
  if (!Caller) {
    dropConnection();
    finishAttempt(attempt_result::TimedOut);
    finish();
    return;
  }
  const bool MayHaveRun =
      Plan.MayHaveRun || (Connection && Connection->isConnected());
  dropConnection();
  finishAttempt(attempt_result::TimedOut);
  if (!Peer.empty())
    finishForwarding(forwarding_result::Failed);
  if (IsStreaming) {
    log(log_kind::RequestFailure, "answer_cut", "deadline", Status);
    Caller->abortResponse();
    finish();
    return;
  }
  if (MayHaveRun)
    giveUp(504, "deadline");
  else
    refuse(refusal::TooLate);
}

void exchange::detach(std::function<void()> WhenDone) {
  OnDone = std::move(WhenDone);
}

bool exchange::onCallerDisconnected() {
  Caller = nullptr;
  const bool ServerWorks = Connection && Connection->isConnected();
  if (Plan.Class == work_class::NonIdempotent && ServerWorks) {
    // Cancelling non-idempotent work could leave a partial effect, so it runs
    // to its end.
    return false;
  }
  // A token that arrives before this object is destroyed must not send the
  // request.
  releaseToken();
  if (Target)
    log(log_kind::RequestFailure, "cancelled", "caller_left", 0);
  dropConnection();
  finishAttempt(attempt_result::Cancelled);
  Node.Loop.cancel(DeadlineTimer);
  Node.Loop.cancel(BootstrapTimer);
  return true;
}

void exchange::finish() {
  releaseToken();
  Node.Loop.cancel(DeadlineTimer);
  Node.Loop.cancel(ConnectTimer);
  if (OnDone)
    OnDone();
}

} // namespace amaranthhoist
