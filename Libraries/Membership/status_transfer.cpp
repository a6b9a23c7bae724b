#include "status_transfer.h"

#include "member_status.h"

#include <algorithm>

namespace amaranthhoist {

using kind = membership_message::kind;

/// Members that are asked in one tick.
static constexpr std::size_t RequestsPerTick = 3;
/// Responses after which no further member is asked. The second one covers
/// what the first responder had missed.
static constexpr std::size_t EnoughResponses = 2;
/// Time after which the instance relies on its own probes: several times what
/// busy instances take to respond.
static constexpr duration TransferTime = std::chrono::milliseconds(1'500);
/// Bounds the messages of one response.
static constexpr std::size_t MaxResponseMessages = 48;

static void endTransfer(membership &Membership) {
  Membership.Transfer.IsInProgress = false;
  Membership.HasView = true;
}

void requestStatuses(membership &Membership, instant Now,
                     std::vector<outgoing_membership_message> &Messages) {
  status_transfer &Transfer = Membership.Transfer;
  if (!Membership.Policy.RequestsStatuses || !Transfer.IsInProgress ||
      Membership.Members.empty())
    return;
  if (!Transfer.StartedAt)
    Transfer.StartedAt = Now;
  const bool HasAskedAll = Transfer.HasAsked && Transfer.Unasked.empty();
  if (Transfer.Responses >= EnoughResponses ||
      (HasAskedAll && Transfer.Responses > 0) ||
      Now >= *Transfer.StartedAt + TransferTime) {
    endTransfer(Membership);
    return;
  }
  // Requests and responses may be lost.
  if (Transfer.Unasked.empty()) {
    Transfer.HasAsked = true;
    Transfer.Unasked = Membership.Names;
    std::shuffle(Transfer.Unasked.begin(), Transfer.Unasked.end(),
                 Membership.Random);
  }
  for (std::size_t Request = 0;
       Request < RequestsPerTick && !Transfer.Unasked.empty(); ++Request) {
    // An Ack for nobody: it shows that the sender is alive, and nothing else to
    // instances of earlier builds.
    membership_message Message{kind::Ack, {}, {}, {}, {}};
    Message.RequestsStatuses = true;
    Messages.push_back({Transfer.Unasked.back(), std::move(Message)});
    Transfer.Unasked.pop_back();
  }
}

void restartStatusTransfer(membership &Membership) { Membership.Transfer = {}; }

static bool isConfirmed(const membership &Membership,
                        const member_state &Member, instant Now) {
  if (Member.IsSuspectedInIsolation)
    return false;
  return Member.Status == member_status::Down ||
         (Member.Status == member_status::Suspect &&
          Now >= Member.SuspectSince + Membership.Policy.SuspicionVerifyTime);
}

std::vector<outgoing_membership_message>
makeStatusResponse(const membership &Membership, const std::string &To,
                   instant Now) {
  std::vector<outgoing_membership_message> Messages;
  if (!Membership.HasView || Membership.IsIsolated)
    return Messages;
  const std::size_t PerMessage =
      std::max<std::size_t>(1, Membership.Policy.MaxHashedUpdatesPerMessage);
  membership_message Empty{kind::Ack, {}, {}, {}, {}};
  Empty.HasStatuses = true;
  Messages.push_back({To, Empty});
  for (const std::string &Name : Membership.NotUp) {
    const member_state &Member = Membership.Members.at(Name);
    if (!isConfirmed(Membership, Member, Now))
      continue;
    if (Messages.back().Message.HashedUpdates.size() == PerMessage) {
      if (Messages.size() == MaxResponseMessages)
        break;
      Messages.push_back({To, Empty});
    }
    Messages.back().Message.HashedUpdates.push_back(
        {stableHash(Name), Member.Status, Member.Incarnation});
  }
  return Messages;
}

void recordStatusResponse(membership &Membership, const std::string &From,
                          instant Now) {
  recordResponse(Membership, From, Now);
  ++Membership.Transfer.Responses;
  Membership.HasView = true;
}

} // namespace amaranthhoist
