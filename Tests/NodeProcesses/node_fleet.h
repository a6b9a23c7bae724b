/// Real node processes on loopback, with stand-ins around them and callers, all
/// driven from the test's event loop. Ends only processes that it started.
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

/// What a caller got.
struct caller_answer {
  bool IsOver = false;
  /// 0: no whole answer.
  int Status = 0;
  std::string Body;
  std::string RetryAfter;
  bool HasSignature = false;
  /// Bytes came, but the answer isn't whole.
  bool IsCut = false;
};

/// One request of a caller, on a connection of its own.
class caller_call : private call_owner {
public:
  caller_call(event_loop &Loop, const std::string &Address,
              const std::string &Request);
  const caller_answer &answer() const { return Answer; }
  /// Goes away without waiting for the answer.
  void leave() { Connection.close(); }

private:
  bool onHead(const message_head &Head) override;
  void onBody(std::string &Body) override;
  void onComplete() override;
  void onFailure(const call_failure &Failure) override;

  client_connection Connection;
  caller_answer Answer;
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
  /// Where it reaches the store; empty: the stand-in itself.
  std::string Store;
  pid_t Process = 0;
};

class node_fleet {
public:
  /// \p Program is the node's program.
  explicit node_fleet(std::string Program);
  ~node_fleet();
  node_fleet(const node_fleet &) = delete;
  node_fleet &operator=(const node_fleet &) = delete;

  event_loop Loop;
  store_stand_in Store{Loop};
  std::map<std::string, std::unique_ptr<target_stand_in>> Targets;
  std::vector<std::unique_ptr<node_process>> Nodes;
  /// Whether settings name other nodes.
  bool HasSeeds = true;
  /// How long callers wait, milliseconds.
  int DeadlineMs = 3'000;
  /// The object that callers ask for; empty: each request another one.
  std::string ObjectKey;

  /// A backend server of service "desk", listed in the store.
  target_stand_in &addTarget(const std::string &Id,
                             const std::string &Domain = "a1",
                             const std::string &State = "ready");
  /// \p Address: where nodes reach it; empty: the stand-in itself.
  void listTarget(const target_stand_in &Target, const std::string &Domain,
                  const std::string &State, const std::string &Address = {});
  /// Routes /safe/, /once/ and /slow/ (as /once/, with a minute's time) to the
  /// service, and /extra/ if \p HasExtra.
  void putConfiguration(int Version, bool HasExtra = false);
  node_process &addNode(const std::string &Name, const std::string &Domain,
                        const std::string &Region);
  void start(node_process &Node);
  void signal(node_process &Node, int Signal);
  /// Keeps the folder with settings and logs.
  void keepFolder() { KeepsFolder = true; }
  [[nodiscard]] const std::string &folder() const { return Folder; }
  /// Whether the process has ended.
  bool hasEnded(node_process &Node);

  /// Runs the loop until \p Done; false after \p Time. A verdict never hangs on
  /// the default: it only ends a test that has failed.
  bool runUntil(const std::function<bool()> &Done,
                duration Time = std::chrono::seconds(60));
  void runFor(duration Time);
  /// What the node has logged so far.
  std::string logOf(const node_process &Node) const;
  bool waitReady(node_process &Node);

  std::unique_ptr<caller_call> get(node_process &Node, std::string_view Path,
                                   std::string_view Id,
                                   std::string_view Method = "GET",
                                   std::string_view Body = {});
  /// The same, until it is over.
  caller_answer ask(node_process &Node, std::string_view Path,
                    std::string_view Id, std::string_view Method = "GET");
  /// An answer of one of the node's small servers.
  caller_answer askSmall(const std::string &Address, std::string_view Path);

private:
  std::string logFile(const node_process &Node) const;
  std::string writeSettings(const node_process &Node) const;
  std::string Program;
  std::string Folder;
  bool KeepsFolder = false;
};

} // namespace amaranthhoist
