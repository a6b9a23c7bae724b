#include "control_daemon.h"

#include "Daemon/daemon.h"
#include "Logging/logging.h"
#include "control_server.h"

#include <algorithm>
#include <random>

namespace amaranthhoist {

static constexpr duration MembershipPeriod = std::chrono::milliseconds(100);
static constexpr duration ComparePeriod = std::chrono::milliseconds(1'000);
/// Control stops reporting a local daemon as alive when the daemon has not
/// polled for changes for this long. Daemons poll at least every two seconds.
static constexpr duration LivenessTimeout = std::chrono::milliseconds(3'000);
/// Threads that call the platform on behalf of local daemons.
static constexpr std::size_t PlatformThreads = 4;

control_daemon::control_daemon(const instance_settings &Settings)
    : Settings(Settings), Name(objectKey(kinds::Control, Settings.Instance)),
      Workers(PlatformThreads) {
  std::random_device Device;
  OperationId = makeOperationId();
  Epoch = (static_cast<std::uint64_t>(Device()) << 32) | Device();
  Replica.Region = Settings.Region;
  Replica.Random.seed(Device());
  Members.Random.seed(Device());
}

control_daemon::~control_daemon() {
  Stopping = true;
  Timers.stop();
  if (WatchThread.joinable())
    WatchThread.join();
}

result<bool> control_daemon::start() {
  result<bool> Listening = true;
  Loop.run([&] {
    Listening =
        Loop.listen(Settings.Control.Listen, kj::heap<control_server>(*this));
    setOwnMembers(Members, {Name});
    refreshMembers();
  });
  TRY(std::move(Listening));
  if (!Settings.Control.MetricsListen.empty())
    MetricsServer = TRY(http_server::createWhole(
        Settings.Control.MetricsListen,
        [this](const http_head &, const std::string &) {
          http_response Response;
          Response.Body = Metrics.expose();
          return Response;
        }));
  Metrics.registerGauge("amaranthhoist_platform_up",
                        [this] { return PlatformUp ? 1.0 : 0.0; });
  WatchThread = std::thread([this] { watchPlatform(); });
  Timers.subscribe(MembershipPeriod, [this] { Loop.run([this] { tick(); }); });
  Timers.subscribe(ComparePeriod, [this] {
    Loop.run([this] { send(replicaTick(Replica)); });
  });
  return true;
}

void control_daemon::shutDown() {
  Loop.run([this] {
    auto Held = View.Items.find(Name);
    if (Held == View.Items.end())
      return;
    const std::int64_t Version = Held->second.Version;
    Workers.submit([this, Version] {
      platform_client(Settings.Control.Platform).remove(Name, Version);
    });
  });
  std::this_thread::sleep_for(MembershipPeriod);
}

std::string control_daemon::addressOf(const std::string &Member) const {
  // Each daemon is a member. The control of its instance responds on its
  // behalf.
  const std::string Key = objectKey(kinds::Control, splitKey(Member).Name);
  auto Found = Records.find(Key);
  // Seeds are identified by their addresses until their objects are known.
  return Found == Records.end() ? Member : Found->second.Address;
}

void control_daemon::send(
    const std::vector<outgoing_replica_message> &Messages) {
  for (const outgoing_replica_message &Message : Messages) {
    auto Request =
        Loop.peer<wire::Control>(addressOf(Message.To)).replicateRequest();
    Request.setFrom(Registered ? Name : Settings.Control.Listen);
    writeReplicaMessage(Message.Message, Request.initMessage());
    Metrics.incrementCounter("amaranthhoist_replica_bytes_sent",
                             std::int64_t(Request.totalSize().wordCount * 8));
    Metrics.incrementCounter("amaranthhoist_replica_messages_sent");
    Loop.keep(Request.send().ignoreResult().catch_([](kj::Exception &&) {}));
  }
}

void control_daemon::send(
    const std::vector<outgoing_membership_message> &Messages) {
  for (const outgoing_membership_message &Message : Messages) {
    auto Request =
        Loop.peer<wire::Control>(addressOf(Message.To)).probeRequest();
    Request.setFrom(Name);
    writeMembershipMessage(Message.Message, Request.initMessage());
    Metrics.incrementCounter("amaranthhoist_membership_messages_sent");
    Loop.keep(Request.send().ignoreResult().catch_([](kj::Exception &&) {}));
  }
}

void control_daemon::applied(const std::vector<item> &Items) {
  if (Items.empty())
    return;
  updateView(View, Items);
  for (const item &Item : Items) {
    auto Old = SequenceByKey.find(Item.Key);
    if (Old != SequenceByKey.end())
      KeyBySequence.erase(Old->second);
    KeyBySequence[++Sequence] = Item.Key;
    SequenceByKey[Item.Key] = Sequence;
  }
  // Most changes affect contracts and pools. Only changes to daemons require a
  // pass over the fleet.
  bool MembersChanged = false;
  for (const item &Item : Items)
    MembersChanged = recordDaemon(Item) || MembersChanged;
  if (MembersChanged)
    refreshMembers();
  wakeWaiters();
}

bool control_daemon::recordDaemon(const item &Item) {
  const std::string Kind = splitKey(Item.Key).Kind;
  if (Kind != kinds::Control && Kind != kinds::Gateway && Kind != kinds::Entry)
    return false;
  auto Record = parseDaemon(Item.Value);
  if (Item.Deleted || !Record)
    Records.erase(Item.Key);
  else
    Records[Item.Key] = std::move(*Record);
  return true;
}

void control_daemon::refreshMembers() {
  std::set<std::string> Names;
  std::vector<replica_peer> Peers;
  for (const auto &[Key, Record] : Records) {
    Names.insert(Key);
    if (splitKey(Key).Kind == kinds::Control && Key != Name &&
        !Down.contains(Key))
      Peers.push_back({Key, Record.Region});
  }
  if (Peers.empty())
    for (const std::string &Seed : Settings.Control.Seeds)
      if (Seed != Settings.Control.Listen)
        Peers.push_back({Seed, ""});
  setMembers(Members, Names);
  setReplicaPeers(Replica, Peers);
  Registered =
      Records.contains(Name) && Records[Name].OperationId == OperationId;
}

/// Liveness is derived from the daemons' own calls, so a frozen daemon on a
/// live instance is detected too.
void control_daemon::recordLiveness(const std::string &Kind) {
  LastSeen[Kind] = currentInstant();
}

void control_daemon::refreshOwnMembers() {
  std::vector<std::string> Names = {Name};
  const instant Now = currentInstant();
  for (const auto &[Kind, Seen] : LastSeen) {
    const std::string Key = objectKey(Kind, Settings.Instance);
    if (Now - Seen < LivenessTimeout && Records.contains(Key))
      Names.push_back(Key);
  }
  if (Names.size() == Members.Own.size())
    return;
  setOwnMembers(Members, Names);
  refreshMembers();
}

void control_daemon::tick() {
  refreshOwnMembers();
  send(membershipTick(Members, currentInstant()));
  std::set<std::string> Now = downMembers(Members);
  if (Now == Down)
    return;
  for (const std::string &Member : Now)
    if (!Down.contains(Member))
      logLine(log_level::Warn, "member suspected", {{"member", Member}});
  Down = std::move(Now);
  // Waiting polls and all later ones return at once.
  ++Sequence;
  refreshMembers();
  wakeWaiters();
}

void control_daemon::wakeWaiters() {
  for (auto &Waiter : std::exchange(Waiters, {}))
    Waiter->fulfill();
}

change_batch control_daemon::collect(std::uint64_t AskedEpoch,
                                     std::uint64_t AskedSequence) const {
  change_batch Batch;
  Batch.Epoch = Epoch;
  Batch.Sequence = Sequence;
  const std::uint64_t From = AskedEpoch == Epoch ? AskedSequence : 0;
  for (auto Entry = KeyBySequence.upper_bound(From);
       Entry != KeyBySequence.end(); ++Entry)
    Batch.Items.push_back(View.Items.at(Entry->second));
  Batch.Down.assign(Down.begin(), Down.end());
  return Batch;
}

kj::Promise<change_batch>
control_daemon::handleChanges(const std::string &Daemon,
                              std::uint64_t AskedEpoch,
                              std::uint64_t AskedSequence, duration Wait) {
  recordLiveness(Daemon);
  if (AskedEpoch != Epoch || AskedSequence < Sequence)
    return collect(AskedEpoch, AskedSequence);
  auto Paf = kj::newPromiseAndFulfiller<void>();
  Waiters.push_back(kj::mv(Paf.fulfiller));
  return Paf.promise.exclusiveJoin(Loop.after(Wait))
      .then([this, AskedEpoch, AskedSequence] {
        return collect(AskedEpoch, AskedSequence);
      });
}

kj::Promise<update_response>
control_daemon::handleUpdate(const item &Item, std::int64_t BaseVersion) {
  auto Paf = kj::newPromiseAndCrossThreadFulfiller<update_response>();
  auto Fulfiller = std::make_shared<
      kj::Own<kj::CrossThreadPromiseFulfiller<update_response>>>(
      kj::mv(Paf.fulfiller));
  Workers.submit([this, Item, BaseVersion, Fulfiller] {
    platform_client Client(Settings.Control.Platform);
    const result<std::int64_t> Version =
        Item.Deleted ? Client.remove(Item.Key, BaseVersion)
                     : Client.put(Item.Key, Item.Value, BaseVersion);
    update_response Answer;
    if (Version)
      Answer = {update_result::Written, *Version};
    else if (Version.error().Code == error_code::Conflict)
      Answer.Result = update_result::Conflict;
    (*Fulfiller)->fulfill(kj::mv(Answer));
  });
  return Paf.promise.then([this, Item](update_response Answer) {
    if (Answer.Result == update_result::Written) {
      item Written = Item;
      Written.Version = Answer.Version;
      handleAnnounce({Written});
    }
    return Answer;
  });
}

void control_daemon::handleAnnounce(const std::vector<item> &Items) {
  std::vector<item> Fresh;
  auto Messages = applyItems(Replica, Items, Fresh);
  applied(Fresh);
  send(Messages);
}

void control_daemon::handleReplica(const std::string &From,
                                   const replica_message &Message) {
  std::vector<item> Fresh;
  auto Messages = handleReplicaMessage(Replica, From, Message, Fresh);
  applied(Fresh);
  send(Messages);
}

void control_daemon::handleProbe(const std::string &From,
                                 const membership_message &Message) {
  send(handleMembershipMessage(Members, From, Message, currentInstant()));
}

} // namespace amaranthhoist
