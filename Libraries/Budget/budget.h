/// Shared budgets: the power cap of a site, the slots of its targets and the
/// link limits of a region, divided among the gateways that send work to the
/// site.
///
/// The platform stores one pool_record per pool. Its rows are the share records
/// of the holders, and their sum never exceeds the limit. Two rules keep the
/// sum of the *usable* units below the limit at every instant, without clocks
/// or consensus:
///
///  - a holder lowers its own use before it lowers its row;
///  - a holder raises its row, by conditional update, before it raises its use.
///
/// Only the holder itself changes its row, with one exception: any holder may
/// remove the row of a holder that is proved dead, once every request which
/// that holder sent has ended. Between updates, and while the platform is
/// unavailable, holders lend units to each other directly: the lender counts a
/// unit as lent before it sends the loan. A lost message therefore makes units
/// unavailable until the message is retried; units are never over-allocated.
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

/// The platform's object for one pool: the share of each holder.
struct pool_record {
  /// Version of the object in the platform; 0 before the first write.
  std::int64_t Version = 0;
  /// Shares by holder (incarnation of a gateway).
  std::map<std::string, amounts> Shares;
};

/// Units lent by one holder to another.
struct loan {
  std::string Peer;
  std::string Resource;
  std::int64_t Units = 0;
  /// Set by the borrower only: no new use from this time on unless the lender
  /// renews the loan.
  instant Expiry{};
};

/// State of one resource at one holder.
struct share {
  /// Units that the row allows; never more than the row stored in the platform.
  std::int64_t Granted = 0;
  /// Lent to peers and not yet returned.
  std::int64_t Lent = 0;
  /// In use by requests in progress.
  std::int64_t Used = 0;
};

/// A conditional update that was sent and whose result is not known yet.
struct pending_update {
  pool_record Proposed;
  /// Whether the response was lost, so that the same update must be retried: a
  /// retry on the same version takes effect at most once.
  bool NeedsRetry = false;
};

/// State of one gateway in one pool.
struct budget_holder {
  /// Incarnation of the gateway; also the name of its row.
  std::string Self;
  /// The newest record received.
  pool_record Record;
  /// Current limit of each resource, from the settings and measurements.
  amounts Limits;
  /// Smallest useful amount of a resource; 1 if missing. Shares and loans are
  /// multiples of it: otherwise three holders of 80 W whose requests draw 10 W
  /// would get 26.7 W each and leave a quarter unused.
  amounts Quanta;
  std::map<std::string, share> Shares;
  /// Loans to peers, by loan id.
  std::map<std::string, loan> LoansGiven;
  /// Loans from peers, by loan id.
  std::map<std::string, loan> LoansTaken;
  /// Ids of requested loans without a response yet, with the time of the
  /// request. A loan is accepted only under one of these ids, so a delayed copy
  /// of a closed loan is rejected.
  std::map<std::string, instant> LoansRequested;
  /// Loans that were returned to the lender and whose return is not confirmed
  /// yet, by loan id.
  std::map<std::string, loan> LoansReturning;
  /// Holders proved dead, with the time at which this holder received the
  /// proof.
  std::map<std::string, instant> DeadHolders;
  std::optional<pending_update> Pending;
  /// Consecutive updates that were not written, and the earliest time of the
  /// next update.
  std::int32_t FailedUpdates = 0;
  instant NextUpdate{};
  std::uint64_t NextLoan = 1;
  /// Time at which loans are next renewed and returned.
  instant NextRenewal{};
};

/// Times after which lent units and units of dead holders may be used again.
struct budget_timing {
  /// A loan expires at the borrower this long after the lender's last renewal.
  duration LoanLease = std::chrono::seconds(2);
  /// Time from the proof of a holder's death until the last request that it
  /// sent, and the last one sent on units borrowed from it, has certainly
  /// ended. Must cover LoanLease plus the longest deadline sent to a backend
  /// server.
  duration ReclaimDelay = std::chrono::seconds(130);
};

/// The quantum of \p Resource; at least 1.
std::int64_t quantumOf(const budget_holder &Holder,
                       const std::string &Resource);

/// Units of \p Resource that are available to new work at \p Now.
std::int64_t availableUnits(const budget_holder &Holder,
                            const std::string &Resource, instant Now);

/// Acquires all of \p Wanted or nothing. Returns whether the units were
/// acquired.
bool acquireUnits(budget_holder &Holder,
                  std::span<const resource_amount> Wanted, instant Now);

/// Releases units whose work has ended.
void releaseUnits(budget_holder &Holder,
                  std::span<const resource_amount> Amounts);

/// Applies a newer record. Older and equal versions are ignored, so a delayed
/// read cannot raise a share that was lowered since.
void applyRecord(budget_holder &Holder, const pool_record &Record);

/// Records the proof that \p Incarnation is no longer running.
void recordHolderDeath(budget_holder &Holder, const std::string &Incarnation,
                       instant Now);

/// Plans the next record for this holder, if it needs a change: its own row
/// moved towards a fair share, and rows of holders proved dead removed. Lowers
/// the holder's own use before returning. The caller sends the record as a
/// conditional update on Record.Version and passes the result to
/// handleUpdateResult.
std::optional<pool_record> planUpdate(budget_holder &Holder,
                                      const budget_timing &Timing, instant Now);

/// Plans the record without this holder's row, for a holder that shuts down;
/// nothing while units are lent, borrowed or in use. Loans of holders that have
/// been dead for ReclaimDelay are ignored. The holder's own use ends before
/// this returns.
std::optional<pool_record>
planRowRemoval(budget_holder &Holder, const budget_timing &Timing, instant Now);

/// Result of a conditional update.
enum class update_result : std::uint8_t {
  /// The platform confirmed the write.
  Written,
  /// The platform rejected the write: another version is current.
  Conflict,
  /// No response: the write may take effect now or later.
  Uncertain,
};

/// Handles the result of a conditional update of \p Proposed. An update that
/// was not written is followed by a backoff that doubles and differs between
/// holders, so that a recovering platform does not receive the updates of all
/// holders at once.
void handleUpdateResult(budget_holder &Holder, const pool_record &Proposed,
                        update_result Result, std::int64_t NewVersion,
                        instant Now);

/// A message between two holders of a pool.
struct loan_message {
  enum class kind : std::uint8_t {
    /// Requests up to Units under LoanId.
    Borrow,
    /// Lends Units (possibly 0) under LoanId; also renews the loan.
    Lend,
    /// Returns all units of LoanId.
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

/// A loan message and the incarnation that receives it.
struct outgoing_loan_message {
  std::string To;
  loan_message Message;
};

/// Creates a request to \p Peer for a loan of \p Units of \p Resource.
outgoing_loan_message requestLoan(budget_holder &Holder,
                                  const std::string &Peer,
                                  const std::string &Resource,
                                  std::int64_t Units, instant Now);

/// Handles a loan message and returns the replies.
std::vector<outgoing_loan_message>
handleLoanMessage(budget_holder &Holder, const std::string &From,
                  const loan_message &Message, const budget_timing &Timing,
                  instant Now);

/// Renews the loans to peers, returns idle loans from peers and retries
/// unconfirmed returns. Runs four times per LoanLease however often it is
/// called.
std::vector<outgoing_loan_message>
maintainLoans(budget_holder &Holder, const budget_timing &Timing, instant Now);

} // namespace amaranthhoist
