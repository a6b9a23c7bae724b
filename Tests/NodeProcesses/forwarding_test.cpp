// Tests nodes that reach no backend server, while other nodes do.

#include "cut_fleet.h"

#include <CppUTest/TestHarness.h>

#include <csignal>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

// clang-format off
TEST_GROUP(Forwarding) {};
// clang-format on

// Failure: a node whose connections to all servers are refused refuses its
// callers, though other nodes reach the servers.
TEST(Forwarding, RequestsOfACutOffNodeAreServedByOthers) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(20, Fleet.askMany("/safe/x", 20, "GET"));
  LONGS_EQUAL(20, Fleet.askMany("/once/x", 20, "POST"));
  for (int Id = 1; Id <= Fleet.Asked; ++Id)
    LONGS_EQUAL(1, runsOf(Fleet, cat("id-", Id)));
}

// Failure: the same with connections that hang instead of being refused.
TEST(Forwarding, HangingConnectionsDoNotKeepCallersWaiting) {
  cut_fleet Fleet({.ConnectionsHang = true});
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(20, Fleet.askMany("/safe/x", 20, "GET"));
  LONGS_EQUAL(20, Fleet.askMany("/once/x", 20, "POST"));
}

// Failure: a non-idempotent request whose response is lost behind another node
// is sent again, or its caller is told that it has not run.
TEST(Forwarding, LostResponsesAreNotRefusals) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.setAll(behavior::LosesResponses);
  for (int Request = 0; Request < 10; ++Request) {
    const std::string Id = cat("once-", Request);
    LONGS_EQUAL(502, Fleet.fetch(*Fleet.Cut, "/once/x", Id, "POST").Status);
    LONGS_EQUAL(1, runsOf(Fleet, Id));
  }
}

// Failure: the caller of a request that no server ran isn't told so.
TEST(Forwarding, RejectedRequestsAreRefusedWithRetryAfter) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.setAll(behavior::Sheds);
  const auto Response = Fleet.fetch(*Fleet.Cut, "/once/x", "id-1", "POST");
  LONGS_EQUAL(503, Response.Status);
  CHECK(!Response.RetryAfter.empty());
  LONGS_EQUAL(0, runsOf(Fleet, "id-1"));
}

// Failure: work goes on at a server though the caller has left the node that
// forwarded its request; or non-idempotent work is broken off.
TEST(Forwarding, DisconnectCancelsOnlyIdempotentRequests) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::seconds(30);
  auto Safe = Fleet.startRequest(*Fleet.Cut, "/safe/x", "id-1");
  auto Once = Fleet.startRequest(*Fleet.Cut, "/once/x", "id-2", "POST", "body");
  CHECK(Fleet.waitForRun("id-1"));
  CHECK(Fleet.waitForRun("id-2"));
  Safe->disconnect();
  Once->disconnect();
  CHECK(Fleet.runUntil([&] { return !Fleet.abandoned().empty(); }));
  Fleet.runFor(std::chrono::milliseconds(500));
  LONGS_EQUAL(1, Fleet.abandoned().size());
  STRCMP_EQUAL("id-1", Fleet.abandoned().front().c_str());
}

// Failure: a node dies while it serves another node's request, which is lost,
// or runs twice.
TEST(Forwarding, ServingNodeDies) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Work = std::chrono::milliseconds(500);
  auto Safe = Fleet.startRequest(*Fleet.Cut, "/safe/x", "id-1");
  auto Once = Fleet.startRequest(*Fleet.Cut, "/once/x", "id-2", "POST", "body");
  CHECK(Fleet.waitForRun("id-1"));
  CHECK(Fleet.waitForRun("id-2"));
  Fleet.signal(*Fleet.Nodes.front(), SIGKILL);
  CHECK(Fleet.runUntil([&] {
    return Safe->response().IsCompleted && Once->response().IsCompleted;
  }));
  LONGS_EQUAL(200, Safe->response().Status);
  CHECK(Once->response().Status == 200 || Once->response().Status == 502);
  LONGS_EQUAL(1, runsOf(Fleet, "id-2"));
}

// Failure: all nodes are cut off and send the requests round among them, or
// let their callers wait.
TEST(Forwarding, RequestsAreRefusedWhenNoNodeReachesAServer) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.cutAll();
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(*Fleet.Nodes[0], "/safe/x", "probe").Status == 503 &&
           Fleet.fetch(*Fleet.Nodes[1], "/safe/x", "probe").Status == 503;
  }));
  for (int Request = 0; Request < 10; ++Request) {
    const auto Response =
        Fleet.fetch(*Fleet.Cut, "/safe/x", cat("id-", Request));
    LONGS_EQUAL(503, Response.Status);
    CHECK(!Response.RetryAfter.empty());
  }
}

