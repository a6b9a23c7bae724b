/// The gateway daemon: sockets, threads and locks around the gateway nodes of
/// one instance.
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

/// A response to be sent to the entry.
struct gateway_response {
  outcome Outcome = outcome::Refused;
  std::string Reason;
  duration RetryAfter{};
  stored_response Response;
  /// Length of the whole body in bytes, or -1 when unknown.
  std::int64_t Length = -1;
  /// Delivers the bytes that follow Response.Body.
  std::shared_ptr<byte_pipe> Rest;
  bool NoSuchNode = false;
};

/// A site's node with its lock and the actions that it has decided on.
struct node_shard {
  node_shard(rpc_loop &Loop, action_queue<gateway_action>::performer Perform)
      : Actions(Loop, std::move(Perform)) {}

  std::mutex Lock;
  gateway_node Node;
  action_queue<gateway_action> Actions;
};

/// A request whose entry is waiting for the response. Used on the loop's thread
/// only.
struct waiting_request {
  kj::Own<kj::PromiseFulfiller<gateway_response>> Fulfiller;
};

/// The parts of a request that the HTTP exchange needs. Outlives the entry in
/// Waiting.
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
  /// Streams a long body from the entry. Used on the loop's thread only.
  std::optional<wire::ByteSource::Client> Source;
  std::atomic<bool> Abort = false;
  std::atomic<int> Attempts = 0;
  instant Arrived{};
};

class gateway_daemon {
public:
  explicit gateway_daemon(const instance_settings &Settings);
  ~gateway_daemon();

  /// Starts listening, registers the gateway and starts serving.
  result<bool> start();

  /// Stops accepting work, waits for work in progress, returns the gateway's
  /// shares and unregisters. Waits at most \p Limit.
  void shutDown(duration Limit);

  // On the loop's thread:
  kj::Promise<gateway_response>
  handleRun(const std::string &NodeId, work_request Work,
            std::shared_ptr<request_payload> Body);
  kj::Promise<gateway_response> handleSeal(const std::string &NodeId,
                                           const std::string &Key);
  void handlePeerMessage(const std::string &From, const std::string &To,
                         const peer_message &Message);
  std::vector<service_offer> offers();
  std::string statusJson();

  /// The loop that processes calls and changes.
  rpc_loop &loop() { return Loop; }

private:
  void step(node_shard &Shard, const gateway_event &Event);
  void perform(node_shard &Shard, gateway_action &Action);
  void finish(finish_request &Action);
  /// Records the request's outcome in the metrics and in the log.
  void recordEnd(const request_payload &Payload, const finish_request &Action);
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
  bool isShutdownComplete();
  /// Logs, for each site's node that has not shut down, what it is waiting for.
  void logPendingShutdown();

  instance_settings Settings;
  rpc_loop Loop;
  client_pool Clients;
  metrics_registry Metrics;
  control_link Control;
  /// Keyed by site. Shards are added on the loop's thread and never removed.
  std::map<std::string, std::unique_ptr<node_shard>> Shards;
  std::mutex ShardsLock;
  std::unordered_map<std::uint64_t, waiting_request> Waiting;
  std::mutex PayloadLock;
  std::unordered_map<std::uint64_t, std::shared_ptr<request_payload>> Payloads;
  /// Addresses and incarnations of other gateways, keyed by instance.
  std::map<std::string, std::pair<std::string, std::int64_t>> Addresses;
  std::atomic<std::uint64_t> NextToken = 1;
  bool ShuttingDown = false;
  std::unique_ptr<http_server> MetricsServer;
  worker_pool Workers;
  timer_service Timers;
};

} // namespace amaranthhoist
