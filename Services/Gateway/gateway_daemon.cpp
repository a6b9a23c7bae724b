#include "gateway_daemon.h"

#include "Daemon/daemon.h"
#include "Logging/logging.h"
#include "Rpc/byte_source.h"
#include "gateway_server.h"

#include <algorithm>
#include <random>
#include <utility>

namespace amaranthhoist {

/// Exchanges beyond this number wait for a thread. Slots limit them to a far
/// lower number.
static constexpr std::size_t MaxWorkers = 1'024;
static constexpr duration TickPeriod = std::chrono::milliseconds(50);
/// Interval between log lines that list what a gateway that shuts down is
/// waiting for.
static constexpr duration ShutdownReportPeriod = std::chrono::seconds(5);

static link_identity identityOf(const instance_settings &Settings) {
  link_identity Identity;
  Identity.Key = objectKey(kinds::Gateway, Settings.Instance);
  Identity.Record = {Settings.Instance,      Settings.Region,
                     Settings.FailureDomain, Settings.Gateway.Listen,
                     Settings.Gateway.Sites, makeOperationId()};
  return Identity;
}

gateway_daemon::gateway_daemon(const instance_settings &Settings)
    : Settings(Settings),
      Control(Loop, Settings.Control.Listen, identityOf(Settings),
              [this](const view_change &Change) { applyView(Change); }),
      Workers(MaxWorkers) {}

gateway_daemon::~gateway_daemon() {
  Timers.stop();
  // Functions posted by the timer's last call refer to the shards, which are
  // destroyed before the loop.
  Loop.run([] {});
}

result<bool> gateway_daemon::start() {
  result<bool> Listening = true;
  // The port is bound before the gateway registers: the bound port proves that
  // no earlier process of this instance is running, which is what the new
  // incarnation asserts to others.
  Loop.run([&] {
    Listening =
        Loop.listen(Settings.Gateway.Listen, kj::heap<gateway_server>(*this));
  });
  TRY(std::move(Listening));
  if (!Settings.Gateway.MetricsListen.empty())
    MetricsServer = TRY(http_server::createWhole(
        Settings.Gateway.MetricsListen,
        [this](const http_head &, const std::string &) {
          http_response Response;
          Response.Body = Metrics.expose();
          return Response;
        }));
  Control.start();
  Timers.subscribe(TickPeriod, [this] {
    std::vector<node_shard *> All;
    {
      const std::lock_guard Guard(ShardsLock);
      for (auto &[Site, Shard] : Shards)
        All.push_back(Shard.get());
    }
    for (node_shard *Shard : All)
      step(*Shard, clock_tick{});
  });
  if (!Settings.Gateway.ProbePath.empty())
    Timers.subscribe(std::chrono::milliseconds(Settings.Gateway.ProbePeriodMs),
                     [this] { Workers.submit([this] { probeTargets(); }); });
  return true;
}

node_shard *gateway_daemon::findShard(const std::string &NodeId) {
  const std::lock_guard Guard(ShardsLock);
  for (auto &[Site, Shard] : Shards)
    if (Shard->Node.Settings.Id == NodeId)
      return Shard.get();
  return nullptr;
}

/// Makes the decision on the calling thread. The actions are performed on the
/// loop's thread in the order of the decisions.
void gateway_daemon::step(node_shard &Shard, const gateway_event &Event) {
  bool IsIdle = false;
  {
    const std::lock_guard Guard(Shard.Lock);
    auto Actions = stepGateway(Shard.Node, Event, currentMoment());
    IsIdle = Actions.empty();
    Shard.Actions.append(std::move(Actions));
  }
  // Most ticks produce no action and do not need to wake the loop.
  if (!IsIdle)
    Shard.Actions.drain();
}

void gateway_daemon::perform(node_shard &Shard, gateway_action &Action) {
  if (auto *Send = std::get_if<send_to_target>(&Action)) {
    sendToTarget(Shard, *Send);
  } else if (auto *Finish = std::get_if<finish_request>(&Action)) {
    finish(*Finish);
  } else if (auto *Peer = std::get_if<send_to_peer>(&Action)) {
    sendToPeer(Shard, *Peer);
  } else if (auto *Write = std::get_if<write_record>(&Action)) {
    writeRecord(Shard, *Write);
  } else if (auto *Cancel = std::get_if<cancel_at_target>(&Action)) {
    const std::lock_guard Guard(PayloadLock);
    auto Found = Payloads.find(Cancel->Token);
    if (Found != Payloads.end())
      Found->second->Abort = true;
  }
}

void gateway_daemon::recordEnd(const request_payload &Payload,
                               const finish_request &Action) {
  const std::string Outcome(toString(Action.Outcome));
  const duration Took = currentInstant() - Payload.Arrived;
  Metrics.observeLatency({Payload.Customer, Payload.Service, Outcome}, Took);
  if (Action.Outcome == outcome::Answered)
    return;
  logLine(log_level::Info, "request not answered",
          {{"request_id", Payload.RequestId},
           {"customer", Payload.Customer},
           {"service", Payload.Service},
           {"outcome", Outcome},
           {"reason", Action.Reason},
           {"attempts", std::to_string(Payload.Attempts)},
           {"took_us", std::to_string(Took.count())}});
}

void gateway_daemon::finish(finish_request &Action) {
  std::shared_ptr<request_payload> Payload;
  {
    const std::lock_guard Guard(PayloadLock);
    auto Held = Payloads.find(Action.Token);
    if (Held != Payloads.end()) {
      Payload = Held->second;
      Payloads.erase(Held);
    }
  }
  if (Payload)
    recordEnd(*Payload, Action);
  auto Found = Waiting.find(Action.Token);
  if (Found == Waiting.end())
    return;
  gateway_response Answer;
  Answer.Outcome = Action.Outcome;
  Answer.Reason = std::move(Action.Reason);
  Answer.RetryAfter = Action.RetryAfter;
  Answer.Response = std::move(Action.Response);
  Answer.Length = static_cast<std::int64_t>(Answer.Response.Body.size());
  Found->second.Fulfiller->fulfill(kj::mv(Answer));
  Waiting.erase(Found);
}

void gateway_daemon::sendToPeer(node_shard &Shard, const send_to_peer &Action) {
  const auto Name = splitNodeId(Action.To);
  if (!Name)
    return;
  auto Found = Addresses.find(Name->Instance);
  // A later incarnation does not hold the state of the earlier one.
  if (Found == Addresses.end() || Found->second.second != Name->Incarnation)
    return;
  auto Request = Loop.peer<wire::Gateway>(Found->second.first).deliverRequest();
  Request.setFrom(Shard.Node.Settings.Id);
  Request.setTo(Action.To);
  writePeerMessage(Action.Message, Request.initMessage());
  const std::string To = Action.To;
  Loop.keep(Request.send().ignoreResult().catch_(
      [this, &Shard, To](kj::Exception &&) {
        step(Shard, peer_unreachable{To});
      }));
}

void gateway_daemon::writeRecord(node_shard &Shard,
                                 const write_record &Action) {
  const pool_record Proposed = Action.Proposed;
  Control.update(
      objectKey(kinds::Pool, Shard.Node.Site.Name), formatPool(Proposed),
      Proposed.Version, false,
      [this, &Shard, Proposed](update_result Result, std::int64_t Version) {
        step(Shard, record_update_completed{Proposed, Result, Version});
      });
}

void gateway_daemon::sendToTarget(node_shard &Shard,
                                  const send_to_target &Action) {
  std::shared_ptr<request_payload> Payload;
  {
    const std::lock_guard Guard(PayloadLock);
    auto Found = Payloads.find(Action.Token);
    if (Found != Payloads.end())
      Payload = Found->second;
  }
  if (!Payload) {
    step(Shard, attempt_ended{Action.Token, attempt_end::NotReached});
    return;
  }
  Workers.submit(
      [this, &Shard, Action, Payload] { runWork(Shard, Action, Payload); });
}

body_reader
gateway_daemon::sourceReader(const std::shared_ptr<request_payload> &Payload) {
  if (!Payload->Source)
    return nullptr;
  return [this, Payload](std::span<char> Buffer) -> std::int64_t {
    return readFromSource(Loop, *Payload->Source, Buffer);
  };
}

void gateway_daemon::runWork(node_shard &Shard, const send_to_target &Action,
                             const std::shared_ptr<request_payload> &Payload) {
  const instant Begin = currentInstant();
  exchange_request Request;
  Request.Address = Action.Address;
  Request.RequestId =
      Payload->RequestId + "-" + std::to_string(++Payload->Attempts);
  Request.Method = Payload->Method;
  Request.Path = Payload->Path;
  Request.ContentType = Payload->ContentType;
  Request.Key = Payload->Key;
  Request.Body = Payload->Body;
  Request.BodySource = sourceReader(Payload);
  Request.Class = Payload->Class;
  const duration Left = Action.Deadline - Begin;
  Request.TimeoutMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Left).count();
  // The deadline is an absolute time: a pause between here and the send
  // shortens the work instead of moving it past the time that is accounted for.
  Request.DeadlineWallMs = currentWallMs() + Request.TimeoutMs;
  Request.Abort = &Payload->Abort;
  Request.OnStream = [this, Token = Action.Token](
                         int Status, const http_headers &Headers,
                         std::string First, std::shared_ptr<byte_pipe> Rest) {
    stream(Token, Status, Headers, std::move(First), std::move(Rest));
  };
  exchange_result Result = runExchange(Clients, Request);
  // A streamed request body can be read only once.
  const bool Consumed = Payload->Source.has_value();
  attempt_ended Ended{Action.Token,
                      Result.End,
                      currentInstant() - Begin,
                      Result.Streamed || Consumed,
                      Result.Draining,
                      std::move(Result.Response)};
  step(Shard, Ended);
}

