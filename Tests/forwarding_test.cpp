// Tests when an instance counts as isolated from the backend servers, and which
// instance serves its requests meanwhile.

#include "Forwarding/forwarding.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const instant Start{seconds(1'000)};
constexpr int Requests = 2'000;

struct forwarding_fleet {
  /// "a1-1" to "a1-3" and "a2-1" to "a2-3" in region "a", "b1-1" in region "b";
  /// this instance is in "a1".
  forwarding_fleet() {
    Fleet.Own = member("own", "a1", "a");
    std::vector<fleet_member> Members;
    for (const char *Domain : {"a1", "a2"})
      for (const char *Number : {"-1", "-2", "-3"})
        Members.push_back(member(std::string(Domain) + Number, Domain, "a"));
    Members.push_back(member("b1-1", "b1", "b"));
    setFleet(Fleet, std::move(Members));
  }

  static fleet_member member(const std::string &Name, const std::string &Domain,
                             const std::string &Region) {
    return {Name, Domain, Region, "", "", "", /*Processor=*/0.2};
  }

  /// The instance for one request; "" if there is none.
  std::string choose(std::uint64_t Number, instant Now = Start) {
    const fleet_member *Peer = choosePeer(Forwarding, Fleet, HomeRegions, Tried,
                                          Number * 0x9E3779B97F4A7C15, Now);
    return Peer ? Peer->Name : "";
  }

  std::map<std::string, int> chooseMany() {
    std::map<std::string, int> Counts;
    for (int Number = 0; Number < Requests; ++Number)
      ++Counts[choose(static_cast<std::uint64_t>(Number))];
    return Counts;
  }

  fleet Fleet;
  forwarding Forwarding;
  std::vector<std::string> HomeRegions;
  std::vector<std::string> Tried;
};

} // namespace

// clang-format off
TEST_GROUP(PeerForwarding) {};
// clang-format on

// Failure: the servers of one failure domain are down together, and the
// instance forwards requests that the others could serve.
TEST(PeerForwarding, FailuresInOneDomainAreNoIsolation) {
  server_reachability Reachability;
  for (int Failure = 0; Failure < 10; ++Failure)
    CHECK_FALSE(recordConnectFailure(Reachability, "a1", Start));
  CHECK(recordConnectFailure(Reachability, "a2", Start));
  CHECK(isIsolated(Reachability));
}

// Failure: single failures among responses add up to an isolation.
TEST(PeerForwarding, ResponsesEndAnIsolation) {
  server_reachability Reachability;
  for (int Round = 0; Round < 10; ++Round) {
    CHECK_FALSE(recordConnectFailure(Reachability, "a1", Start));
    CHECK_FALSE(recordConnectFailure(Reachability, "a2", Start));
    CHECK_FALSE(recordServerResponse(Reachability));
  }
  recordConnectFailure(Reachability, "a1", Start);
  recordConnectFailure(Reachability, "a2", Start);
  CHECK(recordConnectFailure(Reachability, "a2", Start));
  CHECK(recordServerResponse(Reachability));
  CHECK_FALSE(isIsolated(Reachability));
}

// Failure: an isolated instance never finds out that the servers are back, or
// keeps each of its callers waiting for it.
TEST(PeerForwarding, FewTrialsWhileIsolated) {
  server_reachability Reachability;
  for (const char *Domain : {"a1", "a2", "a1"})
    recordConnectFailure(Reachability, Domain, Start);
  int Trials = 0;
  for (int Step = 0; Step < 1'000; ++Step)
    Trials +=
        admitsTrial(Reachability, Start + milliseconds(10 * Step)) ? 1 : 0;
  CHECK(Trials >= 10 && Trials <= 20);
}

// Failure: one neighbour gets the requests of all.
TEST(PeerForwarding, RequestsAreSpreadOverTheNearestInstances) {
  forwarding_fleet Fleet;
  const auto Counts = Fleet.chooseMany();
  LONGS_EQUAL(3, Counts.size());
  for (const auto &[Name, Count] : Counts) {
    STRCMP_EQUAL("a1", Name.substr(0, 2).c_str());
    CHECK(Count > Requests / 4);
  }
}

// Failure: a whole failure domain is cut off, and its instances ask each other.
TEST(PeerForwarding, InstancesThatRefuseAreLeftOut) {
  forwarding_fleet Fleet;
  for (const char *Name : {"a1-1", "a1-2", "a1-3"})
    recordForwarding(Fleet.Forwarding, Name, forwarding_result::Refused, Start);
  LONGS_EQUAL(3, Fleet.chooseMany().size());
  STRCMP_EQUAL("a2", Fleet.choose(1).substr(0, 2).c_str());
  for (const char *Name : {"a2-1", "a2-2", "a2-3"})
    recordForwarding(Fleet.Forwarding, Name, forwarding_result::Failed, Start);
  STRCMP_EQUAL("b1-1", Fleet.choose(1).c_str());
  // They are asked again later.
  STRCMP_EQUAL("a1", Fleet.choose(1, Start + seconds(2)).substr(0, 2).c_str());
}

// Failure: a large failure domain is cut off, and a request asks one of its
// instances after the other.
TEST(PeerForwarding, OtherDomainsAreAskedAfterARefusal) {
  forwarding_fleet Fleet;
  Fleet.Tried = {Fleet.choose(1)};
  STRCMP_EQUAL("a1", Fleet.Tried[0].substr(0, 2).c_str());
  Fleet.Tried.push_back(Fleet.choose(1));
  STRCMP_EQUAL("a2", Fleet.Tried[1].substr(0, 2).c_str());
  Fleet.Tried.push_back(Fleet.choose(1));
  STRCMP_EQUAL("b1-1", Fleet.Tried[2].c_str());
  // The others remain, once no other domain is left.
  STRCMP_EQUAL("a", Fleet.choose(1).substr(0, 1).c_str());
}

// Failure: a request leaves the regions that it may be served in.
TEST(PeerForwarding, HomeRegionsBind) {
  forwarding_fleet Fleet;
  Fleet.HomeRegions = {"b"};
  STRCMP_EQUAL("b1-1", Fleet.choose(1).c_str());
  Fleet.Tried = {"b1-1"};
  STRCMP_EQUAL("", Fleet.choose(1).c_str());
}

// Failure: no server runs anywhere, and each request is sent to one instance
// after the other.
TEST(PeerForwarding, FruitlessForwardingIsSuspended) {
  forwarding_fleet Fleet;
  for (int Request = 0; Request < 8; ++Request)
    recordForwarding(Fleet.Forwarding, "a1-1", forwarding_result::Refused,
                     Start);
  STRCMP_EQUAL("", Fleet.choose(1).c_str());
  CHECK(!Fleet.choose(1, Start + seconds(2)).empty());
  recordForwarding(Fleet.Forwarding, "a1-2", forwarding_result::Served,
                   Start + seconds(2));
  CHECK(!Fleet.choose(1, Start + seconds(2)).empty());
}

// Failure: an instance serves others' callers instead of its own.
TEST(PeerForwarding, ForwardedRequestsAreBoundedByOwnOnes) {
  CHECK(acceptsForwarded(15, 0));
  CHECK_FALSE(acceptsForwarded(16, 0));
  CHECK(acceptsForwarded(40, 41));
  CHECK_FALSE(acceptsForwarded(41, 41));
}
