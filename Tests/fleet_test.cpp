// Tests which instances a lookup returns, and which instances watch the store
// or serve as sources.

#include "Fleet/fleet.h"
#include "StateSpread/spread_tree.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::seconds;

namespace {

fleet_member makeMember(int Number, std::string Domain, std::string Region,
                        double Processor = 0.2) {
  const std::string Name = "n" + std::to_string(Number);
  return {Name,           std::move(Domain), std::move(Region), Name + "-call",
          Name + "-peer", Name + "-control", Processor};
}

/// n0 is the own instance, in a1; the others as given.
fleet makeFleet(std::vector<fleet_member> Others) {
  fleet Fleet;
  Fleet.Own = makeMember(0, "a1", "a");
  Fleet.OwnIsReady = true;
  setOwnMembers(Fleet.Membership, {"n0"});
  setFleet(Fleet, std::move(Others));
  return Fleet;
}

void markDown(fleet &Fleet, const std::string &Name) {
  membership_message Message;
  Message.Kind = membership_message::kind::Ack;
  Message.Updates.push_back({Name, member_status::Down, 9});
  handleMembershipMessage(Fleet.Membership, "n1", Message, instant());
}

} // namespace

// clang-format off
TEST_GROUP(Fleet) {};
// clang-format on

TEST(Fleet, CallersUseOwnFailureDomainIfTwoAreUp) {
  fleet Fleet = makeFleet({makeMember(1, "a1", "a"), makeMember(2, "a2", "a"),
                           makeMember(3, "b1", "b")});
  LONGS_EQUAL(2, addressesFor(Fleet, "a1", "a").size());
  LONGS_EQUAL(3, addressesFor(Fleet, "a2", "a").size());
  LONGS_EQUAL(1, addressesFor(Fleet, "b1", "b").size());
  LONGS_EQUAL(4, addressesFor(Fleet, "c1", "c").size());
}

// Guards against overloaded slow links (connections to servers take over 250 ms
// and count as unreachable) while large instances are idle. Occurs when lookups
// return all instances of unequal size alike and callers pick an address at
// random.
TEST(Fleet, CallersAreDistributedByCapacity) {
  std::vector<fleet_member> Others;
  for (int Number = 1; Number <= 10; ++Number) {
    fleet_member Member = makeMember(Number, "a1", "a", 0.1);
    Member.LinkMbps = 10;
    Others.push_back(Member);
  }
  fleet Fleet = makeFleet(Others);
  Fleet.Own.Processor = 0.5;
  Fleet.Own.LinkMbps = 200;
  Fleet.Random.seed(1);
  double OwnShare = 0;
  constexpr int Lookups = 5'000;
  for (int Index = 0; Index < Lookups; ++Index) {
    const auto Addresses = addressesFor(Fleet, "a1", "a");
    // A caller whose instance fails has alternatives.
    CHECK(Addresses.size() >= 3);
    for (const std::string &Address : Addresses)
      if (Address == "n0-call")
        OwnShare += 1.0 / static_cast<double>(Addresses.size()) / Lookups;
  }
  // This instance has 62 % of the capacity; equal shares would give it 9 %, the
  // draw gives it 30 %.
  CHECK(OwnShare > 0.25);
}

TEST(Fleet, InstancesOfEqualCapacityAreAllReturned) {
  std::vector<fleet_member> Others;
  for (int Number = 1; Number <= 10; ++Number)
    Others.push_back(makeMember(Number, "a1", "a", 0.25));
  fleet Fleet = makeFleet(Others);
  LONGS_EQUAL(11, addressesFor(Fleet, "a1", "a").size());
}

// Guards against callers that lose a second at an instance that has long been
// down, because a lookup returns every instance that the store lists, where
// nothing expires.
TEST(Fleet, DownInstancesAreNotReturned) {
  fleet Fleet = makeFleet({makeMember(1, "a1", "a"), makeMember(2, "a1", "a")});
  markDown(Fleet, "n2");
  for (const std::string &Address : addressesFor(Fleet, "a1", "a"))
    CHECK(Address != "n2-call");
  Fleet.OwnIsReady = false;
  LONGS_EQUAL(1, addressesFor(Fleet, "a1", "a").size());
}

