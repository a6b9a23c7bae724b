// Requests that crash the servers which run them: what counts against a
// content, what speaks for it, and how instances agree.

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
    noteCrash(Quarantine, Content, stableHash("s", Server), Now);
}

bool isRefused(const quarantine &Quarantine, std::uint64_t Content,
               instant Now = Start) {
  return !mayBeSent(Quarantine, Content, /*MakesTrials=*/false, Now);
}

/// Tells all that one instance knows to another.
void tellAll(quarantine &From, quarantine &To, instant Now) {
  for (std::size_t Left = From.Records.size(); Left > 0; --Left)
    takeReports(To, reportInTurn(From, Now), Now);
  for (auto News = reportNews(From, Now); !News.empty();
       News = reportNews(From, Now))
    takeReports(To, News, Now);
  takeReports(To, reportSuspicions(From, Now), Now);
}

} // namespace

// clang-format off
TEST_GROUP(Quarantine) {};
// clang-format on

TEST(Quarantine, AContentIsRefusedAfterItsThirdCrash) {
  quarantine Quarantine;
  crash(Quarantine, Deadly, 2);
  CHECK_FALSE(isRefused(Quarantine, Deadly));
  const auto Change = noteCrash(Quarantine, Deadly, 99, Start);
  CHECK(Change && Change->IsQuarantined && Change->Crashes == 3);
  CHECK(isRefused(Quarantine, Deadly));
  CHECK_FALSE(isRefused(Quarantine, Popular));
  CHECK(untilTrial(Quarantine, Deadly, Start) > duration::zero());
}

TEST(Quarantine, OneCrashThatManyRequestsSawCountsOnce) {
  quarantine Quarantine;
  for (int Request = 0; Request < 10; ++Request)
    noteCrash(Quarantine, Deadly, 99, Start);
  CHECK_FALSE(isRefused(Quarantine, Deadly));
}

// Failure: the servers of a site go down together, and the page that everybody
// asks for is refused because it was under way at all of them.
TEST(Quarantine, APopularPageOutlivesAnOutageOfItsServers) {
  quarantine Quarantine;
  noteSoundAnswer(Quarantine, Popular, Start);
  crash(Quarantine, Popular, 5, Start + seconds(5));
  CHECK_FALSE(isRefused(Quarantine, Popular, Start + seconds(5)));
}

// Failure: an instance that hadn't asked for the page lately quarantines it and
// persuades those that know better.
TEST(Quarantine, AnInstanceThatWasAnsweredVoidsWhatOthersCounted) {
  quarantine Quarantine;
  quarantine Other;
  noteSoundAnswer(Quarantine, Popular, Start);
  crash(Other, Popular, 3, Start + seconds(1));
  CHECK(isRefused(Other, Popular));
  tellAll(Other, Quarantine, Start + seconds(2));
  CHECK_FALSE(isRefused(Quarantine, Popular));
  tellAll(Quarantine, Other, Start + seconds(3));
  CHECK_FALSE(isRefused(Other, Popular));
  // What was voided doesn't come back with an older report.
  quarantine Late;
  crash(Late, Popular, 3, Start + seconds(1));
  tellAll(Late, Other, Start + seconds(4));
  CHECK_FALSE(isRefused(Other, Popular));
}

// Failure: an answer from long ago protects a content that crashes servers now.
TEST(Quarantine, ASoundAnswerSpeaksForAContentForAWhileOnly) {
  quarantine Quarantine;
  noteSoundAnswer(Quarantine, Deadly, Start);
  const instant Later = Start + Quarantine.Policy.SoundTime;
  crash(Quarantine, Deadly, 3, Later);
  CHECK(isRefused(Quarantine, Deadly, Later));
}

TEST(Quarantine, CrashesOfSeveralInstancesAddUp) {
  quarantine First;
  quarantine Second;
  noteCrash(First, Deadly, 1, Start);
  noteCrash(Second, Deadly, 2, Start);
  noteCrash(Second, Deadly, 3, Start);
  tellAll(First, Second, Start);
  tellAll(Second, First, Start);
  CHECK(isRefused(First, Deadly));
  CHECK(isRefused(Second, Deadly));
}

