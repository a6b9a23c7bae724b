#include "RetryBudget/retry_budget_world.h"

#include "Pacing/pacing.h"

#include <algorithm>
#include <random>
#include <vector>

namespace amaranthhoist {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string Service = "desk";
const retry_bounds Bounds{0.2, seconds(10), 58};
constexpr duration Step = milliseconds(100);
constexpr int StepsPerSecond = 10;
constexpr int StepsPerWindow = 10 * StepsPerSecond;
constexpr int Length = 120 * StepsPerSecond;
/// No faults before the callers' first two windows are over.
constexpr int QuietSteps = 25 * StepsPerSecond;
/// The longest time for which a request waits at an instance until it is read,
/// and an attempt on its way to a server.
constexpr int MaxReadDelay = StepsPerSecond;
constexpr int MaxArrivalDelay = 12;
/// Instances that others miss for so long are removed from their views.
constexpr int RemovalSteps = 30 * StepsPerSecond;
/// Time until a change of the instances is in each view that it can reach.
constexpr int ViewDelay = 25;

/// A state that holds in a span of steps.
struct span_of_steps {
  int From = 0;
  int Until = 0;
  [[nodiscard]] bool contains(int At) const { return From <= At && At < Until; }
};

/// Callers of some instances come to others.
struct load_move {
  span_of_steps When;
  std::size_t From = 0;
  std::size_t To = 0;
  double Share = 1;
};

struct load_burst {
  span_of_steps When;
  double Factor = 1;
};

struct instance_state {
  windowed_retry_budget Budget;
  double Weight = 1;
  std::vector<span_of_steps> Isolated;
  std::vector<span_of_steps> SlowLinks;
  std::vector<span_of_steps> SlowReads;
  std::vector<int> Starts;
  int IsolatedSteps = 0;
  int ConnectedSteps = 0;
  bool KnowsOthers = false;
  /// Not in the views of the others.
  bool IsRemoved = false;
  // By step, for the ways that count themselves.
  std::vector<double> Requests = std::vector<double>(Length);
  std::vector<double> Retries = std::vector<double>(Length);
};

bool containsAny(const std::vector<span_of_steps> &Spans, int At) {
  return std::any_of(
      Spans.begin(), Spans.end(),
      [&](const span_of_steps &Span) { return Span.contains(At); });
}

double sumBefore(const std::vector<double> &Values, int End, int Count) {
  double Sum = 0;
  for (int At = std::max(0, End - Count); At < End; ++At)
    Sum += Values[static_cast<std::size_t>(At)];
  return Sum;
}

class world {
public:
  explicit world(const retry_world_options &Options);
  retry_world_result run();

private:
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }
  int between(int Low, int High) {
    return std::uniform_int_distribution<int>(Low, High)(Random);
  }
  std::size_t anyInstance() {
    return static_cast<std::size_t>(
        between(0, static_cast<int>(Instances.size()) - 1));
  }
  span_of_steps spanOf(int Shortest, int Longest) {
    const int From = between(QuietSteps, Length - 1);
    return {From, From + between(Shortest, Longest)};
  }
  void scheduleFaults();
  void scheduleCuts();
  void scheduleMoves();
  void scheduleKills();
  double demandAt(std::size_t Instance, int At) const;
  std::size_t instancesInView(const instance_state &Own) const;
  void start(instance_state &Own, int At);
  void updateViews(instance_state &Own, int At);
  bool permits(std::size_t Instance, int At);
  void serve(std::size_t Instance, int At);
  void request(std::size_t Instance, int At);
  void send(std::size_t Instance, int At);
  double worstUse() const;

  retry_world_options Options;
  std::mt19937_64 Random;
  std::vector<instance_state> Instances;
  /// Retries of one request: as many as the budget permits, or one.
  int MaxRetries = 1'000;
  std::vector<load_move> Moves;
  std::vector<load_burst> Bursts;
  std::vector<span_of_steps> Failures;
  // As the operators count them: when callers sent, and when retries arrived.
  std::vector<double> Sent = std::vector<double>(Length);
  std::vector<double> Arrived = std::vector<double>(Length);
  // All instances together, when they read requests and sent retries.
  std::vector<double> Requests = std::vector<double>(Length);
  std::vector<double> Retries = std::vector<double>(Length);
  retry_world_result Result;
};

