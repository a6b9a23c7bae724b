#include "Membership/membership.h"

#include "contact.h"
#include "member_status.h"
#include "member_updates.h"
#include "probes.h"
#include "status_transfer.h"

#include <algorithm>
#include <bit>

namespace amaranthhoist {

using messages = membership_messages;
using kind = membership_message::kind;

/// Rebuilds what is derived from the members and their failure domains.
static void rebuildIndexes(membership &Membership) {
  ++Membership.Version;
  Membership.Names.clear();
  Membership.NamesByHash.clear();
  Membership.Ring.clear();
  for (auto &[FailureDomain, Group] : Membership.Groups) {
    Group.Names.clear();
    Group.Suspects = 0;
  }
  for (const auto &[Name, Own] : Membership.Own)
    Membership.NamesByHash.emplace(stableHash(Name), Name);
  for (const auto &[Name, Member] : Membership.Members) {
    Membership.Names.push_back(Name);
    Membership.NamesByHash.emplace(stableHash(Name), Name);
    Membership.Ring.push_back({Member.FailureDomain, stableHash(Name), Name});
    if (Member.FailureDomain.empty())
      continue;
    member_group &Group = Membership.Groups[Member.FailureDomain];
    Group.Names.push_back(Name);
    Group.Suspects += Member.Status == member_status::Suspect ? 1 : 0;
  }
  std::sort(Membership.Ring.begin(), Membership.Ring.end());
  std::erase_if(Membership.Groups,
                [](const auto &Group) { return Group.second.Names.empty(); });
  for (auto &[FailureDomain, Group] : Membership.Groups)
    std::shuffle(Group.Names.begin(), Group.Names.end(), Membership.Random);
}

void setMembersWithDomains(
    membership &Membership,
    const std::map<std::string, std::string> &FailureDomains) {
  const auto IsListed = [&](const std::string &Name) {
    return FailureDomains.contains(Name);
  };
  std::erase_if(Membership.Members,
                [&](const auto &Entry) { return !IsListed(Entry.first); });
  std::erase_if(Membership.NotUp,
                [&](const std::string &Name) { return !IsListed(Name); });
  std::erase_if(Membership.Suspected,
                [&](const auto &Entry) { return !IsListed(Entry.first); });
  std::erase_if(Membership.Pending,
                [&](const auto &Entry) { return !IsListed(Entry.second); });
  for (const auto &[Name, FailureDomain] : FailureDomains)
    if (Membership.Own.contains(Name))
      Membership.OwnFailureDomain = FailureDomain;
    else
      Membership.Members.try_emplace(Name).first->second.FailureDomain =
          FailureDomain;
  rebuildIndexes(Membership);
}

void setMembers(membership &Membership, const std::set<std::string> &Names) {
  std::map<std::string, std::string> FailureDomains;
  for (const std::string &Name : Names)
    FailureDomains.emplace(Name, std::string());
  setMembersWithDomains(Membership, FailureDomains);
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
    Own.TransmissionsLeft = transmissionsPerUpdate(Membership);
    Membership.Own.try_emplace(Name, Own);
    Membership.Members.erase(Name);
    Membership.NotUp.erase(Name);
    Membership.Suspected.erase(Name);
    std::erase_if(Membership.Pending,
                  [&](const auto &Entry) { return Entry.second == Name; });
  }
  rebuildIndexes(Membership);
}

int transmissionsPerUpdate(const membership &Membership) {
  const auto Doublings =
      static_cast<int>(std::bit_width(Membership.Members.size()));
  return std::max(Membership.Policy.MinTransmissions,
                  Membership.Policy.TransmissionsPerDoubling * Doublings);
}

const std::set<std::string> &downMembers(const membership &Membership) {
  return Membership.NotUp;
}

bool isUp(const membership &Membership, const std::string &Name) {
  if (Membership.Own.contains(Name))
    return true;
  return Membership.Members.contains(Name) && !Membership.NotUp.contains(Name);
}

bool isKnownUp(const membership &Membership, const std::string &Name) {
  if (!isUp(Membership, Name))
    return false;
  if (!Membership.Policy.RequestsStatuses || Membership.HasView)
    return true;
  const auto Member = Membership.Members.find(Name);
  return Member == Membership.Members.end() ||
         Member->second.LastHeard.has_value();
}

messages handleMembershipMessage(membership &Membership,
                                 const std::string &From,
                                 const membership_message &Message,
                                 instant Now) {
  recordMessage(Membership, From, Now);
  applyUpdates(Membership, Message, Now);
  if (Message.HasStatuses)
    recordStatusResponse(Membership, From, Now);
  if (Message.RequestsStatuses)
    return makeStatusResponse(Membership, From, Now);
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
    endProbe(Membership, Message.Subject);
    if (Message.OnBehalfOf.empty() ||
        Membership.Own.contains(Message.OnBehalfOf))
      return {};
    return {makeMessage(Membership, Message.OnBehalfOf, kind::Ack,
                        Message.Subject, Message.OnBehalfOf)};
  }
  return {};
}

messages membershipTick(membership &Membership, instant Now) {
  messages Messages;
  updateIsolation(Membership, Now);
  expireSuspicions(Membership, Now);
  recheckSuspected(Membership, Now, Messages);
  runProbes(Membership, Now, Messages);
  runFollowUps(Membership, Now, Messages);
  sendContactProbes(Membership, Messages);
  requestStatuses(Membership, Now, Messages);
  // Last, so that what the others found out is sent at once.
  gossipUpdates(Membership, Messages);
  return Messages;
}

} // namespace amaranthhoist
