// Placement of objects: agreement without communication, few moves, and region
// weights.

#include "Placement/placement.h"
#include "Placement/region_weights.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace amaranthhoist;

namespace {

target_directory makeDirectory(int InA, int InB) {
  target_directory Directory;
  setDomains(Directory, {{"a1", "a"}, {"b1", "b"}});
  for (int Index = 0; Index < InA + InB; ++Index)
    upsertTarget(Directory,
                 {"s" + std::to_string(Index),
                  "desk",
                  "127.0.0.1:1",
                  Index < InA ? "a1" : "b1",
                  4,
                  false,
                  {}},
                 instant());
  return Directory;
}

std::string firstFor(target_directory &Directory, int Object,
                     std::span<const double> Weights = {}) {
  const candidate_rankings Rankings = rankTargets(
      Directory, Directory.ByService["desk"],
      {stableHash(std::to_string(Object)), {}, Weights, {}}, instant());
  return Rankings.Primary.Targets[0]->Entry.Id;
}

constexpr int Objects = 2'000;

} // namespace

// clang-format off
TEST_GROUP(Placement) {};
// clang-format on

TEST(Placement, RankingIsIndependentOfInsertionOrder) {
  target_directory One = makeDirectory(6, 6);
  target_directory Other;
  setDomains(Other, {{"a1", "a"}, {"b1", "b"}});
  for (int Index = 11; Index >= 0; --Index)
    upsertTarget(Other, One.ById.at("s" + std::to_string(Index))->Entry,
                 instant());
  const std::vector<double> Weights = {2, 0.5};
  for (int Object = 0; Object < Objects; ++Object)
    CHECK_EQUAL(firstFor(One, Object, Weights),
                firstFor(Other, Object, Weights));
}

// Guards against a change of the server list that moves objects of other
// servers as well: those objects are then cold, and all callers are slow for
// seconds after one server is replaced.
TEST(Placement, RemovalMovesOnlyObjectsOfRemovedServer) {
  target_directory Directory = makeDirectory(6, 6);
  const std::vector<double> Weights = {3, 0.4};
  std::map<int, std::string> Before;
  for (int Object = 0; Object < Objects; ++Object)
    Before[Object] = firstFor(Directory, Object, Weights);
  removeTarget(Directory, "s3", /*ListIsComplete=*/true);
  for (int Object = 0; Object < Objects; ++Object)
    if (Before[Object] != "s3")
      CHECK_EQUAL(Before[Object], firstFor(Directory, Object, Weights));
}

TEST(Placement, DistributesObjectsByRegionWeight) {
  target_directory Directory = makeDirectory(4, 8);
  const std::vector<double> Slots = {16, 32};
  const std::vector<double> Weights = regionWeights(Slots, 0, 0.8);
  int InA = 0;
  for (int Object = 0; Object < Objects; ++Object)
    InA +=
        Directory.ById.at(firstFor(Directory, Object, Weights))->Region == "a"
            ? 1
            : 0;
  // Region a has two thirds of the slots that an even demand needs.
  const double Expected = 0.8 * 2 / 3 + 0.2 / 3;
  DOUBLES_EQUAL(Expected, InA / static_cast<double>(Objects), 0.04);
}

TEST(Placement, ExcessWorkGoesToRegionsWithSpareSlots) {
  // The third region has no spare slots for others.
  const std::vector<double> Slots = {12, 60, 36};
  const std::vector<double> Weights = regionWeights(Slots, 0, 1.0);
  CHECK(Weights[0] > 0);
  CHECK(Weights[1] > 0);
  DOUBLES_EQUAL(0, Weights[2], 1e-9);
}

TEST(Placement, WeightsAreEqualWithoutLocalServers) {
  const std::vector<double> Slots = {0, 8};
  for (double Weight : regionWeights(Slots, 0, 0.8))
    DOUBLES_EQUAL(1, Weight, 1e-9);
}

TEST(Placement, RanksOnlyHomeRegions) {
  target_directory Directory = makeDirectory(3, 3);
  const std::vector<std::string> Homes = {"b"};
  for (int Object = 0; Object < 100; ++Object) {
    const candidate_rankings Rankings = rankTargets(
        Directory, Directory.ByService["desk"],
        {stableHash(std::to_string(Object)), Homes, {}, {}}, instant());
    for (const ranking *Ranking : {&Rankings.Primary, &Rankings.Secondary}) {
      LONGS_EQUAL(3, Ranking->Count);
      for (const target *Target : Ranking->targets())
        CHECK(Target->Region == "b");
    }
  }
}
