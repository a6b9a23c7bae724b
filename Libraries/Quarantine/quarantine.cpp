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
  // Instances that know no accounts compute the same hash without one.
  return Content.Account.empty() ? Hash : stableHash(Content.Account, Hash);
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
  return Record.Servers.size() >= Policy.CrashThreshold;
}

bool isQuarantined(const quarantine &Quarantine, std::uint64_t Content) {
  auto Found = Quarantine.Records.find(Content);
  return Found != Quarantine.Records.end() &&
         isQuarantined(Quarantine.Policy, Found->second);
}

/// Delay from the last crash to the next trial.
static duration delayToTrial(const quarantine_policy &Policy,
                             std::size_t Crashes) {
  duration Delay = Policy.FirstTrialDelay;
  for (std::size_t Trial = Policy.CrashThreshold; Trial < Crashes; ++Trial)
    Delay = std::min(Delay * Policy.TrialDelayFactor, Policy.MaxTrialDelay);
  return Delay;
}

static duration recordLifetime(const quarantine_policy &Policy,
                               std::size_t Crashes) {
  return std::max(Policy.RecordLifetime, Policy.RecordLifetimeInTrials *
                                             delayToTrial(Policy, Crashes));
}

/// Makes room for one more record by evicting the record with the fewest
/// crashes, the oldest of several. A new suspicion never displaces a
/// quarantined content.
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

/// Finds or creates the record of a content; returns nullptr if there is no
/// room.
static crash_record *findOrCreateRecord(quarantine &Quarantine,
                                        std::uint64_t Content,
                                        std::size_t NewCrashes) {
  auto Found = Quarantine.Records.find(Content);
  if (Found != Quarantine.Records.end())
    return &Found->second;
  if (!makeRoom(Quarantine, NewCrashes)) {
    ++Quarantine.DroppedCrashes;
    return nullptr;
  }
  return &Quarantine.Records[Content];
}

static valid_response &validResponseSlot(quarantine &Quarantine,
                                         std::uint64_t Content) {
  return Quarantine.ValidResponses[Content % Quarantine.ValidResponses.size()];
}

/// Whether the content received a valid response after \p CrashAt or shortly
/// before.
static bool hasValidResponse(quarantine &Quarantine, std::uint64_t Content,
                             instant CrashAt) {
  const valid_response &Response = validResponseSlot(Quarantine, Content);
  return Response.Content == Content && Response.At != instant() &&
         CrashAt < Response.At + Quarantine.Policy.ValidResponseWindow;
}

/// Schedules a changed record for sending to the instances that need it.
static void scheduleSends(const quarantine_policy &Policy,
                          crash_record &Record) {
  Record.IsBroadcast = Record.IsBroadcast || isQuarantined(Policy, Record);
  Record.PendingSends =
      Record.IsBroadcast ? Policy.AnnouncementMessages : Policy.SuspicionSends;
}

static void voidCrashes(crash_record &Record, instant Now) {
  ++Record.Generation;
  Record.Servers.clear();
  Record.ChangedAt = Now;
}

/// Adds crashed servers to the record; returns whether any was new.
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

std::optional<quarantine_change> recordCrash(quarantine &Quarantine,
                                             std::uint64_t Content,
                                             std::uint64_t Server,
                                             instant Now) {
  if (hasValidResponse(Quarantine, Content, Now))
    return std::nullopt;
  crash_record *Record = findOrCreateRecord(Quarantine, Content, 1);
  if (!Record)
    return std::nullopt;
  const bool Was = isQuarantined(Quarantine.Policy, *Record);
  if (addServers(*Record, {&Server, 1}))
    scheduleSends(Quarantine.Policy, *Record);
  Record->ChangedAt = Now;
  return changeOf(Quarantine, Content, Was);
}

