// Tests of the smaller libraries: settings, client blocks, queues, routing,
// membership, contracts and objects.

#include "Admission/admission.h"
#include "ClientMap/client_map.h"
#include "Contracts/contracts.h"
#include "Membership/membership.h"
#include "Objects/objects.h"
#include "Routing/routing.h"
#include "Settings/settings.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const instant Now{seconds(100)};

// clang-format off
TEST_GROUP(Parts) {};
// clang-format on

static const char *ValidSettings = R"(instance: bagmati-1
region: bagmati
failure_domain: bagmati-a
link_ms: {bagmati: 1, gandaki: 35}
entry:
  listen: 127.0.0.1:8101
gateway:
  listen: 127.0.0.1:8201
  sites: [bagmati-a, bagmati-b]
control:
  listen: 127.0.0.1:8301
  platform: http://127.0.0.1:9000
)";

TEST(Parts, ValidSettingsHaveNoFaults) {
  const settings_check Check = checkSettings(ValidSettings);
  LONGS_EQUAL(0, Check.Faults.size());
  LONGS_EQUAL(2, Check.Settings.Gateway.Sites.size());
  DOUBLES_EQUAL(35, Check.Settings.LinkMs.at("gandaki"), 0.001);
}

TEST(Parts, AllFaultsOfSettingsFileAreReported) {
  const settings_check Check = checkSettings(R"(instance: "bad name"
region: bagmati
failure_domain: bagmati-a
entry:
  listen: localhost:8101
  lookup_ttl_ms: 5
  surprise: 1
gateway:
  listen: 127.0.0.1:8201
control:
  listen: 127.0.0.1:99999
  platform: ftp://x
)");
  std::map<std::string, int> Lines;
  for (const settings_fault &Fault : Check.Faults)
    Lines[Fault.Field] = Fault.Line;
  LONGS_EQUAL(1, Lines["instance"]);
  LONGS_EQUAL(5, Lines["entry.listen"]);
  LONGS_EQUAL(6, Lines["entry.lookup_ttl_ms"]);
  LONGS_EQUAL(7, Lines["entry.surprise"]);
  CHECK(Lines.contains("gateway.sites"));
  LONGS_EQUAL(11, Lines["control.listen"]);
  LONGS_EQUAL(12, Lines["control.platform"]);
}

TEST(Parts, MalformedYamlIsReportedWithLine) {
  const settings_check Check = checkSettings("a: [1,\nb: 2\n");
  LONGS_EQUAL(1, Check.Faults.size());
  CHECK(Check.Faults[0].Line > 0);
}

TEST(Parts, ClientMapMatchesReferenceMap) {
  std::mt19937_64 Random(7);
  client_map Map;
  std::map<std::uint32_t, std::uint16_t> Reference;
  const std::uint32_t Chunk = 0x123;
  std::map<std::uint32_t, std::uint16_t> Blocks;
  for (int Count = 0; Count < 500; ++Count)
    Blocks[(Chunk << 20) + static_cast<std::uint32_t>(Random() % (1U << 20))] =
        static_cast<std::uint16_t>(Random() % 590);
  std::vector<client_block> List;
  List.reserve(Blocks.size());
  for (const auto &[First, Group] : Blocks)
    List.push_back({First, Group});
  CHECK(applyChunk(Map, Chunk, 5, List).value());
  Reference = Blocks;
  CHECK(!applyChunk(Map, Chunk, 4, {}).value());
  CHECK(!applyBlockChange(Map, {List[9].First, 1}, 3, 6).has_value());
  CHECK(applyBlockChange(Map, {List[9].First, 1}, 5, 6).value());
  Reference[List[9].First] = 1;
  for (int Count = 0; Count < 20'000; ++Count) {
    const std::uint32_t Address =
        (Chunk << 20) + static_cast<std::uint32_t>(Random() % (1U << 20));
    auto After = Reference.upper_bound(Address);
    const std::uint16_t Expected =
        After == Reference.begin() ? NoGroup : std::prev(After)->second;
    LONGS_EQUAL(Expected, lookUp(Map, Address));
  }
  LONGS_EQUAL(NoGroup, lookUp(Map, 0));
}

static queued_request makeQueued(std::uint64_t Token, const char *Customer,
                                 int Priority = 0, int Weight = 1) {
  return {Token, Customer, Priority, Weight, Now + seconds(10)};
}

TEST(Parts, BusyCustomerDoesNotStarveOthers) {
  fair_queue Queue;
  for (std::uint64_t Token = 0; Token < 50; ++Token)
    enqueue(Queue, makeQueued(Token, "hot"), {}, {}, Now);
  enqueue(Queue, makeQueued(100, "quiet"), {}, {}, Now);
  dequeue(Queue);
  LONGS_EQUAL(100, dequeue(Queue)->Token);
}

TEST(Parts, TurnsAreDistributedByWeight) {
  fair_queue Queue;
  for (std::uint64_t Token = 0; Token < 40; ++Token) {
    enqueue(Queue, makeQueued(Token, "three", 0, 3), {}, {}, Now);
    enqueue(Queue, makeQueued(100 + Token, "one"), {}, {}, Now);
  }
  int Three = 0;
  for (int Turn = 0; Turn < 40; ++Turn)
    Three += dequeue(Queue)->Customer == "three" ? 1 : 0;
  LONGS_EQUAL(30, Three);
}

