// Quarantine of request contents that crash servers: what counts against a
// content, what clears it, and how instances converge.

#include "PeerMessages/peer_messages.h"
#include "Quarantine/quarantine.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <numeric>
#include <random>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const instant Start{seconds(1'000)};
constexpr std::uint64_t Deadly = 17;
constexpr std::uint64_t Popular = 18;

void crash(quarantine &Quarantine, std::uint64_t Content, int Servers,
           instant Now = Start) {
  for (int Server = 1; Server <= Servers; ++Server)
    recordCrash(Quarantine, Content, stableHash("s", Server), Now);
}

bool isRefused(const quarantine &Quarantine, std::uint64_t Content,
               instant Now = Start) {
  return !isAdmitted(Quarantine, Content, /*SendsTrials=*/false, Now);
}

/// Sends everything that one instance has recorded to another.
void sendAllReports(quarantine &From, quarantine &To, instant Now) {
  for (std::size_t Left = From.Records.size(); Left > 0; --Left)
    applyReports(To, collectPiggybackedReports(From, Now), Now);
  for (auto News = collectAnnouncements(From, Now); !News.empty();
       News = collectAnnouncements(From, Now))
    applyReports(To, News, Now);
  applyReports(To, collectSuspicions(From, Now), Now);
}

} // namespace

// clang-format off
TEST_GROUP(Quarantine) {};
// clang-format on

TEST(Quarantine, QuarantinesContentAfterThirdCrash) {
  quarantine Quarantine;
  crash(Quarantine, Deadly, 2);
  CHECK_FALSE(isRefused(Quarantine, Deadly));
  const auto Change = recordCrash(Quarantine, Deadly, 99, Start);
  CHECK(Change && Change->IsQuarantined && Change->Crashes == 3);
  CHECK(isRefused(Quarantine, Deadly));
  CHECK_FALSE(isRefused(Quarantine, Popular));
  CHECK(timeUntilTrial(Quarantine, Deadly, Start) > duration::zero());
}

TEST(Quarantine, CountsEachCrashedServerOnce) {
  quarantine Quarantine;
  for (int Request = 0; Request < 10; ++Request)
    recordCrash(Quarantine, Deadly, 99, Start);
  CHECK_FALSE(isRefused(Quarantine, Deadly));
}

// Guards against refusing a popular page because it was in flight at all
// servers of a site when they failed together.
TEST(Quarantine, PopularContentSurvivesServerOutage) {
  quarantine Quarantine;
  recordValidResponse(Quarantine, Popular, Start);
  crash(Quarantine, Popular, 5, Start + seconds(5));
  CHECK_FALSE(isRefused(Quarantine, Popular, Start + seconds(5)));
}

// Guards against an instance that had no recent request for the page
// quarantining it, and overriding instances that received valid responses.
TEST(Quarantine, ValidResponseVoidsCrashesOfOtherInstances) {
  quarantine Quarantine;
  quarantine Other;
  recordValidResponse(Quarantine, Popular, Start);
  crash(Other, Popular, 3, Start + seconds(1));
  CHECK(isRefused(Other, Popular));
  sendAllReports(Other, Quarantine, Start + seconds(2));
  CHECK_FALSE(isRefused(Quarantine, Popular));
  sendAllReports(Quarantine, Other, Start + seconds(3));
  CHECK_FALSE(isRefused(Other, Popular));
  // Voided crashes are not restored by an older report.
  quarantine Late;
  crash(Late, Popular, 3, Start + seconds(1));
  sendAllReports(Late, Other, Start + seconds(4));
  CHECK_FALSE(isRefused(Other, Popular));
}

// Guards against an old valid response protecting a content that crashes
// servers now.
TEST(Quarantine, ValidResponseExpires) {
  quarantine Quarantine;
  recordValidResponse(Quarantine, Deadly, Start);
  const instant Later = Start + Quarantine.Policy.ValidResponseWindow;
  crash(Quarantine, Deadly, 3, Later);
  CHECK(isRefused(Quarantine, Deadly, Later));
}