std::optional<quarantine_change> recordValidResponse(quarantine &Quarantine,
                                                     std::uint64_t Content,
                                                     instant Now) {
  validResponseSlot(Quarantine, Content) = {Content, Now};
  auto Found = Quarantine.Records.find(Content);
  if (Found == Quarantine.Records.end() || Found->second.Servers.empty())
    return std::nullopt;
  const bool Was = isQuarantined(Quarantine.Policy, Found->second);
  voidCrashes(Found->second, Now);
  scheduleSends(Quarantine.Policy, Found->second);
  return changeOf(Quarantine, Content, Was);
}

static instant nextTrial(const quarantine_policy &Policy,
                         const crash_record &Record) {
  return std::max(Record.ChangedAt +
                      delayToTrial(Policy, Record.Servers.size()),
                  Record.TriedAt + Policy.FirstTrialDelay);
}

bool isAdmitted(const quarantine &Quarantine, std::uint64_t Content,
                bool SendsTrials, instant Now) {
  auto Found = Quarantine.Records.find(Content);
  if (Found == Quarantine.Records.end() ||
      !isQuarantined(Quarantine.Policy, Found->second))
    return true;
  return SendsTrials && Now >= nextTrial(Quarantine.Policy, Found->second);
}

void recordTrial(quarantine &Quarantine, std::uint64_t Content, instant Now) {
  auto Found = Quarantine.Records.find(Content);
  if (Found != Quarantine.Records.end())
    Found->second.TriedAt = Now;
}

duration timeUntilTrial(const quarantine &Quarantine, std::uint64_t Content,
                        instant Now) {
  auto Found = Quarantine.Records.find(Content);
  if (Found == Quarantine.Records.end() ||
      !isQuarantined(Quarantine.Policy, Found->second))
    return duration::zero();
  return std::max(duration::zero(),
                  nextTrial(Quarantine.Policy, Found->second) - Now);
}

