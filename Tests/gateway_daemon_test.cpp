// The gateway as a daemon: whom it still reaches.

#include "daemon_stand_ins.h"
#include "gateway_daemon.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace amaranthhoist;

namespace {

const std::string Peer = gatewayNodeId("g-2", "site-a", 2);

instance_settings settingsWith(const stand_in_control &Control) {
  instance_settings Settings = standInSettings();
  Settings.Control.Listen = Control.Address;
  return Settings;
}

} // namespace

// clang-format off
TEST_GROUP(GatewayDaemon) {
  std::unique_ptr<stand_in_gateways> Gateways =
      std::make_unique<stand_in_gateways>();
  std::unique_ptr<stand_in_control> Control =
      std::make_unique<stand_in_control>();
  std::unique_ptr<gateway_daemon> Daemon;

  void setup() override {
    Control->announce(objectKey(kinds::Site, "site-a"), 1,
                      formatSite({"site-a", "north", "north-a", 100, 0, 0,
                                  {{"enquiry-desk", 1}}}));
    Control->announce(objectKey(kinds::Gateway, "g-2"), 2,
                      formatDaemon({"g-2", "north", "north-b",
                                    Gateways->Address, {"site-a"}, "o"}));
    Daemon = std::make_unique<gateway_daemon>(settingsWith(*Control));
    CHECK(Daemon->start().has_value());
    CHECK(waitUntil([this] { return !servedNode().empty(); }));
  }

  /// The id of the node that serves site-a; empty until there is one.
  std::string servedNode() {
    std::string Id;
    Daemon->loop().run([&] {
      const std::string Status = Daemon->statusJson();
      const auto Place = Status.find("self/site-a#");
      if (Place != std::string::npos)
        Id = Status.substr(Place, Status.find('"', Place) - Place);
    });
    return Id;
  }

  /// Returns a loan to the daemon, as the peer; whether its confirmation came.
  bool isReturnConfirmed(const std::string &LoanId) {
    const loan_message Return{loan_message::kind::Return, {}, LoanId,
                              PowerResource, 1};
    const std::string Node = servedNode();
    Daemon->loop().run([&] { Daemon->handlePeerMessage(Peer, Node, Return); });
    return waitUntil([&] {
      for (const auto &[To, Message] : Gateways->delivered())
        if (const auto *Loan = std::get_if<loan_message>(&Message))
          if (To == Peer && Loan->LoanId == LoanId &&
              Loan->Kind == loan_message::kind::Returned)
            return true;
      return false;
    });
  }
};
// clang-format on

// Symptom: both gateways of a site are asked to stop and neither ends ("the
// gateway 0 did not end", after 30 s; 6 of 46 runs). Sequence: one of them
// unregisters and gives back what it has borrowed; the other sees first that
// the registration is gone. Cause: with the registration the address was
// forgotten, so that the confirmation was dropped; one that isn't told goes on
// returning, and doesn't leave before.
TEST(GatewayDaemon, APeerThatHasUnregisteredIsStillAnswered) {
  CHECK(isReturnConfirmed("g-2/1"));
  Control->announce(objectKey(kinds::Gateway, "g-2"), 3, "");
  // The daemon has taken in the removal once it has taken in what comes next.
  Control->announce(
      objectKey(kinds::Gateway, "g-3"), 4,
      formatDaemon(
          {"g-3", "north", "north-b", Gateways->Address, {"site-a"}, "o"}));
  const std::string Newcomer = gatewayNodeId("g-3", "site-a", 4);
  CHECK(waitUntil([&] {
    const loan_message Return{
        loan_message::kind::Return, {}, "g-3/1", PowerResource, 1};
    const std::string Node = servedNode();
    Daemon->loop().run(
        [&] { Daemon->handlePeerMessage(Newcomer, Node, Return); });
    for (const auto &[To, Message] : Gateways->delivered())
      if (To == Newcomer)
        return true;
    return false;
  }));
  CHECK(isReturnConfirmed("g-2/2"));
}