TEST(Parts, RequestWithLongPredictedWaitIsRefusedOnArrival) {
  fair_queue Queue;
  CHECK(!enqueue(Queue, makeQueued(1, "c"), {}, seconds(3), Now).Accepted);
  CHECK(enqueue(Queue, makeQueued(1, "c"), {}, seconds(2), Now).Accepted);
}

TEST(Parts, FullQueueDisplacesLowestPriority) {
  fair_queue Queue;
  queue_limits Limits;
  Limits.MaxTotal = 2;
  enqueue(Queue, makeQueued(1, "low", 1), Limits, {}, Now);
  enqueue(Queue, makeQueued(2, "mid", 2), Limits, {}, Now);
  CHECK(!enqueue(Queue, makeQueued(3, "low2", 1), Limits, {}, Now).Accepted);
  const enqueue_result High =
      enqueue(Queue, makeQueued(4, "high", 3), Limits, {}, Now);
  CHECK(High.Accepted);
  LONGS_EQUAL(1, High.Displaced->Token);
}

TEST(Parts, RetriesAreLimitedToFractionOfFirstAttempts) {
  retry_budget Budget;
  int Spent = 0;
  for (int Try = 0; Try < 1'000; ++Try) {
    creditRetry(Budget);
    Spent += spendRetry(Budget) ? 1 : 0;
  }
  LONGS_EQUAL(109, Spent);
}

TEST(Parts, StaleOfferIsRarelyChosen) {
  std::mt19937_64 Random(3);
  offer Stale{"far", "r", "gw-old", "d1", 1'000, {}, {}, Now - seconds(60)};
  offer Fresh{"near", "r", "gw-new", "d2", 5, {}, {}, Now};
  int StaleFirst = 0;
  for (int Draw = 0; Draw < 1'000; ++Draw) {
    const std::vector<const offer *> Offers = {&Stale, &Fresh};
    if (rankOffers(Offers, "c", "near", {}, Now, Random)[0]->Gateway ==
        "gw-old")
      ++StaleFirst;
  }
  CHECK(StaleFirst < 20);
}

TEST(Parts, QuarantinedTargetGetsOneTrialRequest) {
  target_state Target;
  Target.Slots = 4;
  const target_policy Policy;
  for (int Failure = 0; Failure < 3; ++Failure)
    recordTargetResult(Target, Policy, false, {}, Now);
  CHECK(!acceptsWork(Target, Policy, Now));
  CHECK(acceptsWork(Target, Policy, Now + Policy.Quarantine));
  Target.InFlight = 1;
  CHECK(!acceptsWork(Target, Policy, Now + Policy.Quarantine));
}

TEST(Parts, ColdTargetAcceptsFewerRequests) {
  target_state Target;
  Target.Slots = 8;
  Target.AvailableSince = Now;
  Target.InFlight = 2;
  CHECK(!acceptsWork(Target, {}, Now));
  CHECK(acceptsWork(Target, {}, Now + seconds(3)));
}

// Regression: a daemon that responds was considered dead forever after one
// probe was lost, the suspicion spread, and the member then responded.
TEST(Parts, RespondingMemberIsUpAgain) {
  membership Membership;
  setOwnMembers(Membership, {"control/a"});
  setMembers(Membership, {"control/a", "control/b"});
  instant Time = Now;
  for (int Tick = 0; Tick < 20; ++Tick, Time += milliseconds(100))
    membershipTick(Membership, Time);
  CHECK(!isUp(Membership, "control/b"));
  LONGS_EQUAL(1, downMembers(Membership).size());
  handleMembershipMessage(Membership, "control/b",
                          {membership_message::kind::Ping, "control/a", {}, {}},
                          Time);
  CHECK(isUp(Membership, "control/b"));
  LONGS_EQUAL(0, downMembers(Membership).size());
}

TEST(Parts, AllFaultsOfContractAreReported) {
  const auto Contract =
      parseContract(R"({"customer":"","weight":0,"priority":"x","speed":1})");
  CHECK(!Contract.has_value());
  for (const char *Field : {"customer", "weight", "priority", "speed"})
    CHECK(Contract.error().Message.find(Field) != std::string::npos);
}

TEST(Parts, SharesOfEntriesStayWithinContract) {
  contract Contract;
  Contract.RequestsPerSecond = 50;
  Contract.Concurrency = 1'000;
  int Allowed = 0;
  for (int Entry = 0; Entry < 10; ++Entry) {
    customer_limit Limit;
    for (int Step = 0; Step < 1'000; ++Step)
      if (acquireLimit(Limit, Contract, 10, Now + milliseconds(Step)) ==
          limit_verdict::Allowed)
        ++Allowed;
  }
  // The rate of one second plus the burst of one second.
  CHECK(Allowed <= 100);
  CHECK(Allowed >= 90);
}

// Regression: units of a live holder were given to others when an observer's
// copy of the instance's object was older than the incarnation in the row.
TEST(Parts, OlderObjectDoesNotProveDeathOfNewerIncarnation) {
  object_view View;
  const std::vector<item> Items = {{"gateway/gw-1", 10, false, "{}"}};
  updateView(View, Items);
  CHECK(isProvedDead(View, "gw-1/site#9"));
  CHECK(!isProvedDead(View, "gw-1/site#10"));
  CHECK(!isProvedDead(View, "gw-1/site#11"));
  CHECK(!isProvedDead(View, "gw-2/site#1"));
}