instant timeOf(int At) { return instant(seconds(1'000) + Step * At); }

world::world(const retry_world_options &InitialOptions)
    : Options(InitialOptions), Random(InitialOptions.Seed),
      Instances(InitialOptions.Instances) {
  for (instance_state &Instance : Instances) {
    Instance.Weight = 0.3 + uniform();
    Instance.Budget = makeRetryBudget(Bounds, timeOf(0));
  }
  MaxRetries = uniform() < 0.5 ? 1 : MaxRetries;
  Failures.push_back(spanOf(20, Length));
  Failures.push_back(spanOf(20, 100));
  if (Options.HasFaults)
    scheduleFaults();
}

void world::scheduleFaults() {
  for (int Count = between(0, 3); Count > 0; --Count)
    Bursts.push_back({spanOf(10, 100), uniform() * 3});
  scheduleMoves();
  scheduleCuts();
  for (std::size_t Index = 0; Index < Instances.size() / 2; ++Index) {
    Instances[anyInstance()].SlowLinks.push_back(spanOf(2, 60));
    Instances[anyInstance()].SlowReads.push_back(spanOf(2, 60));
  }
  scheduleKills();
}

/// Some instances are cut off from the store and the others; a few of them are
/// restarted meanwhile.
void world::scheduleCuts() {
  const bool IsLong = uniform() < 0.5;
  for (int Count = between(0, 2); Count > 0; --Count) {
    const span_of_steps When = spanOf(20, IsLong ? 700 : 80);
    for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
      instance_state &Instance = Instances[anyInstance()];
      Instance.Isolated.push_back(When);
      if (uniform() < 0.3)
        Instance.Starts.push_back(between(When.From, When.Until));
    }
  }
}

/// Callers of some instances come to the others, often while servers begin to
/// fail.
void world::scheduleMoves() {
  for (int Count = between(0, 3); Count > 0; --Count) {
    const span_of_steps When = spanOf(10, 200);
    const std::size_t Split = 1 + anyInstance() % (Instances.size() - 1);
    const double Share = uniform() < 0.5 ? 1 : uniform();
    for (std::size_t From = 0; From < Split; ++From)
      Moves.push_back(
          {When, From, Split + From % (Instances.size() - Split), Share});
    const int Before = between(0, 2 * StepsPerWindow);
    Failures.push_back({When.From - Before, When.From + 2 * StepsPerWindow});
  }
}

void world::scheduleKills() {
  for (int Count = between(0, 3); Count > 0; --Count)
    Instances[anyInstance()].Starts.push_back(between(QuietSteps, Length));
  if (uniform() < 0.5)
    return;
  const int First = between(QuietSteps, Length);
  Failures.push_back({First - 20, First + 2 * StepsPerWindow});
  for (int Kill = 0; Kill < 3; ++Kill)
    for (instance_state &Instance : Instances)
      if (uniform() < 0.9)
        Instance.Starts.push_back(First + 25 * Kill);
}

double world::demandAt(std::size_t Instance, int At) const {
  double Sum = 0;
  for (const instance_state &Each : Instances)
    Sum += Each.Weight;
  const auto Own = [&](std::size_t Index) {
    return Options.Rate * Instances[Index].Weight / Sum / StepsPerSecond;
  };
  double Demand = Own(Instance);
  for (const load_move &Move : Moves) {
    if (!Move.When.contains(At) || Move.From == Move.To)
      continue;
    const double Moved = std::min(1.0, Move.Share) * Own(Move.From);
    if (Move.To == Instance)
      Demand += Moved;
    if (Move.From == Instance)
      Demand -= Moved;
  }
  for (const load_burst &Burst : Bursts)
    if (Burst.When.contains(At))
      Demand *= Burst.Factor;
  return std::max(0.0, Demand);
}

/// The number of instances that share the slack in the view of an instance, or
/// 0 while it doesn't know them.
std::size_t world::instancesInView(const instance_state &Own) const {
  if (Own.ConnectedSteps < ViewDelay && !Own.KnowsOthers)
    return Options.Mutant == retry_mutant::CountsItselfAlone ? 1 : 0;
  if (Own.IsolatedSteps > 0)
    return Instances.size();
  return static_cast<std::size_t>(std::count_if(
      Instances.begin(), Instances.end(), [&](const instance_state &Other) {
        return &Other == &Own || !Other.IsRemoved;
      }));
}

void world::start(instance_state &Own, int At) {
  Own.Budget = makeRetryBudget(Bounds, timeOf(At));
  Own.KnowsOthers = false;
  Own.ConnectedSteps = 0;
  std::fill(Own.Requests.begin(), Own.Requests.end(), 0);
  std::fill(Own.Retries.begin(), Own.Retries.end(), 0);
}

/// Updates what an instance knows of the others, and they of it.
void world::updateViews(instance_state &Own, int At) {
  if (std::find(Own.Starts.begin(), Own.Starts.end(), At) != Own.Starts.end())
    start(Own, At);
  const bool IsIsolated = containsAny(Own.Isolated, At);
  Own.IsolatedSteps = IsIsolated ? Own.IsolatedSteps + 1 : 0;
  Own.ConnectedSteps = IsIsolated ? 0 : Own.ConnectedSteps + 1;
  Own.KnowsOthers = Own.KnowsOthers || Own.ConnectedSteps >= ViewDelay;
  if (Own.IsolatedSteps >= RemovalSteps)
    Own.IsRemoved = true;
  else if (Own.ConnectedSteps >= ViewDelay)
    Own.IsRemoved = false;
  const bool HasCurrentList = Own.KnowsOthers && !IsIsolated;
  if (HasCurrentList || Options.Mutant == retry_mutant::KeepsSlackWhileIsolated)
    renewSlackLease(Own.Budget, timeOf(At), timeOf(At));
  if (Options.Mutant == retry_mutant::StartsWithSlack)
    Own.Budget.SlackAvailableFrom = {};
}

bool world::permits(std::size_t Instance, int At) {
  instance_state &Own = Instances[Instance];
  const std::size_t Known = instancesInView(Own);
  if (Options.Way == retry_way::Tokens)
    return tryAcquireRetry(Own.Budget, Service, Known, timeOf(At));
  const bool IsCommon = Options.Way == retry_way::CommonWindow;
  const double Asked =
      sumBefore(IsCommon ? Requests : Own.Requests, At + 1, StepsPerWindow);
  const double Spent =
      sumBefore(IsCommon ? Retries : Own.Retries, At + 1, StepsPerWindow);
  const double Slack =
      IsCommon ? Bounds.Slack
               : Bounds.Slack / static_cast<double>(std::max<std::size_t>(
                                    1, Known == 0 ? Instances.size() : Known));
  return Spent + 1 <= Options.WindowShare * Bounds.Ratio * Asked + 0.8 * Slack;
}

void world::send(std::size_t Instance, int At) {
  instance_state &Own = Instances[Instance];
  Own.Retries[static_cast<std::size_t>(At)] += 1;
  Retries[static_cast<std::size_t>(At)] += 1;
  int ArrivesAt = At;
  // A slow link delivers what it held back when it recovers.
  for (const span_of_steps &Span : Own.SlowLinks)
    if (Span.contains(At))
      ArrivesAt = std::min(Span.Until, At + MaxArrivalDelay);
  if (ArrivesAt < Length)
    Arrived[static_cast<std::size_t>(ArrivesAt)] += 1;
}

void world::request(std::size_t Instance, int At) {
  instance_state &Own = Instances[Instance];
  const int Delay =
      containsAny(Own.SlowReads, At) ? between(0, MaxReadDelay) : 0;
  Sent[static_cast<std::size_t>(std::max(0, At - Delay))] += 1;
  countRequest(Own.Budget, Service, timeOf(At));
  Own.Requests[static_cast<std::size_t>(At)] += 1;
  Requests[static_cast<std::size_t>(At)] += 1;
  if (!containsAny(Failures, At))
    return;
  ++Result.Failed;
  for (int Retry = 0; Retry < MaxRetries && permits(Instance, At); ++Retry) {
    send(Instance, At);
    Result.Retried += Retry == 0 ? 1 : 0;
  }
}

void world::serve(std::size_t Instance, int At) {
  const double Demand = demandAt(Instance, At);
  int Count = static_cast<int>(Demand);
  Count += uniform() < Demand - Count ? 1 : 0;
  for (int Index = 0; Index < Count; ++Index)
    request(Instance, At);
}

double world::worstUse() const {
  double Worst = 0;
  for (int End = 1; End <= Length; ++End) {
    double Asked = 0;
    for (const int Earlier : {0, StepsPerWindow / 2, StepsPerWindow})
      Asked = std::max(Asked, sumBefore(Sent, End - Earlier, StepsPerWindow));
    const double Bound = Bounds.Ratio * Asked + Bounds.Slack;
    Worst = std::max(Worst, sumBefore(Arrived, End, StepsPerWindow) / Bound);
  }
  return Worst;
}

retry_world_result world::run() {
  for (int At = 0; At < Length; ++At) {
    for (instance_state &Instance : Instances)
      updateViews(Instance, At);
    for (std::size_t Index = 0; Index < Instances.size(); ++Index)
      serve(Index, At);
  }
  Result.WorstUse = worstUse();
  return Result;
}

} // namespace

retry_world_result runRetryWorld(const retry_world_options &Options) {
  return world(Options).run();
}

} // namespace amaranthhoist
