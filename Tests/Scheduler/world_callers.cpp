// Entries and callers of the seeded scheduler.

#include "world_state.h"

namespace amaranthhoist::testing {

void world::stepEntryNode(int Number, const entry_event &Event) {
  for (const entry_action &Action :
       stepEntry(Entries[static_cast<std::size_t>(Number)], Event, Now))
    performEntry(Number, Action);
}

void world::performEntry(int Number, const entry_action &Action) {
  if (const auto *Forward = std::get_if<forward_request>(&Action)) {
    forward(Number, *Forward);
  } else if (const auto *Ask = std::get_if<query_witness>(&Action)) {
    askWitness(Number, *Ask);
  } else if (const auto *Finish = std::get_if<finish_caller>(&Action)) {
    auto Found = AtEntry.find(Finish->Token);
    if (Found == AtEntry.end())
      return;
    const auto Operation = Found->second;
    AtEntry.erase(Found);
    // Outcome Answered is reported with its content when the response arrives.
    if (Finish->Outcome != outcome::Answered)
      onOutcome(Operation, Finish->Outcome, {}, Finish->RetryAfter);
  }
}

void world::forward(int Number, const forward_request &Action) {
  const auto Name = splitNodeId(Action.Gateway);
  const auto Operation = AtEntry[Action.Token];
  const int Receiver = std::stoi(Name->Instance.substr(2));
  const std::uint64_t Token = NextToken++;
  const std::string Region = Number % 2 == 0 ? "region" : "far";
  Routes[Token] = {Number, Action.Token, false, Region, Operation};
  work_request Work;
  Work.Token = Token;
  Work.RequestId = Operation->Name;
  Work.Customer = "customer";
  Work.Service = Options.Service;
  Work.Class = Operation->Class;
  Work.Key = Operation->Key;
  Work.SourceRegion = Region;
  Work.Deadline = Action.Deadline;
  const std::string Entry = "entry" + std::to_string(Number);
  send(Entry, Name->Instance, true, [=, this] {
    onGateway(Receiver, Name->Incarnation,
              [=, this] { stepNode(Receiver, request_arrived{Work}); });
  });
  // A connection to a dead or unreachable process breaks after a delay.
  for (const int Ms : {150, 600}) {
    after(milliseconds(Ms), [=, this] {
      const gateway_process &Process =
          Gateways[static_cast<std::size_t>(Receiver)];
      const bool Gone = !Process.Alive ||
                        Process.Incarnation != Name->Incarnation ||
                        isCut(Entry, Name->Instance) ||
                        (Ms == 600 && Now < Process.FrozenUntil);
      if (Gone)
        stepEntryNode(Number, gateway_failed{Action.Token, true, false});
    });
  }
}

void world::askWitness(int Number, const query_witness &Action) {
  const auto Name = splitNodeId(Action.Witness);
  const int Receiver = std::stoi(Name->Instance.substr(2));
  const std::uint64_t Token = NextToken++;
  Routes[Token] = {Number, Action.Token, true, {}, AtEntry[Action.Token]};
  const std::string Entry = "entry" + std::to_string(Number);
  send(Entry, Name->Instance, true, [=, this] {
    onGateway(Receiver, Name->Incarnation, [=, this] {
      stepNode(Receiver, seal_requested{Token, Action.Key});
    });
  });
  after(milliseconds(400),
        [=, this] { stepEntryNode(Number, witness_failed{Action.Token}); });
}

void world::respondToEntry(int Gateway, const finish_request &Action) {
  auto Found = Routes.find(Action.Token);
  if (Found == Routes.end())
    return;
  const routed Route = Found->second;
  send(nameOf(Gateway), "entry" + std::to_string(Route.Entry), true, [=, this] {
    auto Waiting = AtEntry.find(Route.EntryToken);
    if (Waiting == AtEntry.end())
      return;
    if (Action.Outcome == outcome::Answered)
      onOutcome(Waiting->second, Action.Outcome, Action.Response.Body, {});
    if (Route.Seal)
      stepEntryNode(Route.Entry,
                    witness_responded{Route.EntryToken, Action.Outcome,
                                      Action.RetryAfter});
    else
      stepEntryNode(Route.Entry,
                    gateway_responded{Route.EntryToken, Action.Outcome,
                                      Action.Reason, Action.RetryAfter});
  });
}

void world::startCaller(int Caller) {
  if (Now >= Stop)
    return;
  auto Operation = std::make_shared<operation>();
  Operation->Name = "op" + std::to_string(Result.Requests++);
  Operation->Class =
      chance(60) ? work_class::NonIdempotent : work_class::Idempotent;
  Operation->Long = chance(Options.LongPercent);
  Operation->Deadline = Now + CallerDeadline;
  Result.Started[Operation->Name] = Now;
  const int Entry = draw(Options.Entries);
  ++LiveOperations;
  if (Operation->Class == work_class::NonIdempotent) {
    const auto Home =
        chooseHome(Entries[static_cast<std::size_t>(Entry)], "customer",
                   Options.Service, now().WallMs + 60'000, Now);
    if (!Home) {
      --LiveOperations;
      --Result.Requests;
      after(milliseconds(50), [this, Caller] { startCaller(Caller); });
      return;
    }
    Operation->Key = formatHome(*Home) + "." + Operation->Name;
  }
  submit(Operation, Entry);
  // Some callers also send the same key to another entry without waiting.
  if (chance(10))
    submit(Operation, (Entry + 1) % Options.Entries);
  const int ByFaults = has(fault::Surge) ? 80 : 400;
  const int Pause = Options.PauseMs > 0 ? Options.PauseMs : ByFaults;
  after(milliseconds(draw(Pause) + 1), [this, Caller] { startCaller(Caller); });
}

void world::submit(const std::shared_ptr<operation> &Operation, int Entry) {
  ++Operation->Tries;
  caller_request Request;
  Request.Token = NextToken++;
  Request.RequestId = Operation->Name;
  Request.Customer = "customer";
  Request.Service = Options.Service;
  Request.Class = Operation->Class;
  Request.Key = Operation->Key;
  Request.Deadline = Now + CallerDeadline;
  AtEntry[Request.Token] = Operation;
  stepEntryNode(Entry, Request);
}

void world::onOutcome(const std::shared_ptr<operation> &Operation,
                      outcome Outcome, const std::string &Content,
                      duration RetryAfter) {
  Result.History.Outcomes.push_back(
      {Now, Operation->Name, Operation->Key, Outcome, Content, true});
  const bool Final = Outcome == outcome::Answered ||
                     Outcome == outcome::NotRun || Operation->Tries >= 4;
  if (Operation->Done)
    return;
  if (Final) {
    Operation->Done = true;
    --LiveOperations;
    ++Result.Outcomes[Outcome];
    return;
  }
  after(RetryAfter + milliseconds(20), [this, Operation] {
    if (!Operation->Done)
      submit(Operation, draw(Options.Entries));
  });
}

} // namespace amaranthhoist::testing
