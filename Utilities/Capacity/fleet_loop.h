/// Simulates a fleet: runs the production replica and membership logic of many
/// nodes over in-memory links, with an event queue, latencies and message loss.
/// Counts messages and bytes.
#pragma once

#include "Membership/membership.h"
#include "Replica/replica.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace amaranthhoist {

struct fleet_options {
  int Nodes = 10;
  int Regions = 3;
  std::uint64_t Seed = 1;
  int LossPercent = 0;
  duration WithinRegion = std::chrono::milliseconds(2);
  duration BetweenRegions = std::chrono::milliseconds(35);
  replica_policy Policy;
  bool WithReplicas = true;
  bool WithMembership = false;
};

/// Messages and bytes sent over the links.
struct link_counts {
  std::int64_t Messages = 0;
  std::int64_t Bytes = 0;
};

/// Called when a node applies an item.
using apply_listener =
    std::function<void(int Node, const item &Item, instant At)>;

class fleet_loop {
public:
  explicit fleet_loop(const fleet_options &Options);

  /// Executes all events up to \p Until.
  void runUntil(instant Until);
  void runFor(duration Time) { runUntil(Now + Time); }

  /// Schedules \p Action at \p Time.
  void at(instant Time, std::function<void()> Action);

  /// Delivers an item to \p Node, as its watch of the platform does.
  void deliver(int Node, const item &Item);
  /// Delivers items of any versions in any order, as a late or repeated watch
  /// does.
  void deliverAll(int Node, const std::vector<item> &Items);
  /// Applies \p Items at every node as initial state, without counting traffic.
  void preload(const std::vector<item> &Items);

  void kill(int Node) { Alive[static_cast<std::size_t>(Node)] = false; }
  /// Restarts \p Node with empty state.
  void restart(int Node);
  void cutRegion(int Region) { CutRegions.insert(Region); }
  void healRegion(int Region) { CutRegions.erase(Region); }

  int regionOf(int Node) const { return Node % Options.Regions; }
  bool isAlive(int Node) const { return Alive[static_cast<std::size_t>(Node)]; }
  const replica &replicaOf(int Node) const {
    return Replicas[static_cast<std::size_t>(Node)];
  }
  const membership &membershipOf(int Node) const {
    return Memberships[static_cast<std::size_t>(Node)];
  }
  int nodes() const { return Options.Nodes; }
  instant now() const { return Now; }

  apply_listener OnApply;
  link_counts ReplicaTraffic;
  link_counts MembershipTraffic;

  static std::string nameOf(int Node) { return std::to_string(Node); }

private:
  struct event {
    instant At;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  void setUp(int Node);
  void startTicks(int Node);
  void schedulePeriodic(int Node, duration Period,
                        const std::function<void()> &Action);
  bool reaches(int From, int To) const;
  duration latency(int From, int To);
  void post(int From, int To, std::function<void()> Action);
  void send(int From, const std::vector<outgoing_replica_message> &Messages);
  void send(int From, const std::vector<outgoing_membership_message> &Messages);
  void announce(int Node, const std::vector<item> &Applied);

  fleet_options Options;
  std::mt19937_64 Random;
  instant Now{std::chrono::seconds(1)};
  std::priority_queue<event> Events;
  std::uint64_t NextOrder = 0;
  std::vector<replica> Replicas;
  std::vector<membership> Memberships;
  std::vector<bool> Alive;
  std::vector<int> Starts;
  std::set<int> CutRegions;
};

} // namespace amaranthhoist
