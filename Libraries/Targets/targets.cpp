#include "Targets/targets.h"

#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

/// Ejection time after the first failed connection, and the longest; it doubles
/// in between. Short, since a trial costs one request little.
static constexpr duration FirstEjection = std::chrono::milliseconds(400);
static constexpr duration MaxEjection = std::chrono::milliseconds(4'000);
/// Weight of one attempt in the failure rate: about the last ten attempts
/// count.
static constexpr double FailureWeight = 0.1;
/// Failure rate at which a server is ejected, and the minimum number of
/// attempts: single errors occur at healthy servers.
static constexpr double EjectAtFailureRate = 0.35;
static constexpr int EjectAfterSamples = 5;
/// Share of a service's servers that may be ejected for failures. When more
/// fail, the cause is not in the servers, and ejecting them would overload the
/// rest.
static constexpr double MaxEjectedShare = 0.34;
/// A load report has full weight for this long and fades to zero over the same
/// time.
static constexpr duration ReportFreshFor = std::chrono::milliseconds(700);

/// Bound on the states retained for removed servers: more than are removed
/// while entries expire in a store outage.
static constexpr std::size_t MaxRetainedStates = 512;

static void addToService(target_directory &Directory, target *Target) {
  Directory.ByService[Target->Entry.Service].push_back(Target);
}

static void removeFromService(target_directory &Directory,
                              const target *Target) {
  auto Found = Directory.ByService.find(Target->Entry.Service);
  if (Found != Directory.ByService.end())
    std::erase(Found->second, Target);
}

/// Retains what a server reported itself, in case its entry returns.
static void retainState(target_directory &Directory, const target &Target) {
  if (Target.BackoffUntil == instant() && !Target.Entry.IsDraining)
    return;
  Directory.RetainedStates.push_back({Target.Entry, Target.BackoffUntil});
  if (Directory.RetainedStates.size() > MaxRetainedStates)
    Directory.RetainedStates.pop_front();
}

static void retire(target_directory &Directory, std::string_view Id) {
  auto Found = Directory.ById.find(Id);
  if (Found == Directory.ById.end())
    return;
  retainState(Directory, *Found->second);
  removeFromService(Directory, Found->second.get());
  Directory.Retired.push_back(std::move(Found->second));
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
  Directory.Domains.clear();
  for (const auto &[Domain, Region] : RegionOfDomain)
    Directory.Domains.push_back(Domain);
  std::sort(Directory.Domains.begin(), Directory.Domains.end());
  Directory.RegionByDomain.clear();
  for (const std::string &Domain : Directory.Domains)
    Directory.RegionByDomain.push_back(
        regionIndex(Directory, RegionOfDomain.at(Domain)));
  for (const auto &[Id, Target] : Directory.ById) {
    Target->RegionIndex = regionIndex(Directory, Target->Region);
    Target->DomainIndex = domainIndex(Directory, Target->Entry.FailureDomain);
  }
}

std::size_t domainIndex(const target_directory &Directory,
                        std::string_view Name) {
  const auto Found =
      std::find(Directory.Domains.begin(), Directory.Domains.end(), Name);
  return static_cast<std::size_t>(Found - Directory.Domains.begin());
}

std::size_t regionIndex(const target_directory &Directory,
                        std::string_view Name) {
  const auto Found =
      std::find(Directory.Regions.begin(), Directory.Regions.end(), Name);
  return static_cast<std::size_t>(Found - Directory.Regions.begin());
}

/// Whether two entries with one id describe the same process at the same
/// address.
static bool isSameIncarnation(const target_entry &Current,
                              const target_entry &Entry) {
  return Current.Service == Entry.Service && Current.Address == Entry.Address &&
         Current.StartedAtMs == Entry.StartedAtMs;
}

/// Restores the reported state of a server whose entry returns.
static void restoreState(const target_directory &Directory, target &Target) {
  const auto Found = std::find_if(
      Directory.RetainedStates.rbegin(), Directory.RetainedStates.rend(),
      [&](const retained_state &State) {
        return State.Entry.Id == Target.Entry.Id &&
               isSameIncarnation(State.Entry, Target.Entry);
      });
  if (Found == Directory.RetainedStates.rend())
    return;
  Target.BackoffUntil = Found->BackoffUntil;
  Target.Entry.IsDraining = Found->Entry.IsDraining;
}

void upsertTarget(target_directory &Directory, const target_entry &Entry,
                  instant Now) {
  auto Found = Directory.ById.find(Entry.Id);
  if (Found != Directory.ById.end() &&
      !isSameIncarnation(Found->second->Entry, Entry)) {
    retire(Directory, Entry.Id);
    Found = Directory.ById.end();
  }
  if (Found == Directory.ById.end()) {
    auto Target = std::make_unique<target>();
    Target->Serial = Directory.NextSerial++;
    Target->Hash = stableHash(Entry.Id);
    Target->AddedAt = Now;
    Target->Entry = Entry;
    restoreState(Directory, *Target);
    addToService(Directory, Target.get());
    Found = Directory.ById.emplace(Entry.Id, std::move(Target)).first;
  }
  target &Target = *Found->second;
  // A server that reported that it is draining does not become usable again as
  // the same incarnation.
  const bool WasLeaving = Target.Entry.IsDraining;
  Target.Entry = Entry;
  Target.Entry.IsDraining = Entry.IsDraining || WasLeaving;
  Target.IsMissing = false;
  auto Region = Directory.RegionOfDomain.find(Entry.FailureDomain);
  if (Region != Directory.RegionOfDomain.end())
    Target.Region = Region->second;
  Target.RegionIndex = regionIndex(Directory, Target.Region);
  Target.DomainIndex = domainIndex(Directory, Entry.FailureDomain);
  if (Entry.ColdFor > duration::zero())
    Target.ColdUntil = std::max(Target.ColdUntil, Now + Entry.ColdFor);
}

void removeTarget(target_directory &Directory, std::string_view Id,
                  bool ListIsComplete) {
  auto Found = Directory.ById.find(Id);
  if (Found == Directory.ById.end())
    return;
  target &Target = *Found->second;
  if (ListIsComplete || Target.Entry.IsDraining) {
    retire(Directory, Id);
    return;
  }
  Target.IsMissing = true;
}

void removeUnlisted(target_directory &Directory, const text_set &Ids,
                    bool ListIsComplete) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Target] : Directory.ById)
    if (!Ids.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    removeTarget(Directory, Id, ListIsComplete);
}

