#include "Targets/targets.h"

#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

/// First time out of use after a failed connection, and the longest; doubled
/// in between. Short, since a trial costs one request little.
static constexpr duration FirstEjection = std::chrono::milliseconds(400);
static constexpr duration LongestEjection = std::chrono::milliseconds(4'000);
/// Weight of one attempt in the share of failures: about the last ten count.
static constexpr double FailureWeight = 0.1;
/// Share of failures that puts a server out of use, and the attempts that must
/// have been seen: single errors happen at healthy servers.
static constexpr double EjectAtShare = 0.35;
static constexpr int EjectAfterSamples = 5;
/// Part of a service's servers that may be out for their failures: when more
/// fail, the cause isn't theirs, and leaving them out would overload the rest.
static constexpr double MostEjected = 0.34;
/// A report counts whole for this long and fades over the same time.
static constexpr duration ReportFresh = std::chrono::milliseconds(700);

/// Servers that went and whose own words are kept: more than go while a store's
/// outage makes entries lapse.
static constexpr std::size_t MostFormer = 512;

static void addToService(target_directory &Directory, target *Target) {
  Directory.ByService[Target->Entry.Service].push_back(Target);
}

static void takeFromService(target_directory &Directory, const target *Target) {
  auto Found = Directory.ByService.find(Target->Entry.Service);
  if (Found != Directory.ByService.end())
    std::erase(Found->second, Target);
}

/// Keeps what a server said itself, for the case that its entry comes back.
static void remember(target_directory &Directory, const target &Target) {
  if (Target.RestUntil == instant() && !Target.Entry.IsLeaving)
    return;
  Directory.Former.push_back({Target.Entry, Target.RestUntil});
  if (Directory.Former.size() > MostFormer)
    Directory.Former.pop_front();
}

static void depart(target_directory &Directory, std::string_view Id) {
  auto Found = Directory.ById.find(Id);
  if (Found == Directory.ById.end())
    return;
  remember(Directory, *Found->second);
  takeFromService(Directory, Found->second.get());
  Directory.Departed.push_back(std::move(Found->second));
  Directory.ById.erase(Found);
}

void setDomains(target_directory &Directory,
                const std::map<std::string, std::string> &RegionOfDomain) {
  Directory.RegionOfDomain.clear();
  Directory.Regions.clear();
  for (const auto &[Domain, Region] : RegionOfDomain) {
    Directory.RegionOfDomain.emplace(Domain, Region);
    Directory.Regions.push_back(Region);
  }
  std::sort(Directory.Regions.begin(), Directory.Regions.end());
  Directory.Regions.erase(
      std::unique(Directory.Regions.begin(), Directory.Regions.end()),
      Directory.Regions.end());
  for (const auto &[Id, Target] : Directory.ById)
    Target->RegionIndex = regionIndex(Directory, Target->Region);
}

std::size_t regionIndex(const target_directory &Directory,
                        std::string_view Name) {
  const auto Found =
      std::find(Directory.Regions.begin(), Directory.Regions.end(), Name);
  return static_cast<std::size_t>(Found - Directory.Regions.begin());
}

/// Whether two entries under one id are of the same process at the same place.
static bool isSameStart(const target_entry &Known, const target_entry &Entry) {
  return Known.Service == Entry.Service && Known.Address == Entry.Address &&
         Known.StartedAtMs == Entry.StartedAtMs;
}

/// Gives a server that comes back what it had said itself.
static void recall(const target_directory &Directory, target &Target) {
  const auto Found =
      std::find_if(Directory.Former.rbegin(), Directory.Former.rend(),
                   [&](const former_target &Former) {
                     return Former.Entry.Id == Target.Entry.Id &&
                            isSameStart(Former.Entry, Target.Entry);
                   });
  if (Found == Directory.Former.rend())
    return;
  Target.RestUntil = Found->RestUntil;
  Target.Entry.IsLeaving = Found->Entry.IsLeaving;
}

void putTarget(target_directory &Directory, const target_entry &Entry,
               instant Now) {
  auto Found = Directory.ById.find(Entry.Id);
  if (Found != Directory.ById.end() &&
      !isSameStart(Found->second->Entry, Entry)) {
    depart(Directory, Entry.Id);
    Found = Directory.ById.end();
  }
  if (Found == Directory.ById.end()) {
    auto Target = std::make_unique<target>();
    Target->Serial = Directory.NextSerial++;
    Target->Hash = stableHash(Entry.Id);
    Target->FirstSeen = Now;
    Target->Entry = Entry;
    recall(Directory, *Target);
    addToService(Directory, Target.get());
    Found = Directory.ById.emplace(Entry.Id, std::move(Target)).first;
  }
  target &Target = *Found->second;
  // A server that said itself that it leaves doesn't come back as the same.
  const bool WasLeaving = Target.Entry.IsLeaving;
  Target.Entry = Entry;
  Target.Entry.IsLeaving = Entry.IsLeaving || WasLeaving;
  Target.IsMissing = false;
  auto Region = Directory.RegionOfDomain.find(Entry.FailureDomain);
  if (Region != Directory.RegionOfDomain.end())
    Target.Region = Region->second;
  Target.RegionIndex = regionIndex(Directory, Target.Region);
  if (Entry.ColdFor > duration::zero())
    Target.ColdUntil = std::max(Target.ColdUntil, Now + Entry.ColdFor);
}

void removeTarget(target_directory &Directory, std::string_view Id,
                  bool ListIsSure) {
  auto Found = Directory.ById.find(Id);
  if (Found == Directory.ById.end())
    return;
  target &Target = *Found->second;
  if (ListIsSure || Target.Entry.IsLeaving) {
    depart(Directory, Id);
    return;
  }
  Target.IsMissing = true;
}

void keepOnly(target_directory &Directory, const text_set &Ids,
              bool ListIsSure) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Target] : Directory.ById)
    if (!Ids.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    removeTarget(Directory, Id, ListIsSure);
}

