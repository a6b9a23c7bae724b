/// Seeded scheduler that drives the real decision logic of entries and gateways
/// on a virtual clock. The order of messages, timers and faults depends on the
/// seed alone, so that each failing seed replays exactly.
#pragma once

#include "Entry/entry.h"
#include "Gateway/gateway.h"
#include "History/history.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace amaranthhoist::testing {

/// Faults injected into a run.
enum class fault : std::uint8_t {
  None,
  /// A gateway process is killed and restarts as a new incarnation.
  KillGateway,
  /// Like KillGateway, for two gateways at a time.
  KillTwoGateways,
  /// A gateway is paused for longer than its loans last, and resumes.
  FreezeGateway,
  /// One gateway is partitioned from the other gateways, but not from its
  /// targets.
  CutGateway,
  /// One gateway receives messages from the others, but its own are lost.
  CutOneWay,
  /// Entries cannot reach one gateway.
  CutEntries,
  /// The platform rejects every call.
  PlatformOutage,
  /// Writes to the platform take effect, but their responses are lost.
  LostWrites,
  /// Backend servers execute requests, but the responses are lost.
  LostResponses,
  /// Backend servers respond 503 and state that the request was not executed.
  Shedding,
  /// The load of a site arrives from all entries at the same time.
  Surge,
  /// An operator drains a site while long requests are in progress.
  DrainSite,
  /// A target announces in a response header only that it is draining.
  TargetDrains,
};

/// Mechanisms that can be disabled, to verify that the checker detects the
/// failures that they prevent.
enum class sabotage : std::uint8_t {
  None,
  /// The record is confirmed immediately, without a query to the witness.
  NoWitness,
  /// Units of requests with an unknown end are released immediately.
  NoLingering,
  /// Updates of the pool record are unconditional.
  UnconditionalWrites,
  /// A late duplicate of a loan is applied again.
  LoansAppliedTwice,
  /// The key table drops executed requests.
  ForgottenKeys,
  /// The shares of dead holders are reclaimed immediately.
  ReclaimAtOnce,
  /// Gateways ignore that a target is draining.
  DrainingIgnored,
  /// A drain cancels the requests in progress.
  DrainCancels,
};

struct world_options {
  std::uint64_t Seed = 1;
  std::vector<fault> Faults;
  sabotage Sabotage = sabotage::None;
  duration Length = std::chrono::seconds(6);
  int Callers = 24;
  int Entries = 2;
  queue_limits Queue;
  std::string Service = "desk";
  int TargetCount = 4;
  std::int64_t Slots = 3;
  std::int64_t SlotMilliwatts = 10'000;
  /// Percentage of requests that take half a second or longer.
  int LongPercent = 5;
  /// Longest pause of a caller between two requests; 0: depends on the faults.
  int PauseMs = 0;
  /// Execution time of one target as a multiple of the others'.
  int SlowFactor = 1;
  target_policy TargetPolicy;
  routing_policy RoutingPolicy;
  /// Percentage of messages that are lost, and that are delivered twice.
  int LossPercent = 1;
  int DuplicatePercent = 1;
};

/// History and counters of a run.
struct world_result {
  history History;
  /// Start time of each operation, by name.
  std::map<std::string, instant> Started;
  std::map<outcome, int> Outcomes;
  int Requests = 0;
  /// Requests without a final outcome.
  int Unanswered = 0;
  int Executions = 0;
};

/// Runs one world to completion.
world_result runWorld(const world_options &Options);

} // namespace amaranthhoist::testing