TEST(Fleet, WatchersAreLargeAndFromDifferentDomains) {
  fleet Fleet =
      makeFleet({makeMember(1, "a1", "a"), makeMember(2, "a1", "a", 0.5),
                 makeMember(3, "a2", "a"), makeMember(4, "b1", "b", 0.9)});
  const auto Watchers = watchers(Fleet);
  LONGS_EQUAL(2, Watchers.size());
  CHECK_EQUAL(std::string("n2"), Watchers[0]->Name);
  CHECK_EQUAL(std::string("n3"), Watchers[1]->Name);
  CHECK(ownRole(Fleet) != distribution_role::Watcher);
  // The loss of a watcher promotes another instance.
  markDown(Fleet, "n3");
  markDown(Fleet, "n2");
  LONGS_EQUAL(2, watchers(Fleet).size());
  CHECK(ownRole(Fleet) == distribution_role::Watcher);
}

// Guards against polls that rank the whole fleet each time: the place in the
// tree is computed again only when the fleet has changed.
TEST(Fleet, PlaceInTheTreeFollowsChangesOfTheFleet) {
  fleet Fleet =
      makeFleet({makeMember(1, "a1", "a", 0.5), makeMember(2, "a2", "a", 0.5),
                 makeMember(3, "a1", "a")});
  tree_place Place;
  CHECK(updatePlace(Place, Fleet).Role == distribution_role::Leaf);
  LONGS_EQUAL(2, Place.PrimarySources.size());
  // Stays whatever it is as long as nothing changes.
  Place.PrimarySources = {"unchanged"};
  CHECK_EQUAL(std::string("unchanged"),
              updatePlace(Place, Fleet).PrimarySources.front());
  markDown(Fleet, "n1");
  markDown(Fleet, "n3");
  CHECK(updatePlace(Place, Fleet).Role == distribution_role::Watcher);
  LONGS_EQUAL(1, Place.PrimarySources.size());
  CHECK_EQUAL(std::string("n2"), Place.PrimarySources.front());
  Fleet.OwnIsShuttingDown = true;
  CHECK(updatePlace(Place, Fleet).Role != distribution_role::Watcher);
}

// Guards against all nodes of a region handling requests by a configuration
// that was replaced three seconds before. The store refuses the region's two
// watchers; each polls the other one, whose state isn't stale yet, and keeps
// polling it, four times, once it is stale; all other nodes wait for them. A
// disconnected watcher must not first poll instances that depend on it or are
// disconnected as well.
TEST(Fleet, DisconnectedWatcherPollsOtherRegionsFirst) {
  fleet Fleet =
      makeFleet({makeMember(1, "a2", "a"), makeMember(2, "a1", "a"),
                 makeMember(3, "b1", "b"), makeMember(4, "b2", "b", 0.5),
                 makeMember(5, "b1", "b", 0.5), makeMember(6, "b1", "b")});
  const auto Sources = orderedSources(Fleet, /*IsDisconnected=*/true);
  LONGS_EQUAL(6, Sources.size());
  for (std::size_t Position : {0U, 1U})
    DOUBLES_EQUAL(0.5, Sources[Position]->Processor, 0.01);
}

// Guards against a node that is refused by the store and keeps working with
// stale state, because all nodes of its region are affected and it has no other
// source.
TEST(Fleet, OtherRegionsAreFallbackSources) {
  fleet Fleet = makeFleet({makeMember(1, "a1", "a"), makeMember(2, "b1", "b")});
  const auto Sources = orderedSources(Fleet, /*IsDisconnected=*/false);
  LONGS_EQUAL(2, Sources.size());
  // The watcher of its own region is polled first, then the other region's.
  CHECK_EQUAL(std::string("n1"), Sources[0]->Name);
  CHECK_EQUAL(std::string("n2"), Sources[1]->Name);
}
