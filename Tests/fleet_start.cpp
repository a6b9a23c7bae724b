#include "fleet_start.h"

#include "StateSpread/bootstrap.h"
#include "StateSpread/snapshot_throttle.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>

namespace amaranthhoist {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration InDomain = microseconds(200);
constexpr duration BetweenDomains = microseconds(900);
constexpr duration BetweenRegions = milliseconds(35);
/// The same values as in the node.
constexpr duration TickPeriod = milliseconds(20);
constexpr duration QueryTimeout = milliseconds(500);
/// Instances start within this time of each other.
constexpr std::int64_t StartSpreadUs = 300'000;
/// Bytes per server in the store's lists, and compressed.
constexpr double StoreBytes = 350;
constexpr double PackedBytes = 50;
constexpr double StoreMbps = 1'000;
constexpr std::size_t ServersPerPage = 500;
/// Interval between the probes of one live instance.
constexpr duration ProbePeriod = milliseconds(500);
constexpr duration RunTimeout = seconds(20);
constexpr instant StartTime{seconds(1'000)};

struct instance {
  fleet_member Member;
  double Mbps = 0;
  bool IsDead = false;
  instant StartedAt{};
  std::optional<instant> ReceivedAt;
  bootstrap Bootstrap;
  snapshot_throttle Throttle;
  /// Time until which its link is busy with snapshots that it sends.
  instant SendsUntil{};
  bool SourceBusy = false;
  bool SeedBusy = false;
};

duration transferTime(double Bytes, double Mbps) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Bytes * 8 / (Mbps * 1e6)));
}

class fleet_start {
public:
  fleet_start(const fleet_size &Size, const start_conditions &Conditions);
  start_outcome run();

private:
  struct event {
    instant At;
    std::uint64_t Number;
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::tie(At, Number) > std::tie(Other.At, Other.Number);
    }
  };

  void runAt(instant Time, std::function<void()> Action) {
    Events.push({Time, Next++, std::move(Action)});
  }
  void runAfter(duration Time, std::function<void()> Action) {
    runAt(Now + Time, std::move(Action));
  }
  static duration latency(const fleet_member &Left, const fleet_member &Right);
  void startInstance(std::size_t Index);
  void awaitStoreDelay(std::size_t Index);
  void tick(std::size_t Index);
  void query(std::size_t Index, const std::string &Control,
             bool instance::*IsBusy);
  void respond(std::size_t Sender, std::size_t Requester,
               bool instance::*IsBusy);
  void handleReferral(std::size_t Requester, bool instance::*IsBusy,
                      const std::vector<std::string> &Referrals);
  void listStore(std::size_t Index);
  void onStateReceived(std::size_t Index, bool FromStore);
  void announce(std::size_t Sender, const std::string &Control);
  void probe(std::size_t Index);

  fleet_size Size;
  start_conditions Conditions;
  std::vector<instance> Instances;
  std::map<std::string, std::size_t> ByControl;
  std::vector<std::string> Seeds;
  /// The instances that the store lists.
  fleet Listed;
  std::priority_queue<event> Events;
  std::uint64_t Next = 0;
  instant Now = StartTime;
  instant StoreSendsUntil{};
  std::mt19937_64 Random{7};
  start_outcome Outcome;
};

fleet_start::fleet_start(const fleet_size &Size,
                         const start_conditions &Conditions)
    : Size(Size), Conditions(Conditions) {
  Listed = makeListedFleet(Size);
  for (const auto &[Name, Member] : Listed.Members) {
    instance Instance;
    Instance.Member = Member;
    Instance.Mbps = Member.LinkMbps;
    ByControl[Member.Control] = Instances.size();
    Instances.push_back(std::move(Instance));
  }
  // One instance of each of three regions, small ones included.
  for (std::size_t Seed = 0; Seed < 3; ++Seed)
    Seeds.push_back(Instances[Seed * Instances.size() / 3 + 1].Member.Control);
  if (!Conditions.InstancesAreListed)
    Listed.Members.clear();
}

duration fleet_start::latency(const fleet_member &Left,
                              const fleet_member &Right) {
  if (Left.Region != Right.Region)
    return BetweenRegions;
  return Left.FailureDomain == Right.FailureDomain ? InDomain : BetweenDomains;
}

void fleet_start::startInstance(std::size_t Index) {
  instance &Instance = Instances[Index];
  Instance.StartedAt = Now;
  Instance.Bootstrap =
      startBootstrap({Instance.Member.Control, Seeds, Instance.Mbps,
                      stableHash(Instance.Member.Name)},
                     Now);
  Instance.Throttle = makeSnapshotThrottle(Instance.Mbps, Now);
  tick(Index);
  awaitStoreDelay(Index);
}

