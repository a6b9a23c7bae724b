/// Shared budgets: a site's power cap, the slots of its targets and a region's
/// link limits, split among the gateways that send work there.
///
/// The platform keeps one pool_record per pool. Its rows are the holders'
/// shares and their sum never passes the limit. Two rules keep the sum of what
/// is *usable* below the limit at every instant, without clocks or agreement:
///
///  - a holder lowers its own use before it lowers its row;
///  - a holder raises its row, by conditional update, before it raises its use.
///
/// Only a holder itself changes its row, except that anyone may remove the row
/// of a holder proved dead, once every request it sent has ended. Between
/// updates, and while the platform is away, holders lend units to each other
/// directly: the lender counts a unit as lent before it says so. A lost message
/// therefore strands units until it is repeated; it never mints any.
#pragma once

#include "Core/core.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Units of one resource: milliwatts, slots of a target, or link streams.
struct resource_amount {
  std::string Resource;
  std::int64_t Units = 0;
};

/// Units by resource name.
using amounts = std::map<std::string, std::int64_t>;

/// The platform's object for one pool: each holder's share.
struct pool_record {
  /// The platform's version of the object; 0 before the first write.
  std::int64_t Version = 0;
  /// Shares by holder (a gateway's incarnation).
  std::map<std::string, amounts> Shares;
};

/// Units lent by one holder to another.
struct loan {
  std::string Peer;
  std::string Resource;
  std::int64_t Units = 0;
  /// Borrower only: no new use from here on unless the lender renews.
  instant Expiry{};
};

/// State of one resource at one holder.
struct share {
  /// What the row allows; never more than the row in the platform.
  std::int64_t Granted = 0;
  /// Given to peers and not yet returned.
  std::int64_t Lent = 0;
  /// Under work in progress.
  std::int64_t Used = 0;
};

/// A conditional update that was sent and whose fate isn't known yet.
struct pending_update {
  pool_record Proposed;
  /// Whether the answer was lost, so that the same update has to be repeated:
  /// repeated on the same version, it takes effect at most once.
  bool Repeat = false;
};

/// One gateway's part in one pool.
struct budget_holder {
  /// Incarnation of the gateway; also the row's name.
  std::string Self;
  /// The newest record seen.
  pool_record Record;
  /// Limit of each resource as the settings and measurements have it now.
  amounts Limits;
  /// Smallest useful amount of a resource; missing: 1. Shares and loans are
  /// multiples of it: three holders of 80 W whose requests draw 10 W would
  /// otherwise get 26.7 W each and leave a quarter unused.
  amounts Quanta;
  std::map<std::string, share> Shares;
  /// Loans given, by loan id.
  std::map<std::string, loan> Given;
  /// Loans taken, by loan id.
  std::map<std::string, loan> Taken;
  /// Loan ids asked for and not answered yet, with the time of asking. A loan
  /// is accepted only under an id in here: a late copy of a closed one isn't.
  std::map<std::string, instant> Requested;
  /// Loan ids that were given back but whose return is not confirmed.
  std::map<std::string, loan> Returning;
  /// Holders proved dead, with the time this was learned here.
  std::map<std::string, instant> Dead;
  std::optional<pending_update> Pending;
  /// Updates in a row that weren't written, and when the next may be sent.
  std::int32_t FailedUpdates = 0;
  instant NextUpdate{};
  std::uint64_t NextLoan = 1;
  /// When loans are next renewed and returned.
  instant NextRenewal{};
};

/// Times that decide when lent and stranded units may be used again.
struct budget_timing {
  /// A borrower's loan ends this long after the lender last renewed it.
  duration LoanLease = std::chrono::seconds(2);
  /// From the proof of a holder's death until the last request it sent, and
  /// the last one sent on units borrowed from it, has surely ended. It has to
  /// cover LoanLease plus the longest deadline told to a backend server.
  duration ReclaimDelay = std::chrono::seconds(130);
};

/// The quantum of \p Resource, at least 1.
std::int64_t quantumOf(const budget_holder &Holder,
                       const std::string &Resource);

/// Units of \p Resource that may be put under new work at \p Now.
std::int64_t availableUnits(const budget_holder &Holder,
                            const std::string &Resource, instant Now);

/// Takes all of \p Wanted or nothing. Returns whether it was taken.
bool takeUnits(budget_holder &Holder, std::span<const resource_amount> Wanted,
               instant Now);

/// Returns units whose work has ended.
void releaseUnits(budget_holder &Holder,
                  std::span<const resource_amount> Amounts);

/// Takes in a newer record. Older and equal versions change nothing, so a
/// delayed read can't raise what was lowered since.
void observeRecord(budget_holder &Holder, const pool_record &Record);

/// Notes the proof that \p Incarnation no longer runs.
void observeDeath(budget_holder &Holder, const std::string &Incarnation,
                  instant Now);

/// The record that this holder wants next, if any: its own row moved towards a
/// fair share, and rows of the provably dead removed. Lowers the holder's own
/// use before returning. The caller sends it as a conditional update on
/// Record.Version and reports back with updateAnswered.
std::optional<pool_record> planUpdate(budget_holder &Holder,
                                      const budget_timing &Timing, instant Now);

/// The record without this holder's row, when it leaves; nothing while units
/// are lent, borrowed or under work. Loans of holders that have been dead for
/// ReclaimDelay don't count. Its own use ends before this returns.
std::optional<pool_record> planLeave(budget_holder &Holder,
                                     const budget_timing &Timing, instant Now);

/// How a conditional update ended.
enum class update_result : std::uint8_t {
  /// The platform confirmed the write.
  Written,
  /// The platform refused it: another version is in force.
  Conflict,
  /// No answer: it may take effect now or later.
  Uncertain,
};

/// Takes in the answer to a conditional update of \p Proposed. One that wasn't
/// written is followed by a pause that doubles and differs from holder to
/// holder, so that a platform which comes back isn't met by all at once.
void updateAnswered(budget_holder &Holder, const pool_record &Proposed,
                    update_result Result, std::int64_t NewVersion, instant Now);

/// A message between two holders of a pool.
struct loan_message {
  enum class kind : std::uint8_t {
    /// Asks for up to Units under LoanId.
    Borrow,
    /// Says that Units are lent (possibly 0) under LoanId; also renews.
    Lend,
    /// Returns LoanId whole.
    Return,
    /// Confirms a return.
    Returned,
  };
  kind Kind = kind::Borrow;
  std::string Pool;
  std::string LoanId;
  std::string Resource;
  std::int64_t Units = 0;
};

/// A loan message and the incarnation it goes to.
struct outgoing_loan_message {
  std::string To;
  loan_message Message;
};

/// Asks \p Peer for \p Units of \p Resource.
outgoing_loan_message requestLoan(budget_holder &Holder,
                                  const std::string &Peer,
                                  const std::string &Resource,
                                  std::int64_t Units, instant Now);

/// Takes in a loan message; returns the replies.
std::vector<outgoing_loan_message>
handleLoanMessage(budget_holder &Holder, const std::string &From,
                  const loan_message &Message, const budget_timing &Timing,
                  instant Now);

/// Renews loans given, returns idle loans taken and repeats unconfirmed
/// returns, four times per LoanLease however often it's called.
std::vector<outgoing_loan_message>
loanTick(budget_holder &Holder, const budget_timing &Timing, instant Now);

} // namespace amaranthhoist
