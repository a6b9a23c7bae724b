#include "member_status.h"

#include <algorithm>

namespace amaranthhoist {

/// Returns whether this instance is among those that verify a received
/// suspicion at once.
static bool isVerifier(membership &Membership) {
  const std::size_t Others =
      std::max<std::size_t>(Membership.Members.size(), 1);
  return Membership.Random() % Others < Membership.Policy.ExpectedVerifiers;
}

/// Returns the suspected members from which on a failure domain has probably
/// failed as a whole.
static std::size_t correlatedSuspects(const membership_policy &Policy,
                                      const member_group &Group) {
  return 1 + std::clamp(Group.Names.size() / Policy.MembersPerCorrelatedFailure,
                        Policy.MinCorrelatedFailures,
                        Policy.MaxCorrelatedFailures);
}

bool isCorrelated(const membership &Membership, const member_state &Member) {
  const auto Group = Membership.Groups.find(Member.FailureDomain);
  return Group != Membership.Groups.end() &&
         Group->second.Suspects >=
             correlatedSuspects(Membership.Policy, Group->second);
}

void setUp(membership &Membership, const std::string &Name, bool IsUp) {
  const bool IsChanged = IsUp ? Membership.NotUp.erase(Name) > 0
                              : Membership.NotUp.insert(Name).second;
  if (IsChanged)
    ++Membership.Version;
}

static void planFollowUps(membership &Membership,
                          const std::string &FailureDomain, member_group &Group,
                          std::size_t Count) {
  if (Group.FollowUpsLeft == 0)
    Membership.FollowUpDomains.push_back(FailureDomain);
  Group.FollowUpsLeft = std::max(Group.FollowUpsLeft, Count);
}

void planFollowUps(membership &Membership, const std::string &Name) {
  const auto Member = Membership.Members.find(Name);
  if (Member == Membership.Members.end())
    return;
  const auto Group = Membership.Groups.find(Member->second.FailureDomain);
  if (Group != Membership.Groups.end())
    planFollowUps(Membership, Group->first, Group->second,
                  Membership.Policy.FollowUpProbes);
}

/// Plans a probe in every failure domain: one has failed, and others may have
/// failed with it.
static void planFollowUpsEverywhere(membership &Membership) {
  for (auto &[FailureDomain, Group] : Membership.Groups)
    planFollowUps(Membership, FailureDomain, Group, 1);
  std::shuffle(Membership.FollowUpDomains.begin(),
               Membership.FollowUpDomains.end(), Membership.Random);
}

static void countSuspects(membership &Membership, const member_state &Member,
                          member_status Next) {
  const auto Found = Membership.Groups.find(Member.FailureDomain);
  if (Found == Membership.Groups.end())
    return;
  member_group &Group = Found->second;
  if (Member.Status == member_status::Suspect && --Group.Suspects == 0)
    Group.FollowUpsLeft = 0;
  if (Next == member_status::Suspect &&
      ++Group.Suspects == correlatedSuspects(Membership.Policy, Group))
    planFollowUpsEverywhere(Membership);
}

static void startSuspicion(membership &Membership, const std::string &Name,
                           const member_state &Member, evidence Evidence,
                           instant Now) {
  const membership_policy &Policy = Membership.Policy;
  if (Evidence != evidence::Received || isCorrelated(Membership, Member)) {
    setUp(Membership, Name, false);
    Membership.Suspected[Name] = {Now, Now};
    // Messages about others of its domain may have been lost.
    if (Evidence == evidence::Received)
      planFollowUps(Membership, Name);
    return;
  }
  if (Membership.NotUp.contains(Name)) {
    Membership.Suspected[Name] = {Now, Now};
    return;
  }
  if (isVerifier(Membership))
    Membership.Suspected[Name] = {Now, Now + Policy.SuspicionVerifyTime};
  else
    Membership.Suspected[Name] = {Now + Policy.SuspicionVerifyTime,
                                  Now + 2 * Policy.SuspicionVerifyTime};
}

/// Replaces the number of messages that will still carry \p Member's status.
static void setTransmissions(membership &Membership, const std::string &Name,
                             member_state &Member, int Left) {
  Membership.Pending.erase({Member.Transmissions, Name});
  Member.Transmissions = 0;
  Member.TransmissionsLeft = Left;
  if (Left > 0)
    Membership.Pending.insert({0, Name});
}

void setStatus(membership &Membership, const std::string &Name,
               member_state &Member, member_status Status, evidence Evidence,
               instant Now) {
  countSuspects(Membership, Member, Status);
  if (Status != member_status::Suspect)
    Membership.Suspected.erase(Name);
  switch (Status) {
  case member_status::Up:
    setUp(Membership, Name, true);
    break;
  case member_status::Suspect:
    Member.SuspectSince = Now;
    startSuspicion(Membership, Name, Member, Evidence, Now);
    break;
  case member_status::Down:
    setUp(Membership, Name, false);
    break;
  }
  Member.Status = Status;
  Member.IsSuspectedInIsolation = Membership.IsIsolated &&
                                  Evidence == evidence::Own &&
                                  Status != member_status::Up;
  setTransmissions(
      Membership, Name, Member,
      Member.IsSuspectedInIsolation ? 0 : transmissionsPerUpdate(Membership));
}

void recordResponse(membership &Membership, const std::string &Name,
                    instant Now) {
  auto Found = Membership.Members.find(Name);
  if (Found == Membership.Members.end())
    return;
  member_state &Member = Found->second;
  Member.LastHeard = Now;
  if (Member.Status == member_status::Up) {
    Membership.Suspected.erase(Name);
    return;
  }
  // One higher than the suspicion, so that it wins everywhere.
  ++Member.Incarnation;
  setStatus(Membership, Name, Member, member_status::Up, evidence::Own, Now);
}

void recordMissingResponse(membership &Membership, const std::string &Name,
                           instant Now) {
  auto Found = Membership.Members.find(Name);
  if (Found != Membership.Members.end() &&
      Found->second.Status == member_status::Up)
    setStatus(Membership, Name, Found->second, member_status::Suspect,
              evidence::Own, Now);
}

void expireSuspicions(membership &Membership, instant Now) {
  for (auto Entry = Membership.Suspected.begin();
       Entry != Membership.Suspected.end();) {
    const std::string Name = (Entry++)->first;
    member_state &Member = Membership.Members.at(Name);
    if (Member.Status == member_status::Suspect &&
        Now >= Member.SuspectSince + Membership.Policy.SuspicionTimeout)
      setStatus(Membership, Name, Member, member_status::Down, evidence::Own,
                Now);
  }
}

void withdrawSuspicion(membership &Membership, const std::string &Name,
                       member_state &Member, instant Now) {
  setStatus(Membership, Name, Member, member_status::Up, evidence::Own, Now);
  setTransmissions(Membership, Name, Member, 0);
  Membership.Suspected[Name] = {Now, std::nullopt};
}

void stopSpreading(membership &Membership, const std::string &Name) {
  const auto Member = Membership.Members.find(Name);
  if (Member != Membership.Members.end())
    setTransmissions(Membership, Name, Member->second, 0);
}

} // namespace amaranthhoist
