#include "node_fleet.h"

#include "Text/text.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace amaranthhoist {

using nlohmann::json;

/// Time-out of a request to an auxiliary server; callers of fetchEndpoint
/// retry.
static constexpr duration EndpointTimeout = std::chrono::seconds(2);
static constexpr duration CheckPeriod = std::chrono::milliseconds(5);

caller_call::caller_call(event_loop &Loop, const std::string &Address,
                         const std::string &Request)
    : Connection(Loop) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint || !Connection.connect(*Endpoint, std::chrono::seconds(30))) {
    Response.IsCompleted = true;
    return;
  }
  Connection.call(*this, Request, /*IsHeadRequest=*/false);
}

bool caller_call::onHead(const message_head &Head) {
  Status = Head.status();
  Response.RetryAfter = Head.find("Retry-After").value_or("");
  Response.HasSignature = Head.find("X-Response-Stamp").has_value();
  return true;
}

void caller_call::onBody(std::string &Body) {
  Response.Body.append(Body);
  Body.clear();
}

void caller_call::onComplete() {
  Response.IsCompleted = true;
  Response.Status = Status;
}

void caller_call::onFailure(const call_failure &Failure) {
  Response.IsCompleted = true;
  Response.IsTruncated = Failure.HadResponseBytes;
}

node_fleet::node_fleet(std::string Program) : Program(std::move(Program)) {
  std::string Template = "/tmp/node-fleet-XXXXXX";
  Folder = mkdtemp(Template.data());
}

node_fleet::~node_fleet() {
  for (const auto &Node : Nodes)
    if (Node->Process > 0) {
      kill(Node->Process, SIGKILL);
      waitpid(Node->Process, nullptr, 0);
    }
  if (KeepsFolder)
    return;
  std::error_code Ignored;
  std::filesystem::remove_all(Folder, Ignored);
}

target_stand_in &node_fleet::addTarget(const std::string &Id,
                                       const std::string &Domain,
                                       const std::string &State) {
  auto &Target = Targets[Id];
  Target = std::make_unique<target_stand_in>(Loop, Id);
  listTarget(*Target, Domain, State);
  return *Target;
}

void node_fleet::listTarget(const target_stand_in &Target,
                            const std::string &Domain, const std::string &State,
                            const std::string &Address) {
  listTargetIn(Store, Target, Domain, State,
               Address.empty() ? Target.address() : Address);
}

void node_fleet::listTargetIn(store_stand_in &Where,
                              const target_stand_in &Target,
                              const std::string &Domain,
                              const std::string &State,
                              const std::string &Address,
                              const std::string &Service) {
  Where.put("servers", Target.Id,
            {{"service", Service},
             {"address", Address},
             {"zone", Domain},
             {"slots", 4},
             {"state", State},
             {"warmup_remaining", "0ms"}});
}

static json makeRoute(const char *Prefix, const char *Kind,
                      const char *Timeout = "4000ms",
                      const char *Service = "desk") {
  return {{"resource_kind", "routes"},
          {"metadata", {{"name", Prefix}}},
          {"specification",
           {{"hostname", "shop.example"},
            {"path_prefix", Prefix},
            {"kind", Kind},
            {"timeout", Timeout},
            {"latency_objective", "500ms"},
            {"priority", 1},
            {"service", Service},
            {"max_attempts", 2},
            {"session_affinity", true}}}};
}

