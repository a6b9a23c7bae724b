#include "crowd_fleet.h"

#include "Text/text.h"
#include "process_usage.h"

#include <CppUTest/TestHarness.h>

namespace amaranthhoist {

/// Only a node that hangs takes as long for one request.
static constexpr duration RequestTime = std::chrono::seconds(30);
/// Refusals of ordinary requests beside a crowd are allowed, and callers return
/// after a while. A crowd whose requests are served is served first, for as
/// long as the machine takes to fill the kernel's buffers: only a hang lasts
/// for all of these.
static constexpr int Tries = 100;
static constexpr duration ReturnTime = std::chrono::seconds(1);

crowd_fleet::crowd_fleet() : node_fleet(nodeProgram()) {
  MemoryMb = 48;
  FileDescriptors = 1'200;
  AddressSpaceMb = 2'000;
  addTarget("s1");
  addTarget("s2");
  Node = &addNode("n1", "a1", "a");
}

bool crowd_fleet::begin() {
  putConfiguration(1);
  start(*Node);
  return waitReady(*Node);
}

bool crowd_fleet::isServed() {
  const auto Call =
      startRequest(*Node, "/safe/x", cat("ordinary-", ++Requests));
  runUntil([&] { return Call->response().IsCompleted; }, RequestTime);
  return Call->response().Status == 200;
}

bool crowd_fleet::servesOthers() {
  bool Request = false;
  bool Lookup = false;
  bool Readiness = false;
  for (int Try = 0; Try < Tries && !(Request && Lookup && Readiness); ++Try) {
    if (Try > 0)
      runFor(ReturnTime);
    Request = Request || isServed();
    Lookup = Lookup || fetchEndpoint(Node->Lookups,
                                     "/amaranthhoist/resolve?name=shop.example")
                               .Status == 200;
    Readiness =
        Readiness ||
        fetchEndpoint(Node->Readiness, "/amaranthhoist/readiness").Status ==
            200;
  }
  return Request && Lookup && Readiness;
}

void crowd_fleet::checkLimits(const char *Name) {
  CHECK_TEXT(!hasExited(*Node), Name);
  CHECK_TEXT(peakMemoryKb(Node->Process) / 1'000 < MemoryMb, Name);
  CHECK_TEXT(openDescriptors(Node->Process) <=
                 static_cast<std::size_t>(FileDescriptors),
             Name);
}

void crowd_fleet::checkBeside(const crowd_plan &Plan, const char *Name) {
  {
    const crowd Crowd(Loop, Plan);
    runFor(CrowdTime);
    const bool IsServing = servesOthers();
    UT_PRINT(cat(Name, ": ", peakMemoryKb(Node->Process) / 1'000, " MB of ",
                 MemoryMb, ", ", openDescriptors(Node->Process),
                 " descriptors of ", FileDescriptors, ", ",
                 Crowd.sentBytes() / 1'000, " KB sent by ", Plan.Callers,
                 " callers, ", Crowd.openCallers(),
                 " still connected, others served: ", IsServing ? "yes" : "no")
                 .c_str());
    checkLimits(Name);
    CHECK_TEXT(IsServing, Name);
  }
  CHECK_TEXT(servesOthers(), Name);
  checkLimits(Name);
}

std::string crowdRequest(std::string_view Line, std::string_view Fields) {
  return cat(Line, " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: crowd\r\n",
             "X-Affinity-Key: crowd\r\nX-Deadline-Remaining: 3000\r\n", Fields,
             "\r\n");
}

} // namespace amaranthhoist
