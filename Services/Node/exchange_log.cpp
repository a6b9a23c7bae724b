/// The part of an exchange that logs decisions and their inputs.
#include "exchange.h"

#include "Text/text.h"

namespace amaranthhoist {

std::string_view toString(attempt_result Result) {
  switch (Result) {
  case attempt_result::Answered:
    return "answered";
  case attempt_result::Shed:
    return "not_run";
  case attempt_result::Failed:
    return "failed";
  case attempt_result::Unreachable:
    return "unreachable";
  case attempt_result::TimedOut:
    return "timed_out";
  case attempt_result::Replaced:
    return "other_server";
  case attempt_result::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

static std::int64_t inMicroseconds(duration Time) { return Time.count(); }

std::string exchange::describeAttempts() const {
  std::string Text;
  for (const attempt_record &Attempt : Attempts) {
    const bool IsInFlight = Attempt.Outcome.empty();
    const duration Elapsed =
        IsInFlight ? Node.Loop.now() - Attempt.StartedAt : Attempt.Elapsed;
    append(Text, Text.empty() ? "" : "; ", Attempt.Server, " +",
           (Attempt.StartedAt - Request.ArrivedAt).count() / 1'000, "ms ",
           IsInFlight ? "under_way" : Attempt.Outcome, " after ",
           Elapsed.count() / 1'000, "ms");
  }
  return Text;
}

exchange::log_fields
exchange::summaryFields(std::string_view Why, int WithStatus,
                        std::string_view AttemptsText) const {
  const instant Now = Node.Loop.now();
  return {{"request", Request.Id},
          {"content", ContentName},
          {"service", Plan.Service},
          {"why", Why},
          {"status", static_cast<std::int64_t>(WithStatus)},
          {"attempts", AttemptsText},
          {"version", configurationVersion(Node)},
          {"took_us", inMicroseconds(Now - Request.ArrivedAt)},
          {"left_us", inMicroseconds(Plan.Deadline - Now)}};
}

void exchange::log(log_kind Kind, std::string_view Event, std::string_view Why,
                   int WithStatus) {
  const instant Now = Node.Loop.now();
  if (!Node.Log.admitsLine(Kind, Now))
    return;
  const std::string AttemptsText = describeAttempts();
  Node.Log.write(Kind, Event, summaryFields(Why, WithStatus, AttemptsText),
                 Now);
}

/// Age of the load report that a candidate was weighed by; -1 if there is none.
static std::int64_t reportAge(const candidate &Place, instant Now) {
  if (!Place.Target || !Place.Target->HasReport)
    return -1;
  return inMicroseconds(Now - Place.Target->ReportedAt);
}

static std::string_view serverOf(const candidate &Place) {
  return Place.Target ? std::string_view(Place.Target->Entry.Id)
                      : std::string_view();
}

void exchange::logRefusal(std::string_view Why, int WithStatus,
                          duration RetryAfter) {
  const instant Now = Node.Loop.now();
  if (!Node.Log.admitsLine(log_kind::RequestFailure, Now))
    return;
  const candidate_list Weighed =
      HasPlan ? findCandidates(Node.Steering, Plan, Now) : candidate_list();
  const candidate &First = Weighed.Candidates[0];
  const candidate &Second = Weighed.Candidates[1];
  const std::string AttemptsText = describeAttempts();
  log_fields Fields = summaryFields(Why, WithStatus, AttemptsText);
  Fields.insert(Fields.end(),
                {{"retry_after_us", inMicroseconds(RetryAfter)},
                 {"longest_wait_us", inMicroseconds(First.MaxWait)},
                 {"place_1", serverOf(First)},
                 {"load_1", First.Load},
                 {"wait_1_us", inMicroseconds(First.Wait)},
                 {"report_age_1_us", reportAge(First, Now)},
                 {"longest_wait_2_us", inMicroseconds(Second.MaxWait)},
                 {"place_2", serverOf(Second)},
                 {"load_2", Second.Load},
                 {"wait_2_us", inMicroseconds(Second.Wait)},
                 {"report_age_2_us", reportAge(Second, Now)}});
  Node.Log.write(log_kind::RequestFailure, "refused", Fields, Now);
}

static std::string joined(std::span<const std::string> Names) {
  std::string Text;
  for (const std::string &Name : Names)
    append(Text, Text.empty() ? "" : ",", Name);
  return Text;
}

void exchange::logAccountRefusal(refusal Reason, int WithStatus,
                                 duration RetryAfter) {
  const instant Now = Node.Loop.now();
  if (!Node.Log.admitsLine(log_kind::RequestFailure, Now))
    return;
  const client_account *Account = findAccount(Node.Steering, Request.ApiKey);
  const std::string Key = Account || Request.ApiKey.empty()
                              ? std::string()
                              : keyName(digestOf(Request.ApiKey));
  const std::string AttemptsText = describeAttempts();
  log_fields Fields = summaryFields(toString(Reason), WithStatus, AttemptsText);
  Fields.push_back({"account", Account ? std::string_view(Account->Name)
                                       : std::string_view()});
  Fields.push_back({"key", Key});
  const std::string Homes =
      Account ? joined(Account->HomeRegions) : std::string();
  if (Reason == refusal::NoCommonRegion)
    Fields.push_back({"account_regions", Homes});
  if (Reason == refusal::OverLimit || Reason == refusal::LimitUnknown) {
    const quota_view View = Node.Quotas->view(Plan.Account);
    Fields.insert(Fields.end(),
                  {{"limit", View.Limit.RequestsPerSecond},
                   {"burst", View.Limit.Burst},
                   {"demand_here", View.Demand},
                   {"tokens", static_cast<std::int64_t>(View.Tokens)},
                   {"pools", static_cast<std::int64_t>(View.Pools)},
                   {"retry_after_us", inMicroseconds(RetryAfter)}});
  }
  Node.Log.write(log_kind::RequestFailure, "refused", Fields, Now);
}

void exchange::logAborted() {
  log(log_kind::RequestFailure, Caller ? "answer_cut" : "left_running",
      "process_ended", Status);
}

} // namespace amaranthhoist
