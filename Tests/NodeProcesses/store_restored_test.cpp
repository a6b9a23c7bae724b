// Tests nodes while the store comes back from an earlier copy of itself: it has
// lost what was written since, and assigns the same revisions again.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

/// More changes than the store makes again after the copy was restored.
constexpr int LostChanges = 20;
/// Version of the configuration in the lost changes, and of the next one.
constexpr int LostVersion = 2;
constexpr int NextVersion = 3;

struct restored_fleet : small_fleet {
  restored_fleet() { IsReady = IsReady && waitInstances(1); }

  /// The status of a node; an empty object while it doesn't respond.
  nlohmann::json status(const node_process &Of) {
    auto Status = nlohmann::json::parse(
        fetchEndpoint(Of.Control, "/v1/status").Body, nullptr, false);
    return Status.is_object() ? Status : nlohmann::json::object();
  }

  bool waitInstances(std::size_t Count) {
    return runUntil([&] {
      for (const auto &Each : Nodes)
        if (status(*Each).value("peers", Count) + 1 != Count)
          return false;
      return true;
    });
  }

  /// Adds nodes of the first one's region until \p Count run and know each
  /// other.
  bool grow(std::size_t Count) {
    while (Nodes.size() < Count) {
      node_process &Added = addNode(cat("n", Nodes.size() + 1), "a1", "a");
      start(Added);
      if (!waitReady(Added))
        return false;
    }
    return waitInstances(Count);
  }

  /// Writes changes that the copy lacks, and waits until all nodes have them.
  bool writeLostChanges() {
    for (int Change = 0; Change < LostChanges; ++Change) {
      putConfiguration(LostVersion);
      listTarget(*Targets["s2"], Change % 2 == 0 ? "a2" : "a1", "ready");
    }
    Store.put("evacuations", "b1", nlohmann::json::object());
    return runUntil([&] {
      for (const auto &Each : Nodes)
        if (status(*Each)["evacuated"].size() != 1)
          return false;
      return true;
    });
  }

  /// Restores the store from a copy that lacks changes which all nodes have.
  bool restoreWithLoss() {
    Store.saveCopy();
    if (!writeLostChanges())
      return false;
    Store.restoreCopy();
    return true;
  }

  /// Waits until all nodes serve the route that the next version adds.
  bool waitExtraRoute() {
    return runUntil([&] {
      for (const auto &Each : Nodes)
        if (fetch(*Each, "/extra/x", cat("id-", ++Asked)).Status != 200)
          return false;
      return true;
    });
  }

  int Asked = 0;
};

} // namespace

// clang-format off
TEST_GROUP(StoreRestored) {};
// clang-format on

// Failure: a node rejects the list of a restored store and every change in it
// as older than what it holds, and serves an outdated configuration.
TEST(StoreRestored, ChangeWithReassignedRevisionIsApplied) {
  restored_fleet Fleet;
  CHECK(Fleet.IsReady);
  CHECK(Fleet.restoreWithLoss());
  Fleet.putConfiguration(NextVersion, /*HasExtra=*/true);
  CHECK(Fleet.waitExtraRoute());
}

// Failure: the same after an outage that the nodes notice.
TEST(StoreRestored, ChangeAfterOutageIsApplied) {
  restored_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Store.saveCopy();
  CHECK(Fleet.writeLostChanges());
  Fleet.Store.setMode(store_stand_in::mode::Silent);
  CHECK(Fleet.runUntil(
      [&] { return Fleet.status(*Fleet.Node)["store_silent"] == true; }));
  Fleet.Store.restoreCopy();
  Fleet.Store.setMode(store_stand_in::mode::Serving);
  Fleet.putConfiguration(NextVersion, /*HasExtra=*/true);
  CHECK(Fleet.waitExtraRoute());
}

// Failure: a server that announces its draining to a restored store keeps
// receiving requests.
TEST(StoreRestored, DrainingServerGetsNoRequests) {
  restored_fleet Fleet;
  CHECK(Fleet.IsReady);
  CHECK(Fleet.restoreWithLoss());
  Fleet.listTarget(*Fleet.Targets["s1"], "a1", "draining");
  CHECK(Fleet.runUntil([&] {
    return Fleet.status(*Fleet.Node)["services"]["desk"]["leaving"] == 1;
  }));
}

// Failure: a node that polls its peers keeps the state of the store's earlier
// era, because its revisions are higher.
TEST(StoreRestored, NodesThatPollPeersFollow) {
  restored_fleet Fleet;
  CHECK(Fleet.IsReady);
  CHECK(Fleet.grow(4));
  CHECK(Fleet.restoreWithLoss());
  Fleet.putConfiguration(NextVersion, /*HasExtra=*/true);
  CHECK(Fleet.waitExtraRoute());
}

// Failure: a node's own object is lost with the store's last seconds, and the
// node isn't registered any more.
TEST(StoreRestored, NodeRegistersAgain) {
  restored_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Store.saveCopy();
  CHECK(Fleet.grow(3));
  CHECK(Fleet.writeLostChanges());
  Fleet.Store.restoreCopy();
  CHECK_FALSE(Fleet.Store.has("instances", "n3"));
  CHECK(Fleet.runUntil([&] {
    return Fleet.Store.has("instances", "n2") &&
           Fleet.Store.has("instances", "n3");
  }));
}

// Failure: objects that a restored store lacks are taken as removed, before
// their writers have written them again: an evacuated failure domain receives
// requests, and instances forget each other.
TEST(StoreRestored, LostObjectsAreNotRemovals) {
  restored_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Store.saveCopy();
  CHECK(Fleet.grow(3));
  CHECK(Fleet.writeLostChanges());
  Fleet.Store.restoreCopy();
  Fleet.putConfiguration(NextVersion, /*HasExtra=*/true);
  CHECK(Fleet.waitExtraRoute());
  for (const auto &Each : Fleet.Nodes) {
    nlohmann::json Status = Fleet.status(*Each);
    LONGS_EQUAL(1, Status["evacuated"].size());
    LONGS_EQUAL(2, Status["peers"].get<int>());
  }
}

// Failure: an object that nobody writes again after a restore stays forever.
TEST(StoreRestored, LostObjectIsRemovedInTheEnd) {
  restored_fleet Fleet;
  CHECK(Fleet.IsReady);
  CHECK(Fleet.restoreWithLoss());
  CHECK(Fleet.runUntil(
      [&] { return Fleet.status(*Fleet.Node)["evacuated"].empty(); }));
}

// Failure: the stand-in forgets a removal that one restore has lost, when the
// next one begins before it was made again.
TEST(StoreRestored, WritersMakeTheirLostWritesAfterTwoRestores) {
  event_loop Loop;
  store_stand_in Store(Loop);
  Store.put("servers", "s0", {{"state", "ready"}});
  Store.saveCopy();
  Store.remove("servers", "s0");
  Store.put("servers", "s1", {{"state", "ready"}});
  Store.restoreCopy();
  Store.saveCopy();
  Store.restoreCopy();
  Store.writeLostAgain();
  CHECK_FALSE(Store.has("servers", "s0"));
  CHECK(Store.has("servers", "s1"));
}