// Failure: a node goes on forwarding after it reaches the servers again.
TEST(Forwarding, NodeReturnsToTheServers) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(10, Fleet.askMany("/safe/x", 10, "GET"));
  CHECK(Fleet.logOf(*Fleet.Cut).find("servers_unreachable") !=
        std::string::npos);
  Fleet.reconnect();
  CHECK(Fleet.runUntil([&] {
    return Fleet.askMany("/safe/x", 1, "GET") == 1 &&
           Fleet.logOf(*Fleet.Cut).find("servers_reachable") !=
               std::string::npos;
  }));
  LONGS_EQUAL(10, Fleet.askMany("/safe/x", 10, "GET"));
}

// Failure: a request leaves the regions that its route allows.
TEST(Forwarding, RequestsStayInTheirHomeRegions) {
  cut_fleet Fleet({.RouteRegions = {"b"}});
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(0, Fleet.askMany("/safe/x", 5, "GET"));
  for (const std::size_t Other : {0, 1})
    CHECK(Fleet.logOf(*Fleet.Nodes[Other]).find("id-1") == std::string::npos);
}

// Failure: an API key is passed on to another node or a server, or a server
// isn't told the account.
TEST(Forwarding, AccountsAreConfirmedWhereTheRequestWasRead) {
  cut_fleet Fleet({.HasAccounts = true});
  CHECK(Fleet.IsReady);
  Fleet.Fields = "Api-Key: key-of-one\r\n";
  LONGS_EQUAL(5, Fleet.askMany("/safe/x", 5, "GET"));
  Fleet.Fields = "Api-Key: wrong\r\n";
  LONGS_EQUAL(401, Fleet.fetch(*Fleet.Cut, "/safe/x", "id-9").Status);
  int Runs = 0;
  for (const auto &[Id, Target] : Fleet.Targets) {
    Runs += Target->RunsByAccount["one"];
    LONGS_EQUAL(0, Target->KeysReceived);
  }
  LONGS_EQUAL(5, Runs);
}

// Failure: a caller names an account to a node as if another node had confirmed
// it.
TEST(Forwarding, CallersCanNotNameAnAccount) {
  cut_fleet Fleet({.HasAccounts = true});
  CHECK(Fleet.IsReady);
  Fleet.Fields = "Forwarded-Account: one\r\nForwarded-Attempts-Left: 1\r\n";
  LONGS_EQUAL(401, Fleet.fetch(*Fleet.Nodes[0], "/safe/x", "id-1").Status);
}

// Failure: a caller of a cut-off node writes a header field that nodes exchange
// between them, and its request runs as another account's.
TEST(Forwarding, CallersCanNotNameAnAccountToAnotherNode) {
  cut_fleet Fleet({.HasAccounts = true});
  CHECK(Fleet.IsReady);
  const std::string Key = "Api-Key: key-of-two\r\n";
  for (const std::string &Named :
       {std::string("Forwarded-Account: one\r\n"),
        std::string("FORWARDED-ACCOUNT: one\r\nforwarded-account: one\r\n"),
        std::string("Forwarded-Attempts-Left: 9\r\nForwarded-Version: 0\r\n"
                    "Forwarded-Account: one\r\n"),
        std::string("Connection: X-Deadline-Remaining\r\n"
                    "X-Deadline-Remaining: 2900\r\n"
                    "Forwarded-Account: one\r\n")})
    for (const std::string &Fields : {cat(Key, Named), cat(Named, Key)}) {
      Fleet.Fields = Fields;
      LONGS_EQUAL(1, Fleet.askMany("/safe/x", 1, "GET"));
      LONGS_EQUAL(1, Fleet.askMany("/once/x", 1, "POST"));
    }
  LONGS_EQUAL(16, Fleet.runsOfAccount("two"));
  LONGS_EQUAL(0, Fleet.runsOfAccount("one"));
}

// Failure: the same on a route that needs no account.
TEST(Forwarding, PublicRequestsRunForNoAccount) {
  cut_fleet Fleet({.HasAccounts = true});
  CHECK(Fleet.IsReady);
  Fleet.Fields = "Forwarded-Account: one\r\n";
  LONGS_EQUAL(5, Fleet.askMany("/open/x", 5, "GET"));
  LONGS_EQUAL(5, Fleet.runsOfAccount(""));
}