void removeMissing(target_directory &Directory) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Target] : Directory.ById)
    if (Target->IsMissing)
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    retire(Directory, Id);
}

void freeRetired(target_directory &Directory) {
  std::erase_if(Directory.Retired,
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

/// Whether a server takes requests, as far as it depends on the server alone.
static bool takesRequests(const target_directory &Directory,
                          const target &Target, instant Now) {
  return !Target.Entry.IsDraining &&
         !Directory.EvacuatedDomains.contains(Target.Entry.FailureDomain) &&
         Now >= Target.BackoffUntil;
}

bool isUsableElsewhere(const target_directory &Directory, const target &Target,
                       instant Now) {
  return Target.ConsecutiveConnectFailures > 0 ||
                 Target.Path == path_state::Failed
             ? takesRequests(Directory, Target, Now)
             : isUsable(Directory, Target, Now);
}

bool isUsable(const target_directory &Directory, const target &Target,
              instant Now) {
  if (!takesRequests(Directory, Target, Now) ||
      Target.Path == path_state::Failed)
    return false;
  if (Target.EjectionTime > duration::zero())
    return Now >= Target.EjectedUntil && !Target.IsHalfOpen;
  return true;
}

double estimatedLoad(const target &Target, instant Now) {
  double Others = 0;
  if (Target.HasReport) {
    const int Reported = Target.Reported.Running + Target.Reported.Waiting;
    Others = std::max(0, Reported - Target.InFlightAtReport);
    const duration Age = Now - Target.ReportedAt;
    if (Age > ReportFreshFor) {
      const auto Faded = static_cast<double>((Age - ReportFreshFor).count()) /
                         static_cast<double>(ReportFreshFor.count());
      Others *= std::max(0.0, 1 - Faded);
    }
  }
  return Others + Target.InFlight;
}

void recordConnected(target &Target) {
  if (Target.ConsecutiveConnectFailures == 0)
    return;
  Target.ConsecutiveConnectFailures = 0;
  Target.EjectionTime = duration::zero();
}

void recordAttemptStart(target &Target, instant Now) {
  ++Target.InFlight;
  if (Target.EjectionTime > duration::zero() && Now >= Target.EjectedUntil)
    Target.IsHalfOpen = true;
}

void recordLoadReport(target &Target, const target_load &Load, instant Now) {
  Target.Reported = Load;
  if (Load.Slots > 0)
    Target.Entry.Slots = Load.Slots;
  // The request that carried the report with its response is not part of the
  // report.
  Target.InFlightAtReport = std::max(0, Target.InFlight - 1);
  Target.ReportedAt = Now;
  Target.HasReport = true;
}

static void eject(target &Target, instant Now) {
  const bool WasEjected = Target.EjectionTime > duration::zero();
  Target.EjectionTime = WasEjected
                            ? std::min(2 * Target.EjectionTime, MaxEjection)
                            : FirstEjection;
  Target.EjectedUntil = Now + Target.EjectionTime;
}

/// Whether one more server of the same service may be ejected.
static bool mayEject(const target_directory &Directory, const target &Target) {
  auto Found = Directory.ByService.find(Target.Entry.Service);
  if (Found == Directory.ByService.end())
    return true;
  const auto Ejected = std::count_if(
      Found->second.begin(), Found->second.end(), [](const target *Other) {
        return Other->EjectionTime > duration::zero();
      });
  return static_cast<double>(Ejected) <
         MaxEjectedShare * static_cast<double>(Found->second.size());
}

static void recordSuccess(target &Target, duration Took) {
  Target.FailureRate *= 1 - FailureWeight;
  Target.ConsecutiveConnectFailures = 0;
  Target.EjectionTime = duration::zero();
  Target.MeanResponseTime = Target.MeanResponseTime == duration::zero()
                                ? Took
                                : (Target.MeanResponseTime * 9 + Took) / 10;
}

static void recordFailure(target_directory &Directory, target &Target,
                          bool WasTrial, instant Now) {
  Target.FailureRate += (1 - Target.FailureRate) * FailureWeight;
  if (WasTrial) {
    eject(Target, Now);
    return;
  }
  if (Target.Samples >= EjectAfterSamples &&
      Target.FailureRate >= EjectAtFailureRate && mayEject(Directory, Target))
    eject(Target, Now);
}

/// The current record for the server of \p Target, or nullptr if it has been
/// removed. The entry may have expired and returned while a request was in
/// flight.
static target *findCurrentRecord(target_directory &Directory,
                                 const target &Target) {
  auto Found = Directory.ById.find(Target.Entry.Id);
  if (Found == Directory.ById.end() ||
      !isSameIncarnation(Found->second->Entry, Target.Entry))
    return nullptr;
  return Found->second.get();
}

/// Copies the state that a server reported to the record that the next request
/// uses.
static void copyToCurrentRecord(target_directory &Directory,
                                const target &Target) {
  target *Current = findCurrentRecord(Directory, Target);
  if (!Current) {
    retainState(Directory, Target);
    return;
  }
  Current->BackoffUntil = std::max(Current->BackoffUntil, Target.BackoffUntil);
  Current->Entry.IsDraining =
      Current->Entry.IsDraining || Target.Entry.IsDraining;
}

void recordBackoff(target_directory &Directory, target &Target, instant Until) {
  // A response may arrive after a later one; the longest backoff wins.
  Target.BackoffUntil = std::max(Target.BackoffUntil, Until);
  copyToCurrentRecord(Directory, Target);
}

void recordDraining(target_directory &Directory, target &Target) {
  Target.Entry.IsDraining = true;
  copyToCurrentRecord(Directory, Target);
}

void recordResult(target_directory &Directory, target &Target,
                  attempt_result Result, duration Took, instant Now) {
  --Target.InFlight;
  const bool WasTrial = Target.IsHalfOpen;
  Target.IsHalfOpen = false;
  if (Result != attempt_result::Cancelled)
    ++Target.Samples;
  switch (Result) {
  case attempt_result::Answered:
    recordSuccess(Target, Took);
    return;
  case attempt_result::Unreachable:
    // No process is listening. The ejection bound does not apply: sending on
    // would only waste time.
    ++Target.ConsecutiveConnectFailures;
    eject(Target, Now);
    return;
  case attempt_result::Shed:
    // The server stated itself when it accepts requests again.
    if (Now < Target.BackoffUntil)
      return;
    recordFailure(Directory, Target, WasTrial, Now);
    return;
  case attempt_result::Failed:
  case attempt_result::TimedOut:
    recordFailure(Directory, Target, WasTrial, Now);
    return;
  case attempt_result::Replaced:
    recordDraining(Directory, Target);
    return;
  case attempt_result::Cancelled:
    return;
  }
}

} // namespace amaranthhoist
