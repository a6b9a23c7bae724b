#include "Reachability/reachability.h"

#include <algorithm>
#include <bit>
#include <span>
#include <tuple>

namespace amaranthhoist {

/// Score at which an impairment begins, and the lowest one: a cut is noticed
/// after a few failures, whatever was reached before.
static constexpr double ImpairedScore = 3;
static constexpr double MinScore = -3;
/// What a reached server takes from the score, to which a failure adds one.
static constexpr double ScorePerSuccess = 1.5;
/// Servers of one failure domain that are down together don't look like a
/// failed path.
static constexpr std::size_t MinFailedDomains = 2;
/// Failures farther apart than this have nothing to do with each other.
static constexpr duration MaxFailureGap = std::chrono::seconds(2);
/// Trials that decide whether an impairment has ended, and how many of them
/// must reach their server.
static constexpr int DecidingTrials = 16;
static constexpr int MinReachedTrials = 12;
/// Time between two trials while servers are reached or untried, and otherwise.
/// A trial costs a reached server the work of a new connection.
static constexpr duration SweepInterval = std::chrono::milliseconds(25);
static constexpr duration TrialInterval = std::chrono::milliseconds(250);
/// Trials at once after a pause of the process.
static constexpr std::size_t MaxTrialsAtOnce = 4;

static std::span<target *const> serversOf(const target_directory &Directory,
                                          std::string_view Service) {
  const auto Found = Directory.ByService.find(Service);
  if (Found == Directory.ByService.end())
    return {};
  return Found->second;
}

static service_paths &pathsOf(reachability &Reachability,
                              const target &Target) {
  return Reachability.Services[Target.Entry.Service];
}

static void setPaths(const target_directory &Directory,
                     std::string_view Service, path_state State) {
  for (target *Target : serversOf(Directory, Service))
    Target->Path = State;
}

static void countFailure(service_paths &Paths, const target &Target,
                         instant Now) {
  if (Now - Paths.LastFailureAt > MaxFailureGap) {
    Paths.Score = 0;
    Paths.FailedDomains.clear();
    Paths.FirstFailureAt = Now;
  }
  Paths.LastFailureAt = Now;
  Paths.Score += 1;
  Paths.FailedDomains.insert(Target.Entry.FailureDomain);
}

static path_change beginImpairment(service_paths &Paths,
                                   const target_directory &Directory,
                                   target &Failed, instant Now) {
  Paths.IsImpaired = true;
  Paths.HasReached = false;
  Paths.Trials = 0;
  Paths.NextTrialAt = Now;
  setPaths(Directory, Failed.Entry.Service, path_state::Untried);
  Failed.Path = path_state::Failed;
  return path_change::Impaired;
}

path_change recordConnectFailure(reachability &Reachability,
                                 const target_directory &Directory,
                                 target &Target, instant Now) {
  service_paths &Paths = pathsOf(Reachability, Target);
  if (Paths.IsImpaired) {
    Target.Path = path_state::Failed;
    return path_change::None;
  }
  countFailure(Paths, Target, Now);
  if (Paths.Score < ImpairedScore)
    return path_change::None;
  if (Paths.FailedDomains.size() < MinFailedDomains)
    return path_change::Suspected;
  return beginImpairment(Paths, Directory, Target, Now);
}

static void countSuccess(service_paths &Paths) {
  Paths.Score = std::max(Paths.Score - ScorePerSuccess, MinScore);
}

static bool isSuspected(const service_paths &Paths) {
  return !Paths.IsImpaired && Paths.Score >= ImpairedScore;
}

void recordResponse(reachability &Reachability, target &Target,
                    instant SentAt) {
  const auto Found = Reachability.Services.find(Target.Entry.Service);
  if (Found == Reachability.Services.end())
    return;
  service_paths &Paths = Found->second;
  if (SentAt < Paths.FirstFailureAt)
    return;
  if (Paths.IsImpaired) {
    Target.Path = path_state::Reached;
    Paths.HasReached = true;
    return;
  }
  countSuccess(Paths);
}

/// Whether the latest trials, or one of each server if those are fewer, show
/// the servers in reach again.
static bool endsImpairment(const service_paths &Paths, std::size_t Servers) {
  const int Deciding = std::min(DecidingTrials, static_cast<int>(Servers));
  const std::uint32_t Mask = (std::uint32_t{1} << Deciding) - 1;
  const int Reached = std::popcount(Paths.Trials & Mask);
  return Reached * DecidingTrials >= MinReachedTrials * Deciding;
}

path_change recordTrial(reachability &Reachability,
                        const target_directory &Directory, target &Target,
                        bool IsReached, instant Now) {
  service_paths &Paths = pathsOf(Reachability, Target);
  if (!Paths.IsImpaired && !IsReached)
    return recordConnectFailure(Reachability, Directory, Target, Now);
  if (!Paths.IsImpaired) {
    countSuccess(Paths);
    return path_change::None;
  }
  Paths.Trials = (Paths.Trials << 1) | (IsReached ? 1 : 0);
  Target.Path = IsReached ? path_state::Reached : path_state::Failed;
  if (!IsReached)
    return path_change::None;
  Paths.HasReached = true;
  if (!endsImpairment(Paths, serversOf(Directory, Target.Entry.Service).size()))
    return path_change::None;
  Paths.IsImpaired = false;
  Paths.LastFailureAt = {};
  Paths.Score = 0;
  setPaths(Directory, Target.Entry.Service, path_state::Untried);
  return path_change::Restored;
}

/// The server to try next: untried ones first, then failed ones, of those the
/// one whose trial was the longest ago, in an order specific to the instance.
/// Servers in \p LeftOut are left out.
static target *nextTrial(const target_directory &Directory,
                         std::string_view Service, const text_set &LeftOut,
                         std::uint64_t InstanceHash) {
  const auto Order = [&](const target &Server) {
    return std::make_tuple(Server.Path == path_state::Reached,
                           Server.Path == path_state::Failed, Server.TriedAt,
                           Server.Hash ^ InstanceHash);
  };
  target *Next = nullptr;
  for (target *Target : serversOf(Directory, Service))
    if (!Target->Entry.IsDraining &&
        !LeftOut.contains(Target->Entry.FailureDomain) &&
        (!Next || Order(*Target) < Order(*Next)))
      Next = Target;
  return Next;
}

static duration trialInterval(const service_paths &Paths, const target &Next) {
  const bool WasReached = (Paths.Trials & 1) != 0;
  return Next.Path == path_state::Untried || WasReached ? SweepInterval
                                                        : TrialInterval;
}

static void addTrials(service_paths &Paths, const target_directory &Directory,
                      std::string_view Service, std::uint64_t InstanceHash,
                      instant Now, std::vector<target *> &Due) {
  static const text_set None;
  const text_set &LeftOut = Paths.IsImpaired ? None : Paths.FailedDomains;
  for (std::size_t Count = 0;
       Count < MaxTrialsAtOnce && Paths.NextTrialAt <= Now; ++Count) {
    target *Next = nextTrial(Directory, Service, LeftOut, InstanceHash);
    if (!Next)
      break;
    Paths.NextTrialAt +=
        Paths.IsImpaired ? trialInterval(Paths, *Next) : TrialInterval;
    Next->TriedAt = Now;
    // Its result is not known, so that it is not tried twice at once.
    if (Paths.IsImpaired && Next->Path == path_state::Untried)
      Next->Path = path_state::Failed;
    Due.push_back(Next);
  }
  Paths.NextTrialAt = std::max(Paths.NextTrialAt, Now);
}

std::vector<target *> popDueTrials(reachability &Reachability,
                                   const target_directory &Directory,
                                   std::uint64_t InstanceHash, instant Now) {
  std::vector<target *> Due;
  for (auto &[Service, Paths] : Reachability.Services) {
    // Failures that are not followed by others lead nowhere.
    if (!Paths.IsImpaired && Now - Paths.LastFailureAt > MaxFailureGap)
      Paths.Score = 0;
    if (Paths.IsImpaired || isSuspected(Paths)) {
      // The interval counts from the first trial.
      if (!Paths.IsImpaired && Paths.NextTrialAt + TrialInterval < Now)
        Paths.NextTrialAt = Now;
      addTrials(Paths, Directory, Service, InstanceHash, Now, Due);
    }
  }
  return Due;
}

bool needsTrials(const reachability &Reachability) {
  return std::any_of(Reachability.Services.begin(), Reachability.Services.end(),
                     [](const auto &Entry) {
                       return Entry.second.IsImpaired ||
                              isSuspected(Entry.second);
                     });
}

bool isImpaired(const reachability &Reachability, std::string_view Service) {
  const auto Found = Reachability.Services.find(Service);
  return Found != Reachability.Services.end() && Found->second.IsImpaired;
}

bool isIsolated(const reachability &Reachability, std::string_view Service) {
  const auto Found = Reachability.Services.find(Service);
  return Found != Reachability.Services.end() && Found->second.IsImpaired &&
         !Found->second.HasReached;
}

bool hasImpairedService(const reachability &Reachability) {
  return std::any_of(Reachability.Services.begin(), Reachability.Services.end(),
                     [](const auto &Entry) { return Entry.second.IsImpaired; });
}

} // namespace amaranthhoist
