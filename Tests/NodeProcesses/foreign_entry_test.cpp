// Tests entries of other writers in the store, of any shape.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

/// The label's character is encoded as two surrogates of three bytes each.
constexpr const char *BadText =
    "{\"service\":\"desk\",\"label\":\"\xed\xa0\xbd\xed\xb8\x80\"}";

std::string nestedArrays() {
  constexpr std::size_t Levels = 200'000;
  return "{\"service\":" + std::string(Levels, '[') + std::string(Levels, ']') +
         "}";
}

/// Whether the server executes a request within the test's limit.
bool isUsed(small_fleet &Fleet, const std::string &Target) {
  int Asked = 0;
  return Fleet.runUntil([&] {
    Fleet.fetch(*Fleet.Node, "/safe/x", cat(Target, "-", ++Asked));
    return !Fleet.Targets[Target]->Runs.empty();
  });
}

} // namespace

// clang-format off
TEST_GROUP(ForeignEntries) {};
// clang-format on

// Failure: an entry that can't be decoded keeps every later change of the list
// of servers from the nodes.
TEST(ForeignEntries, HideNoLaterChange) {
  for (const std::string &Text : {std::string(BadText), nestedArrays()}) {
    small_fleet Fleet;
    CHECK(Fleet.IsReady);
    Fleet.Store.putBytes("servers", "odd", Text);
    Fleet.addTarget("s3");
    CHECK(isUsed(Fleet, "s3"));
    for (const char *Id : {"s1", "s2"})
      Fleet.listTarget(*Fleet.Targets[Id], "a1", "draining");
    CHECK(Fleet.runUntil([&] {
      const int Before =
          Fleet.Targets["s1"]->Arrivals + Fleet.Targets["s2"]->Arrivals;
      for (int Request = 0; Request < 10; ++Request)
        Fleet.fetch(*Fleet.Node, "/safe/x", cat("late-", Request));
      return Before ==
             Fleet.Targets["s1"]->Arrivals + Fleet.Targets["s2"]->Arrivals;
    }));
    CHECK(Fleet.logOf(*Fleet.Node).find("object_undecodable") !=
          std::string::npos);
    CHECK(!Fleet.hasExited(*Fleet.Node));
  }
}

// Failure: nodes that start while such an entry stands in the store never get
// ready, or end.
TEST(ForeignEntries, DoNotKeepNodesFromStarting) {
  for (const std::string &Text : {std::string(BadText), nestedArrays()}) {
    small_fleet Fleet;
    CHECK(Fleet.IsReady);
    Fleet.Store.putBytes("servers", "odd", Text);
    Fleet.HasSeeds = false;
    node_process &Second = Fleet.addNode("n2", "a2", "a");
    Fleet.start(Second);
    CHECK(Fleet.waitReady(Second));
    LONGS_EQUAL(200, Fleet.fetch(Second, "/safe/x", "id-1").Status);
  }
}

// Failure: a server whose entry another writer has overwritten goes on getting
// requests.
TEST(ForeignEntries, OverwrittenServerIsNotUsed) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Store.putBytes("servers", "s1", BadText);
  CHECK(Fleet.runUntil([&] {
    const int Before = Fleet.Targets["s1"]->Arrivals;
    for (int Request = 0; Request < 10; ++Request)
      Fleet.fetch(*Fleet.Node, "/safe/x", cat("late-", Request));
    return Before == Fleet.Targets["s1"]->Arrivals;
  }));
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "id-1").Status);
}

// Failure: a configuration under another name comes into force, and the one in
// force counts as older.
TEST(ForeignEntries, OtherConfigurationsAreNotApplied) {
  small_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Store.put("config", "draft",
                  {{"version", "00000009"},
                   {"resources",
                    {{{"resource_kind", "limits"},
                      {"metadata", {{"name", "limits"}}},
                      {"specification", nlohmann::json::object()}}}}});
  Fleet.putConfiguration(2, /*HasExtra=*/true);
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(*Fleet.Node, "/extra/x", "id-1").Status == 200;
  }));
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "id-2").Status);
}