// Failure: a caller's own field is lost, because nodes use the same name.
TEST(Forwarding, CallersFieldsReachTheServerUnchanged) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Fields = "Forwarded-Account: mine\r\n";
  LONGS_EQUAL(5, Fleet.askMany("/safe/x", 5, "GET"));
  int Values = 0;
  for (const auto &[Id, Target] : Fleet.Targets)
    for (const std::string &Value : Target->CallersAccountFields) {
      STRCMP_EQUAL("mine", Value.c_str());
      ++Values;
    }
  LONGS_EQUAL(5, Values);
}

// Failure: a caller states a version of the configuration that no node has, and
// is refused by each.
TEST(Forwarding, CallersCanNotStateAVersion) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Fields = "Forwarded-Version: 99\r\n";
  LONGS_EQUAL(5, Fleet.askMany("/safe/x", 5, "GET"));
}

// Failure: a server's response has a field that nodes exchange between them,
// and the caller is told that its request has not run.
TEST(Forwarding, ServersFieldsDoNotMakeARefusal) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Fields = "Forwarded-Attempts: 0\r\nForwarded-Ask-Others: 1\r\n";
  LONGS_EQUAL(5, Fleet.askMany("/once/x", 5, "POST"));
  for (int Id = 1; Id <= Fleet.Asked; ++Id)
    LONGS_EQUAL(1, runsOf(Fleet, cat("id-", Id)));
}

// Failure: all nodes of a failure domain are cut off, and each forwards to the
// others of its domain.
TEST(Forwarding, NodesOfACutOffDomainAreServedByOtherDomains) {
  cut_fleet Fleet;
  for (const char *Name : {"cut-2", "cut-3"})
    Fleet.addCutNode(Name);
  CHECK(Fleet.IsReady);
  const std::vector<node_process *> CutNodes = {Fleet.Cut, Fleet.Nodes[3].get(),
                                                Fleet.Nodes[4].get()};
  for (int Round = 0; Round < 20; ++Round)
    for (node_process *Node : CutNodes) {
      Fleet.Cut = Node;
      LONGS_EQUAL(1, Fleet.askMany("/safe/x", 1, "GET"));
      LONGS_EQUAL(1, Fleet.askMany("/once/x", 1, "POST"));
    }
  for (int Id = 1; Id <= Fleet.Asked; ++Id)
    LONGS_EQUAL(1, runsOf(Fleet, cat("id-", Id)));
}

// Failure: a cut-off node goes on with the earlier configuration, because the
// nodes that serve its requests decide by theirs.
TEST(Forwarding, ConfigurationChangesApplyToForwardedRequests) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(404, Fleet.fetch(*Fleet.Cut, "/extra/x", "id-a").Status);
  Fleet.putConfiguration(2, /*HasExtra=*/true);
  Fleet.CutStore.copyFrom(Fleet.Store, "config", "main");
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(*Fleet.Cut, "/extra/x", "id-b").Status == 200;
  }));
  Fleet.putConfiguration(3);
  Fleet.CutStore.copyFrom(Fleet.Store, "config", "main");
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(*Fleet.Cut, "/extra/x", "id-c").Status == 404;
  }));
}

// Failure: the servers are full, and each request is refused by one node after
// the other, which then count as unavailable.
TEST(Forwarding, RefusalsForLoadAreFinal) {
  cut_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (auto &[Id, Target] : Fleet.Targets)
    Target->Load = "4,4000,4";
  // The other nodes get the load reports.
  for (std::size_t Other : {0, 1})
    CHECK(Fleet.runUntil([&] {
      const std::string Id = cat("load-", ++Fleet.Asked);
      return Fleet.fetch(*Fleet.Nodes[Other], "/once/x", Id, "POST").Status ==
             503;
    }));
  // A report ages, and the next request then reaches a server.
  CHECK(Fleet.runUntil([&] {
    const std::string Id = cat("cut-", ++Fleet.Asked);
    return Fleet.fetch(*Fleet.Cut, "/once/x", Id, "POST").Status == 503;
  }));
  const auto CutLog = [&] { return Fleet.logOf(*Fleet.Cut); };
  CHECK(Fleet.runUntil(
      [&] { return CutLog().find("no_room") != std::string::npos; }));
  CHECK(CutLog().find("refused after") == std::string::npos);
}
