#include "world.h"

#include "Objects/objects.h"

#include <algorithm>

namespace amaranthhoist::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int GatewayCount = 3;
constexpr std::int64_t CapMilliwatts = 100'000;
constexpr std::int64_t IdleMilliwatts = 20'000;
constexpr const char *Site = "site-a";
constexpr duration CallerDeadline = milliseconds(1'500);
constexpr duration MaxWork = milliseconds(1'500);

/// A gateway process: its node, and whether it runs.
struct gateway_process {
  int Number = 0;
  std::int64_t Incarnation = 0;
  gateway_node Node;
  bool Alive = false;
  instant FrozenUntil{};
};

/// One caller's operation, retried under its key until a final word.
struct operation {
  std::string Name;
  std::string Key;
  work_class Class = work_class::Idempotent;
  bool Long = false;
  bool Done = false;
  int Tries = 0;
  instant Deadline{};
};

/// The site's pool object at the platform.
struct pool_object {
  pool_record Record;
  bool Outage = false;
  bool LosesAnswers = false;
};

class world {
public:
  explicit world(const world_options &Options) : Options(Options) {
    Random.seed(Options.Seed);
  }
  world_result run();

private:
  using action = std::function<void()>;

  // Time and messages.
  void at(instant Time, action Action);
  void after(duration Delay, action Action) {
    at(Now + Delay, std::move(Action));
  }
  void repeat(duration Period, const action &Action);
  int draw(int Bound) {
    return static_cast<int>(Random() % static_cast<std::uint64_t>(Bound));
  }
  bool chance(int Percent) { return draw(100) < Percent; }
  duration latency() { return std::chrono::microseconds(200 + draw(4'000)); }
  void send(const std::string &From, const std::string &To, bool Reliable,
            const action &Deliver);
  bool isCut(const std::string &From, const std::string &To) const {
    return Cut.contains({From, To});
  }
  bool has(fault Fault) const {
    return std::find(Options.Faults.begin(), Options.Faults.end(), Fault) !=
           Options.Faults.end();
  }
  moment now() const { return {Now, Now.time_since_epoch().count() / 1'000}; }

  // Gateways.
  void startGateway(int Number);
  void killGateway(int Number);
  void onGateway(int Number, std::int64_t Incarnation, const action &Action);
  void stepNode(int Number, const gateway_event &Event);
  void perform(int Number, const gateway_action &Action);
  void cutOff(std::uint64_t Token);
  void drainAll(bool Draining);
  void performSend(int Number, const send_to_target &Action);
  void performPeer(int Number, const send_to_peer &Action);
  void performWrite(int Number, const write_record &Action);
  void tellEveryone();
  static std::string nameOf(int Number) {
    return "gw" + std::to_string(Number);
  }

  // Targets.
  void execute(int Number, std::int64_t Incarnation,
               const send_to_target &Action, const std::string &Operation,
               const std::string &Key, bool Long, const std::string &Region);
  void endExecution(int Number, std::int64_t Incarnation, std::uint64_t Token,
                    std::size_t Place, target_end End, duration Took);

  // Entries and callers.
  void stepEntryNode(int Number, const entry_event &Event);
  void performEntry(int Number, const entry_action &Action);
  void forward(int Number, const forward_request &Action);
  void askWitness(int Number, const ask_witness &Action);
  void answerEntry(int Gateway, const finish_request &Action);
  void startCaller(int Caller);
  void submit(const std::shared_ptr<operation> &Operation, int Entry);
  void told(const std::shared_ptr<operation> &Operation, outcome Outcome,
            const std::string &Content, duration RetryAfter);
  void injectFaults();

  world_options Options;
  std::mt19937_64 Random;
  instant Now{seconds(100)};
  instant Stop{};
  struct event {
    instant At;
    std::uint64_t Order;
    action Action;
    bool operator<(const event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };
  std::priority_queue<event> Events;
  std::uint64_t NextOrder = 0;
  std::set<std::pair<std::string, std::string>> Cut;
  std::vector<gateway_process> Gateways{GatewayCount};
  std::vector<entry_node> Entries;
  std::int64_t NextIncarnation = 1;
  std::set<std::string> ProvedDead;
  pool_object Pool;
  std::vector<target_settings> Targets;
  std::set<std::string> Departed;
  /// By gateway's token: where the answer goes, and whose request it is.
  struct routed {
    int Entry = 0;
    std::uint64_t EntryToken = 0;
    bool Seal = false;
    std::string Region;
    std::shared_ptr<operation> Operation;
  };
  std::map<std::uint64_t, routed> Routes;
  std::map<std::uint64_t, std::shared_ptr<operation>> AtEntry;
  std::uint64_t NextToken = 1;
  int LiveOperations = 0;
  world_result Result;
};

void world::at(instant Time, action Action) {
  Events.push({Time, NextOrder++, std::move(Action)});
}

void world::repeat(duration Period, const action &Action) {
  after(Period, [this, Period, Action] {
    Action();
    if (Now < Stop + seconds(10))
      repeat(Period, Action);
  });
}

void world::send(const std::string &From, const std::string &To, bool Reliable,
                 const action &Deliver) {
  const bool Lost = !Reliable && chance(Options.LossPercent);
  const int Copies = !Reliable && chance(Options.DuplicatePercent) ? 2 : 1;
  if (Lost || isCut(From, To))
    return;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    // A second copy may be very late.
    const duration Delay =
        latency() + (Copy == 0 ? duration{} : milliseconds(draw(1'500)));
    after(Delay, [this, From, To, Deliver] {
      if (!isCut(From, To))
        Deliver();
    });
  }
}

// Gateways.

void world::startGateway(int Number) {
  gateway_process &Process = Gateways[static_cast<std::size_t>(Number)];
  Process.Number = Number;
  Process.Incarnation = NextIncarnation++;
  Process.Alive = true;
  Process.FrozenUntil = {};
  gateway_settings Settings;
  Settings.Id = gatewayNodeId(nameOf(Number), Site, Process.Incarnation);
  Settings.FailureDomain = "domain-" + std::to_string(Number);
  Settings.MaxWork = MaxWork;
  Settings.EndMargin = milliseconds(50);
  Settings.Budget.LoanLease = milliseconds(400);
  Settings.Budget.ReclaimDelay = MaxWork + milliseconds(800);
  Settings.RetryAfter = milliseconds(50);
  Settings.Targets = Options.TargetPolicy;
  Settings.Queue = Options.Queue;
  if (Options.Sabotage == sabotage::NoLingering)
    Settings.EndMargin = -seconds(60);
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
    stepNode(Number, record_seen{Pool.Record});
  tellEveryone();
}

void world::killGateway(int Number) {
  gateway_process &Process = Gateways[static_cast<std::size_t>(Number)];
  if (!Process.Alive)
    return;
  Process.Alive = false;
  const std::string Id = Process.Node.Settings.Id;
  // A restart registers a new incarnation, which is the proof of death.
  after(milliseconds(300 + draw(1'000)), [this, Number, Id] {
    ProvedDead.insert(Id);
    startGateway(Number);
  });
}

/// Runs \p Action at a process that still is the one meant, once it isn't
/// frozen.
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
    // Between the decision and its effect the process may be stopped or die.
    after(std::chrono::microseconds(draw(200)),
          [this, Number, Incarnation, Action] {
            onGateway(Number, Incarnation,
                      [this, Number, Action] { perform(Number, Action); });
          });
}

void world::tellEveryone() {
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
    answerEntry(Number, *Finish);
  else if (const auto *Cancel = std::get_if<cancel_at_target>(&Action))
    cutOff(Cancel->Token);
}

/// Callers don't go away here, so whatever is cancelled was cut off.
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
      if (Options.Sabotage == sabotage::LoansTakenTwice && Loan)
        Gateways[static_cast<std::size_t>(Receiver)]
            .Node.Budget.Requested.emplace(Loan->LoanId, Now);
      if (Options.Sabotage == sabotage::LeavingIgnored &&
          std::holds_alternative<leaving_notice>(Message))
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
      if (!(Pool.LosesAnswers && chance(50)))
        Outcome = update_result::Written;
    } else if (!Pool.Outage) {
      Outcome = update_result::Conflict;
    }
    after(latency(), [=, this] {
      onGateway(Number, Incarnation, [=, this] {
        stepNode(Number, record_update_answered{Proposed, Outcome, Version});
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
    endExecution(Number, Incarnation, Action.Token, SIZE_MAX, target_end::Shed,
                 milliseconds(1));
    return;
  }
  duration Work = milliseconds(Long ? 500 + draw(900) : 5 + draw(40));
  if (Action.Target == Targets.back().Name)
    Work *= Options.SlowFactor;
  const bool Lost = has(fault::LostAnswers) && chance(10);
  // The backend server stops at the deadline that it was told.
  const instant End = std::min(Now + Work, Action.Deadline);
  const bool CutShort = End < Now + Work;
  const std::size_t Place = Result.History.Executions.size();
  Result.History.Executions.push_back(
      {Now, End, Operation, Key, Action.Target, Site, Region,
       Options.SlotMilliwatts,
       CutShort ? execution_end::CallerLeft : execution_end::Completed});
  // The connection may be cut long before the work ends.
  if (Lost)
    after(Work / 2, [=, this] {
      endExecution(Number, Incarnation, Action.Token, Place, target_end::Broken,
                   Work / 2);
    });
  else
    at(End, [=, this] {
      endExecution(Number, Incarnation, Action.Token, Place,
                   CutShort ? target_end::Broken : target_end::Completed, Work);
    });
}

void world::endExecution(int Number, std::int64_t Incarnation,
                         std::uint64_t Token, std::size_t Place, target_end End,
                         duration Took) {
  target_ended Ended;
  Ended.Token = Token;
  Ended.End = End;
  Ended.Took = Took;
  if (Place != SIZE_MAX) {
    const recorded_execution &Execution = Result.History.Executions[Place];
    Ended.Answer = {200, "text/plain", Execution.Operation};
    Ended.Leaving = Departed.contains(Execution.Target) &&
                    Options.Sabotage != sabotage::LeavingIgnored;
  }
  after(latency(), [=, this] {
    onGateway(Number, Incarnation, [=, this] { stepNode(Number, Ended); });
  });
}

// Entries and callers.

void world::stepEntryNode(int Number, const entry_event &Event) {
  for (const entry_action &Action :
       stepEntry(Entries[static_cast<std::size_t>(Number)], Event, Now))
    performEntry(Number, Action);
}

void world::performEntry(int Number, const entry_action &Action) {
  if (const auto *Forward = std::get_if<forward_request>(&Action)) {
    forward(Number, *Forward);
  } else if (const auto *Ask = std::get_if<ask_witness>(&Action)) {
    askWitness(Number, *Ask);
  } else if (const auto *Finish = std::get_if<finish_caller>(&Action)) {
    auto Found = AtEntry.find(Finish->Token);
    if (Found == AtEntry.end())
      return;
    const auto Operation = Found->second;
    AtEntry.erase(Found);
    // Answered is told with its content, where the answer arrives.
    if (Finish->Outcome != outcome::Answered)
      told(Operation, Finish->Outcome, {}, Finish->RetryAfter);
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
  // A connection to a dead or unreachable process breaks after a while.
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

void world::askWitness(int Number, const ask_witness &Action) {
  const auto Name = splitNodeId(Action.Witness);
  const int Receiver = std::stoi(Name->Instance.substr(2));
  const std::uint64_t Token = NextToken++;
  Routes[Token] = {Number, Action.Token, true, {}, AtEntry[Action.Token]};
  const std::string Entry = "entry" + std::to_string(Number);
  send(Entry, Name->Instance, true, [=, this] {
    onGateway(Receiver, Name->Incarnation, [=, this] {
      stepNode(Receiver, seal_asked{Token, Action.Key});
    });
  });
  after(milliseconds(400),
        [=, this] { stepEntryNode(Number, witness_failed{Action.Token}); });
}

void world::answerEntry(int Gateway, const finish_request &Action) {
  auto Found = Routes.find(Action.Token);
  if (Found == Routes.end())
    return;
  const routed Route = Found->second;
  send(nameOf(Gateway), "entry" + std::to_string(Route.Entry), true, [=, this] {
    auto Waiting = AtEntry.find(Route.EntryToken);
    if (Waiting == AtEntry.end())
      return;
    if (Action.Outcome == outcome::Answered)
      told(Waiting->second, Action.Outcome, Action.Answer.Body, {});
    if (Route.Seal)
      stepEntryNode(Route.Entry,
                    witness_answered{Route.EntryToken, Action.Outcome,
                                     Action.RetryAfter});
    else
      stepEntryNode(Route.Entry,
                    gateway_answered{Route.EntryToken, Action.Outcome,
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
  // Some callers are impatient and send the same key at other entries too.
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

void world::told(const std::shared_ptr<operation> &Operation, outcome Outcome,
                 const std::string &Content, duration RetryAfter) {
  Result.History.Told.push_back(
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

void world::injectFaults() {
  const int Victim = draw(GatewayCount);
  const int Other = (Victim + 1) % GatewayCount;
  const std::string Name = nameOf(Victim);
  const auto CutPair = [this](const std::string &From, const std::string &To,
                              bool BothWays) {
    Cut.insert({From, To});
    if (BothWays)
      Cut.insert({To, From});
  };
  const instant Begin = Now + milliseconds(500 + draw(1'500));
  const instant End = Begin + milliseconds(700 + draw(1'500));
  if (has(fault::KillGateway) || has(fault::KillTwoGateways))
    at(Begin, [=, this] { killGateway(Victim); });
  if (has(fault::KillTwoGateways))
    at(Begin + milliseconds(draw(200)), [=, this] { killGateway(Other); });
  if (has(fault::FreezeGateway))
    at(Begin, [=, this] {
      Gateways[static_cast<std::size_t>(Victim)].FrozenUntil = End;
    });
  if (has(fault::CutGateway) || has(fault::CutOneWay))
    at(Begin, [=, this] {
      for (int Peer = 0; Peer < GatewayCount; ++Peer)
        CutPair(Name, nameOf(Peer), has(fault::CutGateway));
    });
  if (has(fault::CutEntries))
    at(Begin, [=, this] {
      CutPair("entry0", Name, true);
      CutPair(Name, "entry1", false);
    });
  at(End, [this] { Cut.clear(); });
  if (has(fault::PlatformOutage)) {
    at(Begin, [this] { Pool.Outage = true; });
    at(End, [this] { Pool.Outage = false; });
  }
  Pool.LosesAnswers = has(fault::LostWrites);
  if (has(fault::DrainSite)) {
    at(Begin, [this] { drainAll(true); });
    at(End, [this] { drainAll(false); });
  }
  if (has(fault::TargetLeaves))
    at(Begin, [this] {
      const std::string Target = Targets.front().Name;
      Departed.insert(Target);
      Result.History.Departures.push_back({Now, Target});
    });
}

world_result world::run() {
  Stop = Now + Options.Length;
  for (int Number = 0; Number < Options.TargetCount; ++Number) {
    const std::string Name = "t" + std::to_string(Number);
    Targets.push_back(
        {Name, Site, Options.Service, Name, Options.Slots, false});
    Result.History.TargetSlots[Name] = Options.Slots;
  }
  Result.History.Sites[Site] = {CapMilliwatts, IdleMilliwatts, {{"far", 4}}};
  for (int Number = 0; Number < Options.Entries; ++Number) {
    entry_settings Settings;
    Settings.Seed = Random();
    Settings.Routing = Options.RoutingPolicy;
    Settings.RetryAfter = milliseconds(50);
    Entries.push_back(makeEntry(Settings));
    contract Contract;
    Contract.Customer = "customer";
    Contract.RequestsPerSecond = 100'000;
    Contract.Concurrency = 100'000;
    stepEntryNode(Number, contract_changed{Contract});
  }
  for (int Number = 0; Number < GatewayCount; ++Number)
    startGateway(Number);
  repeat(milliseconds(50), [this] {
    for (const gateway_process &Process : Gateways)
      onGateway(Process.Number, Process.Incarnation, [this, &Process] {
        // The watch; it may deliver late, and old versions after new ones.
        if (!Pool.Outage && Pool.Record.Version > 0) {
          const pool_record Seen = Pool.Record;
          const int Number = Process.Number;
          const std::int64_t Incarnation = Process.Incarnation;
          after(latency() + milliseconds(draw(100)), [=, this] {
            onGateway(Number, Incarnation,
                      [=, this] { stepNode(Number, record_seen{Seen}); });
          });
        }
        stepNode(Process.Number, clock_tick{});
      });
  });
  repeat(milliseconds(100), [this] {
    for (const gateway_process &Process : Gateways) {
      if (!Process.Alive || Now < Process.FrozenUntil)
        continue;
      const offer Offer = makeOffer(Process.Node, Options.Service, Now);
      for (int Entry = 0; Entry < Options.Entries; ++Entry)
        if (!isCut(nameOf(Process.Number), "entry" + std::to_string(Entry)))
          stepEntryNode(Entry, offer_heard{Options.Service, Offer});
    }
  });
  repeat(milliseconds(20), [this] {
    for (int Entry = 0; Entry < Options.Entries; ++Entry)
      stepEntryNode(Entry, entry_tick{});
  });
  for (int Caller = 0; Caller < Options.Callers; ++Caller)
    after(milliseconds(500 + draw(200)),
          [this, Caller] { startCaller(Caller); });
  injectFaults();
  while (!Events.empty()) {
    const event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Action();
  }
  Result.Unanswered = LiveOperations;
  Result.Executions = static_cast<int>(Result.History.Executions.size());
  Result.History.End = Now;
  return std::move(Result);
}

} // namespace

world_result runWorld(const world_options &Options) {
  return world(Options).run();
}

} // namespace amaranthhoist::testing
