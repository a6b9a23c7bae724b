// The story of a request from log lines of several nodes, as an operator on
// call gets it.

#include "RequestTrace/request_trace.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

request_trace traceOf(const std::string &Id,
                      std::initializer_list<std::string_view> Lines) {
  trace_reader Reader(Id);
  for (std::string_view Line : Lines)
    Reader.take(Line);
  return makeTrace(Reader);
}

bool says(const request_trace &Trace, std::string_view Text) {
  return describe(Trace).find(Text) != std::string::npos;
}

constexpr std::string_view Started =
    R"({"time_ms":1000,"steady_us":0,"instance":"n1","event":"started"})";
constexpr std::string_view Version7 =
    R"({"time_ms":1500,"steady_us":500000,"instance":"n1","event":"configuration_applied","version":7})";

} // namespace

// clang-format off
TEST_GROUP(RequestTrace) {};
// clang-format on

TEST(RequestTrace, ARefusalNamesItsPlacesAndTheAgeOfWhatItKnew) {
  const auto Trace = traceOf(
      "r1",
      {Started, Version7,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"refused","request":"r1","why":"no_room","took_us":100000,"longest_wait_us":400000,"place_1":"s1","wait_1_us":900000,"report_age_1_us":20000,"place_2":"s2","wait_2_us":700000,"report_age_2_us":-1})"});
  CHECK(says(Trace, "s1 would have made it wait 900 ms (load told 20 ms"));
  CHECK(says(Trace, "s2 would have made it wait 700 ms (it never told"));
  LONGS_EQUAL(7, Trace.Nodes[0].ConfigurationVersion);
  // From the moment at which the request came, not the one of its line.
  LONGS_EQUAL(900'000, Trace.Nodes[0].ConfigurationAgeUs);
}

TEST(RequestTrace, ARefusalForAQuarantineNamesTheContent) {
  const auto Trace = traceOf(
      "r1",
      {Started,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"refused","request":"r1","content":"00000000000000c7","why":"quarantined"})"});
  CHECK(says(Trace, "servers crashed under its content, 00000000000000c7"));
}

TEST(RequestTrace, LinesOfOtherRequestsAndForeignTextAreLeftOut) {
  trace_reader Reader("r1");
  Reader.take("  12.3 n1 noise");
  Reader.take("{broken");
  Reader.take("");
  Reader.take(R"({"no":"event"})");
  Reader.take(R"({"event":"refused","request":"r2"})");
  // A collector may put its own time before the line.
  Reader.take(R"(12.5 n1 {"event":"answered","request":"r1","status":200})");
  LONGS_EQUAL(1, Reader.own().size());
  LONGS_EQUAL(3, Reader.unreadable());
}

// Symptom: a request is said to have met a configuration in force for a day.
// Sequence: the node's process is killed and started again after the request;
// its clock starts anew, so that its later lines look earlier. Cause: comparing
// the clocks of two processes.
TEST(RequestTrace, BeliefsOfALaterProcessDontCount) {
  const auto Trace = traceOf(
      "r1",
      {Started, Version7,
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"sent","request":"r1","server":"s1"})",
       R"({"time_ms":4000,"steady_us":10,"instance":"n1","event":"started"})",
       R"({"time_ms":4100,"steady_us":90000,"instance":"n1","event":"configuration_applied","version":9})"});
  LONGS_EQUAL(7, Trace.Nodes[0].ConfigurationVersion);
  CHECK(says(Trace, "n1 was killed or crashed and started again"));
}

TEST(RequestTrace, StepsOfSeveralNodesAreInOrderWhateverWasReadFirst) {
  const auto Trace = traceOf(
      "r1",
      {R"({"time_ms":3000,"steady_us":5,"instance":"n2","event":"answered","request":"r1","status":200})",
       R"({"time_ms":2000,"steady_us":900,"instance":"n1","event":"refused","request":"r1","why":"leaving"})",
       R"({"time_ms":1990,"steady_us":800,"instance":"n1","event":"sent","request":"r1","server":"s1"})"});
  STRCMP_EQUAL("sent", Trace.Steps[0].Event.c_str());
  STRCMP_EQUAL("refused", Trace.Steps[1].Event.c_str());
  STRCMP_EQUAL("answered", Trace.Steps[2].Event.c_str());
  LONGS_EQUAL(2, Trace.Nodes.size());
}

TEST(RequestTrace, WhatBecameOfAServerOfAnAttemptIsShown) {
  const auto Trace = traceOf(
      "r1",
      {Started,
       R"({"time_ms":1900,"steady_us":900000,"instance":"n1","event":"store_silent"})",
       R"({"time_ms":2500,"steady_us":1500000,"instance":"n1","event":"gave_up","request":"r1","why":"attempt_failed","status":502,"attempts":"s1 +0ms unreachable after 250ms; s2 +250ms failed after 9ms","took_us":260000})",
       R"({"time_ms":2600,"steady_us":1600000,"instance":"n1","event":"server_removed","server":"s2"})"});
  CHECK(says(Trace, "answer was lost or unsound; it may have run"));
  CHECK(says(Trace, "s2 was taken from the list"));
  CHECK(says(Trace, "n1 had lost the store"));
}

TEST(RequestTrace, ARequestWithoutLinesIsSaidToBeSo) {
  const auto Trace = traceOf("r1", {Started, Version7});
  CHECK(Trace.Steps.empty());
  CHECK(says(Trace, "no line names it"));
}