void gateway_daemon::stream(std::uint64_t Token, int Status,
                            const http_headers &Headers, std::string First,
                            std::shared_ptr<byte_pipe> Rest) {
  Loop.run([&] {
    auto Found = Waiting.find(Token);
    if (Found == Waiting.end()) {
      Rest->abandon();
      return;
    }
    gateway_response Answer;
    Answer.Outcome = outcome::Answered;
    Answer.Response.Status = Status;
    Answer.Response.ContentType = headerOr(Headers, "content-type");
    Answer.Response.Body = std::move(First);
    const std::string Length = headerOr(Headers, "content-length");
    Answer.Length = Length.empty() ? -1 : std::atoll(Length.c_str());
    Answer.Rest = std::move(Rest);
    Found->second.Fulfiller->fulfill(kj::mv(Answer));
    Waiting.erase(Found);
  });
}

kj::Promise<gateway_response>
gateway_daemon::handleRun(const std::string &NodeId, work_request Work,
                          std::shared_ptr<request_payload> Payload) {
  node_shard *Shard = findShard(NodeId);
  if (!Shard) {
    gateway_response Answer;
    Answer.NoSuchNode = true;
    return Answer;
  }
  Work.Token = NextToken++;
  auto Paf = kj::newPromiseAndFulfiller<gateway_response>();
  Waiting[Work.Token] = {kj::mv(Paf.fulfiller)};
  {
    const std::lock_guard Guard(PayloadLock);
    Payloads[Work.Token] = std::move(Payload);
  }
  step(*Shard, request_arrived{Work});
  // The promise is destroyed before it is fulfilled when the entry cancels its
  // call or disconnects.
  const std::uint64_t Token = Work.Token;
  return Paf.promise.attach(kj::defer([this, Shard, Token] {
    if (Waiting.erase(Token) != 0)
      step(*Shard, request_cancelled{Token});
  }));
}

