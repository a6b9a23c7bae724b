/// The entry daemon: sockets, threads and locks around the decisions of
/// Libraries/Entry.
#pragma once

#include "ActionQueue/action_queue.h"
#include "ControlLink/control_link.h"
#include "Entry/entry.h"
#include "Http/http.h"
#include "Metrics/metrics.h"
#include "Protocol/protocol.h"
#include "Rpc/rpc.h"
#include "Settings/settings.h"
#include "Timers/timers.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace amaranthhoist {

/// A gateway's response, as the caller's thread reads it.
struct received_response {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  std::int64_t Length = -1;
  std::optional<wire::ByteSource::Client> Rest;
};

/// A caller's request in flight at the entry. The caller's thread waits on
/// Changed; the loop's thread stores the result.
struct entry_request {
  caller_request Request;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// The node that the request was last forwarded to. Its name contains the
  /// site.
  std::string Gateway;
  /// The pipe of a long body that the caller is still sending.
  std::shared_ptr<byte_pipe> Upload;
  bool UploadStarted = false;

  std::mutex Lock;
  std::condition_variable Changed;
  bool Done = false;
  finish_caller End;
  received_response Response;

  /// The call in flight. Used on the loop's thread only. Dropping it cancels
  /// the call.
  kj::Maybe<kj::Promise<void>> Call;
};

/// A shard of the customers, with its own node, lock and action queue.
struct entry_shard {
  std::mutex Lock;
  entry_node Node;
  std::unique_ptr<action_queue<entry_action>> Actions;
};

/// An entry as look-up responses list it.
struct named_entry {
  std::string Instance;
  std::string Region;
  std::string Address;
};

/// A running gateway, according to the latest objects.
struct known_gateway {
  std::string Address;
  std::int64_t Incarnation = 0;
  bool Near = false;
  /// Time when its offers were last received or requested.
  instant OffersUpdatedAt{};
};

/// Response to a look-up.
struct lookup_response {
  std::vector<named_entry> Entries;
  std::int64_t TtlMs = 0;
  /// Home for idempotency keys. Empty when none is available.
  std::string Home;
};

class entry_daemon {
public:
  static constexpr std::size_t ShardCount = 8;

  explicit entry_daemon(const instance_settings &Settings);
  ~entry_daemon();

  result<bool> start();

  /// Unregisters the entry, so that look-ups stop listing it, and serves
  /// callers until none is left or \p Limit has passed.
  void shutDown(duration Limit);

  // On callers' threads:
  lookup_response lookUp(const std::string &Customer,
                         const std::string &Service, const std::string &Client);
  /// Starts a request. Changed is notified when it has finished.
  void submit(const std::shared_ptr<entry_request> &Request);
  /// Cancels the request after its caller has disconnected.
  void onCallerDisconnected(const std::shared_ptr<entry_request> &Request);
  std::int64_t readRest(wire::ByteSource::Client &Source,
                        std::span<char> Buffer);
  void releaseBody(received_response &Answer);
  /// Returns the ranked offers for a request as JSON, to explain where it would
  /// be sent.
  std::string explain(const std::string &Customer, const std::string &Service);

  std::uint64_t newToken() { return NextToken++; }
  const instance_settings &settings() const { return Settings; }
  /// The loop that processes events. Blocking it forces an order of events.
  rpc_loop &loop() { return Loop; }
  metrics_registry &metrics() { return Metrics; }
  bool isReady();

  // On the loop's thread:
  /// Applies changed objects.
  void applyView(const view_change &Change);

private:
  std::vector<named_entry> nearestEntries(const std::string &Client);
  entry_shard &shardOf(const std::string &Customer);
  void step(entry_shard &Shard, const entry_event &Event);
  void stepAll(const entry_event &Event);
  void perform(entry_shard &Shard, const entry_action &Action);
  void forward(entry_shard &Shard, const forward_request &Action);
  void queryWitness(entry_shard &Shard, const query_witness &Action);
  void finish(const finish_caller &Action);
  void replaceCall(entry_request &Held, kj::Maybe<kj::Promise<void>> Fresh);
  void handleResponse(entry_shard &Shard, std::uint64_t Token,
                      wire::Answer::Reader Answer);
  void applyOffers(capnp::List<wire::Offer>::Reader Offers);
  void pollOffers();
  void requestOffers(const std::string &Address);
  void applyContract(const item &Item);
  void applyGateways(const view_change &Change);
  void applyEntries(const view_change &Change);
  /// Returns the node's address, or an empty string when that incarnation is
  /// not known to be running.
  std::string addressOf(const std::string &NodeId) const;

  instance_settings Settings;
  rpc_loop Loop;
  metrics_registry Metrics;
  control_link Control;
  std::array<entry_shard, ShardCount> Shards;

  // On the loop's thread only:
  std::map<std::uint64_t, std::shared_ptr<entry_request>> Requests;
  std::map<std::string, known_gateway> Gateways;
  std::map<std::string, std::int64_t> ContractVersions;

  std::mutex EntriesLock;
  std::vector<named_entry> Entries;
  std::atomic<bool> Ready = false;
  std::atomic<std::uint64_t> NextToken = 1;
  std::atomic<std::int64_t> InProgress = 0;
  std::unique_ptr<http_server> Server;
  timer_service Timers;
};

} // namespace amaranthhoist
