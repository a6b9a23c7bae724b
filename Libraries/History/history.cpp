#include "History/history.h"

#include <algorithm>

namespace amaranthhoist {

using violations = std::vector<violation>;

std::string_view toString(promise Promise) {
  switch (Promise) {
  case promise::Power:
    return "power";
  case promise::Region:
    return "region";
  case promise::WholeAnswer:
    return "whole answer";
  case promise::NotRun:
    return "not run";
  case promise::AtMostOnce:
    return "at most once";
  case promise::LeavingTarget:
    return "leaving target";
  case promise::DrainCutsNothing:
    return "drain cuts nothing";
  case promise::Contract:
    return "contract";
  }
  return "?";
}

namespace {

/// A change of the amount in use.
struct usage_step {
  instant At{};
  std::int64_t Change = 0;
};

using usage = std::map<std::string, std::vector<usage_step>>;

} // namespace

static void addUse(usage &Usage, const std::string &Name, instant Start,
                   instant End, std::int64_t Amount) {
  Usage[Name].push_back({Start, Amount});
  Usage[Name].push_back({End, -Amount});
}

/// Adds a violation if the sum ever exceeds \p Limit. At the same instant, ends
/// are counted before starts.
static void checkUsage(std::vector<usage_step> Steps, std::int64_t Limit,
                       promise Promise, const std::string &Name,
                       violations &Found) {
  std::sort(Steps.begin(), Steps.end(),
            [](const usage_step &Left, const usage_step &Right) {
              return std::tie(Left.At, Left.Change) <
                     std::tie(Right.At, Right.Change);
            });
  std::int64_t Sum = 0;
  for (const usage_step &Step : Steps) {
    Sum += Step.Change;
    if (Sum <= Limit)
      continue;
    Found.push_back({Promise, Step.At,
                     Name + ": " + std::to_string(Sum) + " in use, limit " +
                         std::to_string(Limit)});
    return;
  }
}

static void checkPower(const history &History, violations &Found) {
  usage Draw;
  for (const recorded_execution &Execution : History.Executions)
    addUse(Draw, Execution.Site, Execution.Start, Execution.End,
           Execution.Milliwatts);
  for (const auto &[Site, Steps] : Draw) {
    auto Limits = History.Sites.find(Site);
    if (Limits != History.Sites.end())
      checkUsage(Steps,
                 Limits->second.CapMilliwatts - Limits->second.IdleMilliwatts,
                 promise::Power, Site, Found);
  }
}

/// Name of the link that requests from \p Region to \p Site use.
static std::string linkName(const std::string &Site,
                            const std::string &Region) {
  std::string Name = Site;
  return Name.append(" from ").append(Region);
}

static void checkRegion(const history &History, violations &Found) {
  usage Slots;
  usage Links;
  for (const recorded_execution &Execution : History.Executions) {
    addUse(Slots, Execution.Target, Execution.Start, Execution.End, 1);
    addUse(Links, linkName(Execution.Site, Execution.SourceRegion),
           Execution.Start, Execution.End, 1);
  }
  for (const auto &[Target, Limit] : History.TargetSlots)
    checkUsage(Slots[Target], Limit, promise::Region, Target, Found);
  for (const auto &[Site, Limits] : History.Sites) {
    for (const auto &[Region, Limit] : Limits.LinkLimits) {
      const std::string Link = linkName(Site, Region);
      checkUsage(Links[Link], Limit, promise::Region, Link, Found);
    }
  }
}

static void checkAnswers(const history &History, violations &Found) {
  for (const reported_outcome &Told : History.Outcomes) {
    if (Told.Outcome != outcome::Answered)
      continue;
    if (Told.ContentOf != Told.Operation)
      Found.push_back(
          {promise::WholeAnswer, Told.At,
           Told.Operation + " received the response of " + Told.ContentOf});
    if (!Told.Whole)
      Found.push_back(
          {promise::WholeAnswer, Told.At,
           Told.Operation + " received a partial response as complete"});
  }
}

static void checkKeys(const history &History, violations &Found) {
  std::map<std::string, std::vector<const recorded_execution *>> ByKey;
  for (const recorded_execution &Execution : History.Executions)
    if (!Execution.Key.empty())
      ByKey[Execution.Key].push_back(&Execution);
  for (const reported_outcome &Told : History.Outcomes) {
    auto Ran = ByKey.find(Told.Key);
    if (Told.Outcome == outcome::NotRun && Ran != ByKey.end())
      Found.push_back({promise::NotRun, Told.At,
                       Told.Key + " was reported as not run but was executed"});
  }
  for (const auto &[Key, Executions] : ByKey)
    if (Executions.size() > 1)
      Found.push_back(
          {promise::AtMostOnce, Executions[1]->Start,
           Key + " ran " + std::to_string(Executions.size()) + " times"});
}

static void checkDepartures(const history &History, duration Grace,
                            violations &Found) {
  for (const target_departure &Departure : History.Departures)
    for (const recorded_execution &Execution : History.Executions)
      if (Execution.Target == Departure.Target &&
          Execution.Start > Departure.At + Grace)
        Found.push_back(
            {promise::LeavingTarget, Execution.Start,
             Execution.Target + " received new work while draining"});
}

static void checkCuts(const history &History, violations &Found) {
  for (const recorded_execution &Execution : History.Executions)
    if (Execution.EndedAs == execution_end::CutOff)
      Found.push_back({promise::DrainCutsNothing, Execution.End,
                       Execution.Operation + " was cancelled by the system"});
}

static void checkReverts(const history &History, violations &Found) {
  std::map<std::pair<std::string, std::string>, std::int64_t> Highest;
  for (const effective_change &Change : History.Effective) {
    std::int64_t &Seen = Highest[{Change.Node, Change.Key}];
    if (Change.Version < Seen)
      Found.push_back({promise::Contract, Change.At,
                       Change.Node + " reverted to version " +
                           std::to_string(Change.Version) + " of " +
                           Change.Key});
    Seen = std::max(Seen, Change.Version);
  }
}

static bool isInForce(const history &History, const std::string &Node,
                      const accepted_change &Accepted, instant Until) {
  return std::any_of(History.Effective.begin(), History.Effective.end(),
                     [&](const effective_change &Change) {
                       return Change.Node == Node &&
                              Change.Key == Accepted.Key &&
                              Change.Version >= Accepted.Version &&
                              Change.At <= Until;
                     });
}

static void checkInForce(const history &History, duration Grace,
                         violations &Found) {
  for (const accepted_change &Accepted : History.Accepted) {
    const instant Until = Accepted.At + Grace;
    if (Until > History.End)
      continue;
    for (const std::string &Node : History.Nodes)
      if (!isInForce(History, Node, Accepted, Until))
        Found.push_back({promise::Contract, Until,
                         Accepted.Key + " version " +
                             std::to_string(Accepted.Version) +
                             " is not in effect at " + Node});
  }
}

violations checkHistory(const history &History, const promise_times &Times) {
  violations Found;
  checkPower(History, Found);
  checkRegion(History, Found);
  checkAnswers(History, Found);
  checkKeys(History, Found);
  checkDepartures(History, Times.LeavingGrace, Found);
  checkCuts(History, Found);
  checkReverts(History, Found);
  checkInForce(History, Times.ContractGrace, Found);
  return Found;
}

} // namespace amaranthhoist