TEST(Quarantine, CombinesCrashesOfSeveralInstances) {
  quarantine First;
  quarantine Second;
  recordCrash(First, Deadly, 1, Start);
  recordCrash(Second, Deadly, 2, Start);
  recordCrash(Second, Deadly, 3, Start);
  sendAllReports(First, Second, Start);
  sendAllReports(Second, First, Start);
  CHECK(isRefused(First, Deadly));
  CHECK(isRefused(Second, Deadly));
}

// Guards against refusing a wrongly quarantined content forever, and against
// every instance sending trials with a deadly one.
TEST(Quarantine, OneInstanceSendsTrialsAtGrowingIntervals) {
  quarantine Quarantine;
  crash(Quarantine, Deadly, 3);
  const instant First = Start + Quarantine.Policy.FirstTrialDelay;
  CHECK_FALSE(isAdmitted(Quarantine, Deadly, true, First - milliseconds(1)));
  CHECK_FALSE(isAdmitted(Quarantine, Deadly, false, First));
  CHECK(isAdmitted(Quarantine, Deadly, true, First));
  recordTrial(Quarantine, Deadly, First);
  CHECK_FALSE(isAdmitted(Quarantine, Deadly, true, First + milliseconds(1)));
  recordCrash(Quarantine, Deadly, 99, First + seconds(1));
  const duration Next =
      Quarantine.Policy.FirstTrialDelay * Quarantine.Policy.TrialDelayFactor;
  CHECK_FALSE(isAdmitted(Quarantine, Deadly, true, First + Next));
  CHECK(isAdmitted(Quarantine, Deadly, true, First + seconds(1) + Next));
  const auto Change =
      recordValidResponse(Quarantine, Deadly, First + seconds(2) + Next);
  CHECK(Change && !Change->IsQuarantined);
  CHECK(isAdmitted(Quarantine, Deadly, false, First + seconds(2) + Next));
}

