/// The part of an exchange that tells what was decided, and by what.
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
    const bool IsUnderWay = Attempt.Ended.empty();
    const duration Took =
        IsUnderWay ? Node.Loop.now() - Attempt.Began : Attempt.Took;
    append(Text, Text.empty() ? "" : "; ", Attempt.Server, " +",
           (Attempt.Began - Request.Arrived).count() / 1'000, "ms ",
           IsUnderWay ? "under_way" : Attempt.Ended, " after ",
           Took.count() / 1'000, "ms");
  }
  return Text;
}

exchange::log_fields exchange::finalFields(std::string_view Why, int WithStatus,
                                           std::string_view Made) const {
  const instant Now = Node.Loop.now();
  return {{"request", Request.Id},
          {"content", ContentName},
          {"service", Plan.Service},
          {"why", Why},
          {"status", static_cast<std::int64_t>(WithStatus)},
          {"attempts", Made},
          {"version", configurationVersion(Node)},
          {"took_us", inMicroseconds(Now - Request.Arrived)},
          {"left_us", inMicroseconds(Plan.Deadline - Now)}};
}

void exchange::log(log_kind Kind, std::string_view Event, std::string_view Why,
                   int WithStatus) {
  const instant Now = Node.Loop.now();
  if (!Node.Log.wouldWrite(Kind, Now))
    return;
  const std::string Made = describeAttempts();
  Node.Log.write(Kind, Event, finalFields(Why, WithStatus, Made), Now);
}

/// Age of the load report that a place was weighed by; -1: none came yet.
static std::int64_t reportAge(const weighed_place &Place, instant Now) {
  if (!Place.Target || !Place.Target->HasReport)
    return -1;
  return inMicroseconds(Now - Place.Target->ReportedAt);
}

static std::string_view serverOf(const weighed_place &Place) {
  return Place.Target ? std::string_view(Place.Target->Entry.Id)
                      : std::string_view();
}

void exchange::logRefusal(std::string_view Why, int WithStatus,
                          duration RetryAfter) {
  const instant Now = Node.Loop.now();
  if (!Node.Log.wouldWrite(log_kind::Trouble, Now))
    return;
  const weighed_places Weighed =
      HasPlan ? weighPlaces(Node.Steering, Plan, Now) : weighed_places();
  const weighed_place &First = Weighed.Places[0];
  const weighed_place &Second = Weighed.Places[1];
  const std::string Made = describeAttempts();
  log_fields Fields = finalFields(Why, WithStatus, Made);
  Fields.insert(Fields.end(),
                {{"retry_after_us", inMicroseconds(RetryAfter)},
                 {"longest_wait_us", inMicroseconds(First.LongestWait)},
                 {"place_1", serverOf(First)},
                 {"load_1", First.Load},
                 {"wait_1_us", inMicroseconds(First.Wait)},
                 {"report_age_1_us", reportAge(First, Now)},
                 {"longest_wait_2_us", inMicroseconds(Second.LongestWait)},
                 {"place_2", serverOf(Second)},
                 {"load_2", Second.Load},
                 {"wait_2_us", inMicroseconds(Second.Wait)},
                 {"report_age_2_us", reportAge(Second, Now)}});
  Node.Log.write(log_kind::Trouble, "refused", Fields, Now);
}

void exchange::noteCutOff() {
  log(log_kind::Trouble, Caller ? "answer_cut" : "left_running",
      "process_ended", Status);
}

} // namespace amaranthhoist