void removeMissing(target_directory &Directory) {
  std::vector<std::string> Gone;
  for (const auto &[Id, Target] : Directory.ById)
    if (Target->IsMissing)
      Gone.push_back(Id);
  for (const std::string &Id : Gone)
    depart(Directory, Id);
}

void freeDeparted(target_directory &Directory) {
  std::erase_if(Directory.Departed,
                [](const auto &Target) { return Target->InFlight == 0; });
}

void setEvacuated(target_directory &Directory, const std::string &Domain,
                  bool IsEvacuated, duration ColdTime, instant Now) {
  if (IsEvacuated) {
    Directory.EvacuatedDomains.insert(Domain);
    return;
  }
  if (Directory.EvacuatedDomains.erase(Domain) == 0)
    return;
  for (const auto &[Id, Target] : Directory.ById)
    if (Target->Entry.FailureDomain == Domain)
      Target->ColdUntil = std::max(Target->ColdUntil, Now + ColdTime);
}

bool isUsable(const target_directory &Directory, const target &Target,
              instant Now) {
  if (Target.Entry.IsLeaving)
    return false;
  if (Directory.EvacuatedDomains.contains(Target.Entry.FailureDomain))
    return false;
  if (Now < Target.RestUntil)
    return false;
  if (Target.EjectionTime > duration::zero())
    return Now >= Target.EjectedUntil && !Target.OnTrial;
  return true;
}

double estimatedLoad(const target &Target, instant Now) {
  double Others = 0;
  if (Target.HasReport) {
    const int Reported = Target.Reported.Running + Target.Reported.Waiting;
    Others = std::max(0, Reported - Target.InFlightAtReport);
    const duration Age = Now - Target.ReportedAt;
    if (Age > ReportFresh) {
      const auto Faded = static_cast<double>((Age - ReportFresh).count()) /
                         static_cast<double>(ReportFresh.count());
      Others *= std::max(0.0, 1 - Faded);
    }
  }
  return Others + Target.InFlight;
}

void noteSent(target &Target, instant Now) {
  ++Target.InFlight;
  if (Target.EjectionTime > duration::zero() && Now >= Target.EjectedUntil)
    Target.OnTrial = true;
}

