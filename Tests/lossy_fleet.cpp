#include "lossy_fleet.h"

#include <algorithm>

namespace amaranthhoist {

using std::chrono::milliseconds;

std::string nameOf(std::size_t Index) { return "n" + std::to_string(Index); }

lossy_fleet::lossy_fleet(const lossy_fleet_options &Options)
    : Options(Options), Members(Options.Instances), IsDead(Options.Instances),
      Random(11 + Options.Seed) {
  for (std::size_t Index = 0; Index < Options.Instances; ++Index) {
    FailureDomains[nameOf(Index)] =
        "domain" + std::to_string(Index % Options.FailureDomains);
    ByName[nameOf(Index)] = Index;
  }
  for (std::size_t Index = 0; Index < Options.Instances; ++Index)
    start(Index);
}

void lossy_fleet::start(std::size_t Index) {
  membership &Member = Members[Index] = {};
  Member.Policy.ProbePeriod = milliseconds(500);
  Member.Policy.MaxUpdatesPerMessage = 12;
  Member.Policy.MaxHashedUpdatesPerMessage = 42;
  Member.Policy.ProbesSuccessor = true;
  Member.Policy.RequestsStatuses = true;
  Member.Random.seed(stableHash(nameOf(Index)) + Options.Seed);
  setOwnMembers(Member, {nameOf(Index)});
  setMembersWithDomains(Member, FailureDomains);
}

void lossy_fleet::kill(std::size_t Index) {
  IsDead[Index] = true;
  EverKilled.insert(nameOf(Index));
}

void lossy_fleet::restart(std::size_t Index) {
  IsDead[Index] = false;
  start(Index);
}

std::size_t lossy_fleet::regionOf(std::size_t Index) const {
  return Index % Options.FailureDomains % Options.Regions;
}

bool lossy_fleet::isLost(const std::string &Name) {
  const auto Loss = Losses.find(Name);
  return Loss != Losses.end() &&
         std::uniform_real_distribution<double>()(Random) < Loss->second;
}

void lossy_fleet::sendAll(std::size_t From,
                          std::vector<outgoing_membership_message> Outgoing) {
  for (outgoing_membership_message &Message : Outgoing) {
    if (isLost(nameOf(From)) || isLost(Message.To) ||
        std::uniform_real_distribution<double>()(Random) < Options.Loss)
      continue;
    const bool IsNear = regionOf(From) == regionOf(ByName.at(Message.To));
    InFlight.emplace(Now + (IsNear ? Options.Delay : Options.RegionDelay),
                     datagram{From, std::move(Message)});
  }
}

void lossy_fleet::deliverDue() {
  while (!InFlight.empty() && InFlight.begin()->first <= Now) {
    const datagram Datagram = std::move(InFlight.begin()->second);
    InFlight.erase(InFlight.begin());
    const std::size_t To = ByName.at(Datagram.Message.To);
    if (!IsDead[To])
      sendAll(To, handleMembershipMessage(Members[To], nameOf(Datagram.From),
                                          Datagram.Message.Message, Now));
  }
}

void lossy_fleet::recordDownTimes(std::size_t Index) {
  const std::set<std::string> &Down = downMembers(Members[Index]);
  for (const std::string &Name : Down)
    if (!EverKilled.contains(Name))
      DownSince.try_emplace({Index, Name}, Now);
  const auto First = DownSince.lower_bound({Index, std::string()});
  const auto Last = DownSince.lower_bound({Index + 1, std::string()});
  for (auto Entry = First; Entry != Last;) {
    LongestFalseDown =
        std::max(LongestFalseDown, duration(Now - Entry->second));
    Entry = Down.contains(Entry->first.second) ? std::next(Entry)
                                               : DownSince.erase(Entry);
  }
}

void lossy_fleet::run(duration Time) {
  const instant End = Now + Time;
  // Instances tick one after the other, spread over the period.
  const duration Step = milliseconds(10);
  constexpr std::size_t Steps = 15;
  for (std::size_t StepNumber = 0; Now < End; ++StepNumber, Now += Step) {
    deliverDue();
    for (std::size_t Index = StepNumber % Steps; Index < Members.size();
         Index += Steps) {
      if (IsDead[Index])
        continue;
      sendAll(Index, membershipTick(Members[Index], Now));
      recordDownTimes(Index);
    }
  }
}

std::size_t lossy_fleet::countUpViews(const std::string &Name) const {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    if (!IsDead[Index] && nameOf(Index) != Name && isUp(Members[Index], Name))
      ++Count;
  return Count;
}

std::size_t lossy_fleet::countUpViews(bool IsKilled) const {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    if (EverKilled.contains(nameOf(Index)) == IsKilled)
      Count += countUpViews(nameOf(Index));
  return Count;
}

std::size_t lossy_fleet::countWrongViews(
    const std::function<bool(std::size_t)> &IsExcluded) const {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < Members.size(); ++Index)
    if (!IsDead[Index] && !IsExcluded(Index))
      for (const std::string &Name : downMembers(Members[Index])) {
        const std::size_t Other = ByName.at(Name);
        Count += !IsDead[Other] && !IsExcluded(Other) ? 1 : 0;
      }
  return Count;
}

} // namespace amaranthhoist