// Guards against callers displacing the record of a deadly content by crashing
// servers with ever new requests.
TEST(Quarantine, SuspicionDoesNotDisplaceQuarantine) {
  quarantine Quarantine;
  crash(Quarantine, Deadly, 3);
  for (std::uint64_t Content = 1'000; Content < 3'000; ++Content)
    recordCrash(Quarantine, Content, Content, Start + seconds(1));
  UNSIGNED_LONGS_EQUAL(Quarantine.Policy.MaxRecords, Quarantine.Records.size());
  CHECK(isRefused(Quarantine, Deadly));
  quarantine Full;
  for (std::uint64_t Content = 0; Content < Full.Policy.MaxRecords; ++Content)
    crash(Full, Content, 3);
  recordCrash(Full, 1'000, 1, Start);
  UNSIGNED_LONGS_EQUAL(1, Full.DroppedCrashes);
  UNSIGNED_LONGS_EQUAL(Full.Policy.MaxRecords, countQuarantined(Full));
}

// Guards against instances refreshing a record with each other's reports, so
// that it never expires.
TEST(Quarantine, RecordExpiresOnAllInstances) {
  quarantine First;
  quarantine Second;
  crash(First, Deadly, 3);
  sendAllReports(First, Second, Start + minutes(9));
  CHECK(isRefused(Second, Deadly));
  const instant End = Start + First.Policy.RecordLifetime;
  evictExpiredRecords(First, End);
  CHECK(First.Records.empty());
  sendAllReports(Second, First, End);
  CHECK(First.Records.empty());
  evictExpiredRecords(Second, End);
  CHECK(Second.Records.empty());
}

TEST(Quarantine, IgnoresImplausibleReports) {
  quarantine Quarantine;
  crash_report TooMany{Deadly, 0, {}, {}};
  for (std::uint64_t Server = 0; Server <= MaxCrashedServers; ++Server)
    TooMany.Servers.push_back(Server);
  const std::vector<crash_report> Reports = {
      TooMany,
      {Deadly, 0, {3, 2, 1}, {}},
      {Deadly, 0, {1, 1, 1}, {}},
      {Deadly, 0, {1, 2, 3}, seconds(-1)},
      {Deadly, 0, {1, 2, 3}, std::chrono::hours(100)},
  };
  CHECK(applyReports(Quarantine, Reports, Start).empty());
  CHECK(Quarantine.Records.empty());
}

TEST(Quarantine, FingerprintCoversAllPartsOfContent) {
  const request_content Content{"GET", "h", "/x/y?z", "17", "me", "body"};
  const std::uint64_t Hash = contentHash(Content);
  CHECK(Hash == contentHash(Content));
  CHECK(Hash != contentHash({"PUT", "h", "/x/y?z", "17", "me", "body"}));
  CHECK(Hash != contentHash({"GET", "g", "/x/y?z", "17", "me", "body"}));
  CHECK(Hash != contentHash({"GET", "h", "/x/y", "17", "me", "body"}));
  CHECK(Hash != contentHash({"GET", "h", "/x/y?z", "18", "me", "body"}));
  CHECK(Hash != contentHash({"GET", "h", "/x/y?z", "17", "you", "body"}));
  CHECK(Hash != contentHash({"GET", "h", "/x/y?z", "17", "me", "soul"}));
  CHECK(Hash != contentHash({"GET", "h", "/x/y?z", "17m", "e", "body"}));
}

TEST(Quarantine, EncodesReportsInDatagrams) {
  const crash_report Report{Deadly, 4, {1, 2, 3}, seconds(7)};
  const auto Got = decodeDatagram(encodeDatagram({"n1", "c", {}, {Report}}));
  CHECK(Got.has_value());
  UNSIGNED_LONGS_EQUAL(1, Got->Crashes.size());
  const crash_report &Read = Got->Crashes[0];
  CHECK(Read.Content == Report.Content && Read.Servers == Report.Servers &&
        Read.Generation == Report.Generation && Read.Age == Report.Age);
}

namespace {

constexpr duration Step = milliseconds(10);
constexpr duration TickPeriod = milliseconds(150);
constexpr duration ProbePeriod = milliseconds(500);
constexpr int AnnouncementReceivers = 2;
constexpr std::size_t HeaderBytes = 28;
/// Time within which all instances must have a third crash.
constexpr duration ConvergenceTime = seconds(4);
/// Bytes that an instance may send for control in a second.
constexpr std::size_t MaxBytesPerSecond = 4'000;

/// Instances that exchange reports over links with message loss.
struct simulated_fleet {
  explicit simulated_fleet(std::size_t Size)
      : Instances(Size), BytesBySecond(Size) {}

  struct message {
    std::size_t To = 0;
    std::vector<crash_report> Reports;
    bool WantsAnswer = false;
    std::size_t From = 0;
  };

  void send(message Message) {
    if (Message.Reports.empty() && !Message.WantsAnswer)
      return;
    auto &Bytes = BytesBySecond[Message.From];
    const auto Second = static_cast<std::size_t>((Now - Start) / seconds(1));
    Bytes.resize(std::max(Bytes.size(), Second + 1));
    if (!Message.Reports.empty())
      Bytes[Second] +=
          HeaderBytes +
          encodeDatagram(
              {"front-bp-kobanya-1", "10.1.0.10:8166", {}, Message.Reports})
              .size();
    if (Random() % 100 < LossPercent)
      return;
    const duration Way = Random() % 3 == 0 ? milliseconds(2) : milliseconds(35);
    UnderWay.emplace(Now + Way, std::move(Message));
  }

  void deliver() {
    while (!UnderWay.empty() && UnderWay.begin()->first <= Now) {
      const message Message = std::move(UnderWay.begin()->second);
      UnderWay.erase(UnderWay.begin());
      applyReports(Instances[Message.To], Message.Reports, Now);
      if (Message.WantsAnswer)
        send({Message.From,
              collectPiggybackedReports(Instances[Message.To], Now), false,
              Message.To});
    }
  }

  void tick(std::size_t Index) {
    for (const crash_report &Suspicion :
         collectSuspicions(Instances[Index], Now))
      for (std::size_t Counting : countingInstances(Suspicion.Content))
        if (Counting != Index)
          send({Counting, {Suspicion}, false, Index});
    for (int Receiver = 0; Receiver < AnnouncementReceivers; ++Receiver)
      send(
          {other(), collectAnnouncements(Instances[Index], Now), false, Index});
  }

  [[nodiscard]] std::vector<std::size_t>
  countingInstances(std::uint64_t Content) const {
    std::vector<std::size_t> Order(Instances.size());
    std::iota(Order.begin(), Order.end(), 0);
    std::partial_sort(Order.begin(), Order.begin() + SuspicionOwners,
                      Order.end(), [&](std::size_t Left, std::size_t Right) {
                        return rendezvousScore(Left, Content) >
                               rendezvousScore(Right, Content);
                      });
    Order.resize(SuspicionOwners);
    return Order;
  }

  std::size_t other() { return Random() % Instances.size(); }

  void step() {
    Now += Step;
    deliver();
    for (std::size_t Index = 0; Index < Instances.size(); ++Index) {
      // Each instance has its own phase.
      const duration Phase = Step * static_cast<int>(Index % 50);
      if ((Now - Start + Phase) % TickPeriod < Step)
        tick(Index);
      if ((Now - Start + Phase) % ProbePeriod < Step)
        send({other(), collectPiggybackedReports(Instances[Index], Now), true,
              Index});
    }
  }

  [[nodiscard]] bool allRefuse() const {
    return std::all_of(Instances.begin(), Instances.end(), [](const auto &One) {
      return isQuarantined(One, Deadly);
    });
  }

  [[nodiscard]] std::size_t maxBytesInASecond() const {
    std::size_t Most = 0;
    for (const auto &Bytes : BytesBySecond)
      for (std::size_t Second : Bytes)
        Most = std::max(Most, Second);
    return Most;
  }

  static constexpr std::uint64_t LossPercent = 2;
  instant Now = Start;
  std::mt19937_64 Random{1};
  std::vector<quarantine> Instances;
  std::vector<std::vector<std::size_t>> BytesBySecond;
  std::multimap<instant, message> UnderWay;
};

/// Records a crash at one instance, with the other requests in flight at the
/// crashed server.
void crashAt(simulated_fleet &Fleet, std::uint64_t Server) {
  constexpr std::uint64_t Bystanders = 3;
  quarantine &Quarantine = Fleet.Instances[Fleet.other()];
  recordCrash(Quarantine, Deadly, Server, Fleet.Now);
  for (std::uint64_t Index = 0; Index < Bystanders; ++Index)
    recordCrash(Quarantine, 1'000 * Server + Index, Server, Fleet.Now);
}

} // namespace

// Guards against an instance that has not received the announcement sending the
// request on, seconds after its third crash. Three instances observe one crash
// each, every crash affects bystanders too, and one in fifty messages is lost.
TEST(Quarantine, AllInstancesConvergeInTime) {
  for (std::size_t Size : {std::size_t{2}, std::size_t{11}, std::size_t{84},
                           std::size_t{295}, std::size_t{1'900}}) {
    simulated_fleet Fleet(Size);
    for (std::uint64_t Server = 1; Server <= 3; ++Server) {
      crashAt(Fleet, Server);
      for (int Index = 0; Index < 10; ++Index)
        Fleet.step();
    }
    const instant Third = Fleet.Now;
    while (!Fleet.allRefuse() && Fleet.Now < Third + 2 * ConvergenceTime)
      Fleet.step();
    CHECK_COMPARE((Fleet.Now - Third).count(), <=, ConvergenceTime.count());
    CHECK_COMPARE(Fleet.maxBytesInASecond(), <=, MaxBytesPerSecond);
  }
}

// Guards against reports of bystanders delaying the announcement of the deadly
// content.
TEST(Quarantine, CrashStormDoesNotDelayAnnouncements) {
  simulated_fleet Fleet(295);
  for (std::uint64_t Server = 10; Server < 90; ++Server) {
    const std::uint64_t Bystander = 1'000 * Server;
    for (std::uint64_t Index = 0; Index < 6; ++Index)
      recordCrash(Fleet.Instances[Fleet.other()], Bystander + Index, Server,
                  Fleet.Now);
    Fleet.step();
  }
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    crashAt(Fleet, Server);
  const instant Third = Fleet.Now;
  while (!Fleet.allRefuse() && Fleet.Now < Third + 2 * ConvergenceTime)
    Fleet.step();
  CHECK_COMPARE((Fleet.Now - Third).count(), <=, ConvergenceTime.count());
  CHECK_COMPARE(Fleet.maxBytesInASecond(), <=, MaxBytesPerSecond);
}
