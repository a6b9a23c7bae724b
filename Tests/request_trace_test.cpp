// Tests that a request is reconstructed from the log lines of several nodes, as
// `amaranthhoist explain` shows it to operators.

#include "RequestTrace/request_trace.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

request_trace buildTrace(const std::string &Id,
                         std::initializer_list<std::string_view> Lines) {
  trace_reader Reader(Id);
  for (std::string_view Line : Lines)
    Reader.addLine(Line);
  return makeTrace(Reader);
}

bool mentions(const request_trace &Trace, std::string_view Text) {
  return describe(Trace).find(Text) != std::string::npos;
}

constexpr std::string_view StartedLine =
    R"({"time_ms":1000,"steady_us":0,"instance":"n1","event":"started"})";
constexpr std::string_view Version7Line =
    R"({"time_ms":1500,"steady_us":500000,"instance":"n1","event":"configuration_applied","version":7})";

} // namespace

// clang-format off
TEST_GROUP(RequestTrace) {};
// clang-format on

TEST(RequestTrace, RefusalShowsCandidatesAndLoadReportAge) {
  const auto Trace = buildTrace(
      "r1",
      {StartedLine, Version7Line,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"refused","request":"r1","why":"no_room","took_us":100000,"longest_wait_us":400000,"place_1":"s1","wait_1_us":900000,"report_age_1_us":20000,"place_2":"s2","wait_2_us":700000,"report_age_2_us":-1})"});
  CHECK(
      mentions(Trace, "s1 had an estimated wait of 900 ms (load report 20 ms"));
  CHECK(mentions(Trace, "s2 had an estimated wait of 700 ms (no load report"));
  LONGS_EQUAL(7, Trace.Nodes[0].ConfigurationVersion);
  // Relative to the arrival of the request, not to the time of its log line.
  LONGS_EQUAL(900'000, Trace.Nodes[0].ConfigurationAgeUs);
}

TEST(RequestTrace, QuarantineRefusalShowsContent) {
  const auto Trace = buildTrace(
      "r1",
      {StartedLine,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"refused","request":"r1","content":"00000000000000c7","why":"quarantined"})"});
  CHECK(mentions(
      Trace, "servers crashed while handling its content, 00000000000000c7"));
}

TEST(RequestTrace, SkipsOtherRequestsAndInvalidLines) {
  trace_reader Reader("r1");
  Reader.addLine("  12.3 n1 noise");
  Reader.addLine("{broken");
  Reader.addLine("");
  Reader.addLine(R"({"no":"event"})");
  Reader.addLine(R"({"event":"refused","request":"r2"})");
  // A log collector may prefix the line with its own time.
  Reader.addLine(R"(12.5 n1 {"event":"answered","request":"r1","status":200})");
  LONGS_EQUAL(1, Reader.requestLines().size());
  LONGS_EQUAL(3, Reader.skippedLines());
}

// Guards against comparing the monotonic clocks of two processes. When the
// node's process is killed and restarted after the request, its clock starts
// again, so that later lines look earlier; the request then appears to have
// used a configuration that had been applied for a day.
TEST(RequestTrace, IgnoresStateOfLaterProcess) {
  const auto Trace = buildTrace(
      "r1",
      {StartedLine, Version7Line,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"sent","request":"r1","server":"s1"})",
       R"({"time_ms":4000,"steady_us":10,"instance":"n1","event":"started"})",
       R"({"time_ms":4100,"steady_us":90000,"instance":"n1","event":"configuration_applied","version":9})"});
  LONGS_EQUAL(7, Trace.Nodes[0].ConfigurationVersion);
  CHECK(mentions(Trace, "n1 was killed or crashed and was restarted"));
}

TEST(RequestTrace, OrdersStepsOfSeveralNodes) {
  const auto Trace = buildTrace(
      "r1",
      {R"({"time_ms":3000,"steady_us":5,"instance":"n2","event":"answered","request":"r1","status":200})",
       R"({"time_ms":2000,"steady_us":900,"instance":"n1","event":"refused","request":"r1","why":"leaving"})",
       R"({"time_ms":1990,"steady_us":800,"instance":"n1","event":"sent","request":"r1","server":"s1"})"});
  STRCMP_EQUAL("sent", Trace.Steps[0].Event.c_str());
  STRCMP_EQUAL("refused", Trace.Steps[1].Event.c_str());
  STRCMP_EQUAL("answered", Trace.Steps[2].Event.c_str());
  LONGS_EQUAL(2, Trace.Nodes.size());
}

TEST(RequestTrace, ShowsStateChangesOfAttemptedServers) {
  const auto Trace = buildTrace(
      "r1",
      {StartedLine,
       R"({"time_ms":1900,"steady_us":900000,"instance":"n1","event":"store_silent"})",
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"gave_up","request":"r1","why":"attempt_failed","status":502,"attempts":"s1 +0ms unreachable after 250ms; s2 +250ms failed after 9ms","took_us":260000})",
       R"({"time_ms":2600,"steady_us":1600000,"instance":"n1","event":"server_removed","server":"s2"})"});
  CHECK(mentions(Trace, "response was lost or invalid; it may have run"));
  CHECK(mentions(Trace, "s2 was removed from the target list"));
  CHECK(mentions(Trace, "n1 had lost contact with the store"));
}

TEST(RequestTrace, ReportsRequestWithoutLines) {
  const auto Trace = buildTrace("r1", {StartedLine, Version7Line});
  CHECK(Trace.Steps.empty());
  CHECK(mentions(Trace, "no log line mentions it"));
}

TEST(RequestTrace, RejectionBeyondTheLimitShowsLimitAndDemand) {
  const auto Trace = buildTrace(
      "r1",
      {StartedLine,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"refused","request":"r1","why":"over_limit","account":"one","limit":20,"demand_here":7.54,"pools":3})"});
  CHECK(mentions(Trace, "over its limit, account one may send 20 requests/s"));
  CHECK(mentions(Trace, "7.5 requests/s came to this node"));
}

TEST(RequestTrace, RejectedKeyShowsTheVersionThatRevokedIt) {
  const auto Trace = buildTrace(
      "r1",
      {StartedLine,
       R"({"time_ms":2000,"steady_us":1000000,"instance":"n1","event":"key_revoked","account":"one","key":"0badcafe","version":9})",
       R"({"time_ms":2000,"steady_us":1000000,"instance":"n1","event":"key_revoked","account":"two","key":"12345678","version":9})",
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"refused","request":"r1","why":"no_account","key":"0badcafe","version":9})"});
  CHECK(mentions(Trace, "no account holds its API key, 0badcafe"));
  CHECK(mentions(Trace, "of account one was revoked in version 9"));
  CHECK_FALSE(mentions(Trace, "account two"));
}

TEST(RequestTrace, ExclusiveHomesAreNamed) {
  const auto Trace = buildTrace(
      "r1",
      {StartedLine,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"refused","request":"r1","why":"no_common_region","account":"one","account_regions":"b"})"});
  CHECK(mentions(Trace, "homes exclude each other, account one"));
}
