// Tests the failure detector when a large part of a fleet fails at once, with
// the distances of a fleet in three regions and one datagram in a hundred lost.

#include "lossy_fleet.h"

#include "PeerMessages/peer_messages.h"

#include <CppUTest/TestHarness.h>

#include <functional>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using selection = std::function<bool(std::size_t)>;

constexpr std::size_t Instances = 295;
constexpr std::size_t FailureDomains = 9;
constexpr std::size_t Regions = 3;
/// Time after which lookups must not return dead instances.
constexpr duration DetectionTime = seconds(2);
constexpr duration MaxFalseDown = seconds(1);

lossy_fleet_options inThreeRegions() {
  return {.Instances = Instances,
          .Delay = milliseconds(1),
          .RegionDelay = milliseconds(35),
          .FailureDomains = FailureDomains,
          .Regions = Regions,
          .Loss = 0.01};
}

bool isInLostDomain(std::size_t Index) { return Index % FailureDomains == 4; }

bool isInLostRegion(std::size_t Index) {
  return Index % FailureDomains % Regions == 1;
}

/// Selects 0.55 of the instances, of all failure domains.
bool isInHerd(std::size_t Index) { return Index * 7 % 20 < 11; }

/// Kills the selected instances and starts them again, and checks that all
/// others drop them, and know them again, in time.
void checkLossAndReturn(const selection &IsSelected) {
  lossy_fleet Fleet(inThreeRegions());
  Fleet.run(seconds(2));
  for (std::size_t Index = 0; Index < Instances; ++Index)
    if (IsSelected(Index))
      Fleet.kill(Index);
  Fleet.run(DetectionTime);
  UNSIGNED_LONGS_EQUAL(0, Fleet.countUpViews(/*IsKilled=*/true));
  std::size_t Restarted = 0;
  for (std::size_t Index = 0; Index < Instances; ++Index)
    if (IsSelected(Index)) {
      Fleet.restart(Index);
      ++Restarted;
    }
  Fleet.run(DetectionTime);
  UNSIGNED_LONGS_EQUAL(Restarted * (Instances - 1),
                       Fleet.countUpViews(/*IsKilled=*/true));
  CHECK_COMPARE(Fleet.longestFalseDown().count(), <=,
                duration(MaxFalseDown).count());
}

} // namespace

// clang-format off
TEST_GROUP(MassFailure) {};
// clang-format on

// Guards against lookups that return instances of a failure domain without
// power for over two seconds.
TEST(MassFailure, LostFailureDomainIsDroppedByAll) {
  checkLossAndReturn(isInLostDomain);
}

// The same for a whole region.
TEST(MassFailure, LostRegionIsDroppedByAll) {
  checkLossAndReturn(isInLostRegion);
}

// The same when over half of the processes of every failure domain end.
TEST(MassFailure, HalfOfAllProcessesAreDroppedByAll) {
  checkLossAndReturn(isInHerd);
}

// Guards against instances that were cut off and, when they return, make all
// others drop live instances that they didn't reach.
TEST(MassFailure, ReturnOfACutOffDomainDropsNobodyElse) {
  lossy_fleet Fleet(inThreeRegions());
  Fleet.run(seconds(2));
  for (std::size_t Index = 0; Index < Instances; ++Index)
    if (isInLostDomain(Index))
      Fleet.Losses[nameOf(Index)] = 1;
  Fleet.run(seconds(4));
  Fleet.Losses.clear();
  const std::size_t Before = Fleet.countWrongViews(isInLostDomain);
  Fleet.run(seconds(1));
  const std::size_t After = Fleet.countWrongViews(isInLostDomain);
  UNSIGNED_LONGS_EQUAL(0, Before);
  UNSIGNED_LONGS_EQUAL(0, After);
}

// Guards against suspected members that are never probed again because others
// come before them: the order of work must not depend on names.
TEST(MassFailure, AllSuspectedMembersAreProbedInTurn) {
  membership Membership;
  setOwnMembers(Membership, {"self"});
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < 41; ++Index)
    Names.insert(nameOf(Index));
  setMembers(Membership, Names);
  membership_message Message;
  // All but the sender.
  for (const std::string &Name : Names)
    Message.Updates.push_back({Name, member_status::Suspect, 0});
  instant Now(seconds(100));
  handleMembershipMessage(Membership, "n1", Message, Now);
  std::set<std::string> Probed;
  for (int Tick = 0; Tick < 16; ++Tick, Now += milliseconds(150))
    for (const outgoing_membership_message &Outgoing :
         membershipTick(Membership, Now))
      if (Outgoing.Message.Subject == Outgoing.To)
        Probed.insert(Outgoing.To);
  UNSIGNED_LONGS_EQUAL(40, Probed.size());
}

// A full datagram fits one packet, so that the loss of a fragment loses no
// more than that.
TEST(MassFailure, FullDatagramFitsOnePacket) {
  peer_datagram Datagram;
  Datagram.Sender = "front-mu-freimann-9";
  Datagram.Control = "127.100.200.100:65535";
  Datagram.Message.Subject = Datagram.Sender;
  for (std::size_t Index = 0; Index < 12; ++Index)
    Datagram.Message.Updates.push_back(
        {Datagram.Sender, member_status::Suspect, 1});
  for (std::uint64_t Hash = 0; Hash < 42; ++Hash)
    Datagram.Message.HashedUpdates.push_back({Hash, member_status::Down, 7});
  const std::string Bytes = encodeDatagram(Datagram);
  CHECK_COMPARE(Bytes.size(), <=, std::size_t(1'472));
  const auto Decoded = decodeDatagram(Bytes);
  CHECK(Decoded.has_value());
  UNSIGNED_LONGS_EQUAL(42, Decoded->Message.HashedUpdates.size());
  UNSIGNED_LONGS_EQUAL(41, Decoded->Message.HashedUpdates.back().NameHash);
  UNSIGNED_LONGS_EQUAL(7, Decoded->Message.HashedUpdates.back().Incarnation);
}
