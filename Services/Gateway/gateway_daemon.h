/// Sockets, threads and locks around the gateway nodes of one instance.
#pragma once

#include "ActionQueue/action_queue.h"
#include "ControlLink/control_link.h"
#include "Gateway/gateway.h"
#include "Http/http.h"
#include "Metrics/metrics.h"
#include "Protocol/protocol.h"
#include "Rpc/rpc.h"
#include "Settings/settings.h"
#include "Timers/timers.h"
#include "Workers/workers.h"
#include "target_exchange.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

namespace amaranthhoist {

/// An answer on its way to the entry.
struct gateway_answer {
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
  stored_answer Answer;
  /// Length of the whole body, or -1.
  std::int64_t Length = -1;
  /// Brings what follows Answer.Body.
  std::shared_ptr<byte_pipe> Rest;
  bool NoSuchNode = false;
};

/// A site's node, its lock, and what it has decided.
struct node_shard {
  node_shard(rpc_loop &Loop, action_queue<gateway_action>::performer Perform)
      : Actions(Loop, std::move(Perform)) {}

  std::mutex Lock;
  gateway_node Node;
  action_queue<gateway_action> Actions;
};

/// A request whose entry waits for its answer. Lives on the loop's thread.
struct waiting_request {
  kj::Own<kj::PromiseFulfiller<gateway_answer>> Fulfiller;
};

/// What the exchange needs of a request; outlives the waiting entry.
struct request_payload {
  std::string RequestId;
  std::string Customer;
  std::string Service;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Key;
  std::string Body;
  work_class Class = work_class::Idempotent;
  /// Streams a long body from the entry; used on the loop's thread only.
  std::optional<wire::ByteSource::Client> Source;
  std::atomic<bool> Abort = false;
  std::atomic<int> Attempts = 0;
  instant Arrived{};
};

class gateway_daemon {
public:
  explicit gateway_daemon(const instance_settings &Settings);
  ~gateway_daemon();

  /// Listens, registers and begins to serve.
  result<bool> start();

  /// Takes no new work, lets what is under way finish, gives its shares back
  /// and unregisters; at most \p Limit.
  void leave(duration Limit);

  // On the loop's thread:
  kj::Promise<gateway_answer> handleRun(const std::string &NodeId,
                                        work_request Work,
                                        std::shared_ptr<request_payload> Body);
  kj::Promise<gateway_answer> handleSeal(const std::string &NodeId,
                                         const std::string &Key);
  void handlePeerMessage(const std::string &From, const std::string &To,
                         const peer_message &Message);
  std::vector<service_offer> offers();
  std::string statusJson();

  /// Where calls and changes are taken in.
  rpc_loop &loop() { return Loop; }

private:
  void step(node_shard &Shard, const gateway_event &Event);
  void perform(node_shard &Shard, gateway_action &Action);
  void finish(finish_request &Action);
  /// Counts and logs how a request ended here.
  void noteEnd(const request_payload &Payload, const finish_request &Action);
  void sendToPeer(node_shard &Shard, const send_to_peer &Action);
  void writeRecord(node_shard &Shard, const write_record &Action);
  void sendToTarget(node_shard &Shard, const send_to_target &Action);
  void runWork(node_shard &Shard, const send_to_target &Action,
               const std::shared_ptr<request_payload> &Payload);
  void stream(std::uint64_t Token, int Status, const http_headers &Headers,
              std::string First, std::shared_ptr<byte_pipe> Rest);
  body_reader sourceReader(const std::shared_ptr<request_payload> &Payload);

  void applyView(const view_change &Change);
  node_shard &shardFor(const std::string &Site, std::int64_t Incarnation);
  void applyPool(node_shard &Shard, const std::string &Site,
                 const object_view &View);
  void applyDrains(node_shard &Shard, const std::string &Site,
                   const object_view &View);
  peers_changed peersOf(const std::string &Site, const object_view &View,
                        const std::set<std::string> &Down) const;
  void probeTargets();
  node_shard *findShard(const std::string &NodeId);
  bool allLeft();
  /// Says what each site's node that hasn't left still waits for.
  void logWhatIsLeft();

  instance_settings Settings;
  rpc_loop Loop;
  client_pool Clients;
  metrics_registry Metrics;
  control_link Control;
  /// By site. Shards are added on the loop's thread and never removed.
  std::map<std::string, std::unique_ptr<node_shard>> Shards;
  std::mutex ShardsLock;
  std::unordered_map<std::uint64_t, waiting_request> Waiting;
  std::mutex PayloadLock;
  std::unordered_map<std::uint64_t, std::shared_ptr<request_payload>> Payloads;
  /// Addresses of other gateways by instance, with their incarnations.
  std::map<std::string, std::pair<std::string, std::int64_t>> Addresses;
  std::atomic<std::uint64_t> NextToken = 1;
  bool Leaving = false;
  std::unique_ptr<http_server> MetricsServer;
  worker_pool Workers;
  timer_service Timers;
};

} // namespace amaranthhoist
