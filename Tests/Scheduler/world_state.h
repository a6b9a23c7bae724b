/// State of the seeded scheduler, shared between its source files.
#pragma once

#include "Objects/objects.h"
#include "world.h"

#include <algorithm>

namespace amaranthhoist::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr int GatewayCount = 3;
inline constexpr std::int64_t CapMilliwatts = 100'000;
inline constexpr std::int64_t IdleMilliwatts = 20'000;
inline constexpr const char *Site = "site-a";
inline constexpr duration CallerDeadline = milliseconds(1'500);
inline constexpr duration MaxBackendDeadline = milliseconds(1'500);

/// A gateway process: its node and its run state.
struct gateway_process {
  int Number = 0;
  std::int64_t Incarnation = 0;
  gateway_node Node;
  bool Alive = false;
  instant FrozenUntil{};
};

/// One caller's operation, retried under its key until it has a final outcome.
struct operation {
  std::string Name;
  std::string Key;
  work_class Class = work_class::Idempotent;
  bool Long = false;
  bool Done = false;
  int Tries = 0;
  instant Deadline{};
};

/// The site's pool object in the platform.
struct pool_object {
  pool_record Record;
  bool Outage = false;
  bool LosesResponses = false;
};

class world {
public:
  explicit world(const world_options &Options) : Options(Options) {
    Random.seed(Options.Seed);
  }
  world_result run();

private:
  using action = std::function<void()>;

  // Time and messages.
  void at(instant Time, action Action);
  void after(duration Delay, action Action) {
    at(Now + Delay, std::move(Action));
  }
  void repeat(duration Period, const action &Action);
  int draw(int Bound) {
    return static_cast<int>(Random() % static_cast<std::uint64_t>(Bound));
  }
  bool chance(int Percent) { return draw(100) < Percent; }
  duration latency() { return std::chrono::microseconds(200 + draw(4'000)); }
  void send(const std::string &From, const std::string &To, bool Reliable,
            const action &Deliver);
  bool isCut(const std::string &From, const std::string &To) const {
    return Cut.contains({From, To});
  }
  bool has(fault Fault) const {
    return std::find(Options.Faults.begin(), Options.Faults.end(), Fault) !=
           Options.Faults.end();
  }
  moment now() const { return {Now, Now.time_since_epoch().count() / 1'000}; }

  // Gateways.
  void startGateway(int Number);
  void killGateway(int Number);
  void onGateway(int Number, std::int64_t Incarnation, const action &Action);
  void stepNode(int Number, const gateway_event &Event);
  void perform(int Number, const gateway_action &Action);
  void cutOff(std::uint64_t Token);
  void drainAll(bool Draining);
  void performSend(int Number, const send_to_target &Action);
  void performPeer(int Number, const send_to_peer &Action);
  void performWrite(int Number, const write_record &Action);
  void announceGateways();
  static std::string nameOf(int Number) {
    return "gw" + std::to_string(Number);
  }

  // Targets.
  void execute(int Number, std::int64_t Incarnation,
               const send_to_target &Action, const std::string &Operation,
               const std::string &Key, bool Long, const std::string &Region);
  void endExecution(int Number, std::int64_t Incarnation, std::uint64_t Token,
                    std::size_t Place, attempt_end End, duration Took);

  // Entries and callers.
  void stepEntryNode(int Number, const entry_event &Event);
  void performEntry(int Number, const entry_action &Action);
  void forward(int Number, const forward_request &Action);
  void askWitness(int Number, const query_witness &Action);
  void respondToEntry(int Gateway, const finish_request &Action);
  void startCaller(int Caller);
  void submit(const std::shared_ptr<operation> &Operation, int Entry);
  void onOutcome(const std::shared_ptr<operation> &Operation, outcome Outcome,
                 const std::string &Content, duration RetryAfter);
  void injectFaults();

  world_options Options;
  std::mt19937_64 Random;
  instant Now{seconds(100)};
  instant Stop{};
  struct event {
    instant At;
    std::uint64_t Order;
    action Action;
    bool operator<(const event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };
  std::priority_queue<event> Events;
  std::uint64_t NextOrder = 0;
  std::set<std::pair<std::string, std::string>> Cut;
  std::vector<gateway_process> Gateways{GatewayCount};
  std::vector<entry_node> Entries;
  std::int64_t NextIncarnation = 1;
  std::set<std::string> ProvedDead;
  pool_object Pool;
  std::vector<target_settings> Targets;
  std::set<std::string> Retired;
  /// Destination of a response and the operation that it belongs to, by the
  /// gateway's token.
  struct routed {
    int Entry = 0;
    std::uint64_t EntryToken = 0;
    bool Seal = false;
    std::string Region;
    std::shared_ptr<operation> Operation;
  };
  std::map<std::uint64_t, routed> Routes;
  std::map<std::uint64_t, std::shared_ptr<operation>> AtEntry;
  std::uint64_t NextToken = 1;
  int LiveOperations = 0;
  world_result Result;
};

} // namespace amaranthhoist::testing
