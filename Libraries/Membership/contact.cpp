#include "contact.h"

#include "member_status.h"
#include "probes.h"
#include "status_transfer.h"

#include <algorithm>

namespace amaranthhoist {

using kind = membership_message::kind;

/// Bounds the random picks of members to ask.
static constexpr std::size_t PicksPerContactProbe = 6;

static void startRound(membership &Membership, contact_check &Check,
                       instant Now) {
  ++Check.Rounds;
  Check.SentAt = Now;
  // The first members that were asked may have failed with the subject.
  Check.ProbesLeft = Membership.Policy.ContactProbes * Check.Rounds;
}

void startContactCheck(membership &Membership, const std::string &Subject,
                       instant Now) {
  if (Membership.ContactCheck || Membership.IsIsolated)
    return;
  Membership.ContactCheck = contact_check{};
  Membership.ContactCheck->Subject = Subject;
  startRound(Membership, *Membership.ContactCheck, Now);
}

bool mayJudgeMissingAck(membership &Membership, const std::string &Subject,
                        instant Now) {
  if (Membership.IsIsolated)
    return true;
  const bool HasContact =
      !Membership.ContactCheck && Membership.LastHeard &&
      Now < *Membership.LastHeard + Membership.Policy.AckTimeout;
  if (!HasContact)
    startContactCheck(Membership, Subject, Now);
  return HasContact;
}

/// Returns members to ask, of as many failure domains as possible and not of
/// the subject's.
static std::vector<std::string> pickMembersToAsk(membership &Membership,
                                                 const contact_check &Check) {
  std::vector<std::string> Asked;
  std::set<std::string> FailureDomains;
  const std::vector<std::string> &Names = Membership.Names;
  if (Names.empty())
    return Asked;
  const auto Subject = Membership.Members.find(Check.Subject);
  if (Subject != Membership.Members.end())
    FailureDomains.insert(Subject->second.FailureDomain);
  const std::size_t Picks = PicksPerContactProbe * Check.ProbesLeft;
  for (std::size_t Pick = 0; Pick < Picks && Asked.size() < Check.ProbesLeft;
       ++Pick) {
    const std::string &Name = Names[Membership.Random() % Names.size()];
    // Later picks may be of a domain that is asked already.
    const bool IsSpread =
        Pick >= Picks / 2 ||
        !FailureDomains.contains(Membership.Members.at(Name).FailureDomain);
    if (Name == Check.Subject || Membership.NotUp.contains(Name) || !IsSpread ||
        std::find(Asked.begin(), Asked.end(), Name) != Asked.end())
      continue;
    FailureDomains.insert(Membership.Members.at(Name).FailureDomain);
    Asked.push_back(Name);
  }
  return Asked;
}

void sendContactProbes(membership &Membership, membership_messages &Messages) {
  if (!Membership.ContactCheck || Membership.ContactCheck->ProbesLeft == 0)
    return;
  for (const std::string &Name :
       pickMembersToAsk(Membership, *Membership.ContactCheck))
    // Without updates, which would be used up if nothing gets through.
    Messages.push_back({Name, {kind::Ping, Name, {}, {}, {}}});
  Membership.ContactCheck->ProbesLeft = 0;
}

/// Lets the members whose acks were missed be probed again: those acks may
/// have been lost on this instance's own path.
static void repeatProbes(membership &Membership, instant Now) {
  std::vector<std::string> Subjects;
  for (active_probe *Probe : {&Membership.Probe, &Membership.SuccessorProbe}) {
    Subjects.push_back(Probe->Subject);
    *Probe = {};
  }
  for (const auto &[Name, Sent] : Membership.FollowUps)
    Subjects.push_back(Name);
  Membership.FollowUps.clear();
  for (auto &[FailureDomain, Group] : Membership.Groups)
    Group.FollowUpsLeft = 0;
  for (auto &[Name, Suspicion] : Membership.Suspected)
    if (!Membership.NotUp.contains(Name))
      Suspicion = {Now, std::nullopt};
  for (const std::string &Name : Subjects)
    if (Membership.Members.contains(Name) && !Membership.NotUp.contains(Name))
      Membership.Suspected[Name] = {Now, std::nullopt};
}

/// Considers the members up again that didn't respond while this instance was
/// cut off, and probes each of them: most are likely to be alive.
static void endIsolation(membership &Membership, instant Now) {
  Membership.IsIsolated = false;
  Membership.IsolationEndedAt = Now;
  for (auto &[Name, Member] : Membership.Members)
    if (Member.IsSuspectedInIsolation)
      withdrawSuspicion(Membership, Name, Member, Now);
}

void recordMessage(membership &Membership, const std::string &From,
                   instant Now) {
  auto Member = Membership.Members.find(From);
  if (Member == Membership.Members.end())
    return;
  Member->second.LastHeard = Now;
  const bool MissedUpdates =
      Membership.LastHeard &&
      Now >= *Membership.LastHeard + Membership.Policy.MissedUpdatesTime;
  if (MissedUpdates || Membership.IsIsolated)
    restartStatusTransfer(Membership);
  Membership.LastHeard = Now;
  const bool WasSilent =
      Membership.IsIsolated ||
      (Membership.ContactCheck && Membership.ContactCheck->Rounds > 1);
  Membership.ContactCheck.reset();
  if (Membership.IsIsolated)
    endIsolation(Membership, Now);
  if (WasSilent)
    repeatProbes(Membership, Now);
}

void updateIsolation(membership &Membership, instant Now) {
  if (!Membership.LastHeard)
    Membership.LastHeard = Now;
  if (Membership.Members.empty()) {
    Membership.IsIsolated = false;
    Membership.ContactCheck.reset();
  }
  if (!Membership.ContactCheck ||
      Now < Membership.ContactCheck->SentAt + Membership.Policy.AckTimeout)
    return;
  if (Membership.ContactCheck->Rounds < Membership.Policy.ContactRounds) {
    startRound(Membership, *Membership.ContactCheck, Now);
    return;
  }
  Membership.ContactCheck.reset();
  Membership.IsIsolated = true;
}

} // namespace amaranthhoist