kj::Promise<gateway_response>
gateway_daemon::handleSeal(const std::string &NodeId, const std::string &Key) {
  node_shard *Shard = findShard(NodeId);
  if (!Shard) {
    gateway_response Answer;
    Answer.NoSuchNode = true;
    return Answer;
  }
  const std::uint64_t Token = NextToken++;
  auto Paf = kj::newPromiseAndFulfiller<gateway_response>();
  Waiting[Token] = {kj::mv(Paf.fulfiller)};
  step(*Shard, seal_requested{Token, Key});
  return kj::mv(Paf.promise);
}

void gateway_daemon::handlePeerMessage(const std::string &From,
                                       const std::string &To,
                                       const peer_message &Message) {
  if (node_shard *Shard = findShard(To))
    step(*Shard, peer_message_arrived{From, Message});
}

void gateway_daemon::shutDown(duration Limit) {
  const instant Until = currentInstant() + Limit;
  Loop.run([this] {
    ShuttingDown = true;
    Control.unregister();
    for (auto &[Site, Shard] : Shards)
      step(*Shard, drain_changed{true, true});
  });
  instant NextReport = currentInstant() + ShutdownReportPeriod;
  while (currentInstant() < Until && !isShutdownComplete()) {
    std::this_thread::sleep_for(TickPeriod);
    if (currentInstant() < NextReport)
      continue;
    NextReport += ShutdownReportPeriod;
    logPendingShutdown();
  }
  logLine(isShutdownComplete() ? log_level::Info : log_level::Warn, "left",
          {{"complete", isShutdownComplete() ? "yes" : "no"}});
}

bool gateway_daemon::isShutdownComplete() {
  const std::lock_guard Guard(ShardsLock);
  return std::all_of(Shards.begin(), Shards.end(), [](auto &Entry) {
    const std::lock_guard NodeGuard(Entry.second->Lock);
    return hasShutDown(Entry.second->Node);
  });
}

} // namespace amaranthhoist
