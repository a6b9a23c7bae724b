// policy-bench: runs the production decision logic on the seeded scheduler at
// several loads, healthy and with each fault, and compares two policies for
// each choice. Prints the callers' latency, the goodput, the used part of the
// cap, and how often a key ended as unknown. Time is virtual: the figures
// depend on the seeds alone.

#include "Scheduler/world.h"

#include <algorithm>
#include <cstdio>

using namespace amaranthhoist;
using namespace amaranthhoist::testing;

namespace {

/// Requests per second that the simulated world's power cap allows with its mix
/// of work.
constexpr double CapacityPerSecond = 112;
constexpr int Callers = 24;
constexpr int Seeds = 8;
constexpr double UsableMilliwatts = 80'000;

/// Results accumulated over all seeds.
struct bench_row {
  std::vector<double> WaitMs;
  double Answered = 0;
  double Seconds = 0;
  double DrawnMilliwattSeconds = 0;
  double Keyed = 0;
  double Unknown = 0;
  double Refused = 0;
  /// Responses per second before the faults and in the last seconds.
  double Before = 0;
  double After = 0;
};

double secondsOf(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Start of the measured interval: after the world's start-up. The interval
/// ends when the callers stop.
constexpr instant SteadyBegin{std::chrono::seconds(101)};

void addRun(const world_options &Options, bench_row &Row) {
  const world_result Result = runWorld(Options);
  const instant End = instant(std::chrono::seconds(100)) + Options.Length;
  const instant EarlyEnd = SteadyBegin + std::chrono::milliseconds(500);
  const instant LateBegin = End - std::chrono::seconds(3);
  Row.Seconds += secondsOf(End - SteadyBegin);
  for (const reported_outcome &Reported : Result.History.Outcomes) {
    Row.Keyed += Reported.Key.empty() ? 0 : 1;
    Row.Unknown += Reported.Outcome == outcome::Unknown ? 1 : 0;
    Row.Refused += Reported.Outcome == outcome::Refused ? 1 : 0;
    if (Reported.Outcome != outcome::Answered || Reported.At < SteadyBegin ||
        Reported.At > End)
      continue;
    ++Row.Answered;
    Row.Before += Reported.At < EarlyEnd ? 1 / 0.5 / Seeds : 0;
    Row.After += Reported.At > LateBegin ? 1 / 3.0 / Seeds : 0;
    Row.WaitMs.push_back(
        secondsOf(Reported.At - Result.Started.at(Reported.Operation)) * 1'000);
  }
  for (const recorded_execution &Execution : Result.History.Executions) {
    const instant From = std::max(Execution.Start, SteadyBegin);
    const instant To = std::min(Execution.End, End);
    if (From < To)
      Row.DrawnMilliwattSeconds +=
          secondsOf(To - From) * double(Execution.Milliwatts);
  }
}

double percentile(std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(Part * double(Values.size() - 1))];
}

world_options atLoad(double Factor) {
  world_options Options;
  Options.Length = std::chrono::seconds(12);
  Options.Callers = Callers;
  Options.Entries = 10;
  Options.PauseMs =
      static_cast<int>(2'000.0 * Callers / (Factor * CapacityPerSecond));
  return Options;
}

void printRow(const char *Name, world_options Options) {
  bench_row Row;
  for (int Seed = 1; Seed <= Seeds; ++Seed) {
    Options.Seed = static_cast<std::uint64_t>(Seed);
    addRun(Options, Row);
  }
  std::printf("%-34s %8.1f %8.1f %9.1f %7.1f %9.2f %8.2f %8.1f\n", Name,
              percentile(Row.WaitMs, 0.5), percentile(Row.WaitMs, 0.99),
              Row.Answered / Row.Seconds,
              100 * Row.DrawnMilliwattSeconds / UsableMilliwatts / Row.Seconds,
              100 * Row.Unknown / std::max(Row.Keyed, 1.0),
              Row.Refused / std::max(Row.Answered, 1.0), Row.After);
}

void printHead(const char *Title) {
  std::printf("\n%s\n%-34s %8s %8s %9s %7s %9s %8s %8s\n", Title, "", "p50 ms",
              "p99 ms", "goodput/s", "cap %", "unknown %", "refusals",
              "end g/s");
}

struct named_faults {
  const char *Name;
  std::vector<fault> Faults;
};

void printFaults(double Factor) {
  const std::vector<named_faults> All = {
      {"healthy", {}},
      {"gateway killed", {fault::KillGateway}},
      {"two gateways killed", {fault::KillTwoGateways}},
      {"gateway frozen", {fault::FreezeGateway}},
      {"gateway cut off", {fault::CutGateway}},
      {"entries lose a gateway", {fault::CutEntries}},
      {"platform away", {fault::PlatformOutage}},
      {"killed, platform away", {fault::KillGateway, fault::PlatformOutage}},
      {"answers lost", {fault::LostResponses}},
      {"shedding", {fault::Shedding}}};
  char Title[80];
  std::snprintf(Title, sizeof(Title), "load %.1f of capacity", Factor);
  printHead(Title);
  for (const named_faults &Entry : All) {
    world_options Options = atLoad(Factor);
    Options.Faults = Entry.Faults;
    printRow(Entry.Name, Options);
  }
}

void printPolicies() {
  printHead("choice of target, one of four 10 times slower, load 0.5");
  world_options Options = atLoad(0.5);
  Options.SlowFactor = 10;
  printRow("in flight only", Options);
  Options.TargetPolicy.Choice = target_choice::LoadAndSpeed;
  printRow("in flight and speed", Options);
  for (const int Entries : {10, 2})
    for (const double Factor : {0.9, 3.0}) {
      char Title[80];
      std::snprintf(Title, sizeof(Title),
                    "choice of gateway, %d entries, load %.1f", Entries,
                    Factor);
      printHead(Title);
      Options = atLoad(Factor);
      Options.Entries = Entries;
      printRow("cheaper of two by free units", Options);
      Options.RoutingPolicy.Choice = offer_choice::Cheapest;
      printRow("cheapest", Options);
    }
  for (const double Factor : {0.9, 1.2, 3.0}) {
    char Title[80];
    std::snprintf(Title, sizeof(Title), "longest wait admitted, load %.1f",
                  Factor);
    printHead(Title);
    for (const int Part : {1, 2, 4, 8}) {
      char Name[40];
      std::snprintf(Name, sizeof(Name), "1/%d of the time left", Part);
      Options = atLoad(Factor);
      Options.Queue.MaxWaitDivisor = Part;
      printRow(Name, Options);
    }
  }
}

} // namespace

int main(int ArgumentCount, char **) {
  // With any argument, runs the policy comparison only.
  if (ArgumentCount > 1) {
    printPolicies();
    return 0;
  }
  for (const double Factor : {0.5, 0.9, 1.2, 3.0})
    printFaults(Factor);
  printPolicies();
  return 0;
}
