#include "Quarantine/quarantine.h"

#include "Text/text.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <tuple>

namespace amaranthhoist {

using record_entry = std::map<std::uint64_t, crash_record>::iterator;

std::uint64_t contentHash(const request_content &Content) {
  std::uint64_t Hash = 0;
  for (std::string_view Part :
       {Content.Method, Content.Host, Content.Target, Content.ObjectKey,
        Content.Credentials, Content.Body})
    Hash = stableHash(Part, Hash);
  return Hash;
}

std::string contentName(std::uint64_t Content) {
  std::string Name;
  appendHex(Name, Content, 16);
  return Name;
}

std::uint64_t serverStartHash(std::string_view Id, std::int64_t StartedAtMs) {
  return stableHash(Id, static_cast<std::uint64_t>(StartedAtMs));
}

static bool isQuarantined(const quarantine_policy &Policy,
                          const crash_record &Record) {
  return Record.Servers.size() >= Policy.CrashesAllowed;
}

bool isQuarantined(const quarantine &Quarantine, std::uint64_t Content) {
  auto Found = Quarantine.Records.find(Content);
  return Found != Quarantine.Records.end() &&
         isQuarantined(Quarantine.Policy, Found->second);
}

/// From the last crash to the next trial.
static duration trialDelay(const quarantine_policy &Policy,
                           std::size_t Crashes) {
  duration Delay = Policy.FirstTrial;
  for (std::size_t Trial = Policy.CrashesAllowed; Trial < Crashes; ++Trial)
    Delay = std::min(Delay * Policy.TrialGrowth, Policy.LongestTrial);
  return Delay;
}

static duration lifeOf(const quarantine_policy &Policy, std::size_t Crashes) {
  return std::max(Policy.RecordLife,
                  Policy.RecordLifeInTrials * trialDelay(Policy, Crashes));
}

/// Makes room for one more record: the one that says least goes, the oldest of
/// several. A new suspicion never displaces a quarantined content.
static bool makeRoom(quarantine &Quarantine, std::size_t NewCrashes) {
  if (Quarantine.Records.size() < Quarantine.Policy.MaxRecords)
    return true;
  auto Least = std::min_element(
      Quarantine.Records.begin(), Quarantine.Records.end(),
      [](const auto &Left, const auto &Right) {
        const std::size_t LeftCrashes = Left.second.Servers.size();
        const std::size_t RightCrashes = Right.second.Servers.size();
        if (LeftCrashes != RightCrashes)
          return LeftCrashes < RightCrashes;
        return Left.second.ChangedAt < Right.second.ChangedAt;
      });
  if (Least->second.Servers.size() > NewCrashes)
    return false;
  Quarantine.Records.erase(Least);
  return true;
}

/// The record of a content, made if need be; none when there is no room.
static crash_record *recordOf(quarantine &Quarantine, std::uint64_t Content,
                              std::size_t NewCrashes) {
  auto Found = Quarantine.Records.find(Content);
  if (Found != Quarantine.Records.end())
    return &Found->second;
  if (!makeRoom(Quarantine, NewCrashes)) {
    ++Quarantine.LeftOut;
    return nullptr;
  }
  return &Quarantine.Records[Content];
}

static sound_answer &soundPlace(quarantine &Quarantine, std::uint64_t Content) {
  return Quarantine.Sound[Content % Quarantine.Sound.size()];
}

/// Whether the content was answered soundly after \p CrashAt or shortly before.
static bool wasAnswered(quarantine &Quarantine, std::uint64_t Content,
                        instant CrashAt) {
  const sound_answer &Answer = soundPlace(Quarantine, Content);
  return Answer.Content == Content && Answer.At != instant() &&
         CrashAt < Answer.At + Quarantine.Policy.SoundTime;
}

/// Marks a record as changed, for those that are to know of it.
static void markAsNews(const quarantine_policy &Policy, crash_record &Record) {
  Record.IsForAll = Record.IsForAll || isQuarantined(Policy, Record);
  Record.NewsLeft =
      Record.IsForAll ? Policy.NewsMessages : Policy.SuspicionRepeats;
}

static void voidCrashes(crash_record &Record, instant Now) {
  ++Record.Generation;
  Record.Servers.clear();
  Record.ChangedAt = Now;
}

/// Adds servers to those that crashed; whether there was a new one.
static bool addServers(crash_record &Record,
                       std::span<const std::uint64_t> Servers) {
  std::vector<std::uint64_t> All;
  std::set_union(Record.Servers.begin(), Record.Servers.end(), Servers.begin(),
                 Servers.end(), std::back_inserter(All));
  All.resize(std::min(All.size(), MaxCrashedServers));
  const bool IsNew = All != Record.Servers;
  Record.Servers = std::move(All);
  return IsNew;
}

static std::optional<quarantine_change> changeOf(const quarantine &Quarantine,
                                                 std::uint64_t Content,
                                                 bool WasQuarantined) {
  const crash_record &Record = Quarantine.Records.at(Content);
  const bool Is = isQuarantined(Quarantine.Policy, Record);
  if (Is == WasQuarantined)
    return std::nullopt;
  return quarantine_change{Content, Is, Record.Servers.size()};
}

std::optional<quarantine_change> noteCrash(quarantine &Quarantine,
                                           std::uint64_t Content,
                                           std::uint64_t Server, instant Now) {
  if (wasAnswered(Quarantine, Content, Now))
    return std::nullopt;
  crash_record *Record = recordOf(Quarantine, Content, 1);
  if (!Record)
    return std::nullopt;
  const bool Was = isQuarantined(Quarantine.Policy, *Record);
  if (addServers(*Record, {&Server, 1}))
    markAsNews(Quarantine.Policy, *Record);
  Record->ChangedAt = Now;
  return changeOf(Quarantine, Content, Was);
}

std::optional<quarantine_change>
noteSoundAnswer(quarantine &Quarantine, std::uint64_t Content, instant Now) {
  soundPlace(Quarantine, Content) = {Content, Now};
  auto Found = Quarantine.Records.find(Content);
  if (Found == Quarantine.Records.end() || Found->second.Servers.empty())
    return std::nullopt;
  const bool Was = isQuarantined(Quarantine.Policy, Found->second);
  voidCrashes(Found->second, Now);
  markAsNews(Quarantine.Policy, Found->second);
  return changeOf(Quarantine, Content, Was);
}

static instant nextTrial(const quarantine_policy &Policy,
                         const crash_record &Record) {
  return std::max(Record.ChangedAt + trialDelay(Policy, Record.Servers.size()),
                  Record.TriedAt + Policy.FirstTrial);
}

bool mayBeSent(const quarantine &Quarantine, std::uint64_t Content,
               bool MakesTrials, instant Now) {
  auto Found = Quarantine.Records.find(Content);
  if (Found == Quarantine.Records.end() ||
      !isQuarantined(Quarantine.Policy, Found->second))
    return true;
  return MakesTrials && Now >= nextTrial(Quarantine.Policy, Found->second);
}

void noteTrial(quarantine &Quarantine, std::uint64_t Content, instant Now) {
  auto Found = Quarantine.Records.find(Content);
  if (Found != Quarantine.Records.end())
    Found->second.TriedAt = Now;
}

duration untilTrial(const quarantine &Quarantine, std::uint64_t Content,
                    instant Now) {
  auto Found = Quarantine.Records.find(Content);
  if (Found == Quarantine.Records.end() ||
      !isQuarantined(Quarantine.Policy, Found->second))
    return duration::zero();
  return std::max(duration::zero(),
                  nextTrial(Quarantine.Policy, Found->second) - Now);
}

void forgetOldRecords(quarantine &Quarantine, instant Now) {
  std::erase_if(Quarantine.Records, [&](const auto &Entry) {
    const crash_record &Record = Entry.second;
    return Now - Record.ChangedAt >=
           lifeOf(Quarantine.Policy, Record.Servers.size());
  });
}

std::size_t countQuarantined(const quarantine &Quarantine) {
  const auto Count =
      std::count_if(Quarantine.Records.begin(), Quarantine.Records.end(),
                    [&](const auto &Entry) {
                      return isQuarantined(Quarantine.Policy, Entry.second);
                    });
  return static_cast<std::size_t>(Count);
}

static crash_report makeReport(const record_entry &Entry, instant Now) {
  const crash_record &Record = Entry->second;
  return {Entry->first, Record.Generation, Record.Servers,
          Now - Record.ChangedAt, Record.IsForAll};
}

/// Takes up to \p Wanted from what may be told in the present second.
static std::size_t takeFromRate(telling_rate &Rate, int PerSecond,
                                std::size_t Wanted, instant Now) {
  if (Now - Rate.Second >= std::chrono::seconds(1))
    Rate = {Now, 0};
  const auto Left = static_cast<std::size_t>(PerSecond - Rate.Told);
  const std::size_t Taken = std::min(Wanted, Left);
  Rate.Told += static_cast<int>(Taken);
  return Taken;
}

static std::vector<record_entry> findNews(quarantine &Quarantine,
                                          bool IsForAll) {
  std::vector<record_entry> News;
  for (auto Entry = Quarantine.Records.begin();
       Entry != Quarantine.Records.end(); ++Entry)
    if (Entry->second.NewsLeft > 0 && Entry->second.IsForAll == IsForAll)
      News.push_back(Entry);
  return News;
}

/// Reports the most urgent of \p News: those nearest to a quarantine, then the
/// latest, since older ones only wait when there are more than can be told.
static std::vector<crash_report> tell(std::vector<record_entry> News,
                                      std::size_t Count, instant Now) {
  const auto End =
      News.begin() + static_cast<std::ptrdiff_t>(std::min(News.size(), Count));
  std::partial_sort(
      News.begin(), End, News.end(), [](record_entry Left, record_entry Right) {
        const crash_record &First = Left->second;
        const crash_record &Second = Right->second;
        return std::tuple(First.Servers.size(), First.ChangedAt) >
               std::tuple(Second.Servers.size(), Second.ChangedAt);
      });
  std::vector<crash_report> Reports;
  for (auto Entry = News.begin(); Entry != End; ++Entry) {
    --(*Entry)->second.NewsLeft;
    Reports.push_back(makeReport(*Entry, Now));
  }
  return Reports;
}

std::vector<crash_report> reportNews(quarantine &Quarantine, instant Now) {
  auto News = findNews(Quarantine, /*IsForAll=*/true);
  const quarantine_policy &Policy = Quarantine.Policy;
  if (News.empty() ||
      takeFromRate(Quarantine.News, Policy.NewsMessagesPerSecond, 1, Now) == 0)
    return {};
  return tell(std::move(News), Policy.MaxReportsOfNews, Now);
}

std::vector<crash_report> reportSuspicions(quarantine &Quarantine,
                                           instant Now) {
  auto News = findNews(Quarantine, /*IsForAll=*/false);
  const std::size_t Count =
      takeFromRate(Quarantine.Suspicions, Quarantine.Policy.SuspicionsPerSecond,
                   News.size(), Now);
  return tell(std::move(News), Count, Now);
}

std::vector<crash_report> reportInTurn(quarantine &Quarantine, instant Now) {
  std::vector<crash_report> Reports;
  auto Entry = Quarantine.Records.lower_bound(Quarantine.NextShared);
  for (std::size_t Left = Quarantine.Records.size();
       Left > 0 && Reports.size() < Quarantine.Policy.MaxReportsInTurn;
       --Left) {
    if (Entry == Quarantine.Records.end())
      Entry = Quarantine.Records.begin();
    if (Entry->second.IsForAll)
      Reports.push_back(makeReport(Entry, Now));
    ++Entry;
  }
  Quarantine.NextShared = Entry == Quarantine.Records.end() ? 0 : Entry->first;
  return Reports;
}

/// Whether a report can have come from a sound instance.
static bool isPlausible(const crash_report &Report) {
  return Report.Servers.size() <= MaxCrashedServers &&
         Report.Age >= duration::zero() &&
         std::adjacent_find(Report.Servers.begin(), Report.Servers.end(),
                            std::greater_equal<>()) == Report.Servers.end();
}

/// Merges a report into a record; whether that changed it. Of two generations
/// the later one holds, of one generation the crashes of both.
static bool merge(crash_record &Record, const crash_report &Report,
                  instant ChangedAt) {
  if (Report.Generation < Record.Generation)
    return false;
  if (Report.Generation > Record.Generation) {
    Record.Generation = Report.Generation;
    Record.Servers = Report.Servers;
    Record.ChangedAt = ChangedAt;
    return true;
  }
  Record.ChangedAt = std::max(Record.ChangedAt, ChangedAt);
  return addServers(Record, Report.Servers);
}

static std::optional<quarantine_change>
takeReport(quarantine &Quarantine, const crash_report &Report, instant Now) {
  const std::size_t Crashes = Report.Servers.size();
  if (!isPlausible(Report) || Report.Age >= lifeOf(Quarantine.Policy, Crashes))
    return std::nullopt;
  crash_record *Record = recordOf(Quarantine, Report.Content, Crashes);
  if (!Record)
    return std::nullopt;
  const bool Was = isQuarantined(Quarantine.Policy, *Record);
  bool IsNews = merge(*Record, Report, Now - Report.Age);
  Record->IsForAll = Record->IsForAll || Report.IsForAll;
  if (!Record->Servers.empty() &&
      wasAnswered(Quarantine, Report.Content, Record->ChangedAt)) {
    voidCrashes(*Record, Now);
    IsNews = true;
  }
  if (IsNews)
    markAsNews(Quarantine.Policy, *Record);
  return changeOf(Quarantine, Report.Content, Was);
}

std::vector<quarantine_change>
takeReports(quarantine &Quarantine, std::span<const crash_report> Reports,
            instant Now) {
  std::vector<quarantine_change> Changes;
  for (const crash_report &Report : Reports)
    if (const auto Change = takeReport(Quarantine, Report, Now))
      Changes.push_back(*Change);
  return Changes;
}

} // namespace amaranthhoist
