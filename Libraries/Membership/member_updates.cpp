#include "member_updates.h"

#include "member_status.h"

namespace amaranthhoist {

static void collectOwnUpdates(membership &Membership,
                              membership_message &Message) {
  for (auto &[Name, Own] : Membership.Own) {
    if (Own.TransmissionsLeft <= 0)
      continue;
    --Own.TransmissionsLeft;
    Message.Updates.push_back({Name, member_status::Up, Own.Incarnation});
  }
}

static bool hasRoom(const membership_policy &Policy,
                    const membership_message &Message) {
  return Message.Updates.size() < Policy.MaxUpdatesPerMessage ||
         Message.HashedUpdates.size() < Policy.MaxHashedUpdatesPerMessage;
}

static void addUpdate(const membership_policy &Policy, const std::string &Name,
                      const member_state &Member, membership_message &Message) {
  if (Message.Updates.size() < Policy.MaxUpdatesPerMessage)
    Message.Updates.push_back({Name, Member.Status, Member.Incarnation});
  else
    Message.HashedUpdates.push_back(
        {stableHash(Name), Member.Status, Member.Incarnation});
}

void collectUpdates(membership &Membership, membership_message &Message) {
  collectOwnUpdates(Membership, Message);
  std::vector<std::pair<int, std::string>> Sent;
  for (const auto &[Messages, Name] : Membership.Pending) {
    if (!hasRoom(Membership.Policy, Message))
      break;
    addUpdate(Membership.Policy, Name, Membership.Members.at(Name), Message);
    Sent.emplace_back(Messages, Name);
  }
  for (auto &[Messages, Name] : Sent) {
    member_state &Member = Membership.Members.at(Name);
    Membership.Pending.erase({Messages, Name});
    ++Member.Transmissions;
    if (--Member.TransmissionsLeft > 0)
      Membership.Pending.insert({Member.Transmissions, Name});
  }
}

/// Another instance suspects a member that this one responds for: a higher
/// incarnation refutes it.
static void refute(membership &Membership, own_member &Own,
                   const hashed_update &Update) {
  if (Update.Status != member_status::Up &&
      Update.Incarnation >= Own.Incarnation)
    Own = {Update.Incarnation + 1, transmissionsPerUpdate(Membership)};
}

static void applyUpdate(membership &Membership, const std::string &Name,
                        const hashed_update &Update, evidence Evidence,
                        instant Now) {
  auto Own = Membership.Own.find(Name);
  if (Own != Membership.Own.end()) {
    refute(Membership, Own->second, Update);
    return;
  }
  auto Found = Membership.Members.find(Name);
  if (Found == Membership.Members.end())
    return;
  member_state &Member = Found->second;
  const bool IsNewer = Update.Incarnation > Member.Incarnation ||
                       (Update.Incarnation == Member.Incarnation &&
                        Update.Status > Member.Status);
  if (!IsNewer)
    return;
  Member.Incarnation = Update.Incarnation;
  // A suspicion is older than the probe that got no response: what was heard
  // since then refutes it.
  if (Update.Status == member_status::Suspect && Member.LastHeard &&
      Now < *Member.LastHeard + Membership.Policy.AckTimeout) {
    ++Member.Incarnation;
    setStatus(Membership, Name, Member, member_status::Up, evidence::Own, Now);
    return;
  }
  setStatus(Membership, Name, Member, Update.Status, Evidence, Now);
}

void applyUpdates(membership &Membership, const membership_message &Message,
                  instant Now) {
  const evidence Evidence =
      Message.HasStatuses ? evidence::Verified : evidence::Received;
  for (const member_update &Update : Message.Updates)
    applyUpdate(Membership, Update.Name, {0, Update.Status, Update.Incarnation},
                Evidence, Now);
  for (const hashed_update &Update : Message.HashedUpdates) {
    const auto Name = Membership.NamesByHash.find(Update.NameHash);
    if (Name == Membership.NamesByHash.end())
      continue;
    applyUpdate(Membership, Name->second, Update, Evidence, Now);
    // The others have these statuses already.
    if (Message.HasStatuses)
      stopSpreading(Membership, Name->second);
  }
}

} // namespace amaranthhoist