void node_fleet::putConfigurationIn(store_stand_in &Where, int Version,
                                    bool HasExtra) {
  std::string Hex;
  appendHex(Hex, static_cast<std::uint64_t>(Version), 8);
  const auto MakeService = [](const char *Name) {
    return json{
        {"resource_kind", "services"},
        {"metadata", {{"name", Name}}},
        {"specification",
         {{"max_connections", 100}, {"warmup", "1s"}, {"warmup_per_s", 50}}}};
  };
  json Resources = {makeRoute("/safe/", "safe"),
                    makeRoute("/once/", "unsafe"),
                    makeRoute("/slow/", "unsafe", "60s"),
                    makeRoute("/open/", "safe"),
                    MakeService("desk"),
                    {{"resource_kind", "limits"},
                     {"metadata", json::object()},
                     {"specification",
                      {{"max_header_bytes", MaxHeadBytes},
                       {"max_body_bytes", 100'000},
                       {"header_timeout", "1000ms"},
                       {"idle_timeout", IdleTimeout}}}}};
  if (HasExtra)
    Resources.push_back(makeRoute("/extra/", "safe"));
  if (HasOtherService) {
    Resources.push_back(makeRoute("/other/", "safe", "4000ms", "other"));
    Resources.push_back(MakeService("other"));
  }
  for (json &Resource : Resources) {
    if (Resource["resource_kind"] != "routes")
      continue;
    json &Route = Resource["specification"];
    Route["public"] = Route["path_prefix"] == "/open/";
    if (!RouteTimeout.empty())
      Route["timeout"] = RouteTimeout;
    if (!RouteRegions.empty())
      Route["home_regions"] = RouteRegions;
  }
  for (const auto &[Name, Specification] : Accounts)
    Resources.push_back({{"resource_kind", "tenants"},
                         {"metadata", {{"name", Name}}},
                         {"specification", Specification}});
  Where.put("config", "main", {{"version", Hex}, {"resources", Resources}});
}

node_process &node_fleet::addNode(const std::string &Name,
                                  const std::string &Domain,
                                  const std::string &Region) {
  auto Node = std::make_unique<node_process>();
  Node->Name = Name;
  Node->FailureDomain = Domain;
  Node->Region = Region;
  Nodes.push_back(std::move(Node));
  return *Nodes.back();
}

std::string node_fleet::writeSettings(const node_process &Node) const {
  std::string Seeds;
  for (const auto &Other : Nodes)
    if (HasSeeds)
      append(Seeds, Seeds.empty() ? "" : ",", Other->Control);
  std::string File = cat(Folder, "/", Node.Name, ".yaml");
  std::ofstream(File) << cat(
      "instance: ", Node.Name, "\nfailure_domain: ", Node.FailureDomain,
      "\nregion: ", Node.Region,
      "\nfailure_domains: {a1: a, a2: a, b1: b}\nstore: \"",
      Node.Store.empty() ? Store.address() : Node.Store, "\"\nseeds: [", Seeds,
      "]\nlisten:\n  callers: ", Node.Callers,
      "\n  readiness: ", Node.Readiness, "\n  lookups: ", Node.Lookups,
      "\n  control: ", Node.Control, "\n  peers: ", Node.Peers,
      "\n  metrics: ", Node.Metrics,
      "\nlimits:\n  processor: 0.2\n  memory_mb: ", MemoryMb,
      "\n  file_descriptors: ", FileDescriptors,
      "\nbounds:\n  repeat_ratio: ", RetryRatio,
      "\n  repeat_window: 10s\n  repeat_slack: 60\n  grace_period: ",
      GracePeriod,
      "\n  lookup_ttl: 5s\n"
      "  quota_window: 5s\n  quota_overshoot: 0.1\n  quota_slack: ",
      QuotaSlack, "\n", Bounds);
  return File;
}

std::string node_fleet::logFile(const node_process &Node) const {
  return cat(Folder, "/", Node.Name, ".log");
}

std::string node_fleet::logOf(const node_process &Node) const {
  std::stringstream Text;
  Text << std::ifstream(logFile(Node)).rdbuf();
  return Text.str();
}

static void limitResource(__rlimit_resource Resource, rlim_t Value) {
  const rlimit Limit{Value, Value};
  setrlimit(Resource, &Limit);
}

void node_fleet::start(node_process &Node) {
  const std::string File = writeSettings(Node);
  const std::string Log = logFile(Node);
  Node.Process = fork();
  if (Node.Process != 0)
    return;
  const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  limitResource(RLIMIT_NOFILE, FileDescriptors);
  if (AddressSpaceMb > 0)
    limitResource(RLIMIT_AS, static_cast<rlim_t>(AddressSpaceMb) << 20U);
  // Terminates the node if the test process crashes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  execl(Program.c_str(), Program.c_str(), "--settings", File.c_str(),
        static_cast<char *>(nullptr));
  _exit(127);
}

