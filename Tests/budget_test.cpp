// Budgets: the sum in use never passes the limit, whatever messages and writes
// do.

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

/// Writes what the holder wants, if anything, to \p Store.
bool write(budget_holder &Holder, pool_record &Store, instant Now) {
  const auto Next = planUpdate(Holder, {}, Now);
  if (!Next)
    return false;
  if (Next->Version != Store.Version) {
    updateAnswered(Holder, *Next, update_result::Conflict, 0, Now);
    return false;
  }
  Store = *Next;
  ++Store.Version;
  updateAnswered(Holder, *Next, update_result::Written, Store.Version, Now);
  return true;
}

} // namespace

// clang-format off
TEST_GROUP(Budget) {};
// clang-format on

TEST(Budget, OneHolderGetsAll) {
  budget_holder Holder = makeHolder("a");
  pool_record Store;
  LONGS_EQUAL(0, availableUnits(Holder, "power", Start));
  CHECK(write(Holder, Store, Start));
  LONGS_EQUAL(100, availableUnits(Holder, "power", Start));
}

// Symptom: a joiner and the old holder use the same units. Sequence: the joiner
// raises before the old one has lowered. Prevented by giver first.
TEST(Budget, AJoinerGetsOnlyWhatWasGivenUp) {
  budget_holder First = makeHolder("a");
  budget_holder Second = makeHolder("b");
  pool_record Store;
  write(First, Store, Start);
  const resource_amount Most{"power", 80};
  CHECK(takeUnits(First, {&Most, 1}, Start));
  observeRecord(Second, Store);
  write(Second, Store, Start);
  LONGS_EQUAL(0, availableUnits(Second, "power", Start));
  observeRecord(First, Store);
  // It gives up what is idle, and no unit under work.
  write(First, Store, Start);
  observeRecord(Second, Store);
  write(Second, Store, Start);
  LONGS_EQUAL(20, availableUnits(Second, "power", Start));
  LONGS_EQUAL(0, availableUnits(First, "power", Start));
}

// Symptom: a holder uses more than its row. Sequence: it lowers its row, the
// answer is lost, and a late read of the old version arrives.
TEST(Budget, ALateReadDoesNotRaiseWhatIsBeingLowered) {
  budget_holder First = makeHolder("a");
  pool_record Store;
  write(First, Store, Start);
  const pool_record Old = Store;
  Store.Shares["b"] = {};
  ++Store.Version;
  observeRecord(First, Store);
  const auto Next = planUpdate(First, {}, Start);
  CHECK(Next.has_value());
  updateAnswered(First, *Next, update_result::Uncertain, 0, Start);
  observeRecord(First, Old);
  observeRecord(First, Store);
  LONGS_EQUAL(50, availableUnits(First, "power", Start));
}

// Symptom: units stranded for good. Sequence: an update's answer is lost and
// the write never took effect. The same update is repeated after a pause.
TEST(Budget, AnUncertainUpdateIsRepeatedUnchanged) {
  budget_holder First = makeHolder("a");
  const auto Sent = planUpdate(First, {}, Start);
  updateAnswered(First, *Sent, update_result::Uncertain, 0, Start);
  CHECK(!planUpdate(First, {}, Start).has_value());
  const auto Again = planUpdate(First, {}, Start + seconds(60));
  CHECK(Again.has_value());
  CHECK(Again->Shares == Sent->Shares);
  LONGS_EQUAL(Sent->Version, Again->Version);
}

// Symptom: two holders use one loan. Sequence: the loan is returned, and a copy
// of the message that gave it arrives late.
TEST(Budget, ALateCopyOfALoanIsNotTaken) {
  budget_holder Lender = makeHolder("a");
  budget_holder Borrower = makeHolder("b");
  pool_record Store;
  write(Lender, Store, Start);
  const auto Asked = requestLoan(Borrower, "a", "power", 10, Start);
  const auto Lent = handleLoanMessage(Lender, "b", Asked.Message, {}, Start);
  handleLoanMessage(Borrower, "a", Lent[0].Message, {}, Start);
  LONGS_EQUAL(10, availableUnits(Borrower, "power", Start));
  LONGS_EQUAL(90, availableUnits(Lender, "power", Start));
  const auto Back = loanTick(Borrower, {}, Start);
  const auto Confirmed =
      handleLoanMessage(Lender, "b", Back[0].Message, {}, Start);
  handleLoanMessage(Borrower, "a", Confirmed[0].Message, {}, Start);
  handleLoanMessage(Borrower, "a", Lent[0].Message, {}, Start);
  LONGS_EQUAL(0, availableUnits(Borrower, "power", Start));
  LONGS_EQUAL(100, availableUnits(Lender, "power", Start));
}

TEST(Budget, ALoanEndsWhenItsLenderIsSilent) {
  budget_holder Lender = makeHolder("a");
  budget_holder Borrower = makeHolder("b");
  pool_record Store;
  write(Lender, Store, Start);
  const auto Asked = requestLoan(Borrower, "a", "power", 10, Start);
  const auto Lent = handleLoanMessage(Lender, "b", Asked.Message, {}, Start);
  handleLoanMessage(Borrower, "a", Lent[0].Message, {}, Start);
  LONGS_EQUAL(0, availableUnits(Borrower, "power", Start + seconds(3)));
}

TEST(Budget, ALowerCapCountsBeforeTheRowsFollow) {
  budget_holder First = makeHolder("a");
  pool_record Store;
  write(First, Store, Start);
  First.Limits["power"] = 40;
  LONGS_EQUAL(40, availableUnits(First, "power", Start));
}

// Symptom: the dead holder's work and its successors' draw together. Its row
// stays until the longest work it may have sent has ended.
TEST(Budget, ADeadHoldersRowComesBackOnlyAfterItsWorkHasEnded) {
  budget_holder First = makeHolder("a");
  pool_record Store;
  Store.Version = 1;
  Store.Shares["dead"] = {{"power", 50}};
  observeRecord(First, Store);
  write(First, Store, Start);
  observeDeath(First, "dead", Start);
  write(First, Store, Start + seconds(10));
  LONGS_EQUAL(50, availableUnits(First, "power", Start + seconds(10)));
  write(First, Store, Start + seconds(131));
  LONGS_EQUAL(100, availableUnits(First, "power", Start + seconds(131)));
}
