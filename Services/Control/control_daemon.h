/// Connects one instance to the platform and to the controls of other
/// instances.
#pragma once

#include "Http/http.h"
#include "Membership/membership.h"
#include "Metrics/metrics.h"
#include "Objects/objects.h"
#include "Platform/platform.h"
#include "Protocol/protocol.h"
#include "Replica/replica.h"
#include "Rpc/rpc.h"
#include "Settings/settings.h"
#include "Timers/timers.h"
#include "Workers/workers.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace amaranthhoist {

/// Changes since a sequence number, as returned to a polling local daemon.
struct change_batch {
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  std::vector<item> Items;
  std::vector<std::string> Down;
};

/// Response to a conditional update.
struct update_response {
  update_result Result = update_result::Uncertain;
  std::int64_t Version = 0;
};

class control_daemon {
public:
  explicit control_daemon(const instance_settings &Settings);
  ~control_daemon();

  result<bool> start();
  /// Unregisters. The other daemons of the instance must have shut down before.
  void shutDown();

  // On the loop's thread:
  kj::Promise<change_batch> handleChanges(const std::string &Daemon,
                                          std::uint64_t Epoch,
                                          std::uint64_t Sequence,
                                          duration Wait);
  kj::Promise<update_response> handleUpdate(const item &Item,
                                            std::int64_t BaseVersion);
  void handleAnnounce(const std::vector<item> &Items);
  void handleReplica(const std::string &From, const replica_message &Message);
  void handleProbe(const std::string &From, const membership_message &Message);
  std::vector<key_version> held(const std::vector<std::string> &Keys) const;
  std::string statusJson() const;

private:
  void applied(const std::vector<item> &Items);
  void send(const std::vector<outgoing_replica_message> &Messages);
  void send(const std::vector<outgoing_membership_message> &Messages);
  std::string addressOf(const std::string &Member) const;
  /// Records \p Item when it registers or removes a daemon, and returns whether
  /// it does.
  bool recordDaemon(const item &Item);
  void refreshMembers();
  void refreshOwnMembers();
  void tick();
  change_batch collect(std::uint64_t Epoch, std::uint64_t Sequence) const;
  void wakeWaiters();
  bool shouldWatch() const;
  void watchPlatform();
  void registerSelf();
  void recordLiveness(const std::string &Kind);

  instance_settings Settings;
  std::string Name;
  std::string OperationId;
  rpc_loop Loop;

  // On the loop's thread only, from here to Waiters:
  replica Replica;
  membership Members;
  object_view View;
  std::map<std::string, daemon_record> Records;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  std::map<std::uint64_t, std::string> KeyBySequence;
  std::map<std::string, std::uint64_t> SequenceByKey;
  std::set<std::string> Down;
  std::map<std::string, instant> LastSeen;
  bool Registered = false;
  std::vector<kj::Own<kj::PromiseFulfiller<void>>> Waiters;

  std::atomic<bool> Watching = true;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> PlatformUp = false;
  std::atomic<std::int64_t> Revision = 0;
  metrics_registry Metrics;
  std::unique_ptr<http_server> MetricsServer;
  worker_pool Workers;
  std::thread WatchThread;
  timer_service Timers;
};

} // namespace amaranthhoist
