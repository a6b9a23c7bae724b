// Requests with large bodies: they stay in the failure domain of the instance
// that serves them, as far as its servers have the slots.

#include "Steering/steering.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <string>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Objects = 2'000;
using domain_counts = std::map<std::string, int>;

route makeRoute(std::string Prefix, bool IsBulk) {
  route Route;
  Route.Host = "shop.example";
  Route.PathPrefix = std::move(Prefix);
  Route.Class = work_class::Idempotent;
  Route.IsBulk = IsBulk;
  Route.Timeout = seconds(2);
  Route.Objective = milliseconds(500);
  Route.MaxAttempts = 2;
  Route.HasAffinity = true;
  Route.Parts = {{"desk", 1}};
  return Route;
}

/// Servers of one service by failure domain; "a1" and "a2" are in the own
/// region, "a1" is the own failure domain.
steering makeSteering(const domain_counts &Servers) {
  steering Steering;
  setDomains(Steering.Targets,
             {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}});
  Steering.OwnRegion = regionIndex(Steering.Targets, "a");
  Steering.OwnDomain = domainIndex(Steering.Targets, "a1");
  Steering.BulkLocality = 0.95;
  configuration Configuration;
  Configuration.Version = 1;
  Configuration.Routes = {makeRoute("/bulk/", true), makeRoute("/x/", false)};
  service Service;
  Service.Name = "desk";
  Configuration.Services = {Service};
  applyConfiguration(Steering, std::move(Configuration));
  Steering.Instances = {1, 2, 3};
  for (const auto &[Domain, Count] : Servers)
    for (int Index = 0; Index < Count; ++Index)
      upsertTarget(Steering.Targets,
                   {Domain + "-" + std::to_string(Index),
                    "desk",
                    "127.0.0.1:1",
                    Domain,
                    4,
                    false,
                    {}},
                   instant());
  return Steering;
}

/// Share of the objects of a route that each failure domain serves.
std::map<std::string, double> shares(steering &Steering,
                                     std::string_view Path) {
  std::map<std::string, double> Shares;
  for (int Object = 0; Object < Objects; ++Object) {
    const std::string Key = std::to_string(Object);
    const request_plan Plan =
        planRequest(Steering,
                    {"shop.example", Path, Key, Key, seconds(2), instant()})
            .value();
    const target *Target = chooseTarget(Steering, Plan, instant()).value();
    Shares[Target->Entry.FailureDomain] += 1.0 / Objects;
  }
  return Shares;
}

} // namespace

// clang-format off
TEST_GROUP(BulkPlacement) {};
// clang-format on

// Guards against large bodies filling the links between failure domains while
// the own one has servers for them.
TEST(BulkPlacement, LargeBodiesStayInTheOwnDomain) {
  steering Steering =
      makeSteering({{"a1", 6}, {"a2", 6}, {"b1", 6}, {"b2", 6}});
  CHECK(shares(Steering, "/bulk/y")["a1"] > 0.9);
  DOUBLES_EQUAL(0.5, shares(Steering, "/x/y")["a1"], 0.1);
}

// Guards against a failure domain with few servers being overloaded by its own
// callers.
TEST(BulkPlacement, DomainWithFewServersKeepsWhatTheyCarry) {
  steering Steering =
      makeSteering({{"a1", 2}, {"a2", 10}, {"b1", 6}, {"b2", 6}});
  // A third of what half of the region's callers request, on a sixth of the
  // region's slots, which others hardly use.
  DOUBLES_EQUAL(1.0 / 3, shares(Steering, "/bulk/y")["a1"], 0.06);
}

// Guards against work of the other failure domains of the region being sent to
// other regions.
TEST(BulkPlacement, EvacuatedDomainIsReplacedByItsRegion) {
  steering Steering =
      makeSteering({{"a1", 6}, {"a2", 6}, {"b1", 6}, {"b2", 6}});
  setEvacuated(Steering.Targets, "a1", true, seconds(3), instant());
  CHECK(shares(Steering, "/bulk/y")["a2"] > 0.99);
}

// Guards against a change of the share that each region serves.
TEST(BulkPlacement, RegionsKeepTheirShares) {
  steering Steering =
      makeSteering({{"a1", 2}, {"a2", 4}, {"b1", 12}, {"b2", 6}});
  auto Bulk = shares(Steering, "/bulk/y");
  auto Other = shares(Steering, "/x/y");
  DOUBLES_EQUAL(Other["a1"] + Other["a2"], Bulk["a1"] + Bulk["a2"], 0.03);
  DOUBLES_EQUAL(Other["b1"], Bulk["b1"], 0.03);
}

TEST(BulkPlacement, LocalityOfZeroTreatsTheRegionAlike) {
  steering Steering =
      makeSteering({{"a1", 6}, {"a2", 6}, {"b1", 6}, {"b2", 6}});
  Steering.BulkLocality = 0;
  DOUBLES_EQUAL(0.5, shares(Steering, "/bulk/y")["a1"], 0.1);
}
