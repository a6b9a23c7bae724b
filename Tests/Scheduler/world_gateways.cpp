// Gateways, the platform and backend servers of the seeded scheduler.

#include "world_state.h"

namespace amaranthhoist::testing {

void world::startGateway(int Number) {
  gateway_process &Process = Gateways[static_cast<std::size_t>(Number)];
  Process.Number = Number;
  Process.Incarnation = NextIncarnation++;
  Process.Alive = true;
  Process.FrozenUntil = {};
  gateway_settings Settings;
  Settings.Id = gatewayNodeId(nameOf(Number), Site, Process.Incarnation);
  Settings.FailureDomain = "domain-" + std::to_string(Number);
  Settings.MaxBackendDeadline = MaxBackendDeadline;
  Settings.CompletionMargin = milliseconds(50);
  Settings.Budget.LoanLease = milliseconds(400);
  Settings.Budget.ReclaimDelay = MaxBackendDeadline + milliseconds(800);
  Settings.RetryAfter = milliseconds(50);
  Settings.Targets = Options.TargetPolicy;
  Settings.Queue = Options.Queue;
  if (Options.Sabotage == sabotage::NoLingering)
    Settings.CompletionMargin = -seconds(60);
  if (Options.Sabotage == sabotage::ReclaimAtOnce)
    Settings.Budget.ReclaimDelay = {};
  Process.Node = makeGateway(Settings);
  site_settings SiteSettings;
  SiteSettings.Name = Site;
  SiteSettings.Region = "region";
  SiteSettings.CapMilliwatts = CapMilliwatts;
  SiteSettings.IdleMilliwatts = IdleMilliwatts;
  SiteSettings.SlotMilliwatts[Options.Service] = Options.SlotMilliwatts;
  SiteSettings.LinkLimits["far"] = 4;
  stepNode(Number, site_changed{SiteSettings, Targets});
  if (Pool.Record.Version > 0)
    stepNode(Number, record_received{Pool.Record});
  announceGateways();
}

void world::killGateway(int Number) {
  gateway_process &Process = Gateways[static_cast<std::size_t>(Number)];
  if (!Process.Alive)
    return;
  Process.Alive = false;
  const std::string Id = Process.Node.Settings.Id;
  // A restart registers a new incarnation, which proves that the old one is
  // dead.
  after(milliseconds(300 + draw(1'000)), [this, Number, Id] {
    ProvedDead.insert(Id);
    startGateway(Number);
  });
}

/// Runs \p Action at the given incarnation of a process once it is not frozen.
/// Does nothing if this incarnation no longer runs.
void world::onGateway(int Number, std::int64_t Incarnation,
                      const action &Action) {
  gateway_process &Process = Gateways[static_cast<std::size_t>(Number)];
  if (!Process.Alive || Process.Incarnation != Incarnation)
    return;
  if (Now < Process.FrozenUntil) {
    at(Process.FrozenUntil, [this, Number, Incarnation, Action] {
      onGateway(Number, Incarnation, Action);
    });
    return;
  }
  Action();
}

void world::stepNode(int Number, const gateway_event &Event) {
  gateway_process &Process = Gateways[static_cast<std::size_t>(Number)];
  const std::int64_t Incarnation = Process.Incarnation;
  if (Options.Sabotage == sabotage::ForgottenKeys)
    std::erase_if(Process.Node.Owned.Keys, [](const auto &Entry) {
      return Entry.second.State == key_state::Answered;
    });
  for (const gateway_action &Action : stepGateway(Process.Node, Event, now()))
    // The process may be paused or killed between the decision and its effect.
    after(std::chrono::microseconds(draw(200)),
          [this, Number, Incarnation, Action] {
            onGateway(Number, Incarnation,
                      [this, Number, Action] { perform(Number, Action); });
          });
}

void world::announceGateways() {
  peers_changed All;
  for (const gateway_process &Process : Gateways)
    if (Process.Alive)
      All.Peers.push_back(Process.Node.Settings.Id);
  for (const gateway_process &Process : Gateways) {
    if (!Process.Alive)
      continue;
    peers_changed Others = All;
    std::erase(Others.Peers, Process.Node.Settings.Id);
    Others.Witnesses = Others.Peers;
    stepNode(Process.Number, Others);
    for (const std::string &Id : ProvedDead)
      stepNode(Process.Number, holder_dead{Id});
  }
  for (int Entry = 0; Entry < static_cast<int>(Entries.size()); ++Entry)
    stepEntryNode(Entry, gateways_changed{All.Peers});
}

void world::perform(int Number, const gateway_action &Action) {
  if (const auto *Send = std::get_if<send_to_target>(&Action))
    performSend(Number, *Send);
  else if (const auto *Peer = std::get_if<send_to_peer>(&Action))
    performPeer(Number, *Peer);
  else if (const auto *Write = std::get_if<write_record>(&Action))
    performWrite(Number, *Write);
  else if (const auto *Finish = std::get_if<finish_request>(&Action))
    respondToEntry(Number, *Finish);
  else if (const auto *Cancel = std::get_if<cancel_at_target>(&Action))
    cutOff(Cancel->Token);
}

/// Callers do not disconnect in this world, so each cancelled request was cut
/// off.
void world::cutOff(std::uint64_t Token) {
  const std::string Operation = Routes[Token].Operation->Name;
  for (recorded_execution &Execution : Result.History.Executions)
    if (Execution.Operation == Operation && Execution.End > Now)
      Execution.EndedAs = execution_end::CutOff;
}

void world::drainAll(bool Draining) {
  for (gateway_process &Process : Gateways) {
    if (!Process.Alive)
      continue;
    stepNode(Process.Number, drain_changed{Draining, false});
    if (Options.Sabotage != sabotage::DrainCancels)
      continue;
    std::vector<std::uint64_t> Tokens;
    for (const auto &[Token, Item] : Process.Node.Work)
      Tokens.push_back(Token);
    for (const std::uint64_t Token : Tokens)
      stepNode(Process.Number, request_cancelled{Token});
  }
}

void world::performSend(int Number, const send_to_target &Action) {
  gateway_process &Process = Gateways[static_cast<std::size_t>(Number)];
  const routed &Route = Routes[Action.Token];
  const std::int64_t Incarnation = Process.Incarnation;
  const std::string Operation = Route.Operation->Name;
  const std::string Key = Route.Operation->Key;
  const bool Long = Route.Operation->Long;
  const std::string Region = Route.Region;
  after(latency(), [=, this] {
    execute(Number, Incarnation, Action, Operation, Key, Long, Region);
  });
}

void world::performPeer(int Number, const send_to_peer &Action) {
  const auto To = splitNodeId(Action.To);
  const std::string From =
      Gateways[static_cast<std::size_t>(Number)].Node.Settings.Id;
  if (!To)
    return;
  const bool Bypass = Options.Sabotage == sabotage::NoWitness &&
                      std::holds_alternative<witness_record>(Action.Message);
  if (Bypass) {
    stepNode(
        Number,
        peer_message_arrived{
            Action.To,
            witness_reply{std::get<witness_record>(Action.Message).Key, true}});
    return;
  }
  const int Receiver = std::stoi(To->Instance.substr(2));
  const peer_message Message = Action.Message;
  send(nameOf(Number), To->Instance, false, [=, this] {
    onGateway(Receiver, To->Incarnation, [=, this] {
      const auto *Loan = std::get_if<loan_message>(&Message);
      if (Options.Sabotage == sabotage::LoansAppliedTwice && Loan)
        Gateways[static_cast<std::size_t>(Receiver)]
            .Node.Budget.LoansRequested.emplace(Loan->LoanId, Now);
      if (Options.Sabotage == sabotage::DrainingIgnored &&
          std::holds_alternative<draining_notice>(Message))
        return;
      stepNode(Receiver, peer_message_arrived{From, Message});
    });
  });
}

void world::performWrite(int Number, const write_record &Action) {
  const std::int64_t Incarnation =
      Gateways[static_cast<std::size_t>(Number)].Incarnation;
  const pool_record Proposed = Action.Proposed;
  after(latency(), [=, this] {
    update_result Outcome = update_result::Uncertain;
    std::int64_t Version = 0;
    const bool Fits = Pool.Record.Version == Proposed.Version ||
                      Options.Sabotage == sabotage::UnconditionalWrites;
    if (!Pool.Outage && Fits) {
      Version = Pool.Record.Version + 1;
      Pool.Record = Proposed;
      Pool.Record.Version = Version;
      if (!(Pool.LosesResponses && chance(50)))
        Outcome = update_result::Written;
    } else if (!Pool.Outage) {
      Outcome = update_result::Conflict;
    }
    after(latency(), [=, this] {
      onGateway(Number, Incarnation, [=, this] {
        stepNode(Number, record_update_completed{Proposed, Outcome, Version});
      });
    });
  });
}

// Targets.

void world::execute(int Number, std::int64_t Incarnation,
                    const send_to_target &Action, const std::string &Operation,
                    const std::string &Key, bool Long,
                    const std::string &Region) {
  const bool Late = Now >= Action.Deadline;
  if (Late || (has(fault::Shedding) && chance(30))) {
    endExecution(Number, Incarnation, Action.Token, SIZE_MAX, attempt_end::Shed,
                 milliseconds(1));
    return;
  }
  duration Work = milliseconds(Long ? 500 + draw(900) : 5 + draw(40));
  if (Action.Target == Targets.back().Name)
    Work *= Options.SlowFactor;
  const bool Lost = has(fault::LostResponses) && chance(10);
  // The backend server stops at the deadline that it received.
  const instant End = std::min(Now + Work, Action.Deadline);
  const bool CutShort = End < Now + Work;
  const std::size_t Place = Result.History.Executions.size();
  Result.History.Executions.push_back({Now, End, Operation, Key, Action.Target,
                                       Site, Region, Options.SlotMilliwatts,
                                       CutShort
                                           ? execution_end::CallerDisconnected
                                           : execution_end::Completed});
  // The connection may break long before the execution ends.
  if (Lost)
    after(Work / 2, [=, this] {
      endExecution(Number, Incarnation, Action.Token, Place,
                   attempt_end::Interrupted, Work / 2);
    });
  else
    at(End, [=, this] {
      endExecution(Number, Incarnation, Action.Token, Place,
                   CutShort ? attempt_end::Interrupted : attempt_end::Completed,
                   Work);
    });
}

void world::endExecution(int Number, std::int64_t Incarnation,
                         std::uint64_t Token, std::size_t Place,
                         attempt_end End, duration Took) {
  attempt_ended Ended;
  Ended.Token = Token;
  Ended.End = End;
  Ended.Elapsed = Took;
  if (Place != SIZE_MAX) {
    const recorded_execution &Execution = Result.History.Executions[Place];
    Ended.Response = {200, "text/plain", Execution.Operation};
    Ended.Draining = Retired.contains(Execution.Target) &&
                     Options.Sabotage != sabotage::DrainingIgnored;
  }
  after(latency(), [=, this] {
    onGateway(Number, Incarnation, [=, this] { stepNode(Number, Ended); });
  });
}

} // namespace amaranthhoist::testing