void fleet_start::awaitStoreDelay(std::size_t Index) {
  const instance &Instance = Instances[Index];
  if (Instance.ReceivedAt)
    return;
  if (mayListStore(Instance.Bootstrap, Now))
    listStore(Index);
  else
    runAt(Instance.Bootstrap.ListStoreAt,
          [this, Index] { awaitStoreDelay(Index); });
}

void fleet_start::tick(std::size_t Index) {
  instance &Instance = Instances[Index];
  if (Instance.ReceivedAt)
    return;
  if (!Instance.SourceBusy)
    if (const auto Control = popSource(Instance.Bootstrap))
      query(Index, *Control, &instance::SourceBusy);
  if (!Instance.SeedBusy)
    if (const auto Control = nextSeed(Instance.Bootstrap, Now))
      query(Index, *Control, &instance::SeedBusy);
  runAfter(TickPeriod, [this, Index] { tick(Index); });
}

void fleet_start::query(std::size_t Index, const std::string &Control,
                        bool instance::*IsBusy) {
  const std::size_t Sender = ByControl.at(Control);
  Instances[Index].*IsBusy = true;
  const duration OneWay =
      latency(Instances[Index].Member, Instances[Sender].Member);
  const auto Release = [this, Index, IsBusy] {
    Instances[Index].*IsBusy = false;
  };
  // A machine without power sends nothing; the query times out.
  if (Instances[Sender].IsDead)
    return runAfter(QueryTimeout, Release);
  // A machine whose process doesn't listen yet refuses the connection.
  if (Instances[Sender].StartedAt == instant())
    return runAfter(2 * OneWay, Release);
  // A round trip for the connection, and one way for the request.
  runAfter(3 * OneWay,
           [this, Sender, Index, IsBusy] { respond(Sender, Index, IsBusy); });
}

void fleet_start::respond(std::size_t Sender, std::size_t Requester,
                          bool instance::*IsBusy) {
  instance &From = Instances[Sender];
  const fleet_member &To = Instances[Requester].Member;
  const snapshot_requester RequesterInfo{To.FailureDomain, To.Region,
                                         To.Control, To.Peer};
  const duration OneWay = latency(From.Member, To);
  const double Bytes = PackedBytes * static_cast<double>(Size.Servers);
  if (!From.ReceivedAt) {
    recordWaiting(From.Throttle, RequesterInfo);
    runAfter(OneWay, [this, Requester, IsBusy] {
      handleReferral(Requester, IsBusy, {});
    });
    return;
  }
  if (!mayServeSnapshot(From.Throttle, RequesterInfo,
                        static_cast<std::size_t>(Bytes), Now)) {
    const auto Referrals = referralsFor(From.Throttle, RequesterInfo);
    runAfter(OneWay, [this, Requester, IsBusy, Referrals] {
      handleReferral(Requester, IsBusy, Referrals);
    });
    return;
  }
  From.SendsUntil =
      std::max(From.SendsUntil, Now) + transferTime(Bytes, From.Mbps);
  const duration Received = transferTime(Bytes, Instances[Requester].Mbps);
  runAt(From.SendsUntil + OneWay + Received, [this, Requester, IsBusy] {
    Instances[Requester].*IsBusy = false;
    onStateReceived(Requester, /*FromStore=*/false);
  });
}

/// Handles the response of an instance that serves no snapshot now.
void fleet_start::handleReferral(std::size_t Requester, bool instance::*IsBusy,
                                 const std::vector<std::string> &Referrals) {
  instance &Instance = Instances[Requester];
  Instance.*IsBusy = false;
  if (!mayListStore(Instance.Bootstrap, Now))
    postponeStoreList(Instance.Bootstrap, Now);
  for (const std::string &Referral : Referrals)
    addSource(Instance.Bootstrap, Referral);
}

void fleet_start::listStore(std::size_t Index) {
  instance &Instance = Instances[Index];
  if (Instance.ReceivedAt)
    return;
  ++Outcome.StoreLists;
  if (Conditions.StoreIsSilent)
    return;
  const double Bytes = StoreBytes * static_cast<double>(Size.Servers);
  const std::size_t Pages = 1 + Size.Servers / ServersPerPage;
  // The store is located in the first region.
  const duration OneWay =
      Instance.Member.Region == "r0" ? BetweenDomains : BetweenRegions;
  StoreSendsUntil =
      std::max(StoreSendsUntil, Now) + transferTime(Bytes, StoreMbps);
  const duration RoundTrips = 2 * OneWay * static_cast<std::int64_t>(1 + Pages);
  runAt(StoreSendsUntil + RoundTrips + transferTime(Bytes, Instance.Mbps),
        [this, Index] { onStateReceived(Index, /*FromStore=*/true); });
}

