/// Runs real node processes on loopback against stand-ins for the store and the
/// backend servers. The test's event loop drives the stand-ins and the callers.
/// Signals only processes that it started.
#pragma once

#include "HttpConnection/client_connection.h"
#include "store_stand_in.h"
#include "target_stand_in.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace amaranthhoist {

/// Response as received by a caller.
struct caller_response {
  bool IsCompleted = false;
  /// 0 if no complete response was received.
  int Status = 0;
  std::string Body;
  std::string RetryAfter;
  bool HasSignature = false;
  /// Response bytes were received, but the response is incomplete.
  bool IsTruncated = false;
};

/// Sends one request on a dedicated connection.
class caller_call : private call_owner {
public:
  caller_call(event_loop &Loop, const std::string &Address,
              const std::string &Request);
  const caller_response &response() const { return Response; }
  /// Closes the connection without waiting for the response.
  void disconnect() { Connection.close(); }

private:
  bool onHead(const message_head &Head) override;
  void onBody(std::string &Body) override;
  void onComplete() override;
  void onFailure(const call_failure &Failure) override;

  client_connection Connection;
  caller_response Response;
  int Status = 0;
};

struct node_process {
  std::string Name;
  std::string FailureDomain;
  std::string Region;
  std::string Callers = freeAddress();
  std::string Readiness = freeAddress();
  std::string Lookups = freeAddress();
  std::string Control = freeAddress();
  std::string Peers = freeAddress();
  std::string Metrics = freeAddress();
  /// Store address in the node's settings; empty: the store stand-in.
  std::string Store;
  pid_t Process = 0;
  /// As waitpid() returns it; set once the process was reaped by hasExited().
  int ExitStatus = 0;
};

class node_fleet {
public:
  /// \p Program is the path of the node executable.
  explicit node_fleet(std::string Program);
  ~node_fleet();
  node_fleet(const node_fleet &) = delete;
  node_fleet &operator=(const node_fleet &) = delete;

  event_loop Loop;
  store_stand_in Store{Loop};
  std::map<std::string, std::unique_ptr<target_stand_in>> Targets;
  std::vector<std::unique_ptr<node_process>> Nodes;
  /// Whether the settings list the other nodes as seeds.
  bool HasSeeds = true;
  /// Retries permitted per request. The default leaves room for every retry:
  /// a node that has just started has no slack, and few requests pay for none.
  double RetryRatio = 10;
  /// Remaining deadline that requests carry, in milliseconds.
  int DeadlineMs = 3'000;
  /// Affinity key of all requests; empty: each request uses its own id.
  std::string ObjectKey;
  /// Further header fields of all requests, each with its line end.
  std::string Fields;
  /// Specifications of the configuration's client accounts, by name.
  std::map<std::string, nlohmann::json> Accounts;
  /// Routes /other/ (idempotent) to service "other".
  bool HasOtherService = false;
  /// Timeout of all routes; empty: each route's own.
  std::string RouteTimeout;
  /// Home regions of all routes.
  std::vector<std::string> RouteRegions;
  /// Requests beyond its limit that an account may make in the window.
  double QuotaSlack = 20;
  /// Largest head of a request, in bytes.
  int MaxHeadBytes = 8'192;
  /// How long a kept connection of a caller may be idle.
  std::string IdleTimeout = "15s";
  /// Time from SIGTERM to the end of a process.
  std::string GracePeriod = "6s";
  /// Memory that a node may use, in megabytes.
  int MemoryMb = 260;
  int FileDescriptors = 4'100;
  /// Address space of a node, in megabytes, so that a faulty one ends before it
  /// takes the machine's memory; 0: no limit.
  int AddressSpaceMb = 0;
  /// Further lines of the settings' bounds.
  std::string Bounds;

  /// Starts a backend server of service "desk" and lists it in the store.
  target_stand_in &addTarget(const std::string &Id,
                             const std::string &Domain = "a1",
                             const std::string &State = "ready");
  /// \p Address is the address that nodes connect to; empty: the stand-in's
  /// own.
  void listTarget(const target_stand_in &Target, const std::string &Domain,
                  const std::string &State, const std::string &Address = {});
  /// The same in another store.
  static void listTargetIn(store_stand_in &Where, const target_stand_in &Target,
                           const std::string &Domain, const std::string &State,
                           const std::string &Address,
                           const std::string &Service = "desk");
  /// Routes /safe/ (idempotent), /once/ (non-idempotent) and /slow/ (like
  /// /once/, with a timeout of one minute) to the service, /open/ (like /safe/,
  /// public), and /extra/ if \p HasExtra; has the client accounts.
  void putConfiguration(int Version, bool HasExtra = false) {
    putConfigurationIn(Store, Version, HasExtra);
  }
  /// The same in another store.
  void putConfigurationIn(store_stand_in &Where, int Version, bool HasExtra);
  node_process &addNode(const std::string &Name, const std::string &Domain,
                        const std::string &Region);
  void start(node_process &Node);
  void signal(node_process &Node, int Signal);
  /// Writes the node's settings again and sends SIGHUP.
  void reload(node_process &Node);
  /// Keeps the directory with settings and logs after the test.
  void keepFolder() { KeepsFolder = true; }
  [[nodiscard]] const std::string &folder() const { return Folder; }
  /// Returns true once the process has exited, and reaps it.
  bool hasExited(node_process &Node);

  /// Runs the loop until \p Done returns true. Returns false after \p Time. The
  /// default only bounds the duration of a failing test; no verdict depends on
  /// it.
  bool runUntil(const std::function<bool()> &Done,
                duration Time = std::chrono::seconds(60));
  void runFor(duration Time);
  /// Returns the node's log output so far.
  std::string logOf(const node_process &Node) const;
  bool waitReady(node_process &Node);

  std::unique_ptr<caller_call>
  startRequest(node_process &Node, std::string_view Path, std::string_view Id,
               std::string_view Method = "GET", std::string_view Body = {});
  /// Sends a request and runs the loop until it completes.
  caller_response fetch(node_process &Node, std::string_view Path,
                        std::string_view Id, std::string_view Method = "GET");
  /// Fetches a path from one of the node's auxiliary servers (readiness,
  /// lookups, control).
  caller_response fetchEndpoint(const std::string &Address,
                                std::string_view Path);

private:
  std::string logFile(const node_process &Node) const;
  std::string writeSettings(const node_process &Node) const;
  std::string Program;
  std::string Folder;
  bool KeepsFolder = false;
};

} // namespace amaranthhoist