// Failure: a content that was quarantined wrongly is refused for ever, or every
// instance tries a deadly one.
TEST(Quarantine, OneInstanceTriesItMoreAndMoreRarely) {
  quarantine Quarantine;
  crash(Quarantine, Deadly, 3);
  const instant First = Start + Quarantine.Policy.FirstTrial;
  CHECK_FALSE(mayBeSent(Quarantine, Deadly, true, First - milliseconds(1)));
  CHECK_FALSE(mayBeSent(Quarantine, Deadly, false, First));
  CHECK(mayBeSent(Quarantine, Deadly, true, First));
  noteTrial(Quarantine, Deadly, First);
  CHECK_FALSE(mayBeSent(Quarantine, Deadly, true, First + milliseconds(1)));
  noteCrash(Quarantine, Deadly, 99, First + seconds(1));
  const duration Next =
      Quarantine.Policy.FirstTrial * Quarantine.Policy.TrialGrowth;
  CHECK_FALSE(mayBeSent(Quarantine, Deadly, true, First + Next));
  CHECK(mayBeSent(Quarantine, Deadly, true, First + seconds(1) + Next));
  const auto Change =
      noteSoundAnswer(Quarantine, Deadly, First + seconds(2) + Next);
  CHECK(Change && !Change->IsQuarantined);
  CHECK(mayBeSent(Quarantine, Deadly, false, First + seconds(2) + Next));
}