void fleet_start::onStateReceived(std::size_t Index, bool FromStore) {
  instance &Instance = Instances[Index];
  if (Instance.ReceivedAt)
    return;
  Instance.ReceivedAt = Now;
  for (const snapshot_requester &Waiting : Instance.Throttle.Waiting)
    announce(Index, Waiting.Control);
  Listed.Own = Instance.Member;
  const auto Bytes =
      static_cast<std::size_t>(PackedBytes * static_cast<double>(Size.Servers));
  std::size_t Notified = 0;
  for (const std::string &Name : membersToNotify(Listed, FromStore)) {
    const std::string &Control = Listed.Members.at(Name).Control;
    runAfter(snapshotSendTime(Instance.Throttle, Notified++, Bytes),
             [this, Index, Control] { announce(Index, Control); });
  }
}

void fleet_start::announce(std::size_t Sender, const std::string &Control) {
  const std::size_t Index = ByControl.at(Control);
  const duration OneWay =
      latency(Instances[Sender].Member, Instances[Index].Member);
  runAfter(OneWay, [this, Index, Sender] {
    instance &Notified = Instances[Index];
    if (!Notified.ReceivedAt && !Notified.IsDead &&
        Notified.StartedAt != instant())
      addSource(Notified.Bootstrap, Instances[Sender].Member.Control);
  });
}

/// A live instance probes a random instance, and the probe carries its control
/// address.
void fleet_start::probe(std::size_t Index) {
  announce(Index, Instances[Random() % Instances.size()].Member.Control);
  runAfter(ProbePeriod, [this, Index] { probe(Index); });
}

start_outcome fleet_start::run() {
  for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
    instance &Instance = Instances[Index];
    const bool IsSeed = std::find(Seeds.begin(), Seeds.end(),
                                  Instance.Member.Control) != Seeds.end();
    Instance.IsDead = IsSeed && Conditions.SeedsAreDead;
    if (Instance.IsDead)
      continue;
    const double Draw = std::uniform_real_distribution<double>()(Random);
    if (Draw < Conditions.ShareAlive) {
      Instance.ReceivedAt = StartTime;
      Instance.StartedAt = StartTime;
      Instance.Throttle = makeSnapshotThrottle(Instance.Mbps, StartTime);
      runAt(StartTime, [this, Index] { probe(Index); });
      continue;
    }
    runAt(StartTime + duration(Random() % StartSpreadUs),
          [this, Index] { startInstance(Index); });
  }
  while (!Events.empty() && Events.top().At < StartTime + RunTimeout) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.At;
    Event.Action();
  }
  std::vector<duration> Times;
  for (const instance &Instance : Instances)
    if (Instance.ReceivedAt)
      Times.push_back(*Instance.ReceivedAt - Instance.StartedAt);
  std::sort(Times.begin(), Times.end());
  Outcome.WithState = Times.size();
  if (!Times.empty())
    Outcome.After95 = Times[Times.size() * 95 / 100];
  return Outcome;
}

} // namespace

fleet makeListedFleet(const fleet_size &Size) {
  fleet Fleet;
  Fleet.Own.Name = "own";
  Fleet.Own.Region = "r0";
  Fleet.Own.FailureDomain = "r0-d0";
  std::vector<fleet_member> Members;
  for (std::size_t Index = 0; Index < Size.Instances; ++Index) {
    const bool IsLarge =
        Size.LargeEvery == 0 || (Index / Size.Regions) % Size.LargeEvery == 0;
    const std::string Region = "r" + std::to_string(Index % Size.Regions);
    const std::string Domain =
        Region + "-d" +
        std::to_string(Index / Size.Regions % Size.DomainsPerRegion);
    const std::string Name = "n" + std::to_string(Index);
    Members.push_back({Name, Domain, Region, Name + "-call", Name + "-peer",
                       Name + "-control", IsLarge ? 0.5 : 0.1,
                       IsLarge ? Size.LargeMbps : Size.SmallMbps});
  }
  setFleet(Fleet, std::move(Members));
  return Fleet;
}

start_outcome startFleet(const fleet_size &Size,
                         const start_conditions &Conditions) {
  return fleet_start(Size, Conditions).run();
}

} // namespace amaranthhoist
