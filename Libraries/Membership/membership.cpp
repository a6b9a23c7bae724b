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
  std::erase_if(Membership.Doubted, [&](const auto &Entry) {
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
    // What was believed of it as a member is where its own counter goes on.
    auto Believed = Membership.Members.find(Name);
    own_member Own;
    if (Believed != Membership.Members.end())
      Own.Counter = Believed->second.Counter + 1;
    Own.RepeatsLeft = Membership.Policy.BeliefRepeats;
    Membership.Own.try_emplace(Name, Own);
    Membership.Members.erase(Name);
    Membership.NotUp.erase(Name);
    Membership.Doubted.erase(Name);
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

/// Whether this instance is among those that check a rumour.
static bool isChecker(membership &Membership) {
  const std::size_t Others =
      std::max<std::size_t>(Membership.Members.size(), 1);
  return Membership.Random() % Others < Membership.Policy.Checkers;
}

/// Begins to doubt a member, by an own probe or by hearsay.
static void doubt(membership &Membership, const std::string &Name,
                  bool IsHearsay, instant Now) {
  const membership_policy &Policy = Membership.Policy;
  if (!IsHearsay) {
    Membership.NotUp.insert(Name);
    Membership.Doubted[Name] = {Now, Now};
    return;
  }
  if (Membership.NotUp.contains(Name))
    return;
  if (isChecker(Membership))
    Membership.Doubted[Name] = {Now, Now + Policy.RumourTime};
  else
    Membership.Doubted[Name] = {Now + Policy.RumourTime,
                                Now + 2 * Policy.RumourTime};
}

static void change(membership &Membership, const std::string &Name,
                   member_state &Member, member_status Status, bool IsHearsay,
                   instant Now) {
  if (Status != member_status::Suspect)
    Membership.Doubted.erase(Name);
  switch (Status) {
  case member_status::Up:
    Membership.NotUp.erase(Name);
    break;
  case member_status::Suspect:
    Member.SuspectSince = Now;
    doubt(Membership, Name, IsHearsay, Now);
    break;
  case member_status::Down:
    Membership.NotUp.insert(Name);
    break;
  }
  Member.Status = Status;
  Member.RepeatsLeft = Membership.Policy.BeliefRepeats;
  Membership.Changing.insert(Name);
}

static std::vector<member_belief> beliefsToSend(membership &Membership) {
  std::vector<member_belief> Beliefs;
  for (auto &[Name, Own] : Membership.Own) {
    if (Own.RepeatsLeft <= 0)
      continue;
    --Own.RepeatsLeft;
    Beliefs.push_back({Name, member_status::Up, Own.Counter});
  }
  // From where the last message ended, all of them once at most: always from
  // the first one, the last of many changes would wait for seconds.
  std::size_t Left = Membership.Changing.size();
  auto Name = Membership.Changing.lower_bound(Membership.NextBelief);
  while (Left-- > 0 &&
         Beliefs.size() < Membership.Policy.MaxBeliefsPerMessage) {
    if (Name == Membership.Changing.end())
      Name = Membership.Changing.begin();
    auto Member = Membership.Members.find(*Name);
    const bool Rests = Member == Membership.Members.end() ||
                       (Member->second.RepeatsLeft <= 0 &&
                        Member->second.Status != member_status::Suspect);
    if (Rests) {
      Name = Membership.Changing.erase(Name);
      continue;
    }
    if (Member->second.RepeatsLeft > 0) {
      --Member->second.RepeatsLeft;
      Beliefs.push_back({*Name, Member->second.Status, Member->second.Counter});
    }
    ++Name;
  }
  Membership.NextBelief =
      Name == Membership.Changing.end() ? std::string() : *Name;
  return Beliefs;
}

static outgoing_membership_message make(membership &Membership,
                                        const std::string &To, kind Kind,
                                        const std::string &Subject,
                                        const std::string &OnBehalfOf) {
  return {To, {Kind, Subject, OnBehalfOf, beliefsToSend(Membership)}};
}

static void hearBelief(membership &Membership, const member_belief &Belief,
                       instant Now) {
  auto Own = Membership.Own.find(Belief.Name);
  if (Own != Membership.Own.end()) {
    // Somebody suspects it: a higher counter says otherwise.
    if (Belief.Status != member_status::Up &&
        Belief.Counter >= Own->second.Counter)
      Own->second = {Belief.Counter + 1, Membership.Policy.BeliefRepeats};
    return;
  }
  auto Found = Membership.Members.find(Belief.Name);
  if (Found == Membership.Members.end())
    return;
  member_state &Member = Found->second;
  const bool Newer =
      Belief.Counter > Member.Counter ||
      (Belief.Counter == Member.Counter && Belief.Status > Member.Status);
  if (!Newer)
    return;
  Member.Counter = Belief.Counter;
  change(Membership, Belief.Name, Member, Belief.Status, /*IsHearsay=*/true,
         Now);
}

/// An answer of its own is better than any rumour: whoever answers is up.
static void heardFrom(membership &Membership, const std::string &Name,
                      instant Now) {
  auto Found = Membership.Members.find(Name);
  if (Found == Membership.Members.end() ||
      Found->second.Status == member_status::Up)
    return;
  // One higher than the rumour, so that it wins everywhere.
  ++Found->second.Counter;
  change(Membership, Name, Found->second, member_status::Up,
         /*IsHearsay=*/false, Now);
}

messages handleMembershipMessage(membership &Membership,
                                 const std::string &From,
                                 const membership_message &Message,
                                 instant Now) {
  for (const member_belief &Belief : Message.Beliefs)
    hearBelief(Membership, Belief, Now);
  switch (Message.Kind) {
  case kind::Ping:
    heardFrom(Membership, From, Now);
    // A daemon that shows no life isn't answered for.
    if (!Membership.Own.contains(Message.Subject))
      return {};
    return {
        make(Membership, From, kind::Ack, Message.Subject, Message.OnBehalfOf)};
  case kind::PingFor:
    return {
        make(Membership, Message.Subject, kind::Ping, Message.Subject, From)};
  case kind::Ack:
    heardFrom(Membership, Message.Subject, Now);
    if (Membership.Probe.Subject == Message.Subject)
      Membership.Probe = {};
    if (Message.OnBehalfOf.empty() ||
        Membership.Own.contains(Message.OnBehalfOf))
      return {};
    return {make(Membership, Message.OnBehalfOf, kind::Ack, Message.Subject,
                 Message.OnBehalfOf)};
  }
  return {};
}

static std::string nextSubject(membership &Membership) {
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

/// A few random members that are up, found by starting at random places.
static std::vector<std::string> pickHelpers(membership &Membership) {
  std::vector<std::string> Helpers;
  const std::size_t Size = Membership.Members.size();
  if (Size == 0)
    return Helpers;
  const std::size_t Tries = 4 * Membership.Policy.IndirectProbes;
  for (std::size_t Try = 0;
       Try < Tries && Helpers.size() < Membership.Policy.IndirectProbes;
       ++Try) {
    auto Member = Membership.Members.begin();
    std::advance(Member, static_cast<long>(Membership.Random() % Size));
    const bool Usable = Member->second.Status == member_status::Up &&
                        Member->first != Membership.Probe.Subject;
    if (Usable && std::find(Helpers.begin(), Helpers.end(), Member->first) ==
                      Helpers.end())
      Helpers.push_back(Member->first);
  }
  return Helpers;
}

static void probeThroughOthers(membership &Membership, messages &Messages) {
  for (const std::string &Helper : pickHelpers(Membership))
    Messages.push_back(
        make(Membership, Helper, kind::PingFor, Membership.Probe.Subject, {}));
}

static void escalate(membership &Membership, instant Now, messages &Messages) {
  running_probe &Probe = Membership.Probe;
  if (Probe.Subject.empty() || Now < Probe.Sent + Membership.Policy.AckTimeout)
    return;
  if (!Probe.Indirect) {
    Probe.Indirect = true;
    Probe.Sent = Now;
    probeThroughOthers(Membership, Messages);
    return;
  }
  auto Found = Membership.Members.find(Probe.Subject);
  if (Found != Membership.Members.end() &&
      Found->second.Status == member_status::Up)
    change(Membership, Probe.Subject, Found->second, member_status::Suspect,
           /*IsHearsay=*/false, Now);
  Probe = {};
}

static void timeOutSuspects(membership &Membership, instant Now) {
  for (const std::string &Name : std::set<std::string>(Membership.Changing)) {
    auto Member = Membership.Members.find(Name);
    if (Member != Membership.Members.end() &&
        Member->second.Status == member_status::Suspect &&
        Now >= Member->second.SuspectSince + Membership.Policy.SuspectTime)
      change(Membership, Name, Member->second, member_status::Down,
             /*IsHearsay=*/false, Now);
  }
}

/// Probes a member that is suspected, and tells it so: it refutes the suspicion
/// with a higher counter, which then spreads as the suspicion did.
static outgoing_membership_message recheck(const membership &Membership,
                                           const std::string &Name) {
  const member_state &Member = Membership.Members.at(Name);
  // Nothing else: whoever is dead would take beliefs away from the living.
  return {Name,
          {kind::Ping, Name, {}, {{Name, Member.Status, Member.Counter}}}};
}

static void recheckDoubted(membership &Membership, instant Now,
                           messages &Messages) {
  std::size_t Checks = 0;
  for (auto &[Name, Doubt] : Membership.Doubted) {
    if (Now >= Doubt.UsableUntil)
      Membership.NotUp.insert(Name);
    if (Now < Doubt.NextCheck || Checks >= Membership.Policy.MostRechecks)
      continue;
    ++Checks;
    Doubt.NextCheck = Now + Membership.Policy.RecheckPeriod;
    Messages.push_back(recheck(Membership, Name));
  }
}

/// Sends news to a few members at once. By the probes alone, two a second, it
/// takes five seconds until all of 295 know of a death, and as long until all
/// know that a suspicion was false.
static void spreadNews(membership &Membership, messages &Messages) {
  const bool HasNews =
      std::any_of(Membership.Changing.begin(), Membership.Changing.end(),
                  [&](const std::string &Name) {
                    auto Member = Membership.Members.find(Name);
                    return Member != Membership.Members.end() &&
                           Member->second.RepeatsLeft > 0;
                  });
  if (!HasNews)
    return;
  // A probe of nobody wants no answer.
  for (const std::string &To : pickHelpers(Membership))
    Messages.push_back(make(Membership, To, kind::Ping, {}, {}));
}

messages membershipTick(membership &Membership, instant Now) {
  messages Messages;
  timeOutSuspects(Membership, Now);
  recheckDoubted(Membership, Now, Messages);
  spreadNews(Membership, Messages);
  escalate(Membership, Now, Messages);
  if (Now < Membership.NextProbe || !Membership.Probe.Subject.empty())
    return Messages;
  Membership.NextProbe = Now + Membership.Policy.ProbePeriod;
  const std::string Subject = nextSubject(Membership);
  if (Subject.empty())
    return Messages;
  Membership.Probe = {Subject, Now, false};
  Messages.push_back(make(Membership, Subject, kind::Ping, Subject, {}));
  return Messages;
}

} // namespace amaranthhoist
