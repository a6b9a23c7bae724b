/// Servers of a simulated fleet that hold requests and then state that they
/// haven't run them.
#include "quota_simulation.h"

namespace amaranthhoist::quota_simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

static duration draw(std::mt19937_64 &Random, duration Low, duration High) {
  return duration(std::uniform_int_distribution<duration::rep>(
      Low.count(), High.count())(Random));
}

void world::scheduleRejections() {
  if (!Options.HasFaults || !Options.HasLateRejections || !usesPools() ||
      RejectionRandom() % 2 == 0)
    return;
  RejectionsFrom = instant(Lead) +
                   draw(RejectionRandom, duration::zero(), Options.Length / 2);
  RejectionsUntil =
      RejectionsFrom + draw(RejectionRandom, milliseconds(500), seconds(5));
}

void world::holdAtServer(node_state &Node, account_state &Account,
                         const spent_token &Token) {
  ++Result.Rejected;
  const std::uint64_t Start = Node.Start;
  const duration Hold =
      draw(RejectionRandom, milliseconds(1), milliseconds(2'000));
  at(Now + Hold, [this, &Node, &Account, Token, Start] {
    // A cut node hears of it late, which changes nothing for its token.
    deliver(Node.Index, Start, [this, &Node, &Account, Token] {
      onRejection(Node, Account, Token);
    });
  });
}

bool world::mayRetryWith(const node_state &Node, const account_state &Account,
                         const spent_token &Token) const {
  return Options.Mutant == quota_mutant::ReturnedTokensDoNotExpire ||
         maySpendAgain(Node.Holder, Account.Id, Token, Now);
}

void world::giveBack(node_state &Node, account_state &Account,
                     const spent_token &Token) {
  if (Options.Mutant != quota_mutant::ReturnedTokensDoNotExpire) {
    returnToken(Node.Holder, Account.Id, Token, Now);
    return;
  }
  for (held_lease &Lease : Node.Holder.Accounts[Account.Id].Leases)
    if (Lease.Spent > 0 && Now < Lease.Expiry) {
      --Lease.Spent;
      ++Lease.Available;
      return;
    }
}

/// The request is sent again, or has no time left.
void world::onRejection(node_state &Node, account_state &Account,
                        const spent_token &Token) {
  if (RejectionRandom() % 2 == 0) {
    giveBack(Node, Account, Token);
    return;
  }
  if (mayRetryWith(Node, Account, Token)) {
    send(Node, Account, Token);
    return;
  }
  const spend_result Spent = spendToken(Node.Holder, Account.Id, Now, Now);
  if (Spent.Verdict == quota_verdict::Granted)
    send(Node, Account, Spent.Token);
  else
    refuse(Account);
}

} // namespace amaranthhoist::quota_simulation
