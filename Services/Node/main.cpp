/// The node program: one process on each instance that serves callers' requests
/// and look-ups and exchanges state with its peers.
#include "ConnectionLimits/connection_limits.h"
#include "HttpConnection/small_server.h"
#include "NodeSettings/settings_reload.h"
#include "Text/text.h"
#include "caller_server.h"
#include "codec.h"
#include "connection_guard.h"
#include "names.h"
#include "node.h"
#include "peer_link.h"
#include "quota_link.h"
#include "request_log.h"
#include "retry_budget_log.h"
#include "status.h"
#include "store_sync.h"
#include "target_pool.h"

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fcntl.h>
#include <iostream>
#include <unistd.h>

namespace amaranthhoist {

/// Environment variable with the settings file's path, used when the command
/// line has none.
static constexpr const char *SettingsVariable = "AMARANTHHOIST_SETTINGS";
/// Maximum time callers cache a look-up's response, so that an instance that is
/// gone soon disappears from all caches; the operators' bound may be lower.
static constexpr duration MaxLookupTimeToLive = std::chrono::seconds(3);
/// Minimum time a node keeps running during shutdown, so that callers with
/// older look-ups reach it.
static constexpr duration MinShutdownTime = std::chrono::milliseconds(3'200);
static constexpr duration ShutdownCheckPeriod = std::chrono::milliseconds(50);

/// Write end of the pipe that forwards signals to the event loop.
static int SignalPipe = -1;

static void onSignal(int Signal) {
  const char Byte = static_cast<char>(Signal);
  // A full pipe already holds signals to be handled.
  [[maybe_unused]] const ssize_t Written = write(SignalPipe, &Byte, 1);
}

/// Owns and connects the parts of the program.
class node_program : private io_handler {
public:
  node_program(node_settings Settings, const wire_names &Wire,
               std::string SettingsFile)
      : SettingsFile(std::move(SettingsFile)), Node(std::move(Settings), Wire),
        Quotas(Node,
               [this](const auto &To, auto Datagram) {
                 Peers.sendQuota(To, std::move(Datagram));
               }),
        Pool(Node), Callers(Node, Pool, caller_kind::Caller),
        ForwardingPeers(Node, Pool, caller_kind::Peer),
        Store(Node,
              [this](const auto &Address) { Peers.announceState(Address); }),
        Peers(
            Node,
            [this](const auto &Control) { Store.onSourceAnnounced(Control); },
            [this](const auto &Control, std::int64_t Version) {
              Store.onPeerVersion(Control, Version);
            },
            [this](const auto &Datagram) { Quotas.handleDatagram(Datagram); }),
        PeerServer(Node.Loop, resources(),
                   [this](auto Path, auto Query) {
                     return handlePeerQuery(Path, Query);
                   }),
        Lookups(Node.Loop, resources(),
                [this](auto Path, auto Query) {
                  return handleLookup(Path, Query);
                }),
        Readiness(Node.Loop, resources(),
                  [this](auto Path, auto /*Query*/) {
                    return handleReadinessQuery(Path);
                  }),
        MetricsServer(Node.Loop, resources(),
                      [this](auto /*Path*/, auto /*Query*/) {
                        return small_response{200, "text/plain; version=0.0.4",
                                              Node.Metrics.expose()};
                      }) {}

  void limitConnections() {
    const connection_limits Limits =
        connectionLimits(Node.Settings.FileDescriptors);
    Callers.setConnectionLimit(Limits.Callers);
    ForwardingPeers.setConnectionLimit(Limits.Peers);
    Lookups.setConnectionLimit(Limits.Lookups);
    PeerServer.setConnectionLimit(Limits.Control);
    Readiness.setConnectionLimit(Limits.Readiness);
    MetricsServer.setConnectionLimit(Limits.Metrics);
  }

  small_server_resources resources() {
    return {Node.Turns, Node.AuxiliaryMemory};
  }

  result<bool> start() {
    const node_settings &Settings = Node.Settings;
    Node.Fleet.Own = {Settings.Instance,     Settings.FailureDomain,
                      Settings.Region,       Settings.Listen.Callers,
                      Settings.Listen.Peers, Settings.Listen.Control,
                      Settings.CpuShare,     Settings.LinkMbps};
    Node.Fleet.Random.seed(stableHash(Settings.Instance));
    limitConnections();
    TRY(Callers.listen(TRY(parseEndpoint(Settings.Listen.Callers))));
    TRY(Lookups.listen(TRY(parseEndpoint(Settings.Listen.Lookups))));
    TRY(Readiness.listen(TRY(parseEndpoint(Settings.Listen.Readiness))));
    TRY(Peers.listen(TRY(parseEndpoint(Settings.Listen.Peers))));
    // The same port as the datagrams', over TCP.
    TRY(ForwardingPeers.listen(TRY(parseEndpoint(Settings.Listen.Peers))));
    TRY(PeerServer.listen(TRY(parseEndpoint(Settings.Listen.Control))));
    listenForMetrics();
    TRY(watchSignals());
    Node.Quotas = &Quotas;
    Node.StateAge = [this] { return Store.status().Age; };
    Node.Metrics.registerGauge("amaranthhoist_settings_not_in_force", [this] {
      return static_cast<double>(SettingsAwaitingRestart +
                                 (Store.isMovePending() ? 1 : 0));
    });
    Store.start();
    Node.Loop.atEndOfIteration(
        [this] { Node.Fleet.OwnIsReady = Node.isReady(); });
    Node.Log.write(log_kind::Process, "started",
                   {{"failure_domain", Settings.FailureDomain},
                    {"callers", Settings.Listen.Callers}},
                   Node.Loop.now());
    return true;
  }

  void run() {
    Node.Loop.run();
    Node.Log.write(log_kind::Process, "stopped", {}, Node.Loop.now());
    Node.Log.flush();
  }

private:
  /// A node that can't serve metrics still serves callers.
  void listenForMetrics() {
    const std::string &Address = Node.Settings.Listen.Metrics;
    if (Address.empty())
      return;
    const auto Endpoint = parseEndpoint(Address);
    const auto Listening = Endpoint ? MetricsServer.listen(*Endpoint)
                                    : tl::unexpected(Endpoint.error());
    if (!Listening)
      Node.Log.write(log_kind::Process, "no_metrics",
                     {{"address", Address}, {"why", Listening.error().Message}},
                     Node.Loop.now());
  }

  small_response handleLookup(std::string_view Path, std::string_view Query) {
    if (Path != platform::LookupPath)
      return {404, "application/json", "{}"};
    const auto Addresses = addressesFor(Node.Fleet, queryValue(Query, "zone"),
                                        queryValue(Query, "region"));
    if (Addresses.empty())
      return {503, "application/json", "{}"};
    const duration TimeToLive =
        std::min(MaxLookupTimeToLive, Node.Settings.Bounds.LookupTimeToLive);
    return {200, "application/json",
            platform::encodeAddresses(Addresses, TimeToLive)};
  }

  small_response handleReadinessQuery(std::string_view Path) const {
    if (Path != platform::ReadinessPath)
      return {404, "application/json", "{}"};
    return {Node.isReady() ? 200 : 503, "application/json", "{}"};
  }

  small_response handlePeerQuery(std::string_view Path,
                                 std::string_view Query) {
    if (Path == "/v1/status")
      return {200, "application/json", encodeStatus(Node, Store)};
    if (Path != ChangesPath)
      return {404, "application/json", "{}"};
    return Store.handlePeerQuery(Query);
  }

  result<bool> watchSignals() {
    int Ends[2] = {-1, -1};
    if (pipe2(Ends, O_NONBLOCK | O_CLOEXEC) != 0 ||
        !Node.Loop.watch(Ends[0], *this))
      return fail(error_code::Unavailable, "can't watch signals");
    SignalSource = Ends[0];
    SignalPipe = Ends[1];
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGHUP, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    return true;
  }

  void onEvent(const io_event & /*Event*/) override {
    char Signal = 0;
    while (read(SignalSource, &Signal, 1) == 1) {
      if (Signal == SIGHUP)
        reload();
      else
        beginShutdown();
    }
  }

  void reload() {
    const auto InFile = loadNodeSettings(SettingsFile);
    if (!InFile) {
      Node.Log.write(log_kind::Process, "reload_failed",
                     {{"why", InFile.error().Message}}, Node.Loop.now());
      return;
    }
    settings_reload Reload = planReload(Node.Settings, *InFile);
    // The former address is in force until the store answers at the new one.
    Reload.Settings.Store = Node.Settings.Store;
    Node.Settings = std::move(Reload.Settings);
    applySettings(Node);
    limitConnections();
    Quotas.applyBounds();
    Store.applySettings();
    Store.moveStore(InFile->Store);
    SettingsAwaitingRestart = Reload.NeedRestart.size();
    logReload(Reload);
  }

  void logReload(const settings_reload &Reload) {
    for (const setting_difference &Each : Reload.NeedRestart)
      Node.Log.write(log_kind::Process, "setting_needs_restart",
                     {{"key", Each.Key},
                      {"in_force", Each.InForce},
                      {"in_file", Each.InFile}},
                     Node.Loop.now());
    std::string Keys;
    for (const setting_difference &Each : Reload.Applied)
      append(Keys, Keys.empty() ? "" : ",", Each.Key);
    Node.Log.write(log_kind::Process, "reloaded", {{"changed", Keys}},
                   Node.Loop.now());
  }

  void beginShutdown() {
    if (Node.IsShuttingDown)
      return;
    Node.IsShuttingDown = true;
    Node.Fleet.OwnIsShuttingDown = true;
    Node.Shutdown = {Node.Loop.now(), Node.Settings.Bounds.GracePeriod};
    Peers.leave();
    Node.Log.write(log_kind::Process, "leaving", {}, Node.Loop.now());
    Node.Loop.runEvery(ShutdownCheckPeriod, [this] { checkShutdown(); });
  }

  void checkShutdown() {
    const instant Now = Node.Loop.now();
    const bool IsOver = Now >= Node.Shutdown.StartedAt + MinShutdownTime &&
                        !Callers.isBusy() && !ForwardingPeers.isBusy();
    if (IsOver || Now >= processEnd(Node.Shutdown)) {
      Callers.stopListening();
      ForwardingPeers.stopListening();
      Callers.logAborted();
      ForwardingPeers.logAborted();
      Node.Loop.stop();
      return;
    }
    if (Node.refusesNewRequests())
      Callers.closeIdleConnections();
  }

  std::string SettingsFile;
  node Node;
  retry_budget_log RetryLog{Node};
  request_log RequestLog{Node};
  connection_guard Guard{Node};
  // Before the callers, whose exchanges return their tokens when they are
  // destroyed.
  quota_link Quotas;
  target_pool Pool;
  caller_server Callers;
  caller_server ForwardingPeers;
  store_sync Store;
  peer_link Peers;
  small_server PeerServer;
  small_server Lookups;
  small_server Readiness;
  small_server MetricsServer;
  int SignalSource = -1;
  /// Keys whose value in the file takes effect with the next start.
  std::size_t SettingsAwaitingRestart = 0;
};

static int serve(const std::string &SettingsFile) {
  auto Settings = loadNodeSettings(SettingsFile);
  if (!Settings) {
    std::cerr << Settings.error().Message << "\n";
    return 2;
  }
  const wire_names Wire{
      platform::RequestIdHeader,      platform::TimeLeftHeader,
      platform::ObjectKeyHeader,      platform::SignatureHeader,
      platform::ExpectedTargetHeader, platform::LoadHeader,
      platform::NotRunHeader,         platform::LeavingHeader,
      platform::ApiKeyHeader,         platform::AccountHeader,
      platform::StoreEraHeader,       platform::decodeLoad};
  node_program Program(std::move(*Settings), Wire, SettingsFile);
  if (auto Started = Program.start(); !Started) {
    std::cerr << Started.error().Message << "\n";
    return 1;
  }
  Program.run();
  return 0;
}

} // namespace amaranthhoist

int main(int ArgumentCount, char **Arguments) {
  cxxopts::Options Options("amaranthhoist-node",
                           "Steers callers' requests to backend servers.");
  Options.add_options()("settings", "settings file, YAML",
                        cxxopts::value<std::string>())("help", "show this");
  std::string File;
  try {
    const auto Parsed = Options.parse(ArgumentCount, Arguments);
    if (Parsed.count("help") > 0) {
      std::cout << Options.help();
      return 0;
    }
    const char *FromEnvironment = std::getenv(amaranthhoist::SettingsVariable);
    if (Parsed.count("settings") > 0)
      File = Parsed["settings"].as<std::string>();
    else if (FromEnvironment)
      File = FromEnvironment;
  } catch (const std::exception &Exception) {
    std::cerr << Exception.what() << "\n";
    return 2;
  }
  if (File.empty()) {
    std::cerr << "no settings file: give --settings or set "
              << amaranthhoist::SettingsVariable << "\n";
    return 2;
  }
  return amaranthhoist::serve(File);
}
