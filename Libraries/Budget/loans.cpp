#include "Budget/budget.h"

#include <algorithm>

namespace amaranthhoist {

using kind = loan_message::kind;

static loan_message makeLoanMessage(kind Kind, const std::string &Id,
                                    const loan &Loan) {
  return {Kind, {}, Id, Loan.Resource, Loan.Units};
}

outgoing_loan_message requestLoan(budget_holder &Holder,
                                  const std::string &Peer,
                                  const std::string &Resource,
                                  std::int64_t Units, instant Now) {
  const std::string Id = Holder.Self + "/" + std::to_string(Holder.NextLoan++);
  Holder.LoansRequested.emplace(Id, Now);
  return {Peer, {kind::Borrow, {}, Id, Resource, Units}};
}

/// The lender keeps half of its idle units, so that two holders which are both
/// short do not pass the same units back and forth.
static std::int64_t unitsToLend(const budget_holder &Holder,
                                const loan_message &Message, instant Now) {
  auto Found = Holder.Shares.find(Message.Resource);
  if (Found == Holder.Shares.end())
    return 0;
  const share &Share = Found->second;
  const std::int64_t OwnIdle = Share.Granted - Share.Lent - Share.Used;
  const std::int64_t Idle =
      std::min(OwnIdle, availableUnits(Holder, Message.Resource, Now));
  const std::int64_t Quantum = quantumOf(Holder, Message.Resource);
  const std::int64_t Half = (std::max<std::int64_t>(Idle, 0) / Quantum + 1) / 2;
  return std::min(Half * Quantum, Message.Units / Quantum * Quantum);
}

static std::vector<outgoing_loan_message> lend(budget_holder &Holder,
                                               const std::string &From,
                                               const loan_message &Message,
                                               instant Now) {
  auto Known = Holder.LoansGiven.find(Message.LoanId);
  if (Known == Holder.LoansGiven.end()) {
    if (Holder.DeadHolders.contains(From))
      return {};
    const std::int64_t Units = unitsToLend(Holder, Message, Now);
    if (Units == 0)
      return {};
    // The units count as lent before the borrower can receive the message.
    Holder.Shares[Message.Resource].Lent += Units;
    Known = Holder.LoansGiven
                .emplace(Message.LoanId,
                         loan{From, Message.Resource, Units, instant{}})
                .first;
  }
  return {{From, makeLoanMessage(kind::Lend, Message.LoanId, Known->second)}};
}

/// A renewal extends the lease from the time of receipt. The lender is alive
/// when it sends, and its units are reclaimed only ReclaimDelay after its
/// proved death, which is longer than any lease that a message in flight may
/// still start.
static std::vector<outgoing_loan_message>
acceptLoan(budget_holder &Holder, const std::string &From,
           const loan_message &Message, const budget_timing &Timing,
           instant Now) {
  auto Taken = Holder.LoansTaken.find(Message.LoanId);
  if (Taken != Holder.LoansTaken.end()) {
    if (!Holder.DeadHolders.contains(From))
      Taken->second.Expiry = Now + Timing.LoanLease;
    return {};
  }
  const loan Loan{From, Message.Resource, Message.Units,
                  Now + Timing.LoanLease};
  // Without this check a delayed copy of a loan that was already returned would
  // be accepted again while the lender uses the same units: two requests on one
  // unit. The reply returns the loan, as the lender would otherwise count it as
  // lent forever.
  if (Holder.LoansRequested.erase(Message.LoanId) == 0 ||
      Holder.DeadHolders.contains(From))
    return {{From, makeLoanMessage(kind::Return, Message.LoanId, Loan)}};
  Holder.LoansTaken.emplace(Message.LoanId, Loan);
  return {};
}

static std::vector<outgoing_loan_message>
acceptReturn(budget_holder &Holder, const std::string &From,
             const loan_message &Message) {
  auto Known = Holder.LoansGiven.find(Message.LoanId);
  if (Known != Holder.LoansGiven.end()) {
    Holder.Shares[Known->second.Resource].Lent -= Known->second.Units;
    Holder.LoansGiven.erase(Known);
  }
  loan_message Reply = Message;
  Reply.Kind = kind::Returned;
  return {{From, Reply}};
}

std::vector<outgoing_loan_message>
handleLoanMessage(budget_holder &Holder, const std::string &From,
                  const loan_message &Message, const budget_timing &Timing,
                  instant Now) {
  switch (Message.Kind) {
  case kind::Borrow:
    return lend(Holder, From, Message, Now);
  case kind::Lend:
    return acceptLoan(Holder, From, Message, Timing, Now);
  case kind::Return:
    return acceptReturn(Holder, From, Message);
  case kind::Returned:
    Holder.LoansReturning.erase(Message.LoanId);
    return {};
  }
  return {};
}

/// A loan is returned only when the remaining units still cover the work in
/// progress: a unit in use by a long export is returned when the export ends,
/// never by time.
static void returnIdleLoans(budget_holder &Holder) {
  for (auto Loan = Holder.LoansTaken.begin();
       Loan != Holder.LoansTaken.end();) {
    const share &Share = Holder.Shares[Loan->second.Resource];
    std::int64_t Total = Share.Granted - Share.Lent;
    for (const auto &[Id, Other] : Holder.LoansTaken)
      if (Other.Resource == Loan->second.Resource)
        Total += Other.Units;
    if (Share.Used > Total - Loan->second.Units) {
      ++Loan;
      continue;
    }
    Holder.LoansReturning.insert(*Loan);
    Loan = Holder.LoansTaken.erase(Loan);
  }
}

std::vector<outgoing_loan_message>
maintainLoans(budget_holder &Holder, const budget_timing &Timing, instant Now) {
  if (Now < Holder.NextRenewal)
    return {};
  Holder.NextRenewal = Now + Timing.LoanLease / 4;
  std::erase_if(Holder.LoansRequested, [&](const auto &Entry) {
    return Now >= Entry.second + Timing.LoanLease;
  });
  returnIdleLoans(Holder);
  std::vector<outgoing_loan_message> Messages;
  for (const auto &[Id, Loan] : Holder.LoansGiven)
    Messages.push_back({Loan.Peer, makeLoanMessage(kind::Lend, Id, Loan)});
  for (const auto &[Id, Loan] : Holder.LoansReturning)
    Messages.push_back({Loan.Peer, makeLoanMessage(kind::Return, Id, Loan)});
  return Messages;
}

} // namespace amaranthhoist