void node_fleet::signal(node_process &Node, int Signal) {
  // The process was reaped. kill() with id 0 would signal the test's whole
  // process group.
  if (Node.Process <= 0)
    return;
  kill(Node.Process, Signal);
  if (Signal != SIGKILL)
    return;
  waitpid(Node.Process, nullptr, 0);
  Node.Process = 0;
}

void node_fleet::reload(node_process &Node) {
  writeSettings(Node);
  signal(Node, SIGHUP);
}

bool node_fleet::hasExited(node_process &Node) {
  if (Node.Process > 0 && waitpid(Node.Process, &Node.ExitStatus, WNOHANG) != 0)
    Node.Process = 0;
  return Node.Process == 0;
}

bool node_fleet::runUntil(const std::function<bool()> &Done, duration Time) {
  bool IsDone = false;
  bool IsOver = false;
  // Calls may be nested: only the innermost active loop may be stopped.
  bool IsRunning = false;
  timer_id Limit = Loop.runAfter(Time, [&] {
    IsOver = true;
    Loop.stop();
  });
  timer_id Check = 0;
  std::function<void()> Look = [&] {
    if (Done()) {
      IsDone = true;
      if (IsRunning)
        Loop.stop();
      return;
    }
    // If the time limit expires during a nested call, stop() ended the nested
    // loop, so this loop is stopped here.
    if (IsOver)
      Loop.stop();
    else
      Check = Loop.runAfter(CheckPeriod, Look);
  };
  Look();
  IsRunning = true;
  if (!IsDone && !IsOver)
    Loop.run();
  Loop.cancel(Limit);
  Loop.cancel(Check);
  return IsDone;
}

void node_fleet::runFor(duration Time) {
  Loop.runAfter(Time, [this] { Loop.stop(); });
  Loop.run();
}

bool node_fleet::waitReady(node_process &Node) {
  return runUntil([&] {
    return fetchEndpoint(Node.Readiness, "/amaranthhoist/readiness").Status ==
           200;
  });
}

std::unique_ptr<caller_call> node_fleet::startRequest(node_process &Node,
                                                      std::string_view Path,
                                                      std::string_view Id,
                                                      std::string_view Method,
                                                      std::string_view Body) {
  std::string Request =
      cat(Method, " ", Path, " HTTP/1.1\r\nHost: shop.example\r\n",
          "X-Attempt-Id: ", Id,
          "\r\nX-Affinity-Key: ", ObjectKey.empty() ? Id : ObjectKey,
          "\r\nX-Deadline-Remaining: ", DeadlineMs, "\r\n", Fields);
  if (!Body.empty())
    append(Request, "Content-Length: ", Body.size(), "\r\n");
  append(Request, "\r\n", Body);
  return std::make_unique<caller_call>(Loop, Node.Callers, Request);
}

caller_response node_fleet::fetch(node_process &Node, std::string_view Path,
                                  std::string_view Id,
                                  std::string_view Method) {
  auto Call = startRequest(Node, Path, Id, Method);
  runUntil([&] { return Call->response().IsCompleted; });
  return Call->response();
}

caller_response node_fleet::fetchEndpoint(const std::string &Address,
                                          std::string_view Path) {
  caller_call Call(Loop, Address,
                   cat("GET ", Path, " HTTP/1.1\r\nHost: h\r\n\r\n"));
  runUntil([&] { return Call.response().IsCompleted; }, EndpointTimeout);
  return Call.response();
}

} // namespace amaranthhoist