// Failure: callers who crash servers with ever new requests push out the
// content that is known to be deadly.
TEST(Quarantine, ANewSuspicionDisplacesNoQuarantine) {
  quarantine Quarantine;
  crash(Quarantine, Deadly, 3);
  for (std::uint64_t Content = 1'000; Content < 3'000; ++Content)
    noteCrash(Quarantine, Content, Content, Start + seconds(1));
  UNSIGNED_LONGS_EQUAL(Quarantine.Policy.MaxRecords, Quarantine.Records.size());
  CHECK(isRefused(Quarantine, Deadly));
  quarantine Full;
  for (std::uint64_t Content = 0; Content < Full.Policy.MaxRecords; ++Content)
    crash(Full, Content, 3);
  noteCrash(Full, 1'000, 1, Start);
  UNSIGNED_LONGS_EQUAL(1, Full.LeftOut);
  UNSIGNED_LONGS_EQUAL(Full.Policy.MaxRecords, countQuarantined(Full));
}

// Failure: instances tell each other of a record for ever, so that it never
// ends.
TEST(Quarantine, ARecordEndsEverywhereAtItsAge) {
  quarantine First;
  quarantine Second;
  crash(First, Deadly, 3);
  tellAll(First, Second, Start + minutes(9));
  CHECK(isRefused(Second, Deadly));
  const instant End = Start + First.Policy.RecordLife;
  forgetOldRecords(First, End);
  CHECK(First.Records.empty());
  tellAll(Second, First, End);
  CHECK(First.Records.empty());
  forgetOldRecords(Second, End);
  CHECK(Second.Records.empty());
}

TEST(Quarantine, ReportsThatMakeNoSenseChangeNothing) {
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
  CHECK(takeReports(Quarantine, Reports, Start).empty());
  CHECK(Quarantine.Records.empty());
}

TEST(Quarantine, ContentsDifferByEachOfTheirParts) {
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

TEST(Quarantine, ReportsTravelInDatagrams) {
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
constexpr int NewsReceivers = 2;
constexpr std::size_t HeaderBytes = 28;
/// In which instances have to know of a third crash.
constexpr duration Touch = seconds(4);
/// What an instance may send for control in a second.
constexpr std::size_t MostBytes = 4'000;

/// Instances that tell each other, over links that lose messages.
struct told_fleet {
  explicit told_fleet(std::size_t Size)
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
      takeReports(Instances[Message.To], Message.Reports, Now);
      if (Message.WantsAnswer)
        send({Message.From, reportInTurn(Instances[Message.To], Now), false,
              Message.To});
    }
  }

  void tick(std::size_t Index) {
    for (const crash_report &Suspicion :
         reportSuspicions(Instances[Index], Now))
      for (std::size_t Counting : countingInstances(Suspicion.Content))
        if (Counting != Index)
          send({Counting, {Suspicion}, false, Index});
    for (int Receiver = 0; Receiver < NewsReceivers; ++Receiver)
      send({other(), reportNews(Instances[Index], Now), false, Index});
  }

  [[nodiscard]] std::vector<std::size_t>
  countingInstances(std::uint64_t Content) const {
    std::vector<std::size_t> Order(Instances.size());
    std::iota(Order.begin(), Order.end(), 0);
    std::partial_sort(Order.begin(), Order.begin() + CountingInstances,
                      Order.end(), [&](std::size_t Left, std::size_t Right) {
                        return rendezvousRank(Left, Content) >
                               rendezvousRank(Right, Content);
                      });
    Order.resize(CountingInstances);
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
        send({other(), reportInTurn(Instances[Index], Now), true, Index});
    }
  }

  [[nodiscard]] bool allRefuse() const {
    return std::all_of(Instances.begin(), Instances.end(), [](const auto &One) {
      return isQuarantined(One, Deadly);
    });
  }

  [[nodiscard]] std::size_t mostBytesInASecond() const {
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

/// A crash at one instance, and the requests that it took with it.
void crashAt(told_fleet &Fleet, std::uint64_t Server) {
  constexpr std::uint64_t Bystanders = 3;
  quarantine &Quarantine = Fleet.Instances[Fleet.other()];
  noteCrash(Quarantine, Deadly, Server, Fleet.Now);
  for (std::uint64_t Index = 0; Index < Bystanders; ++Index)
    noteCrash(Quarantine, 1'000 * Server + Index, Server, Fleet.Now);
}

} // namespace

// Failure: an instance that the news hasn't reached sends the request on,
// seconds after its third crash. Three instances see one crash each, every
// crash takes bystanders with it, and one in fifty messages is lost.
TEST(Quarantine, AllInstancesKnowWithinTheTimeThatTheyHave) {
  for (std::size_t Size : {std::size_t{2}, std::size_t{11}, std::size_t{84},
                           std::size_t{295}, std::size_t{1'900}}) {
    told_fleet Fleet(Size);
    for (std::uint64_t Server = 1; Server <= 3; ++Server) {
      crashAt(Fleet, Server);
      for (int Index = 0; Index < 10; ++Index)
        Fleet.step();
    }
    const instant Third = Fleet.Now;
    while (!Fleet.allRefuse() && Fleet.Now < Third + 2 * Touch)
      Fleet.step();
    CHECK_COMPARE((Fleet.Now - Third).count(), <=, Touch.count());
    CHECK_COMPARE(Fleet.mostBytesInASecond(), <=, MostBytes);
  }
}

// Failure: news of bystanders keep the news of the deadly content waiting.
TEST(Quarantine, AStormOfCrashesDoesNotDelayTheNews) {
  told_fleet Fleet(295);
  for (std::uint64_t Server = 10; Server < 90; ++Server) {
    const std::uint64_t Bystander = 1'000 * Server;
    for (std::uint64_t Index = 0; Index < 6; ++Index)
      noteCrash(Fleet.Instances[Fleet.other()], Bystander + Index, Server,
                Fleet.Now);
    Fleet.step();
  }
  for (std::uint64_t Server = 1; Server <= 3; ++Server)
    crashAt(Fleet, Server);
  const instant Third = Fleet.Now;
  while (!Fleet.allRefuse() && Fleet.Now < Third + 2 * Touch)
    Fleet.step();
  CHECK_COMPARE((Fleet.Now - Third).count(), <=, Touch.count());
  CHECK_COMPARE(Fleet.mostBytesInASecond(), <=, MostBytes);
}
