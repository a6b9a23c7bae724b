#include "Membership/membership.h"

#include <algorithm>

namespace amaranthhoist {

using messages = std::vector<outgoing_membership_message>;
using kind = membership_message::kind;

void setMembers(membership &Membership, const std::set<std::string> &Names) {
  std::erase_if(Membership.Members, [&](const auto &Entry) {
    return !Names.contains(Entry.first);
  });
  std::erase_if(Membership.NotUp,
                [&](const std::string &Name) { return !Names.contains(Name); });
  std::erase_if(Membership.Suspected, [&](const auto &Entry) {
    return !Names.contains(Entry.first);
  });
  for (const std::string &Name : Names)
    if (!Membership.Own.contains(Name))
      Membership.Members.try_emplace(Name);
}

void setOwnMembers(membership &Membership,
                   const std::vector<std::string> &Names) {
  std::erase_if(Membership.Own, [&](const auto &Entry) {
    return std::find(Names.begin(), Names.end(), Entry.first) == Names.end();
  });
  for (const std::string &Name : Names) {
    // Continues from the incarnation that was last seen of it as a member.
    auto Previous = Membership.Members.find(Name);
    own_member Own;
    if (Previous != Membership.Members.end())
      Own.Incarnation = Previous->second.Incarnation + 1;
    Own.TransmissionsLeft = Membership.Policy.TransmissionsPerUpdate;
    Membership.Own.try_emplace(Name, Own);
    Membership.Members.erase(Name);
    Membership.NotUp.erase(Name);
    Membership.Suspected.erase(Name);
  }
}

const std::set<std::string> &downMembers(const membership &Membership) {
  return Membership.NotUp;
}

bool isUp(const membership &Membership, const std::string &Name) {
  if (Membership.Own.contains(Name))
    return true;
  return Membership.Members.contains(Name) && !Membership.NotUp.contains(Name);
}

/// Returns whether this instance is among those that verify a received
/// suspicion at once.
static bool isVerifier(membership &Membership) {
  const std::size_t Others =
      std::max<std::size_t>(Membership.Members.size(), 1);
  return Membership.Random() % Others < Membership.Policy.ExpectedVerifiers;
}

/// Starts to suspect a member, because of an own probe or an unconfirmed
/// suspicion.
static void startSuspicion(membership &Membership, const std::string &Name,
                           bool IsUnconfirmed, instant Now) {
  const membership_policy &Policy = Membership.Policy;
  if (!IsUnconfirmed) {
    Membership.NotUp.insert(Name);
    Membership.Suspected[Name] = {Now, Now};
    return;
  }
  if (Membership.NotUp.contains(Name))
    return;
  if (isVerifier(Membership))
    Membership.Suspected[Name] = {Now, Now + Policy.SuspicionVerifyTime};
  else
    Membership.Suspected[Name] = {Now + Policy.SuspicionVerifyTime,
                                  Now + 2 * Policy.SuspicionVerifyTime};
}

static void setStatus(membership &Membership, const std::string &Name,
                      member_state &Member, member_status Status,
                      bool IsUnconfirmed, instant Now) {
  if (Status != member_status::Suspect)
    Membership.Suspected.erase(Name);
  switch (Status) {
  case member_status::Up:
    Membership.NotUp.erase(Name);
    break;
  case member_status::Suspect:
    Member.SuspectSince = Now;
    startSuspicion(Membership, Name, IsUnconfirmed, Now);
    break;
  case member_status::Down:
    Membership.NotUp.insert(Name);
    break;
  }
  Member.Status = Status;
  Member.TransmissionsLeft = Membership.Policy.TransmissionsPerUpdate;
  Membership.Pending.insert(Name);
}

static std::vector<member_update> collectUpdates(membership &Membership) {
  std::vector<member_update> Updates;
  for (auto &[Name, Own] : Membership.Own) {
    if (Own.TransmissionsLeft <= 0)
      continue;
    --Own.TransmissionsLeft;
    Updates.push_back({Name, member_status::Up, Own.Incarnation});
  }
  // Continues where the last message ended and visits each entry at most once:
  // starting at the first entry each time would delay the last of many updates
  // for seconds.
  std::size_t Left = Membership.Pending.size();
  auto Name = Membership.Pending.lower_bound(Membership.NextUpdate);
  while (Left-- > 0 &&
         Updates.size() < Membership.Policy.MaxUpdatesPerMessage) {
    if (Name == Membership.Pending.end())
      Name = Membership.Pending.begin();
    auto Member = Membership.Members.find(*Name);
    const bool IsDone = Member == Membership.Members.end() ||
                        (Member->second.TransmissionsLeft <= 0 &&
                         Member->second.Status != member_status::Suspect);
    if (IsDone) {
      Name = Membership.Pending.erase(Name);
      continue;
    }
    if (Member->second.TransmissionsLeft > 0) {
      --Member->second.TransmissionsLeft;
      Updates.push_back(
          {*Name, Member->second.Status, Member->second.Incarnation});
    }
    ++Name;
  }
  Membership.NextUpdate =
      Name == Membership.Pending.end() ? std::string() : *Name;
  return Updates;
}

static outgoing_membership_message makeMessage(membership &Membership,
                                               const std::string &To, kind Kind,
                                               const std::string &Subject,
                                               const std::string &OnBehalfOf) {
  return {To, {Kind, Subject, OnBehalfOf, collectUpdates(Membership)}};
}

static void applyUpdate(membership &Membership, const member_update &Update,
                        instant Now) {
  auto Own = Membership.Own.find(Update.Name);
  if (Own != Membership.Own.end()) {
    // Another instance suspects this member: a higher incarnation refutes it.
    if (Update.Status != member_status::Up &&
        Update.Incarnation >= Own->second.Incarnation)
      Own->second = {Update.Incarnation + 1,
                     Membership.Policy.TransmissionsPerUpdate};
    return;
  }
  auto Found = Membership.Members.find(Update.Name);
  if (Found == Membership.Members.end())
    return;
  member_state &Member = Found->second;
  const bool IsNewer = Update.Incarnation > Member.Incarnation ||
                       (Update.Incarnation == Member.Incarnation &&
                        Update.Status > Member.Status);
  if (!IsNewer)
    return;
  Member.Incarnation = Update.Incarnation;
  setStatus(Membership, Update.Name, Member, Update.Status,
            /*IsUnconfirmed=*/true, Now);
}

/// Marks \p Name as up: a response from the member itself overrides any update
/// received from others.
static void recordResponse(membership &Membership, const std::string &Name,
                           instant Now) {
  auto Found = Membership.Members.find(Name);
  if (Found == Membership.Members.end() ||
      Found->second.Status == member_status::Up)
    return;
  // One higher than the suspicion, so that it wins everywhere.
  ++Found->second.Incarnation;
  setStatus(Membership, Name, Found->second, member_status::Up,
            /*IsUnconfirmed=*/false, Now);
}

messages handleMembershipMessage(membership &Membership,
                                 const std::string &From,
                                 const membership_message &Message,
                                 instant Now) {
  for (const member_update &Update : Message.Updates)
    applyUpdate(Membership, Update, Now);
  switch (Message.Kind) {
  case kind::Ping:
    recordResponse(Membership, From, Now);
    // Doesn't respond for a daemon that shows no sign of life.
    if (!Membership.Own.contains(Message.Subject))
      return {};
    return {makeMessage(Membership, From, kind::Ack, Message.Subject,
                        Message.OnBehalfOf)};
  case kind::IndirectPing:
    return {makeMessage(Membership, Message.Subject, kind::Ping,
                        Message.Subject, From)};
  case kind::Ack:
    recordResponse(Membership, Message.Subject, Now);
    if (Membership.Probe.Subject == Message.Subject)
      Membership.Probe = {};
    if (Message.OnBehalfOf.empty() ||
        Membership.Own.contains(Message.OnBehalfOf))
      return {};
    return {makeMessage(Membership, Message.OnBehalfOf, kind::Ack,
                        Message.Subject, Message.OnBehalfOf)};
  }
  return {};
}

static std::string nextProbeSubject(membership &Membership) {
  if (Membership.Round.empty()) {
    for (const auto &[Name, Member] : Membership.Members)
      Membership.Round.push_back(Name);
    std::shuffle(Membership.Round.begin(), Membership.Round.end(),
                 Membership.Random);
  }
  if (Membership.Round.empty())
    return {};
  std::string Subject = Membership.Round.back();
  Membership.Round.pop_back();
  return Membership.Members.contains(Subject) ? Subject : std::string();
}

/// Returns a few random members that are up, found by starting at random
/// positions.
static std::vector<std::string> pickHelpers(membership &Membership) {
  std::vector<std::string> Helpers;
  const std::size_t Size = Membership.Members.size();
  if (Size == 0)
    return Helpers;
  const std::size_t MaxAttempts = 4 * Membership.Policy.IndirectProbes;
  for (std::size_t Attempt = 0;
       Attempt < MaxAttempts &&
       Helpers.size() < Membership.Policy.IndirectProbes;
       ++Attempt) {
    auto Member = Membership.Members.begin();
    std::advance(Member, static_cast<long>(Membership.Random() % Size));
    const bool IsUsable = Member->second.Status == member_status::Up &&
                          Member->first != Membership.Probe.Subject;
    if (IsUsable && std::find(Helpers.begin(), Helpers.end(), Member->first) ==
                        Helpers.end())
      Helpers.push_back(Member->first);
  }
  return Helpers;
}

static void sendIndirectProbes(membership &Membership, messages &Messages) {
  for (const std::string &Helper : pickHelpers(Membership))
    Messages.push_back(makeMessage(Membership, Helper, kind::IndirectPing,
                                   Membership.Probe.Subject, {}));
}

static void escalateProbe(membership &Membership, instant Now,
                          messages &Messages) {
  active_probe &Probe = Membership.Probe;
  if (Probe.Subject.empty() || Now < Probe.Sent + Membership.Policy.AckTimeout)
    return;
  if (!Probe.Indirect) {
    Probe.Indirect = true;
    Probe.Sent = Now;
    sendIndirectProbes(Membership, Messages);
    return;
  }
  auto Found = Membership.Members.find(Probe.Subject);
  if (Found != Membership.Members.end() &&
      Found->second.Status == member_status::Up)
    setStatus(Membership, Probe.Subject, Found->second, member_status::Suspect,
              /*IsUnconfirmed=*/false, Now);
  Probe = {};
}

static void expireSuspicions(membership &Membership, instant Now) {
  for (const std::string &Name : std::set<std::string>(Membership.Pending)) {
    auto Member = Membership.Members.find(Name);
    if (Member != Membership.Members.end() &&
        Member->second.Status == member_status::Suspect &&
        Now >= Member->second.SuspectSince + Membership.Policy.SuspicionTimeout)
      setStatus(Membership, Name, Member->second, member_status::Down,
                /*IsUnconfirmed=*/false, Now);
  }
}

/// Probes a suspected member and includes the suspicion: the member refutes it
/// with a higher incarnation, which then spreads as the suspicion did.
static outgoing_membership_message makeRecheck(const membership &Membership,
                                               const std::string &Name) {
  const member_state &Member = Membership.Members.at(Name);
  // Carries no other updates: each update is sent a limited number of times,
  // and a dead member would use up those transmissions.
  return {Name,
          {kind::Ping, Name, {}, {{Name, Member.Status, Member.Incarnation}}}};
}

static void recheckSuspected(membership &Membership, instant Now,
                             messages &Messages) {
  std::size_t Rechecks = 0;
  for (auto &[Name, Suspicion] : Membership.Suspected) {
    if (Now >= Suspicion.UsableUntil)
      Membership.NotUp.insert(Name);
    if (Now < Suspicion.NextRecheck ||
        Rechecks >= Membership.Policy.MaxRechecksPerTick)
      continue;
    ++Rechecks;
    Suspicion.NextRecheck = Now + Membership.Policy.RecheckPeriod;
    Messages.push_back(makeRecheck(Membership, Name));
  }
}

/// Sends pending updates to a few members at once. By the probes alone, two a
/// second, it takes five seconds until all of 295 have the failure of a member,
/// and as long until all have its refutation.
static void gossipUpdates(membership &Membership, messages &Messages) {
  const bool HasUpdates =
      std::any_of(Membership.Pending.begin(), Membership.Pending.end(),
                  [&](const std::string &Name) {
                    auto Member = Membership.Members.find(Name);
                    return Member != Membership.Members.end() &&
                           Member->second.TransmissionsLeft > 0;
                  });
  if (!HasUpdates)
    return;
  // A probe with an empty subject requires no ack.
  for (const std::string &To : pickHelpers(Membership))
    Messages.push_back(makeMessage(Membership, To, kind::Ping, {}, {}));
}

messages membershipTick(membership &Membership, instant Now) {
  messages Messages;
  expireSuspicions(Membership, Now);
  recheckSuspected(Membership, Now, Messages);
  gossipUpdates(Membership, Messages);
  escalateProbe(Membership, Now, Messages);
  if (Now < Membership.NextProbe || !Membership.Probe.Subject.empty())
    return Messages;
  Membership.NextProbe = Now + Membership.Policy.ProbePeriod;
  const std::string Subject = nextProbeSubject(Membership);
  if (Subject.empty())
    return Messages;
  Membership.Probe = {Subject, Now, false};
  Messages.push_back(makeMessage(Membership, Subject, kind::Ping, Subject, {}));
  return Messages;
}

} // namespace amaranthhoist
