#include "fleet_start.h"

#include "StateSpread/hand_out.h"
#include "StateSpread/learning.h"

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
/// As the node's learner.
constexpr duration TickPeriod = milliseconds(20);
constexpr duration AskTime = milliseconds(500);
/// Instances start within this time of each other.
constexpr std::int64_t StartSpreadUs = 300'000;
/// Of a server: in the store's lists, and compressed.
constexpr double StoreBytes = 350;
constexpr double PackedBytes = 50;
constexpr double StoreMbps = 1'000;
constexpr std::size_t ServersPerPage = 500;
/// Between two probes of one live instance.
constexpr duration ProbePeriod = milliseconds(500);
constexpr duration Patience = seconds(20);
constexpr instant Begin{seconds(1'000)};

struct instance {
  fleet_member Member;
  double Mbps = 0;
  bool IsDead = false;
  instant StartedAt{};
  std::optional<instant> LearnedAt;
  learning Learning;
  hand_out HandOut;
  /// Its link is busy until then with lists that it sends.
  instant SendsUntil{};
  bool HeardBusy = false;
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
    std::function<void()> Act;
    bool operator<(const event &Other) const {
      return std::tie(At, Number) > std::tie(Other.At, Other.Number);
    }
  };

  void at(instant Time, std::function<void()> Act) {
    Events.push({Time, Next++, std::move(Act)});
  }
  void after(duration Time, std::function<void()> Act) {
    at(Now + Time, std::move(Act));
  }
  static duration distance(const fleet_member &Left, const fleet_member &Right);
  void begin(std::size_t Index);
  void awaitStore(std::size_t Index);
  void tick(std::size_t Index);
  void ask(std::size_t Index, const std::string &Control,
           bool instance::*IsBusy);
  void answer(std::size_t Teller, std::size_t Asker, bool instance::*IsBusy);
  void hearLater(std::size_t Asker, bool instance::*IsBusy,
                 const std::vector<std::string> &Others);
  void listStore(std::size_t Index);
  void learn(std::size_t Index, bool FromStore);
  void tell(std::size_t Teller, const std::string &Control);
  void probe(std::size_t Index);

  fleet_size Size;
  start_conditions Conditions;
  std::vector<instance> Instances;
  std::map<std::string, std::size_t> ByControl;
  std::vector<std::string> Seeds;
  /// As the store lists it.
  fleet Listed;
  std::priority_queue<event> Events;
  std::uint64_t Next = 0;
  instant Now = Begin;
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
  // One of each of three regions, small ones among them.
  for (std::size_t Seed = 0; Seed < 3; ++Seed)
    Seeds.push_back(Instances[Seed * Instances.size() / 3 + 1].Member.Control);
  if (!Conditions.InstancesAreListed)
    Listed.Members.clear();
}

duration fleet_start::distance(const fleet_member &Left,
                               const fleet_member &Right) {
  if (Left.Region != Right.Region)
    return BetweenRegions;
  return Left.FailureDomain == Right.FailureDomain ? InDomain : BetweenDomains;
}

void fleet_start::begin(std::size_t Index) {
  instance &Instance = Instances[Index];
  Instance.StartedAt = Now;
  Instance.Learning =
      startLearning({Instance.Member.Control, Seeds, Instance.Mbps,
                     stableHash(Instance.Member.Name)},
                    Now);
  Instance.HandOut = makeHandOut(Instance.Mbps, Now);
  tick(Index);
  awaitStore(Index);
}

void fleet_start::awaitStore(std::size_t Index) {
  const instance &Instance = Instances[Index];
  if (Instance.LearnedAt)
    return;
  if (mayAskStore(Instance.Learning, Now))
    listStore(Index);
  else
    at(Instance.Learning.AskStoreAt, [this, Index] { awaitStore(Index); });
}

void fleet_start::tick(std::size_t Index) {
  instance &Instance = Instances[Index];
  if (Instance.LearnedAt)
    return;
  if (!Instance.HeardBusy)
    if (const auto Control = takeHeard(Instance.Learning))
      ask(Index, *Control, &instance::HeardBusy);
  if (!Instance.SeedBusy)
    if (const auto Control = takeSeed(Instance.Learning, Now))
      ask(Index, *Control, &instance::SeedBusy);
  after(TickPeriod, [this, Index] { tick(Index); });
}

void fleet_start::ask(std::size_t Index, const std::string &Control,
                      bool instance::*IsBusy) {
  const std::size_t Teller = ByControl.at(Control);
  Instances[Index].*IsBusy = true;
  const duration Way =
      distance(Instances[Index].Member, Instances[Teller].Member);
  const auto Give = [this, Index, IsBusy] { Instances[Index].*IsBusy = false; };
  // Nothing comes back from a machine without power.
  if (Instances[Teller].IsDead)
    return after(AskTime, Give);
  // A machine whose process doesn't listen yet refuses.
  if (Instances[Teller].StartedAt == instant())
    return after(2 * Way, Give);
  // There and back for the connection, and there for the question.
  after(3 * Way,
        [this, Teller, Index, IsBusy] { answer(Teller, Index, IsBusy); });
}

void fleet_start::answer(std::size_t Teller, std::size_t Asker,
                         bool instance::*IsBusy) {
  instance &From = Instances[Teller];
  const fleet_member &To = Instances[Asker].Member;
  const new_instance Who{To.FailureDomain, To.Region, To.Control, To.Peer};
  const duration Way = distance(From.Member, To);
  const double Bytes = PackedBytes * static_cast<double>(Size.Servers);
  if (!From.LearnedAt) {
    noteWaiting(From.HandOut, Who);
    after(Way, [this, Asker, IsBusy] { hearLater(Asker, IsBusy, {}); });
    return;
  }
  if (!mayHandOut(From.HandOut, Who, static_cast<std::size_t>(Bytes), Now)) {
    const auto Others = referralsFor(From.HandOut, Who);
    after(Way,
          [this, Asker, IsBusy, Others] { hearLater(Asker, IsBusy, Others); });
    return;
  }
  From.SendsUntil =
      std::max(From.SendsUntil, Now) + transferTime(Bytes, From.Mbps);
  const duration Received = transferTime(Bytes, Instances[Asker].Mbps);
  at(From.SendsUntil + Way + Received, [this, Asker, IsBusy] {
    Instances[Asker].*IsBusy = false;
    learn(Asker, /*FromStore=*/false);
  });
}

/// The answer of one that has no lists to give now.
void fleet_start::hearLater(std::size_t Asker, bool instance::*IsBusy,
                            const std::vector<std::string> &Others) {
  instance &Instance = Instances[Asker];
  Instance.*IsBusy = false;
  if (!mayAskStore(Instance.Learning, Now))
    noteSignOfLife(Instance.Learning, Now);
  for (const std::string &Other : Others)
    hearOfSource(Instance.Learning, Other);
}

void fleet_start::listStore(std::size_t Index) {
  instance &Instance = Instances[Index];
  if (Instance.LearnedAt)
    return;
  ++Outcome.StoreLists;
  if (Conditions.StoreIsSilent)
    return;
  const double Bytes = StoreBytes * static_cast<double>(Size.Servers);
  const std::size_t Pages = 1 + Size.Servers / ServersPerPage;
  // The store stands in the first region.
  const duration Way =
      Instance.Member.Region == "r0" ? BetweenDomains : BetweenRegions;
  StoreSendsUntil =
      std::max(StoreSendsUntil, Now) + transferTime(Bytes, StoreMbps);
  const duration Trips = 2 * Way * static_cast<std::int64_t>(1 + Pages);
  at(StoreSendsUntil + Trips + transferTime(Bytes, Instance.Mbps),
     [this, Index] { learn(Index, /*FromStore=*/true); });
}

void fleet_start::learn(std::size_t Index, bool FromStore) {
  instance &Instance = Instances[Index];
  if (Instance.LearnedAt)
    return;
  Instance.LearnedAt = Now;
  for (const new_instance &Waiting : Instance.HandOut.Waiting)
    tell(Index, Waiting.Control);
  Listed.Own = Instance.Member;
  const auto Bytes =
      static_cast<std::size_t>(PackedBytes * static_cast<double>(Size.Servers));
  std::size_t Told = 0;
  for (const std::string &Name : membersToTell(Listed, FromStore)) {
    const std::string &Control = Listed.Members.at(Name).Control;
    after(timeToHandOut(Instance.HandOut, Told++, Bytes),
          [this, Index, Control] { tell(Index, Control); });
  }
}

void fleet_start::tell(std::size_t Teller, const std::string &Control) {
  const std::size_t Index = ByControl.at(Control);
  const duration Way =
      distance(Instances[Teller].Member, Instances[Index].Member);
  after(Way, [this, Index, Teller] {
    instance &Told = Instances[Index];
    if (!Told.LearnedAt && !Told.IsDead && Told.StartedAt != instant())
      hearOfSource(Told.Learning, Instances[Teller].Member.Control);
  });
}

/// A live instance probes another one at random, which shows its address.
void fleet_start::probe(std::size_t Index) {
  tell(Index, Instances[Random() % Instances.size()].Member.Control);
  after(ProbePeriod, [this, Index] { probe(Index); });
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
      Instance.LearnedAt = Begin;
      Instance.StartedAt = Begin;
      Instance.HandOut = makeHandOut(Instance.Mbps, Begin);
      at(Begin, [this, Index] { probe(Index); });
      continue;
    }
    at(Begin + duration(Random() % StartSpreadUs),
       [this, Index] { begin(Index); });
  }
  while (!Events.empty() && Events.top().At < Begin + Patience) {
    const event Event = Events.top();
    Events.pop();
    Now = Event.At;
    Event.Act();
  }
  std::vector<duration> Times;
  for (const instance &Instance : Instances)
    if (Instance.LearnedAt)
      Times.push_back(*Instance.LearnedAt - Instance.StartedAt);
  std::sort(Times.begin(), Times.end());
  Outcome.Learned = Times.size();
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
