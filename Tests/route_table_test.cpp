// Routes, splits by weight, and rejection of older configurations.

#include "RouteTable/route_table.h"
#include "Steering/steering.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <map>
#include <random>

using namespace amaranthhoist;

namespace {

route makeRoute(std::string Prefix, std::vector<route_part> Parts) {
  route Route;
  Route.Name = Prefix;
  Route.Host = "shop.example";
  Route.PathPrefix = std::move(Prefix);
  Route.Parts = std::move(Parts);
  return Route;
}

configuration makeConfiguration(std::uint64_t Version,
                                std::vector<route> Routes) {
  configuration Configuration;
  Configuration.Version = Version;
  Configuration.Routes = std::move(Routes);
  return Configuration;
}

} // namespace

// clang-format off
TEST_GROUP(RouteTable) {};
// clang-format on

TEST(RouteTable, LongestPrefixMatches) {
  const route_table Table = makeRouteTable(makeConfiguration(
      1, {makeRoute("/a/", {{"one", 1}}), makeRoute("/a/b/", {{"two", 1}}),
          makeRoute("/", {{"rest", 1}})}));
  LONGS_EQUAL(1, findRoute(Table, "shop.example", "/a/b/c"));
  LONGS_EQUAL(0, findRoute(Table, "Shop.Example:8080", "/a/x"));
  LONGS_EQUAL(2, findRoute(Table, "shop.example", "/a"));
  CHECK(findRoute(Table, "other.example", "/a/") == std::string_view::npos);
}

// Guards against a split by object alone, which follows the objects'
// popularity: if a few objects make up most requests and each maps to one part,
// the shares deviate far from the weights.
TEST(RouteTable, SplitKeepsWeightsUnderSkewedPopularity) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    route_table Table = makeRouteTable(
        makeConfiguration(1, {makeRoute("/a/", {{"one", 90}, {"two", 10}})}));
    std::mt19937_64 Random(Seed);
    std::map<std::string, int> Sent;
    constexpr int Requests = 400;
    for (int Index = 0; Index < Requests; ++Index) {
      // Three objects receive most requests.
      const std::uint64_t Object = Random() % 4 != 0 ? Random() % 3 : Random();
      ++Sent[chooseService(Table, 0, stableHash(std::to_string(Object)))];
    }
    CHECK(std::abs(Sent["two"] / static_cast<double>(Requests) - 0.1) < 0.05);
  }
}

TEST(RouteTable, ObjectKeepsItsPartWithinTolerance) {
  route_table Table = makeRouteTable(
      makeConfiguration(1, {makeRoute("/a/", {{"one", 50}, {"two", 50}})}));
  std::map<std::uint64_t, std::map<std::string, int>> ByObject;
  for (int Index = 0; Index < 4'000; ++Index) {
    const std::uint64_t Object = static_cast<std::uint64_t>(Index) % 200;
    ++ByObject[Object]
              [chooseService(Table, 0, stableHash(std::to_string(Object)))];
  }
  int Moved = 0;
  for (const auto &[Object, Parts] : ByObject)
    if (Parts.size() > 1)
      for (const auto &[Part, Count] : Parts)
        Moved += Count < 10 ? Count : 0;
  CHECK(Moved < 400);
}

// Guards against applying whichever configuration arrives last: a list that was
// read before a change may arrive after it, and a caller sees an old route
// again.
TEST(RouteTable, IgnoresOlderConfiguration) {
  steering Steering;
  CHECK(applyConfiguration(
      Steering, makeConfiguration(7, {makeRoute("/new/", {{"one", 1}})})));
  CHECK_FALSE(applyConfiguration(
      Steering, makeConfiguration(6, {makeRoute("/old/", {{"one", 1}})})));
  CHECK_FALSE(applyConfiguration(
      Steering, makeConfiguration(7, {makeRoute("/old/", {{"one", 1}})})));
  LONGS_EQUAL(7, Steering.Routes->Configuration.Version);
}