void evictExpiredRecords(quarantine &Quarantine, instant Now) {
  std::erase_if(Quarantine.Records, [&](const auto &Entry) {
    const crash_record &Record = Entry.second;
    return Now - Record.ChangedAt >=
           recordLifetime(Quarantine.Policy, Record.Servers.size());
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
          Now - Record.ChangedAt, Record.IsBroadcast};
}

/// Acquires up to \p Wanted sends from the rate limit of the current second.
static std::size_t acquireSends(send_rate &Rate, int PerSecond,
                                std::size_t Wanted, instant Now) {
  if (Now - Rate.WindowStart >= std::chrono::seconds(1))
    Rate = {Now, 0};
  const auto Left = static_cast<std::size_t>(PerSecond - Rate.Sent);
  const std::size_t Taken = std::min(Wanted, Left);
  Rate.Sent += static_cast<int>(Taken);
  return Taken;
}

static std::vector<record_entry> findPending(quarantine &Quarantine,
                                             bool IsBroadcast) {
  std::vector<record_entry> Pending;
  for (auto Entry = Quarantine.Records.begin();
       Entry != Quarantine.Records.end(); ++Entry)
    if (Entry->second.PendingSends > 0 &&
        Entry->second.IsBroadcast == IsBroadcast)
      Pending.push_back(Entry);
  return Pending;
}

/// Creates reports for the most urgent records in \p Pending: those with the
/// most crashes first, then the latest, since older ones still wait only if
/// more are pending than may be sent.
static std::vector<crash_report>
makeUrgentReports(std::vector<record_entry> Pending, std::size_t Count,
                  instant Now) {
  const auto End = Pending.begin() +
                   static_cast<std::ptrdiff_t>(std::min(Pending.size(), Count));
  std::partial_sort(Pending.begin(), End, Pending.end(),
                    [](record_entry Left, record_entry Right) {
                      const crash_record &First = Left->second;
                      const crash_record &Second = Right->second;
                      return std::tuple(First.Servers.size(), First.ChangedAt) >
                             std::tuple(Second.Servers.size(),
                                        Second.ChangedAt);
                    });
  std::vector<crash_report> Reports;
  for (auto Entry = Pending.begin(); Entry != End; ++Entry) {
    --(*Entry)->second.PendingSends;
    Reports.push_back(makeReport(*Entry, Now));
  }
  return Reports;
}

std::vector<crash_report> collectAnnouncements(quarantine &Quarantine,
                                               instant Now) {
  auto Pending = findPending(Quarantine, /*IsBroadcast=*/true);
  const quarantine_policy &Policy = Quarantine.Policy;
  if (Pending.empty() ||
      acquireSends(Quarantine.AnnouncementRate, Policy.AnnouncementsPerSecond,
                   1, Now) == 0)
    return {};
  return makeUrgentReports(std::move(Pending), Policy.MaxReportsPerAnnouncement,
                           Now);
}

std::vector<crash_report> collectSuspicions(quarantine &Quarantine,
                                            instant Now) {
  auto Pending = findPending(Quarantine, /*IsBroadcast=*/false);
  const std::size_t Count =
      acquireSends(Quarantine.SuspicionRate,
                   Quarantine.Policy.SuspicionsPerSecond, Pending.size(), Now);
  return makeUrgentReports(std::move(Pending), Count, Now);
}

std::vector<crash_report> collectPiggybackedReports(quarantine &Quarantine,
                                                    instant Now) {
  std::vector<crash_report> Reports;
  auto Entry = Quarantine.Records.lower_bound(Quarantine.PiggybackCursor);
  for (std::size_t Left = Quarantine.Records.size();
       Left > 0 && Reports.size() < Quarantine.Policy.MaxPiggybackedReports;
       --Left) {
    if (Entry == Quarantine.Records.end())
      Entry = Quarantine.Records.begin();
    if (Entry->second.IsBroadcast)
      Reports.push_back(makeReport(Entry, Now));
    ++Entry;
  }
  Quarantine.PiggybackCursor =
      Entry == Quarantine.Records.end() ? 0 : Entry->first;
  return Reports;
}

/// Whether a report can originate from a correct instance.
static bool isPlausible(const crash_report &Report) {
  return Report.Servers.size() <= MaxCrashedServers &&
         Report.Age >= duration::zero() &&
         std::adjacent_find(Report.Servers.begin(), Report.Servers.end(),
                            std::greater_equal<>()) == Report.Servers.end();
}

/// Merges a report into a record; returns whether the record changed. The later
/// generation replaces the earlier one; within one generation the crashes are
/// combined.
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
applyReport(quarantine &Quarantine, const crash_report &Report, instant Now) {
  const std::size_t Crashes = Report.Servers.size();
  if (!isPlausible(Report) ||
      Report.Age >= recordLifetime(Quarantine.Policy, Crashes))
    return std::nullopt;
  crash_record *Record =
      findOrCreateRecord(Quarantine, Report.Content, Crashes);
  if (!Record)
    return std::nullopt;
  const bool Was = isQuarantined(Quarantine.Policy, *Record);
  bool HasChanged = merge(*Record, Report, Now - Report.Age);
  Record->IsBroadcast = Record->IsBroadcast || Report.IsBroadcast;
  if (!Record->Servers.empty() &&
      hasValidResponse(Quarantine, Report.Content, Record->ChangedAt)) {
    voidCrashes(*Record, Now);
    HasChanged = true;
  }
  if (HasChanged)
    scheduleSends(Quarantine.Policy, *Record);
  return changeOf(Quarantine, Report.Content, Was);
}

std::vector<quarantine_change>
applyReports(quarantine &Quarantine, std::span<const crash_report> Reports,
             instant Now) {
  std::vector<quarantine_change> Changes;
  for (const crash_report &Report : Reports)
    if (const auto Change = applyReport(Quarantine, Report, Now))
      Changes.push_back(*Change);
  return Changes;
}

} // namespace amaranthhoist
