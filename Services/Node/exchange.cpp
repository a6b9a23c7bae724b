#include "exchange.h"

#include "Quarantine/quarantine.h"
#include "Text/text.h"

namespace amaranthhoist {

/// A server ends its work at the deadline it was told and says so itself; its
/// answer is awaited this much longer before this node answers instead.
static constexpr duration DeadlineGrace = std::chrono::milliseconds(120);
/// Servers that may be found unreachable before a request is refused: each
/// costs the caller up to ConnectTime.
static constexpr int MostUnreachable = 3;
/// A server that asks for more is asked again after this long: a wrong number
/// must not shut it out for the rest of its life.
static constexpr duration LongestRest = std::chrono::hours(1);
/// A request that meets a node which is still learning is tried again this
/// often: short against the objectives, and few wake-ups in the time that the
/// lists take.
static constexpr duration LearnCheck = std::chrono::milliseconds(10);

exchange::exchange(node &Node, target_pool &Pool, exchange_caller &Caller,
                   caller_request InitialRequest)
    : Node(Node), Pool(Pool), Caller(&Caller),
      Request(std::move(InitialRequest)),
      ContentName(contentName(Request.Content)) {}

exchange::~exchange() {
  Node.Loop.cancel(DeadlineTimer);
  Node.Loop.cancel(ConnectTimer);
  Node.Loop.cancel(LearnTimer);
  if (Target)
    noteResult(Node.Steering.Targets, *Target, attempt_result::Cancelled,
               duration::zero(), Node.Loop.now());
}

void exchange::begin() {
  if (Node.refusesRequests()) {
    refuse(refusal::Leaving);
    return;
  }
  if (Node.isLearning()) {
    // Refused, it would come back after a quarter of a second at the earliest.
    LearnTimer = Node.Loop.after(LearnCheck, [this] {
      LearnTimer = 0;
      begin();
    });
    return;
  }
  place();
}

void exchange::place() {
  const request_facts Facts{Request.Host,   Request.path(),   Request.ObjectKey,
                            Request.Id,     Request.TimeLeft, Request.Arrived,
                            Request.Content};
  auto Planned = planRequest(Node.Steering, Facts);
  if (!Planned) {
    refuse(Planned.error());
    return;
  }
  Plan = std::move(*Planned);
  HasPlan = true;
  DeadlineTimer =
      Node.Loop.after(Plan.Deadline - Node.Loop.now() + DeadlineGrace,
                      [this] { onDeadline(); });
  next();
}

void exchange::next() {
  auto Chosen = chooseTarget(Node.Steering, Plan, Node.Loop.now());
  if (!Chosen) {
    refuse(Chosen.error());
    return;
  }
  attempt(**Chosen);
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
  if (Request.HasBody)
    appendField(Text, "Content-Length", cat(Request.Body.size()));
  append(Text, "\r\n", Request.Body);
  return Text;
}

void exchange::attempt(target &Chosen) {
  Target = &Chosen;
  AttemptBegan = Node.Loop.now();
  HasAnswerHead = false;
  ServerDidNotRun = false;
  beginAttempt(Node.Steering, Plan, Chosen, AttemptBegan);
  Attempts.push_back({Chosen.Entry.Id, AttemptBegan, {}, {}});
  Connection = Pool.take(Chosen, Plan.Class);
  const bool IsRepeat = Attempts.size() > 1;
  Node.Metrics.countAttempt({Chosen.Region, Connection != nullptr, IsRepeat});
  Node.Log.write(log_kind::Attempt, "sent",
                 {{"request", Request.Id},
                  {"content", ContentName},
                  {"server", Chosen.Entry.Id},
                  {"region", Chosen.Region},
                  {"load", estimatedLoad(Chosen, AttemptBegan)},
                  {"kept_connection", Connection != nullptr},
                  {"repeat", IsRepeat},
                  {"version", configurationVersion(Node)},
                  {"left_us", static_cast<std::int64_t>(
                                  (Plan.Deadline - AttemptBegan).count())}},
                 AttemptBegan);
  if (!Connection) {
    Connection = Pool.open(Chosen);
    if (!Connection) {
      onFailure({.NotConnected = true});
      return;
    }
    ConnectTimer = Node.Loop.after(ConnectTime, [this] { onConnectTimeout(); });
  }
  Connection->call(*this, encodeRequest(Chosen), Request.Method == "HEAD");
}

void exchange::dropConnection() {
  Node.Loop.cancel(ConnectTimer);
  retireConnection(Node, Connection);
}

void exchange::endAttempt(attempt_result Result) {
  if (!Target)
    return;
  const duration Took = Node.Loop.now() - AttemptBegan;
  noteResult(Node.Steering.Targets, *Target, Result, Took, Node.Loop.now());
  Attempts.back().Took = Took;
  Attempts.back().Ended = toString(Result);
  Target = nullptr;
}

void exchange::onConnectTimeout() {
  ConnectTimer = 0;
  if (!Connection || Connection->isConnected())
    return;
  onFailure({.NotConnected = true});
}

void exchange::takeAnswerHead(const message_head &Head) {
  Status = Head.status();
  AnswerFields.clear();
  for (std::size_t Index = 0; Index < Head.fieldCount(); ++Index) {
    const auto Field = Head.fieldAt(Index);
    const bool IsLength = equalsIgnoringCase(Field.Name, "content-length");
    if (isHopByHop(Field.Name) || isNamedByConnection(Head, Field.Name) ||
        (IsLength && Request.Method != "HEAD"))
      continue;
    appendField(AnswerFields, Field.Name, Field.Value);
  }
}

/// How long a server that turned a request away wants none from this node.
static std::optional<duration> restOf(const message_head &Head) {
  const auto Seconds =
      Head.status() == 503 ? retryAfterSeconds(Head) : std::nullopt;
  if (!Seconds)
    return std::nullopt;
  constexpr double Most = LongestRest.count() / 1e6;
  return duration(static_cast<std::int64_t>(std::min(*Seconds, Most) * 1e6));
}

void exchange::takeServerState(const message_head &Head) {
  // Another server's answer: it says nothing of the one that was meant.
  if (Head.status() == 421)
    return;
  const instant Now = Node.Loop.now();
  if (Head.find(Node.Wire.Leaving) == "1" && !Target->Entry.IsLeaving) {
    noteLeaving(Node.Steering.Targets, *Target);
    Node.Log.write(log_kind::Belief, "server_says_it_leaves",
                   {{"server", Target->Entry.Id}}, Now);
  }
  if (const auto Rest = restOf(Head)) {
    noteRest(Node.Steering.Targets, *Target, Now + *Rest);
    Node.Log.write(log_kind::Belief, "server_rests",
                   {{"server", Target->Entry.Id},
                    {"for_us", static_cast<std::int64_t>(Rest->count())},
                    {"repeat", Attempts.size() > 1}},
                   Now);
  }
}

bool exchange::onHead(const message_head &Head) {
  const auto Id = Head.find(Node.Wire.RequestId);
  // A late answer to an earlier request on this connection.
  if (Id && *Id != Request.Id)
    return false;
  Node.Loop.cancel(ConnectTimer);
  HasAnswerHead = true;
  if (const auto Load = Head.find(Node.Wire.Load))
    if (const auto Decoded = Node.Wire.DecodeLoad(*Load))
      noteServerLoad(Node.Steering, *Target, *Decoded, Node.Loop.now());
  takeServerState(Head);
  ServerDidNotRun =
      Head.find(Node.Wire.NotRun).has_value() || Head.status() == 421;
  const bool ClaimsSuccess = Head.status() / 100 == 2;
  if (ClaimsSuccess && (!Id || !Head.find(Node.Wire.Signature).has_value())) {
    // Not what the server made: nothing of it may reach the caller.
    onFailure({.HadAnswer = true, .Garbled = true});
    return true;
  }
  takeAnswerHead(Head);
  return true;
}

void exchange::onComplete() {
  const bool WasReplaced = Status == 421;
  ++Plan.Arrivals;
  if (Connection->isReusable())
    Pool.put(*Target, std::move(Connection));
  else
    dropConnection();
  Node.Loop.cancel(ConnectTimer);
  if (ServerDidNotRun) {
    Plan.Tried.push_back(Target->Entry.Id);
    endAttempt(WasReplaced ? attempt_result::Replaced : attempt_result::Shed);
    repeatOrEnd();
    return;
  }
  Plan.MayHaveRun = true;
  const bool ServerFailed = Status >= 500;
  if (!ServerFailed)
    logQuarantine(Node, noteSoundAnswer(Node.Steering.Quarantine, Plan.Content,
                                        Node.Loop.now()));
  const std::string Id = Target->Entry.Id;
  endAttempt(ServerFailed && Status != 504 ? attempt_result::Failed
                                           : attempt_result::Answered);
  if (ServerFailed && Caller && !IsStreaming &&
      Plan.Class == work_class::Idempotent) {
    Plan.Tried.push_back(Id);
    if (chooseTarget(Node.Steering, Plan, Node.Loop.now()) &&
        mayRepeat(Node.Steering, Plan, Node.Loop.now())) {
      log(log_kind::Trouble, "repeat", "server_error", Status);
      Held.clear();
      next();
      return;
    }
  }
  deliver();
}

void exchange::onFailure(const call_failure &Failure) {
  dropConnection();
  if (!Target)
    return;
  const std::string Id = Target->Entry.Id;
  const attempt_result Result = resultOf({Failure.NotConnected, Failure.WasKept,
                                          Failure.HadAnswer || Failure.Garbled,
                                          Node.Loop.now() - AttemptBegan});
  if (Result != attempt_result::Unreachable) {
    ++Plan.Arrivals;
    Plan.MayHaveRun = true;
    Pool.noteBroken(*Target, Request.Content);
  }
  endAttempt(Result);
  if (Result != attempt_result::Cancelled)
    Plan.Tried.push_back(Id);
  repeatOrEnd();
}

void exchange::repeatOrEnd() {
  if (!Caller) {
    over();
    return;
  }
  if (IsStreaming) {
    log(log_kind::Trouble, "answer_cut", "server_broke_off", Status);
    Caller->cutShort();
    over();
    return;
  }
  Held.clear();
  const instant Now = Node.Loop.now();
  const bool TooManyUnreachable =
      Plan.Attempts - Plan.Arrivals >= MostUnreachable;
  auto Chosen = chooseTarget(Node.Steering, Plan, Now);
  if (Chosen && !TooManyUnreachable && mayRepeat(Node.Steering, Plan, Now)) {
    log(log_kind::Trouble, "repeat", "attempt_failed", 0);
    attempt(**Chosen);
    return;
  }
  if (Plan.MayHaveRun) {
    answerOwn(502, std::nullopt, "attempt_failed");
    return;
  }
  refuse(Chosen ? refusal::NoRepeats : Chosen.error());
}

void exchange::onDeadline() {
  DeadlineTimer = 0;
  if (!Caller) {
    dropConnection();
    endAttempt(attempt_result::TimedOut);
    over();
    return;
  }
  const bool MayHaveRun =
      Plan.MayHaveRun || (Connection && Connection->isConnected());
  dropConnection();
  endAttempt(attempt_result::TimedOut);
  if (IsStreaming) {
    log(log_kind::Trouble, "answer_cut", "deadline", Status);
    Caller->cutShort();
    over();
    return;
  }
  if (MayHaveRun)
    answerOwn(504, std::nullopt, "deadline");
  else
    refuse(refusal::TooLate);
}

void exchange::goOnAlone(std::function<void()> WhenOver) {
  OnOver = std::move(WhenOver);
}

bool exchange::callerLeft() {
  Caller = nullptr;
  const bool ServerWorks = Connection && Connection->isConnected();
  if (Plan.Class == work_class::NonIdempotent && ServerWorks) {
    // Stopping it halfway could leave half of its effect; it ends by itself.
    return false;
  }
  if (Target)
    log(log_kind::Trouble, "cancelled", "caller_left", 0);
  dropConnection();
  endAttempt(attempt_result::Cancelled);
  Node.Loop.cancel(DeadlineTimer);
  Node.Loop.cancel(LearnTimer);
  return true;
}

void exchange::over() {
  Node.Loop.cancel(DeadlineTimer);
  Node.Loop.cancel(ConnectTimer);
  if (OnOver)
    OnOver();
}

} // namespace amaranthhoist
