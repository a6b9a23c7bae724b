#include "Budget/budget.h"

#include <algorithm>
#include <utility>

namespace amaranthhoist {

/// Backoff after updates that were not written. After a conflict the newer
/// record is about to arrive; after a missing response the platform is probably
/// unavailable, and in a fleet of the required size 1,900 holders must not send
/// their updates at once.
static constexpr duration FirstConflictBackoff = std::chrono::milliseconds(25);
static constexpr duration FirstNoResponseBackoff = std::chrono::seconds(1);
static constexpr duration MaxBackoff = std::chrono::seconds(30);

static std::int64_t amountOf(const amounts &Amounts, const std::string &Name) {
  auto Found = Amounts.find(Name);
  return Found == Amounts.end() ? 0 : Found->second;
}

static std::int64_t sumOfRows(const pool_record &Record,
                              const std::string &Resource) {
  std::int64_t Sum = 0;
  for (const auto &[Holder, Row] : Record.Shares)
    Sum += amountOf(Row, Resource);
  return Sum;
}

/// An operator may lower a limit below the sum of the rows. Until the rows are
/// adjusted, every holder scales its own grant by the same factor, so the sum
/// in use is below the new limit as soon as each holder has received it.
static std::int64_t scaledGrant(const budget_holder &Holder,
                                const std::string &Resource,
                                std::int64_t Granted) {
  const std::int64_t Limit = amountOf(Holder.Limits, Resource);
  const std::int64_t Sum = sumOfRows(Holder.Record, Resource);
  if (Sum <= Limit)
    return Granted;
  return Granted * Limit / Sum;
}

static std::int64_t borrowedUnits(const budget_holder &Holder,
                                  const std::string &Resource, instant Now) {
  std::int64_t Sum = 0;
  for (const auto &[Id, Loan] : Holder.LoansTaken)
    if (Loan.Resource == Resource && Now < Loan.Expiry)
      Sum += Loan.Units;
  return Sum;
}

static const share &shareOf(const budget_holder &Holder,
                            const std::string &Resource) {
  static const share Empty;
  auto Found = Holder.Shares.find(Resource);
  return Found == Holder.Shares.end() ? Empty : Found->second;
}

std::int64_t quantumOf(const budget_holder &Holder,
                       const std::string &Resource) {
  return std::max<std::int64_t>(1, amountOf(Holder.Quanta, Resource));
}

std::int64_t availableUnits(const budget_holder &Holder,
                            const std::string &Resource, instant Now) {
  const share &Share = shareOf(Holder, Resource);
  const std::int64_t Free = scaledGrant(Holder, Resource, Share.Granted) -
                            Share.Lent - Share.Used +
                            borrowedUnits(Holder, Resource, Now);
  return std::max<std::int64_t>(Free, 0);
}

bool acquireUnits(budget_holder &Holder,
                  std::span<const resource_amount> Wanted, instant Now) {
  for (const resource_amount &Amount : Wanted)
    if (availableUnits(Holder, Amount.Resource, Now) < Amount.Units)
      return false;
  for (const resource_amount &Amount : Wanted)
    Holder.Shares[Amount.Resource].Used += Amount.Units;
  return true;
}

void releaseUnits(budget_holder &Holder,
                  std::span<const resource_amount> Amounts) {
  for (const resource_amount &Amount : Amounts)
    Holder.Shares[Amount.Resource].Used -= Amount.Units;
}

static void applyOwnRow(budget_holder &Holder) {
  auto Row = Holder.Record.Shares.find(Holder.Self);
  for (auto &[Resource, Share] : Holder.Shares)
    Share.Granted = 0;
  if (Row == Holder.Record.Shares.end())
    return;
  for (const auto &[Resource, Units] : Row->second)
    Holder.Shares[Resource].Granted = Units;
}

void applyRecord(budget_holder &Holder, const pool_record &Record) {
  // A delayed read of an older version, or of the version on which this
  // holder's own unconfirmed update is based, would raise the grant while that
  // update may still lower the row. Only a newer version proves that the update
  // can no longer take effect.
  if (Record.Version <= Holder.Record.Version)
    return;
  Holder.Record = Record;
  Holder.Pending.reset();
  applyOwnRow(Holder);
}

void recordHolderDeath(budget_holder &Holder, const std::string &Incarnation,
                       instant Now) {
  if (Incarnation != Holder.Self)
    Holder.DeadHolders.try_emplace(Incarnation, Now);
}

/// Dead holders whose last request, and the last request on units borrowed from
/// them, has certainly ended.
static std::set<std::string> reclaimableHolders(const budget_holder &Holder,
                                                const budget_timing &Timing,
                                                instant Now) {
  std::set<std::string> Names;
  for (const auto &[Incarnation, Since] : Holder.DeadHolders)
    if (Now >= Since + Timing.ReclaimDelay)
      Names.insert(Incarnation);
  return Names;
}

/// Divides a limit into equal parts, in quanta. The row that gets the first
/// unit of the remainder depends on the resource, so that all holders compute
/// the same division from the same record and no single row gets the odd slot
/// of every target.
static std::int64_t fairUnits(const pool_record &Record,
                              const std::string &Self,
                              const std::string &Resource, std::int64_t Limit,
                              std::int64_t Quantum) {
  const auto Rows = static_cast<std::int64_t>(Record.Shares.size());
  const auto Rank = static_cast<std::int64_t>(
      std::distance(Record.Shares.begin(), Record.Shares.find(Self)));
  const auto Start = static_cast<std::int64_t>(
      stableHash(Resource) % static_cast<std::uint64_t>(Rows));
  const std::int64_t Whole = Limit / Quantum;
  const bool OneMore = (Rank + Start) % Rows < Whole % Rows;
  return (Whole / Rows + (OneMore ? 1 : 0)) * Quantum;
}

static std::int64_t nextUnits(const budget_holder &Holder,
                              const pool_record &Next,
                              const std::string &Resource, std::int64_t Limit) {
  const std::int64_t Row = amountOf(Next.Shares.at(Holder.Self), Resource);
  const std::int64_t Quantum = quantumOf(Holder, Resource);
  const std::int64_t Fair =
      fairUnits(Next, Holder.Self, Resource, Limit, Quantum);
  const share &Share = shareOf(Holder, Resource);
  if (Row > Fair)
    return std::min(Row, std::max(Fair, Share.Used + Share.Lent));
  const std::int64_t Free =
      std::max<std::int64_t>(0, Limit - sumOfRows(Next, Resource));
  return Row + std::min(Free / Quantum * Quantum, Fair - Row);
}

static void removeLoansOfDeadHolders(budget_holder &Holder,
                                     const std::set<std::string> &Names) {
  std::erase_if(Holder.LoansGiven, [&](const auto &Entry) {
    if (!Names.contains(Entry.second.Peer))
      return false;
    Holder.Shares[Entry.second.Resource].Lent -= Entry.second.Units;
    return true;
  });
  std::erase_if(Holder.LoansReturning, [&](const auto &Entry) {
    return Names.contains(Entry.second.Peer);
  });
}

std::optional<pool_record>
planUpdate(budget_holder &Holder, const budget_timing &Timing, instant Now) {
  const std::set<std::string> Reclaimable =
      reclaimableHolders(Holder, Timing, Now);
  removeLoansOfDeadHolders(Holder, Reclaimable);
  if (Now < Holder.NextUpdate)
    return std::nullopt;
  if (Holder.Pending) {
    if (!std::exchange(Holder.Pending->NeedsRetry, false))
      return std::nullopt;
    return Holder.Pending->Proposed;
  }
  pool_record Next = Holder.Record;
  std::erase_if(Next.Shares, [&](const auto &Row) {
    return Reclaimable.contains(Row.first);
  });
  Next.Shares.try_emplace(Holder.Self);
  amounts &Own = Next.Shares[Holder.Self];
  for (const auto &[Resource, Limit] : Holder.Limits)
    Own[Resource] = nextUnits(Holder, Next, Resource, Limit);
  std::erase_if(Own, [&](const auto &Entry) {
    return !Holder.Limits.contains(Entry.first) &&
           shareOf(Holder, Entry.first).Used == 0;
  });
  if (Next.Shares == Holder.Record.Shares)
    return std::nullopt;
  for (auto &[Resource, Share] : Holder.Shares)
    Share.Granted = std::min(Share.Granted, amountOf(Own, Resource));
  Holder.Pending = pending_update{Next};
  return Next;
}

std::optional<pool_record> planRowRemoval(budget_holder &Holder,
                                          const budget_timing &Timing,
                                          instant Now) {
  // A dead borrower returns nothing and a dead lender confirms nothing: without
  // this, a holder that shuts down would wait for them until the shutdown limit
  // of its process.
  removeLoansOfDeadHolders(Holder, reclaimableHolders(Holder, Timing, Now));
  if (Holder.Pending) {
    if (!std::exchange(Holder.Pending->NeedsRetry, false))
      return std::nullopt;
    return Holder.Pending->Proposed;
  }
  for (const auto &[Resource, Share] : Holder.Shares)
    if (Share.Used != 0 || Share.Lent != 0)
      return std::nullopt;
  const bool Borrows =
      !Holder.LoansTaken.empty() || !Holder.LoansReturning.empty();
  if (Borrows || !Holder.Record.Shares.contains(Holder.Self))
    return std::nullopt;
  pool_record Next = Holder.Record;
  Next.Shares.erase(Holder.Self);
  for (auto &[Resource, Share] : Holder.Shares)
    Share.Granted = 0;
  Holder.Pending = pending_update{Next};
  return Next;
}

/// Backoff that doubles from \p First to MaxBackoff; the second half of each
/// pause is spread by the holder's id.
static duration backoffAfter(const budget_holder &Holder, duration First) {
  const std::int32_t Failures = Holder.FailedUpdates;
  const duration Whole =
      std::min(MaxBackoff, First * (1 << std::min(Failures, 10)));
  const auto Half = static_cast<std::uint64_t>(Whole.count() / 2);
  const std::uint64_t Own =
      stableHash(Holder.Self, static_cast<std::uint64_t>(Failures)) % Half;
  return duration(static_cast<std::int64_t>(Half + Own));
}

void handleUpdateResult(budget_holder &Holder, const pool_record &Proposed,
                        update_result Result, std::int64_t NewVersion,
                        instant Now) {
  // Conflict: a newer version exists and will be received. Uncertain: the write
  // may take effect at any time, so the lower of both grants applies until a
  // newer version is received.
  if (Result == update_result::Uncertain && Holder.Pending)
    Holder.Pending->NeedsRetry = true;
  if (Result != update_result::Written) {
    ++Holder.FailedUpdates;
    Holder.NextUpdate =
        Now + backoffAfter(Holder, Result == update_result::Conflict
                                       ? FirstConflictBackoff
                                       : FirstNoResponseBackoff);
    return;
  }
  Holder.FailedUpdates = 0;
  pool_record Written = Proposed;
  Written.Version = NewVersion;
  applyRecord(Holder, Written);
}

} // namespace amaranthhoist
