#include "soak_run.h"

#include "Text/text.h"
#include "verdict.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace amaranthhoist {

using behavior = target_stand_in::behavior;

static constexpr std::array<const char *, 3> Domains = {"a1", "a2", "b1"};
/// Fault-free time at the end of each run before the callers stop.
static constexpr duration CalmTime = std::chrono::milliseconds(1'500);
/// Retries permitted per request, as operators set it.
static constexpr double RetryRatio = 0.2;
static constexpr duration SlowWork = std::chrono::milliseconds(600);
/// Time until a crashed server restarts.
static constexpr duration DownTime = std::chrono::seconds(1);
/// Time until operators and servers write again what a restored store lost.
static constexpr duration WriteAgainDelay = std::chrono::seconds(1);
/// Requests in flight may still reach a server during this time after it has
/// requested backoff.
static constexpr duration RestBegins = std::chrono::milliseconds(500);

soak_run::soak_run(std::string Program, std::uint64_t Seed,
                   const soak_size &Size)
    : Random(Seed), Fleet(std::move(Program)) {
  build(Size);
}

void soak_run::build(const soak_size &Size) {
  Fleet.RetryRatio = RetryRatio;
  HasAccounts = Size.HasAccounts;
  if (HasAccounts)
    addAccounts();
  Fleet.putConfiguration(Version);
  for (std::size_t Index = 0; Index < Size.Servers; ++Index)
    addServer(Domains[Index % Domains.size()]);
  for (std::size_t Index = 0; Index < Size.Nodes; ++Index) {
    const std::string Domain = Domains[Index % Domains.size()];
    node_process &Node =
        Fleet.addNode(cat("n", Index), Domain, Domain.substr(0, 1));
    StoreLinks.push_back(
        std::make_unique<link_proxy>(Fleet.Loop, Fleet.Store.address()));
    Node.Store = StoreLinks.back()->address();
  }
  for (std::size_t Index = 0; Index < Size.Callers; ++Index)
    Callers.push_back(
        std::make_unique<soak_caller>(Fleet.Loop, cat("c", Index), Random(),
                                      [this] { return chooseNode().Callers; }));
  if (HasAccounts)
    for (const auto &Caller : Callers)
      Caller->useKeys();
}

void soak_run::addAccounts() {
  const auto KeyOf = [](soak_key Key) {
    return cat(SoakKeyPrefix, toString(Key));
  };
  Fleet.Accounts = {{"steady", {{"api_keys", {KeyOf(soak_key::Steady)}}}},
                    {"bounded",
                     {{"api_keys", {KeyOf(soak_key::Bounded)}},
                      {"rate_per_s", 10},
                      {"burst", 10}}}};
  Fleet.Fields = cat("Api-Key: ", KeyOf(soak_key::Steady), "\r\n");
}

/// Checks what servers and logs show of the accounts.
void soak_run::checkAccounts(std::vector<std::string> &Broken) {
  for (const auto &[Id, Target] : Fleet.Targets) {
    if (Target->KeysReceived > 0)
      Broken.push_back(cat(Id, " received ", Target->KeysReceived, " keys"));
    for (const auto &[Account, Runs] : Target->RunsByAccount)
      if (!Fleet.Accounts.contains(Account))
        Broken.push_back(
            cat(Id, " ran ", Runs, " requests of account '", Account, "'"));
  }
  for (const auto &Node : Fleet.Nodes)
    if (Fleet.logOf(*Node).find(SoakKeyPrefix) != std::string::npos)
      Broken.push_back(cat("the log of ", Node->Name, " contains a key"));
}

node_process &soak_run::chooseNode() {
  return *Fleet.Nodes[Random() % Fleet.Nodes.size()];
}

target_stand_in &soak_run::standIn(const server &Server) {
  return *Fleet.Targets.at(Server.Id);
}

void soak_run::addServer(const std::string &Domain) {
  auto Server = std::make_unique<server>();
  Server->Id = cat("s", Servers.size());
  Server->Domain = Domain;
  auto &Target = Fleet.Targets[Server->Id];
  Target = std::make_unique<target_stand_in>(Fleet.Loop, Server->Id);
  Server->Link = std::make_unique<link_proxy>(Fleet.Loop, Target->address());
  Target->CrashingPath = deadly_request::Path;
  Target->OnCrash = [this, &Crashed = *Server] { restartAfterCrash(Crashed); };
  Fleet.listTarget(*Target, Domain, "ready", Server->Link->address());
  Servers.push_back(std::move(Server));
}

void soak_run::restartAfterCrash(server &Server) {
  Deadly.recordCrash();
  Server.Link->goDown();
  Fleet.Loop.runAfter(DownTime, [this, &Server] {
    standIn(Server).shutDown();
    standIn(Server).listen();
    Server.Link->goDown();
    Server.Link->listen();
  });
}

void soak_run::restart(node_process &Node) {
  // Another fault may have restarted the node already.
  if (Fleet.hasExited(Node))
    Fleet.start(Node);
}

bool soak_run::isTerminating(node_process &Node) {
  auto Found = Terminating.find(&Node);
  return Found != Terminating.end() && Found->second == Node.Process;
}

void soak_run::begin(const fault &Fault) {
  if (Fault.Kind <= fault_kind::Reload)
    beginAtNode(Fault);
  else if (Fault.Kind <= fault_kind::StoreLosesHistory)
    beginAtStore(Fault);
  else if (Fault.Kind <= fault_kind::StoreLinkReset)
    beginAtStoreLink(Fault);
  else if (Fault.Kind <= fault_kind::ServerAway)
    beginAtServer(Fault);
  else if (Fault.Kind <= fault_kind::ServerLinkReset)
    beginAtServerLink(Fault);
  else if (Fault.Kind <= fault_kind::Evacuate)
    beginChange(Fault);
  else if (Fault.Kind == fault_kind::StoreRestored)
    beginRestore(Fault.For);
  else
    beginServerSignal(Fault);
}

void soak_run::beginAtNode(const fault &Fault) {
  node_process &Node = *Fleet.Nodes[Fault.Subject % Fleet.Nodes.size()];
  if (Fleet.hasExited(Node))
    return;
  ProcessFaults += Fault.Kind == fault_kind::Reload ? 0 : 1;
  switch (Fault.Kind) {
  case fault_kind::Kill:
    Fleet.signal(Node, SIGKILL);
    Fleet.Loop.runAfter(Fault.For, [this, &Node] { restart(Node); });
    return;
  case fault_kind::Pause:
    Fleet.signal(Node, SIGSTOP);
    Fleet.Loop.runAfter(Fault.For, [this, &Node] {
      if (!Fleet.hasExited(Node))
        Fleet.signal(Node, SIGCONT);
    });
    return;
  default:
    // waitUntilSettled() restarts terminated nodes after the last fault.
    if (Fault.Kind == fault_kind::Terminate)
      Terminating[&Node] = Node.Process;
    Fleet.signal(Node, Fault.Kind == fault_kind::Terminate ? SIGTERM : SIGHUP);
    return;
  }
}

void soak_run::beginAtStore(const fault &Fault) {
  using mode = store_stand_in::mode;
  store_stand_in &Store = Fleet.Store;
  if (Fault.Kind == fault_kind::StoreLosesHistory) {
    Store.compact();
    return;
  }
  if (Fault.Kind == fault_kind::StoreAway) {
    Store.shutDown();
    Fleet.Loop.runAfter(Fault.For, [&Store] {
      Store.shutDown();
      Store.listen();
    });
    return;
  }
  Store.setMode(Fault.Kind == fault_kind::StoreSilent ? mode::Silent
                                                      : mode::Refusing);
  Fleet.Loop.runAfter(Fault.For, [&Store] { Store.setMode(mode::Serving); });
}

void soak_run::beginRestore(duration CopyAge) {
  Fleet.Store.saveCopy();
  Fleet.Loop.runAfter(CopyAge, [this] {
    Fleet.Store.restoreCopy();
    Fleet.Loop.runAfter(WriteAgainDelay,
                        [this] { Fleet.Store.writeLostAgain(); });
  });
}

static void disturb(event_loop &Loop, link_proxy &Link, link_mode Mode,
                    duration For) {
  Link.setMode(Mode);
  Loop.runAfter(For, [&Link] { Link.setMode(link_mode::Sound); });
}

void soak_run::beginAtStoreLink(const fault &Fault) {
  link_proxy &Link = *StoreLinks[Fault.Subject % StoreLinks.size()];
  switch (Fault.Kind) {
  case fault_kind::StoreLinkSilent:
    return disturb(Fleet.Loop, Link, link_mode::Silent, Fault.For);
  case fault_kind::StoreLinkDelayed:
    return disturb(Fleet.Loop, Link, link_mode::Delayed, Fault.For);
  case fault_kind::StoreLinkOneWay:
    return disturb(Fleet.Loop, Link, link_mode::OneWay, Fault.For);
  default:
    Link.resetAll();
  }
}

void soak_run::beginAtServer(const fault &Fault) {
  target_stand_in &Target = standIn(*Servers[Fault.Subject % Servers.size()]);
  switch (Fault.Kind) {
  case fault_kind::ServerSheds:
    Target.Behavior = behavior::Sheds;
    break;
  case fault_kind::ServerLosesResponses:
    Target.Behavior = behavior::LosesResponses;
    break;
  case fault_kind::ServerTruncatesBody:
    Target.Behavior = behavior::TruncatesBody;
    break;
  case fault_kind::ServerSendsGarbage:
    Target.Behavior = behavior::SendsGarbage;
    break;
  case fault_kind::ServerRespondsTwice:
    Target.Behavior = behavior::RespondsTwice;
    break;
  case fault_kind::ServerUnsigned:
    Target.Behavior = behavior::Unsigned;
    break;
  case fault_kind::ServerSilent:
    Target.Behavior = behavior::Silent;
    break;
  case fault_kind::ServerSlow:
    Target.Work = SlowWork;
    break;
  default:
    Target.shutDown();
    Fleet.Loop.runAfter(Fault.For, [&Target] {
      Target.shutDown();
      Target.listen();
    });
    return;
  }
  Fleet.Loop.runAfter(Fault.For, [&Target] {
    Target.Behavior = behavior::Normal;
    Target.Work = std::chrono::milliseconds(20);
  });
}

void soak_run::beginAtServerLink(const fault &Fault) {
  link_proxy &Link = *Servers[Fault.Subject % Servers.size()]->Link;
  switch (Fault.Kind) {
  case fault_kind::ServerLinkSilent:
    return disturb(Fleet.Loop, Link, link_mode::Silent, Fault.For);
  case fault_kind::ServerLinkDelayed:
    return disturb(Fleet.Loop, Link, link_mode::Delayed, Fault.For);
  case fault_kind::ServerLinkOneWay:
    return disturb(Fleet.Loop, Link, link_mode::OneWay, Fault.For);
  default:
    Link.resetAll();
  }
}

void soak_run::drain(server &Server, duration For) {
  const std::string Id = Server.Id;
  if (std::find(Drained.begin(), Drained.end(), Id) != Drained.end())
    return;
  Drained.push_back(Id);
  Fleet.listTarget(standIn(Server), Server.Domain, "draining",
                   Server.Link->address());
  Fleet.Loop.runAfter(For, [this, Id] { Fleet.Store.remove("servers", Id); });
}

void soak_run::beginChange(const fault &Fault) {
  server &Server = *Servers[Fault.Subject % Servers.size()];
  if (Fault.Kind == fault_kind::Drain) {
    // At most half of the servers are drained, so that the others can serve.
    if (2 * Drained.size() < Servers.size())
      drain(Server, Fault.For);
    return;
  }
  if (Fault.Kind == fault_kind::Configure) {
    Version += 1 + static_cast<int>(Random() % 3);
    Fleet.putConfiguration(Version, Version % 2 == 0);
    return;
  }
  Fleet.Store.put("evacuations", Server.Domain, nlohmann::json::object());
  Fleet.Loop.runAfter(Fault.For, [this, Domain = Server.Domain] {
    if (Fleet.Store.has("evacuations", Domain))
      Fleet.Store.remove("evacuations", Domain);
  });
}

void soak_run::beginBackoff(target_stand_in &Target, duration For) {
  Target.Behavior = behavior::Sheds;
  Target.RetryAfterSeconds = cat(static_cast<double>(For.count()) / 1e6);
  Fleet.Loop.runAfter(RestBegins, [this, &Target, For] {
    const int Before = Target.BackoffRequests;
    Fleet.Loop.runAfter(
        std::max(duration::zero(), For - RestBegins), [this, &Target, Before] {
          RequestsDuringBackoff.push_back(Target.BackoffRequests - Before);
          Target.Behavior = behavior::Normal;
          Target.RetryAfterSeconds.clear();
        });
  });
}

void soak_run::beginServerSignal(const fault &Fault) {
  server &Server = *Servers[Fault.Subject % Servers.size()];
  if (Fault.Kind == fault_kind::ServerRequestsBackoff) {
    beginBackoff(standIn(Server), Fault.For);
    return;
  }
  if (Fault.Kind == fault_kind::DeadlyRequest) {
    Deadly.begin();
    return;
  }
  const bool HasLeft =
      std::find(Drained.begin(), Drained.end(), Server.Id) != Drained.end();
  if (HasLeft || 2 * Drained.size() >= Servers.size())
    return;
  Drained.push_back(Server.Id);
  standIn(Server).AnnouncesDraining = true;
  Fleet.Loop.runAfter(
      Fault.For, [this, Id = Server.Id] { Fleet.Store.remove("servers", Id); });
}

/// Ends the remaining link faults. Timers of these faults that expire later
/// have no effect.
void soak_run::endFaults() {
  for (auto &Link : StoreLinks)
    Link->setMode(link_mode::Sound);
  for (auto &Server : Servers)
    Server->Link->setMode(link_mode::Sound);
}

/// Waits until every node runs and serves the latest configuration.
bool soak_run::waitUntilSettled() {
  return std::all_of(
      Fleet.Nodes.begin(), Fleet.Nodes.end(), [this](auto &Node) {
        return Fleet.runUntil([&] {
          restart(*Node);
          // A node that is shutting down still serves for some seconds. It has
          // to exit, and its next process has to serve.
          if (isTerminating(*Node))
            return false;
          const int Wanted = Version % 2 == 0 ? 200 : 404;
          return Fleet.fetch(*Node, "/extra/x", "probe").Status == Wanted &&
                 Fleet.fetch(*Node, "/safe/x", "probe").Status == 200;
        });
      });
}

void soak_run::stopCallers() {
  for (auto &Caller : Callers)
    Caller->stop();
  Fleet.runUntil([this] {
    return std::all_of(Callers.begin(), Callers.end(),
                       [](const auto &Caller) { return Caller->isIdle(); });
  });
}

/// Checks after the last fault that drained servers get no requests and that
/// every node serves.
void soak_run::checkAfterFaults(std::vector<std::string> &Broken) {
  std::map<std::string, std::size_t> Before;
  for (const std::string &Id : Drained)
    Before[Id] = Fleet.Targets.at(Id)->Runs.size();
  for (auto &Node : Fleet.Nodes)
    for (int Index = 0; Index < 20; ++Index)
      if (Fleet.fetch(*Node, "/safe/x", cat("after-", Index)).Status != 200)
        Broken.push_back(cat(Node->Name, " doesn't serve after the faults"));
  for (const std::string &Id : Drained)
    if (Fleet.Targets.at(Id)->Runs.size() != Before[Id])
      Broken.push_back(cat(Id, " drained and got new requests"));
}

/// Checks that nodes respected backoff and quarantine. A node that restarts or
/// resumes from a pause may send one further request to each server in backoff.
void soak_run::checkServerSignals(std::vector<std::string> &Broken) {
  const std::size_t Told = Fleet.Nodes.size() + ProcessFaults;
  for (int Late : RequestsDuringBackoff)
    if (static_cast<std::size_t>(Late) > Told)
      Broken.push_back(cat("a server in backoff got ", Late, " requests"));
  if (Deadly.lateCrashes() > ProcessFaults)
    Broken.push_back(cat("a deadly request crashed ", Deadly.lateCrashes(),
                         " servers late, ", Deadly.crashes(), " in all"));
  // If all nodes have restarted, the quarantine may be lost.
  if (ProcessFaults < Fleet.Nodes.size())
    Deadly.checkAllRefuse(Broken);
}

soak_result soak_run::run(const schedule_limits &Limits, bool KeepLogs) {
  soak_result Result;
  for (auto &Node : Fleet.Nodes)
    Fleet.start(*Node);
  if (!waitUntilSettled())
    Result.Broken.emplace_back("the fleet doesn't start");
  for (auto &Caller : Callers)
    Caller->start();
  Result.Faults = makeSchedule(Random(), Limits);
  for (const fault &Fault : Result.Faults)
    Fleet.Loop.runAfter(Fault.At, [this, Fault] { begin(Fault); });
  duration Last = Limits.Length;
  for (const fault &Fault : Result.Faults)
    Last = std::max(Last, Fault.At + Fault.For + WriteAgainDelay);
  Fleet.runFor(Last + CalmTime);
  endFaults();
  Deadly.end();
  if (!waitUntilSettled())
    Result.Broken.emplace_back("the fleet doesn't settle after the faults");
  stopCallers();
  checkAfterFaults(Result.Broken);
  checkServerSignals(Result.Broken);
  if (HasAccounts)
    checkAccounts(Result.Broken);

  std::vector<observed_attempt> Attempts;
  for (const auto &Caller : Callers)
    Attempts.insert(Attempts.end(), Caller->attempts().begin(),
                    Caller->attempts().end());
  run_counts Runs;
  for (const auto &[Id, Target] : Fleet.Targets)
    for (const auto &[Request, Count] : Target->Runs)
      if (Request.starts_with("c"))
        Runs[Request] += Count;
  for (const std::string &Sentence : checkAttempts(Attempts, Runs))
    Result.Broken.push_back(Sentence);
  Result.Attempts = Attempts.size();
  for (const observed_attempt &Attempt : Attempts) {
    Result.Served += Attempt.Status == 200 ? 1 : 0;
    Result.Refused += Attempt.Status == 503 ? 1 : 0;
  }
  if (KeepLogs && !Result.Broken.empty()) {
    Fleet.keepFolder();
    Result.Folder = Fleet.folder();
  }
  return Result;
}

} // namespace amaranthhoist
