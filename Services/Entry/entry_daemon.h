/// Sockets, threads and locks around an entry's decisions.
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

/// A gateway's answer as the caller's thread picks it up.
struct received_answer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  std::int64_t Length = -1;
  std::optional<wire::ByteSource::Client> Rest;
};

/// One caller's request on its way through the entry. The caller's thread waits
/// at Changed; the loop's thread fills in the end.
struct entry_request {
  caller_request Request;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Body;
  /// Node that it was forwarded to last; its name holds the site.
  std::string Gateway;
  /// A long body, while the caller still sends it.
  std::shared_ptr<byte_pipe> Upload;
  bool UploadTaken = false;

  std::mutex Lock;
  std::condition_variable Changed;
  bool Done = false;
  finish_caller End;
  received_answer Answer;

  /// The call under way; the loop's thread only. Dropping it cancels the call.
  kj::Maybe<kj::Promise<void>> Call;
};

/// Customers are spread over shards, each with its own node, lock and actions.
struct entry_shard {
  std::mutex Lock;
  entry_node Node;
  std::unique_ptr<action_queue<entry_action>> Actions;
};

/// An entry as look-ups name it.
struct named_entry {
  std::string Instance;
  std::string Region;
  std::string Address;
};

/// A gateway that runs, by the last objects.
struct known_gateway {
  std::string Address;
  std::int64_t Incarnation = 0;
  bool Near = false;
  /// When its offers were last heard or asked for.
  instant OffersAt{};
};

/// Answer to a look-up.
struct lookup_answer {
  std::vector<named_entry> Entries;
  std::int64_t TtlMs = 0;
  /// Home for idempotency keys; empty when there is none now.
  std::string Home;
};

class entry_daemon {
public:
  static constexpr std::size_t ShardCount = 8;

  explicit entry_daemon(const instance_settings &Settings);
  ~entry_daemon();

  result<bool> start();

  /// Stops being named, serves for a while more, then ends.
  void leave(duration Limit);

  // On callers' threads:
  lookup_answer lookUp(const std::string &Customer, const std::string &Service,
                       const std::string &Client);
  /// Starts a request; its end is announced at Changed.
  void submit(const std::shared_ptr<entry_request> &Request);
  /// The caller went away.
  void abandon(const std::shared_ptr<entry_request> &Request);
  std::int64_t readRest(wire::ByteSource::Client &Source,
                        std::span<char> Buffer);
  void drop(received_answer &Answer);
  /// Why a request would go where: the ranked offers, as JSON.
  std::string explain(const std::string &Customer, const std::string &Service);

  std::uint64_t newToken() { return NextToken++; }
  const instance_settings &settings() const { return Settings; }
  /// Where events are taken in; holding it forces an order of events.
  rpc_loop &loop() { return Loop; }
  metrics_registry &metrics() { return Metrics; }
  bool isReady();

  // On the loop's thread:
  /// Takes in changed objects.
  void applyView(const view_change &Change);

private:
  std::vector<named_entry> nearestEntries(const std::string &Client);
  entry_shard &shardOf(const std::string &Customer);
  void step(entry_shard &Shard, const entry_event &Event);
  void stepAll(const entry_event &Event);
  void perform(entry_shard &Shard, const entry_action &Action);
  void forward(entry_shard &Shard, const forward_request &Action);
  void askWitness(entry_shard &Shard, const ask_witness &Action);
  void finish(const finish_caller &Action);
  void replaceCall(entry_request &Held, kj::Maybe<kj::Promise<void>> Fresh);
  void handleAnswer(entry_shard &Shard, std::uint64_t Token,
                    wire::Answer::Reader Answer);
  void hearOffers(capnp::List<wire::Offer>::Reader Offers);
  void pollOffers();
  void askForOffers(const std::string &Address);
  void applyContract(const item &Item);
  void applyGateways(const view_change &Change);
  void applyEntries(const view_change &Change);
  /// Empty when that incarnation isn't known to run.
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
