/// Seeded scheduler that drives the real decision logic of entries and gateways
/// on a virtual clock: it delivers messages, timers and faults in an order that
/// depends on the seed alone, so that each failing seed replays exactly.
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

/// What goes wrong in a run.
enum class fault : std::uint8_t {
  None,
  /// A gateway process dies and comes back as a new incarnation.
  KillGateway,
  /// As KillGateway, two at a time.
  KillTwoGateways,
  /// A gateway stops for longer than its loans last, and goes on.
  FreezeGateway,
  /// One gateway is cut off from the others, not from its targets.
  CutGateway,
  /// One gateway hears the others, but isn't heard by them.
  CutOneWay,
  /// Entries lose their way to one gateway.
  CutEntries,
  /// The platform turns every call away.
  PlatformOutage,
  /// Writes to the platform take effect and their answers are lost.
  LostWrites,
  /// Backend servers execute and lose the answer.
  LostAnswers,
  /// Backend servers say 503 and not run.
  Shedding,
  /// A site's load arrives at once from all entries.
  Surge,
  /// A site is drained by an operator, with long work under way.
  DrainSite,
  /// A target says that it is leaving in a header only.
  TargetLeaves,
};

/// Mechanisms switched off, to see the checker catch what they prevent.
enum class sabotage : std::uint8_t {
  None,
  /// The witness is not asked: the record is confirmed at once.
  NoWitness,
  /// Units of work of unknown end are free at once.
  NoLingering,
  /// Updates of the pool record are unconditional.
  UnconditionalWrites,
  /// A late copy of a loan is taken again.
  LoansTakenTwice,
  /// The table forgets what has run.
  ForgottenKeys,
  /// The dead are reclaimed at once.
  ReclaimAtOnce,
  /// Nobody heeds that a target leaves.
  LeavingIgnored,
  /// A drain cancels the work that is in progress.
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
  /// Percent of requests that take half a second and more.
  int LongPercent = 5;
  /// Longest pause of a caller between two requests; 0: by the faults.
  int PauseMs = 0;
  /// One target takes this many times as long as the others.
  int SlowFactor = 1;
  target_policy TargetPolicy;
  routing_policy RoutingPolicy;
  /// Percent of messages lost, and of those delivered twice.
  int LossPercent = 1;
  int DuplicatePercent = 1;
};

/// What a run counted, beside its history.
struct world_result {
  history History;
  /// When each operation began, by name.
  std::map<std::string, instant> Started;
  std::map<outcome, int> Outcomes;
  int Requests = 0;
  /// Requests that never got a final answer.
  int Unanswered = 0;
  int Executions = 0;
};

/// Runs one world to its end.
world_result runWorld(const world_options &Options);

} // namespace amaranthhoist::testing
