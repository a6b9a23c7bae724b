/// The state of one simulated fleet; internal to quota_world.
#pragma once

#include "Quota/quota_world.h"

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace amaranthhoist::quota_simulation {

inline const quota_bounds Bounds{std::chrono::seconds(5), 0.1, 20};
inline constexpr duration TickPeriod = std::chrono::milliseconds(50);
inline constexpr duration MaxWait = std::chrono::milliseconds(800);
inline constexpr duration ReportPeriod = std::chrono::milliseconds(500);
/// Time before requests arrive.
inline constexpr duration Lead = std::chrono::seconds(7);

struct waiting {
  account_id Account = 0;
  instant Since{};
};

struct node_state {
  std::string Name;
  std::size_t Index = 0;
  std::string Domain;
  std::string Region;
  bool IsUp = true;
  instant PausedUntil{};
  instant CutUntil{};
  std::uint64_t Start = 0;
  quota_coordinator Coordinator;
  coordinator_map Map;
  quota_holder Holder;
  std::map<account_id, std::deque<instant>> Waiters;
  // For the ways without coordinators.
  std::map<account_id, std::deque<instant>> OwnSends;
  std::map<account_id, std::map<std::size_t, double>> ReportedUse;
};

struct account_state {
  std::string Name;
  account_id Id = 0;
  quota_limit Limit;
  bool IsHot = false;
  /// The limit that binds; a lower one does so a window after it is in force.
  quota_limit Bound;
  std::deque<instant> Sends;
  std::deque<instant> Arrivals;
  std::uint64_t SentWhileHot = 0;
};

class world {
public:
  explicit world(const quota_world_options &Options);
  quota_world_result run();

private:
  using action = std::function<void()>;
  struct event {
    instant At;
    std::uint64_t Order;
    action Do;
    bool operator<(const event &Other) const {
      return At == Other.At ? Order > Other.Order : At > Other.At;
    }
  };

  void at(instant When, action Do) {
    Events.push({When, ++LastOrder, std::move(Do)});
  }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  duration between(duration Low, duration High) {
    return Low + duration(static_cast<std::int64_t>(
                     uniform() * static_cast<double>((High - Low).count())));
  }
  bool isRunning(const node_state &Node) const {
    return Node.IsUp && Now >= Node.PausedUntil;
  }
  void boot(node_state &Node);
  void scheduleFaults();
  void kill(node_state &Node, duration Downtime);
  void killRepeatedly();
  void fault();
  void arrive(account_state &Account);
  void nextArrival(account_state &Account);
  double demandOf(const account_state &Account) const;
  void request(node_state &Node, account_state &Account);
  void send(node_state &Node, account_state &Account);
  void refuse(account_state &Account);
  bool wasBelowLimit(const account_state &Account) const;
  void plan(node_state &Node, account_id Account);
  void transmit(std::size_t From, std::size_t To, std::size_t Bytes,
                const action &Do);
  void deliver(std::size_t To, std::uint64_t Start, const action &Do);
  void serveWaiters(node_state &Node, account_id Account);
  void tick(node_state &Node, std::uint64_t Start);
  void report(node_state &Node, std::uint64_t Start);
  bool admitsAlone(node_state &Node, account_state &Account);
  account_state &accountOf(account_id Id) { return *ById.at(Id); }
  bool usesPools() const {
    return Options.Way == quota_way::Pools ||
           Options.Way == quota_way::OneCoordinator;
  }
  account_pools poolsOf(const node_state &Node, account_id Account);

  quota_world_options Options;
  std::mt19937_64 Random;
  instant Now{};
  instant End{};
  std::uint64_t LastOrder = 0;
  std::priority_queue<event> Events;
  std::vector<node_state> Nodes;
  std::vector<account_state> Accounts;
  std::map<account_id, account_state *> ById;
  std::vector<coordinator_candidate> Listed;
  std::map<coordinator_id, std::size_t> IndexOf;
  instant HotFrom{};
  instant HotUntil{};
  double Loss = 0;
  quota_world_result Result;
};

} // namespace amaranthhoist::quota_simulation
