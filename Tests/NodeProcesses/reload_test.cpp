// Tests settings files that change while a node runs.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

struct reload_fleet : small_fleet {
  bool logs(std::string_view Text) {
    return logOf(*Node).find(Text) != std::string::npos;
  }
  bool waitLogged(std::string_view Text) {
    return runUntil([&] { return logs(Text); });
  }
  /// Whether the node applies a configuration that is written now.
  bool appliesVersion(int Version) {
    putConfiguration(Version, /*HasExtra=*/true);
    return waitLogged(cat("\"configuration_applied\",\"version\":", Version)) &&
           fetch(*Node, "/extra/x", cat("id-", Version)).Status == 200;
  }
};

} // namespace

// clang-format off
TEST_GROUP(Reload) {};
// clang-format on

// Failure: a store address that changes with SIGHUP is read and never used; the
// old configuration stays in force when the store has left its former address.
TEST(Reload, StoreIsFollowedToItsNewAddress) {
  reload_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Node->Store = freeAddress();
  Fleet.Store.listenAt(Fleet.Node->Store);
  Fleet.reload(*Fleet.Node);
  CHECK(Fleet.waitLogged("\"store_moved\""));
  Fleet.Store.leave(Fleet.Store.address());
  CHECK(Fleet.appliesVersion(2));
  // The node's own object is maintained there, too.
  Fleet.Store.remove("instances", "n1");
  CHECK(Fleet.runUntil([&] { return Fleet.Store.has("instances", "n1"); }));
}

// Failure: a node without a store, because the new address doesn't answer yet.
TEST(Reload, FormerStoreAddressIsUsedUntilTheNewOneAnswers) {
  reload_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Node->Store = freeAddress();
  Fleet.reload(*Fleet.Node);
  CHECK(Fleet.waitLogged("\"store_move_begins\""));
  CHECK(Fleet.appliesVersion(2));
  CHECK(!Fleet.logs("\"store_moved\""));
  Fleet.Store.listenAt(Fleet.Node->Store);
  CHECK(Fleet.waitLogged("\"store_moved\""));
  Fleet.Store.leave(Fleet.Store.address());
  CHECK(Fleet.appliesVersion(3));
}

// The former address may be gone before the new one answers.
TEST(Reload, StoreThatLeftItsFormerAddressIsFollowed) {
  reload_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Store.shutDown();
  CHECK(Fleet.waitLogged("\"store_silent\""));
  Fleet.Node->Store = freeAddress();
  Fleet.reload(*Fleet.Node);
  CHECK(Fleet.waitLogged("\"store_move_begins\""));
  Fleet.Store.listenAt(Fleet.Node->Store);
  CHECK(Fleet.appliesVersion(2));
}

// Failure: a setting that needs a restart is passed over without a word.
TEST(Reload, SettingsThatNeedARestartAreNamed) {
  reload_fleet Fleet;
  CHECK(Fleet.IsReady);
  const std::string Former = std::exchange(Fleet.Node->Callers, freeAddress());
  const std::string InFile = Fleet.Node->Callers;
  Fleet.reload(*Fleet.Node);
  CHECK(Fleet.waitLogged("\"reloaded\""));
  CHECK(Fleet.logs(cat("\"setting_needs_restart\",\"key\":\"listen.callers\",",
                       "\"in_force\":\"", Former, "\",\"in_file\":\"", InFile,
                       "\"")));
  Fleet.Node->Callers = Former;
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "id-1").Status);
}
