// Budgets: the sum in use never exceeds the limit, with any order and loss of
// messages and writes.

#include "Budget/budget.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::seconds;

namespace {

const instant Start{seconds(100)};

budget_holder makeHolder(const char *Name) {
  budget_holder Holder;
  Holder.Self = Name;
  Holder.Limits = {{"power", 100}};
  return Holder;
}

/// Writes the holder's next planned update, if any, to \p Store. Returns
/// whether it was written.
bool write(budget_holder &Holder, pool_record &Store, instant Now) {
  const auto Next = planUpdate(Holder, {}, Now);
  if (!Next)
    return false;
  if (Next->Version != Store.Version) {
    handleUpdateResult(Holder, *Next, update_result::Conflict, 0, Now);
    return false;
  }
  Store = *Next;
  ++Store.Version;
  handleUpdateResult(Holder, *Next, update_result::Written, Store.Version, Now);
  return true;
}

} // namespace

// clang-format off
TEST_GROUP(Budget) {};
// clang-format on

TEST(Budget, SingleHolderGetsFullLimit) {
  budget_holder Holder = makeHolder("a");
  pool_record Store;
  LONGS_EQUAL(0, availableUnits(Holder, "power", Start));
  CHECK(write(Holder, Store, Start));
  LONGS_EQUAL(100, availableUnits(Holder, "power", Start));
}

// Regression: a new holder and an existing holder used the same units when the
// new holder raised its share before the existing one had lowered its own. The
// existing holder must lower its own share first.
TEST(Budget, NewHolderGetsOnlyReleasedUnits) {
  budget_holder First = makeHolder("a");
  budget_holder Second = makeHolder("b");
  pool_record Store;
  write(First, Store, Start);
  const resource_amount Most{"power", 80};
  CHECK(acquireUnits(First, {&Most, 1}, Start));
  applyRecord(Second, Store);
  write(Second, Store, Start);
  LONGS_EQUAL(0, availableUnits(Second, "power", Start));
  applyRecord(First, Store);
  // The holder gives up its idle units and keeps every unit in use.
  write(First, Store, Start);
  applyRecord(Second, Store);
  write(Second, Store, Start);
  LONGS_EQUAL(20, availableUnits(Second, "power", Start));
  LONGS_EQUAL(0, availableUnits(First, "power", Start));
}

// Regression: a holder used more than its row after it had lowered the row, the
// response was lost, and a delayed read of the old version arrived.
TEST(Budget, DelayedReadDoesNotRaiseLoweredShare) {
  budget_holder First = makeHolder("a");
  pool_record Store;
  write(First, Store, Start);
  const pool_record Old = Store;
  Store.Shares["b"] = {};
  ++Store.Version;
  applyRecord(First, Store);
  const auto Next = planUpdate(First, {}, Start);
  CHECK(Next.has_value());
  handleUpdateResult(First, *Next, update_result::Uncertain, 0, Start);
  applyRecord(First, Old);
  applyRecord(First, Store);
  LONGS_EQUAL(50, availableUnits(First, "power", Start));
}

// Regression: units were unavailable forever after the response to an update
// was lost and the write never took effect. The same update is retried after a
// backoff.
TEST(Budget, UncertainUpdateIsRetriedUnchanged) {
  budget_holder First = makeHolder("a");
  const auto Sent = planUpdate(First, {}, Start);
  handleUpdateResult(First, *Sent, update_result::Uncertain, 0, Start);
  CHECK(!planUpdate(First, {}, Start).has_value());
  const auto Again = planUpdate(First, {}, Start + seconds(60));
  CHECK(Again.has_value());
  CHECK(Again->Shares == Sent->Shares);
  LONGS_EQUAL(Sent->Version, Again->Version);
}

// Regression: two holders used one loan when the loan was returned and a
// delayed copy of the message that granted it arrived.
TEST(Budget, DelayedCopyOfLoanIsRejected) {
  budget_holder Lender = makeHolder("a");
  budget_holder Borrower = makeHolder("b");
  pool_record Store;
  write(Lender, Store, Start);
  const auto Asked = requestLoan(Borrower, "a", "power", 10, Start);
  const auto Lent = handleLoanMessage(Lender, "b", Asked.Message, {}, Start);
  handleLoanMessage(Borrower, "a", Lent[0].Message, {}, Start);
  LONGS_EQUAL(10, availableUnits(Borrower, "power", Start));
  LONGS_EQUAL(90, availableUnits(Lender, "power", Start));
  const auto Back = maintainLoans(Borrower, {}, Start);
  const auto Confirmed =
      handleLoanMessage(Lender, "b", Back[0].Message, {}, Start);
  handleLoanMessage(Borrower, "a", Confirmed[0].Message, {}, Start);
  handleLoanMessage(Borrower, "a", Lent[0].Message, {}, Start);
  LONGS_EQUAL(0, availableUnits(Borrower, "power", Start));
  LONGS_EQUAL(100, availableUnits(Lender, "power", Start));
}

TEST(Budget, LoanExpiresWithoutRenewal) {
  budget_holder Lender = makeHolder("a");
  budget_holder Borrower = makeHolder("b");
  pool_record Store;
  write(Lender, Store, Start);
  const auto Asked = requestLoan(Borrower, "a", "power", 10, Start);
  const auto Lent = handleLoanMessage(Lender, "b", Asked.Message, {}, Start);
  handleLoanMessage(Borrower, "a", Lent[0].Message, {}, Start);
  LONGS_EQUAL(0, availableUnits(Borrower, "power", Start + seconds(3)));
}

TEST(Budget, LoweredLimitAppliesBeforeRowsAreUpdated) {
  budget_holder First = makeHolder("a");
  pool_record Store;
  write(First, Store, Start);
  First.Limits["power"] = 40;
  LONGS_EQUAL(40, availableUnits(First, "power", Start));
}

// Regression: requests of a dead holder and of its successors drew power
// together. The row of a dead holder stays until the longest work that it may
// have sent has ended.
TEST(Budget, RowOfDeadHolderIsReclaimedAfterItsWorkEnded) {
  budget_holder First = makeHolder("a");
  pool_record Store;
  Store.Version = 1;
  Store.Shares["dead"] = {{"power", 50}};
  applyRecord(First, Store);
  write(First, Store, Start);
  recordHolderDeath(First, "dead", Start);
  write(First, Store, Start + seconds(10));
  LONGS_EQUAL(50, availableUnits(First, "power", Start + seconds(10)));
  write(First, Store, Start + seconds(131));
  LONGS_EQUAL(100, availableUnits(First, "power", Start + seconds(131)));
}
