#include "caller.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace amaranthhoist {

namespace {

/// Executions and violations counted by all backend stand-ins together.
struct execution_count {
  std::map<std::string, std::int64_t> ByKey;
  std::int64_t Overloads = 0;
  std::int64_t AfterDrain = 0;
  std::int64_t Unreachable = 0;
};

} // namespace

static execution_count
countExecutions(const std::vector<std::string> &Backends) {
  execution_count Count;
  http_client Client;
  for (const std::string &Backend : Backends) {
    http_call Call;
    Call.Url = "http://" + Backend + "/report";
    const http_call_result Result = Client.call(Call);
    const auto Report = nlohmann::json::parse(Result.Body, nullptr, false);
    if (Result.End != call_end::Complete || !Report.is_object()) {
      ++Count.Unreachable;
      continue;
    }
    Count.Overloads += Report.value("overloads", 0);
    Count.AfterDrain += Report.value("after_drain", 0);
    for (const auto &Execution : Report["executions"])
      if (const std::string Key = Execution.value("key", ""); !Key.empty())
        ++Count.ByKey[Key];
  }
  return Count;
}

static double percentile(std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

static void printKinds(caller_report &Report) {
  std::printf("%-12s %9s %9s %9s %9s %9s %9s %9s\n", "REQUEST", "ANSWERED",
              "REFUSED", "NOT RUN", "UNKNOWN", "BROKEN", "P50 MS", "P99 MS");
  for (auto &[Name, Kind] : Report.Kinds)
    std::printf("%-12s %9ld %9ld %9ld %9ld %9ld %9.2f %9.2f\n", Name.c_str(),
                long(Kind.Outcomes["answered"]), long(Kind.Outcomes["refused"]),
                long(Kind.Outcomes["not-run"]), long(Kind.Outcomes["unknown"]),
                long(Kind.Outcomes["broken"]),
                percentile(Kind.Milliseconds, 0.5),
                percentile(Kind.Milliseconds, 0.99));
}

bool checkAndPrint(caller_report &Report,
                   const std::vector<std::string> &Backends, bool AllowCut) {
  const execution_count Count = countExecutions(Backends);
  std::int64_t ExecutedTwice = 0;
  std::int64_t ExecutedAfterNotRun = 0;
  std::int64_t AnsweredNotExecuted = 0;
  for (const auto &[Key, Times] : Count.ByKey)
    ExecutedTwice += Times > 1 ? 1 : 0;
  for (const auto &[Key, Reported] : Report.Keys) {
    const bool Executed = Count.ByKey.contains(Key);
    ExecutedAfterNotRun += Reported.Outcome == "not-run" && Executed ? 1 : 0;
    AnsweredNotExecuted += Reported.Outcome == "answered" && !Executed ? 1 : 0;
  }
  printKinds(Report);
  for (const auto &[Name, Kind] : Report.Kinds)
    for (const auto &[Outcome, Ms] : Kind.LongestMs)
      if (Outcome != "answered")
        std::printf("longest wait of a %s that was %s: %.0f ms\n", Name.c_str(),
                    Outcome.c_str(), Ms);
  for (const std::string &Note : Report.Notes)
    std::printf("note: %s\n", Note.c_str());
  std::printf("%ld lost, %ld executed twice, %ld truncated, %ld wrong, "
              "%ld executed but reported as not run, "
              "%ld reported as answered but not executed, "
              "%ld sent beyond a target's slots, %ld sent after a drain, "
              "%ld completed only after the deadline\n",
              long(Report.Lost), long(ExecutedTwice), long(Report.Truncated),
              long(Report.WrongContent), long(ExecutedAfterNotRun),
              long(AnsweredNotExecuted), long(Count.Overloads),
              long(Count.AfterDrain), long(Report.AfterDeadline));
  if (Count.Unreachable != 0)
    std::printf("%ld backend stand-ins gave no report\n",
                long(Count.Unreachable));
  const std::int64_t Cut = AllowCut ? 0 : Report.Truncated;
  return Report.Lost + ExecutedTwice + Cut + Report.WrongContent +
             ExecutedAfterNotRun + AnsweredNotExecuted + Report.AfterDeadline +
             Count.Overloads + Count.AfterDrain + Count.Unreachable ==
         0;
}

} // namespace amaranthhoist
