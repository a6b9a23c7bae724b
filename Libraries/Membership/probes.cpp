#include "probes.h"

#include "contact.h"
#include "member_status.h"
#include "member_updates.h"

#include <algorithm>

namespace amaranthhoist {

using messages = membership_messages;
using kind = membership_message::kind;

/// Random picks per helper, since some picks are down.
static constexpr std::size_t PicksPerHelper = 4;
/// Bounds the members that the choice of one follow-up probe visits.
static constexpr std::size_t MaxVisitsPerFollowUp = 32;

outgoing_membership_message makeMessage(membership &Membership,
                                        const std::string &To, kind Kind,
                                        const std::string &Subject,
                                        const std::string &OnBehalfOf) {
  outgoing_membership_message Outgoing{To, {Kind, Subject, OnBehalfOf, {}, {}}};
  collectUpdates(Membership, Outgoing.Message);
  return Outgoing;
}

static std::string nextProbeSubject(membership &Membership) {
  if (Membership.Round.empty()) {
    Membership.Round = Membership.Names;
    std::shuffle(Membership.Round.begin(), Membership.Round.end(),
                 Membership.Random);
  }
  if (Membership.Round.empty())
    return {};
  std::string Subject = Membership.Round.back();
  Membership.Round.pop_back();
  return Membership.Members.contains(Subject) ? Subject : std::string();
}

/// Returns up to \p Wanted random members that are up, without \p Subject.
static std::vector<std::string> pickHelpers(membership &Membership,
                                            const std::string &Subject,
                                            std::size_t Wanted) {
  std::vector<std::string> Helpers;
  const std::vector<std::string> &Names = Membership.Names;
  if (Names.empty())
    return Helpers;
  for (std::size_t Attempt = 0;
       Attempt < PicksPerHelper * Wanted && Helpers.size() < Wanted;
       ++Attempt) {
    const std::string &Name = Names[Membership.Random() % Names.size()];
    const bool IsUsable =
        Name != Subject &&
        Membership.Members.at(Name).Status == member_status::Up &&
        std::find(Helpers.begin(), Helpers.end(), Name) == Helpers.end();
    if (IsUsable)
      Helpers.push_back(Name);
  }
  return Helpers;
}

static void sendIndirectProbes(membership &Membership,
                               const std::string &Subject, messages &Messages) {
  for (const std::string &Helper :
       pickHelpers(Membership, Subject, Membership.Policy.IndirectProbes))
    Messages.push_back(
        makeMessage(Membership, Helper, kind::IndirectPing, Subject, {}));
}

static void escalateProbe(membership &Membership, active_probe &Probe,
                          instant Now, messages &Messages) {
  if (Probe.Subject.empty() || Now < Probe.Sent + Membership.Policy.AckTimeout)
    return;
  if (!Probe.Indirect) {
    Probe.Indirect = true;
    Probe.Sent = Now;
    startContactCheck(Membership, Probe.Subject, Now);
    sendIndirectProbes(Membership, Probe.Subject, Messages);
    const auto Member = Membership.Members.find(Probe.Subject);
    if (Member != Membership.Members.end() &&
        Member->second.Status == member_status::Up)
      planFollowUps(Membership, Probe.Subject);
    return;
  }
  if (!mayJudgeMissingAck(Membership, Probe.Subject, Now))
    return;
  recordMissingResponse(Membership, Probe.Subject, Now);
  Probe = {};
}

static void startProbe(membership &Membership, active_probe &Probe,
                       const std::string &Subject, instant Now,
                       messages &Messages) {
  if (Subject.empty())
    return;
  Probe = {Subject, Now, false};
  Messages.push_back(makeMessage(Membership, Subject, kind::Ping, Subject, {}));
}

/// Returns the next member on the ring that is up; empty if there is none.
static std::string findSuccessor(const membership &Membership) {
  if (Membership.Own.empty())
    return {};
  const auto &Ring = Membership.Ring;
  const std::string &OwnName = Membership.Own.begin()->first;
  const ring_place OwnPlace{Membership.OwnFailureDomain, stableHash(OwnName),
                            OwnName};
  const auto First = std::upper_bound(Ring.begin(), Ring.end(), OwnPlace);
  const auto Offset = static_cast<std::size_t>(First - Ring.begin());
  for (std::size_t Visited = 0; Visited < Ring.size(); ++Visited) {
    const std::string &Name = Ring[(Offset + Visited) % Ring.size()].Name;
    if (Membership.Members.at(Name).Status == member_status::Up)
      return Name;
  }
  return {};
}

static void runSuccessorProbe(membership &Membership, instant Now,
                              messages &Messages) {
  escalateProbe(Membership, Membership.SuccessorProbe, Now, Messages);
  if (!Membership.Policy.ProbesSuccessor ||
      Now < Membership.NextSuccessorProbe ||
      !Membership.SuccessorProbe.Subject.empty())
    return;
  Membership.NextSuccessorProbe = Now + Membership.Policy.ProbePeriod;
  startProbe(Membership, Membership.SuccessorProbe, findSuccessor(Membership),
             Now, Messages);
}

static void runRandomProbe(membership &Membership, instant Now,
                           messages &Messages) {
  escalateProbe(Membership, Membership.Probe, Now, Messages);
  if (Now < Membership.NextProbe || !Membership.Probe.Subject.empty())
    return;
  Membership.NextProbe = Now + Membership.Policy.ProbePeriod;
  startProbe(Membership, Membership.Probe, nextProbeSubject(Membership), Now,
             Messages);
}

void runProbes(membership &Membership, instant Now, messages &Messages) {
  runRandomProbe(Membership, Now, Messages);
  runSuccessorProbe(Membership, Now, Messages);
}

static void expireFollowUps(membership &Membership, instant Now) {
  const auto IsDue = [&](const auto &Entry) {
    return Now >= Entry.second + Membership.Policy.AckTimeout;
  };
  const auto Due = std::find_if(Membership.FollowUps.begin(),
                                Membership.FollowUps.end(), IsDue);
  if (Due == Membership.FollowUps.end() ||
      !mayJudgeMissingAck(Membership, Due->first, Now))
    return;
  std::erase_if(Membership.FollowUps, [&](const auto &Entry) {
    if (!IsDue(Entry))
      return false;
    recordMissingResponse(Membership, Entry.first, Now);
    planFollowUps(Membership, Entry.first);
    return true;
  });
}

/// Returns the next member of \p Group about which nothing is known right now;
/// empty if none was found.
static std::string pickFollowUp(const membership &Membership,
                                member_group &Group, instant Now) {
  for (std::size_t Visited = 0;
       Visited < std::min(Group.Names.size(), MaxVisitsPerFollowUp);
       ++Visited) {
    const std::string &Name =
        Group.Names[Group.NextFollowUp++ % Group.Names.size()];
    const member_state &Member = Membership.Members.at(Name);
    const bool WasJustHeard =
        Member.LastHeard &&
        Now < *Member.LastHeard + Membership.Policy.AckTimeout;
    if (Member.Status == member_status::Up && !WasJustHeard &&
        !Membership.FollowUps.contains(Name))
      return Name;
  }
  return {};
}

/// Sends direct and indirect probes of \p Subject at once: a domain that fails
/// as a whole has to be known before callers have tried it.
static void sendFollowUp(membership &Membership, const std::string &Subject,
                         instant Now, messages &Messages) {
  Membership.FollowUps[Subject] = Now;
  Messages.push_back(makeMessage(Membership, Subject, kind::Ping, Subject, {}));
  sendIndirectProbes(Membership, Subject, Messages);
}

void runFollowUps(membership &Membership, instant Now, messages &Messages) {
  expireFollowUps(Membership, Now);
  // One of each domain in turn.
  for (std::size_t Sent = 0; Sent < Membership.Policy.MaxFollowUpsPerTick &&
                             !Membership.FollowUpDomains.empty();
       ++Sent) {
    const std::string FailureDomain = Membership.FollowUpDomains.front();
    Membership.FollowUpDomains.pop_front();
    const auto Group = Membership.Groups.find(FailureDomain);
    if (Group == Membership.Groups.end() || Group->second.FollowUpsLeft == 0)
      continue;
    const std::string Subject = pickFollowUp(Membership, Group->second, Now);
    if (!Subject.empty())
      sendFollowUp(Membership, Subject, Now, Messages);
    if (--Group->second.FollowUpsLeft > 0)
      Membership.FollowUpDomains.push_back(FailureDomain);
  }
}

void endProbe(membership &Membership, const std::string &Subject) {
  for (active_probe *Probe : {&Membership.Probe, &Membership.SuccessorProbe})
    if (Probe->Subject == Subject)
      *Probe = {};
  Membership.FollowUps.erase(Subject);
}

/// Probes a suspected member and includes the suspicion: the member refutes it
/// with a higher incarnation, which then spreads as the suspicion did.
static outgoing_membership_message makeRecheck(const membership &Membership,
                                               const std::string &Name) {
  const member_state &Member = Membership.Members.at(Name);
  // Carries no other updates: each update is sent a limited number of times,
  // and a dead member would use up those transmissions.
  return {
      Name,
      {kind::Ping, Name, {}, {{Name, Member.Status, Member.Incarnation}}, {}}};
}

/// Lets a suspicion take effect that no response has ended in time, or whose
/// failure domain has turned out to have failed.
static void applyVerified(membership &Membership, const std::string &Name,
                          const suspected_member &Suspicion, instant Now) {
  if (Membership.NotUp.contains(Name))
    return;
  const bool IsVerified =
      Suspicion.UsableUntil && Now >= *Suspicion.UsableUntil;
  const member_state &Member = Membership.Members.at(Name);
  if (!IsVerified &&
      (Member.Status == member_status::Up || !isCorrelated(Membership, Member)))
    return;
  if (!mayJudgeMissingAck(Membership, Name, Now))
    return;
  setUp(Membership, Name, false);
  recordMissingResponse(Membership, Name, Now);
}

void recheckSuspected(membership &Membership, instant Now, messages &Messages) {
  std::size_t Rechecks = 0;
  // Continues after the one that was probed last: starting at the first each
  // time, the last of many suspected members would never be probed.
  std::size_t Left = Membership.Suspected.size();
  auto Entry = Membership.Suspected.lower_bound(Membership.NextRecheck);
  for (; Left > 0; --Left, ++Entry) {
    if (Entry == Membership.Suspected.end())
      Entry = Membership.Suspected.begin();
    auto &[Name, Suspicion] = *Entry;
    applyVerified(Membership, Name, Suspicion, Now);
    if (Now < Suspicion.NextRecheck)
      continue;
    if (Rechecks == Membership.Policy.MaxRechecksPerTick)
      continue;
    ++Rechecks;
    Suspicion.NextRecheck = Now + Membership.Policy.RecheckPeriod;
    if (!Suspicion.UsableUntil)
      Suspicion.UsableUntil = Now + Membership.Policy.SuspicionVerifyTime;
    Messages.push_back(makeRecheck(Membership, Name));
    Membership.NextRecheck = Name + '\0';
  }
}

/// Returns the number of members to send pending updates to. More than a few
/// pending updates are the sign of a mass failure, and are spread faster.
static std::size_t countGossipReceivers(const membership &Membership) {
  const membership_policy &Policy = Membership.Policy;
  return std::clamp(Membership.Pending.size() / Policy.UpdatesPerGossipReceiver,
                    Policy.MinGossipReceivers, Policy.MaxGossipReceivers);
}

void gossipUpdates(membership &Membership, messages &Messages) {
  if (Membership.Pending.empty())
    return;
  // A probe with an empty subject requires no ack.
  for (const std::string &To : pickHelpers(Membership, Membership.Probe.Subject,
                                           countGossipReceivers(Membership)))
    Messages.push_back(makeMessage(Membership, To, kind::Ping, {}, {}));
}

} // namespace amaranthhoist