void noteLoad(target &Target, const target_load &Load, instant Now) {
  Target.Reported = Load;
  if (Load.Slots > 0)
    Target.Entry.Slots = Load.Slots;
  // The answered request itself isn't in the report.
  Target.InFlightAtReport = std::max(0, Target.InFlight - 1);
  Target.ReportedAt = Now;
  Target.HasReport = true;
}

static void eject(target &Target, instant Now) {
  const bool WasOut = Target.EjectionTime > duration::zero();
  Target.EjectionTime = WasOut
                            ? std::min(2 * Target.EjectionTime, LongestEjection)
                            : FirstEjection;
  Target.EjectedUntil = Now + Target.EjectionTime;
}

/// Whether one more server of the same service may be put out of use.
static bool mayEject(const target_directory &Directory, const target &Target) {
  auto Found = Directory.ByService.find(Target.Entry.Service);
  if (Found == Directory.ByService.end())
    return true;
  const auto Out = std::count_if(
      Found->second.begin(), Found->second.end(), [](const target *Other) {
        return Other->EjectionTime > duration::zero();
      });
  return static_cast<double>(Out) <
         MostEjected * static_cast<double>(Found->second.size());
}

static void noteHealthy(target &Target, duration Took) {
  Target.FailureShare *= 1 - FailureWeight;
  Target.UnreachableInARow = 0;
  Target.EjectionTime = duration::zero();
  Target.MeanTime = Target.MeanTime == duration::zero()
                        ? Took
                        : (Target.MeanTime * 9 + Took) / 10;
}

static void noteFailure(target_directory &Directory, target &Target,
                        bool WasTrial, instant Now) {
  Target.FailureShare += (1 - Target.FailureShare) * FailureWeight;
  if (WasTrial) {
    eject(Target, Now);
    return;
  }
  if (Target.Samples >= EjectAfterSamples &&
      Target.FailureShare >= EjectAtShare && mayEject(Directory, Target))
    eject(Target, Now);
}

/// The record that holds now for the server of \p Target: its entry may have
/// lapsed and come back while a request was there. None: it is gone.
static target *currentRecord(target_directory &Directory,
                             const target &Target) {
  auto Found = Directory.ById.find(Target.Entry.Id);
  if (Found == Directory.ById.end() ||
      !isSameStart(Found->second->Entry, Target.Entry))
    return nullptr;
  return Found->second.get();
}

/// What a server said is kept where the next request looks.
static void shareWithCurrent(target_directory &Directory,
                             const target &Target) {
  target *Current = currentRecord(Directory, Target);
  if (!Current) {
    remember(Directory, Target);
    return;
  }
  Current->RestUntil = std::max(Current->RestUntil, Target.RestUntil);
  Current->Entry.IsLeaving = Current->Entry.IsLeaving || Target.Entry.IsLeaving;
}

void noteRest(target_directory &Directory, target &Target, instant Until) {
  // An answer on its way may be older than the last one.
  Target.RestUntil = std::max(Target.RestUntil, Until);
  shareWithCurrent(Directory, Target);
}

void noteLeaving(target_directory &Directory, target &Target) {
  Target.Entry.IsLeaving = true;
  shareWithCurrent(Directory, Target);
}

void noteResult(target_directory &Directory, target &Target,
                attempt_result Result, duration Took, instant Now) {
  --Target.InFlight;
  const bool WasTrial = Target.OnTrial;
  Target.OnTrial = false;
  if (Result != attempt_result::Cancelled)
    ++Target.Samples;
  switch (Result) {
  case attempt_result::Answered:
    noteHealthy(Target, Took);
    return;
  case attempt_result::Unreachable:
    // Nobody is there: no bound, sending on would only lose time.
    ++Target.UnreachableInARow;
    eject(Target, Now);
    return;
  case attempt_result::Shed:
    // It said itself when it wants requests again.
    if (Now < Target.RestUntil)
      return;
    noteFailure(Directory, Target, WasTrial, Now);
    return;
  case attempt_result::Failed:
  case attempt_result::TimedOut:
    noteFailure(Directory, Target, WasTrial, Now);
    return;
  case attempt_result::Replaced:
    noteLeaving(Directory, Target);
    return;
  case attempt_result::Cancelled:
    return;
  }
}

} // namespace amaranthhoist
