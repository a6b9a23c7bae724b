// At-most-once execution: the key tables of owner and witness.

#include "Keys/keys.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

constexpr std::int64_t Now = 1'000'000;
constexpr std::int64_t Expiry = Now + 60'000;
const key_limits Limits;

} // namespace

// clang-format off
TEST_GROUP(Keys) {};
// clang-format on

TEST(Keys, HomeRoundTripsThroughText) {
  const home_token Home{"gw-1/site-a#12", "gw-2/site-b#9", Expiry};
  const auto Parsed = parseKey(formatHome(Home) + ".caller.part");
  CHECK(Parsed.has_value());
  STRCMP_EQUAL("gw-1/site-a#12", Parsed->Home.Owner.c_str());
  STRCMP_EQUAL("gw-2/site-b#9", Parsed->Home.Witness.c_str());
  LONGS_EQUAL(Expiry, Parsed->Home.ExpiresAtMs);
  STRCMP_EQUAL("caller.part", Parsed->CallerPart.c_str());
}

TEST(Keys, MalformedKeysAreRejected) {
  for (const char *Text :
       {"", "nohome", "a~b~1.", "a~b.x", "a~b~c.x", "~b~1.x", "a~b~1~2.x",
        "a~b~1.with space", "a~b~99999999999999999999.x"})
    CHECK(!parseKey(Text).has_value());
  CHECK(!parseKey("a~b~1." + std::string(300, 'x')).has_value());
}

TEST(Keys, RetryJoinsThenReplays) {
  owner_table Table;
  CHECK(key_verdict::Admit == admitKey(Table, "k", Expiry, 1, Limits, Now));
  CHECK(key_verdict::Join == admitKey(Table, "k", Expiry, 2, Limits, Now));
  CHECK(applyWitnessReply(Table, "k", true));
  CHECK(markSent(Table, "k"));
  LONGS_EQUAL(2,
              closeKey(Table, "k", key_state::Answered, {200, "", "x"}).size());
  CHECK(key_verdict::Replay == admitKey(Table, "k", Expiry, 3, Limits, Now));
}

TEST(Keys, SendsOnceAndOnlyAfterWitnessRecord) {
  owner_table Table;
  admitKey(Table, "k", Expiry, 1, Limits, Now);
  CHECK(!markSent(Table, "k"));
  applyWitnessReply(Table, "k", true);
  CHECK(markSent(Table, "k"));
  CHECK(!markSent(Table, "k"));
}

// Regression: a key was executed after a caller had received "not run". The
// owner was paused before the witness received the record request; another
// party requested the seal; then the owner resumed.
TEST(Keys, SealedKeyIsNeverRecorded) {
  witness_table Witness;
  CHECK(outcome::NotRun == sealAtWitness(Witness, "k", Expiry, Limits, Now));
  CHECK(!recordAtWitness(Witness, "k", Expiry, Limits, Now));
  CHECK(outcome::NotRun == sealAtWitness(Witness, "k", Expiry, Limits, Now));
}

TEST(Keys, SealOfRecordedKeyReturnsUnknown) {
  witness_table Witness;
  CHECK(recordAtWitness(Witness, "k", Expiry, Limits, Now));
  CHECK(outcome::Unknown == sealAtWitness(Witness, "k", Expiry, Limits, Now));
}

TEST(Keys, MissingKeyProvesNotRunUntilMaxDelayAfterExpiry) {
  owner_table Table;
  CHECK(key_verdict::NotRun ==
        admitKey(Table, "k", Expiry, 1, Limits, Expiry + 1));
  CHECK(key_verdict::Unknown ==
        admitKey(Table, "k", Expiry, 1, Limits, Expiry + Limits.MaxDelayMs));
  witness_table Witness;
  CHECK(!recordAtWitness(Witness, "k", Expiry, Limits, Expiry));
  CHECK(outcome::Unknown == sealAtWitness(Witness, "k", Expiry, Limits,
                                          Expiry + Limits.MaxDelayMs));
}

TEST(Keys, FullTableRejectsNewKeysAndKeepsExisting) {
  key_limits Small;
  Small.MaxKeys = 1;
  owner_table Table;
  admitKey(Table, "k", Expiry, 1, Small, Now);
  CHECK(key_verdict::TableFull == admitKey(Table, "l", Expiry, 2, Small, Now));
  CHECK(key_verdict::Join == admitKey(Table, "k", Expiry, 3, Small, Now));
  witness_table Witness;
  recordAtWitness(Witness, "k", Expiry, Small, Now);
  CHECK(!recordAtWitness(Witness, "l", Expiry, Small, Now));
  CHECK(outcome::Unknown == sealAtWitness(Witness, "l", Expiry, Small, Now));
}

TEST(Keys, ExpiryRemovesFinishedKeysAndKeepsKeysInProgress) {
  owner_table Table;
  admitKey(Table, "waiting", Expiry, 1, Limits, Now);
  admitKey(Table, "done", Expiry, 2, Limits, Now);
  closeKey(Table, "done", key_state::NotRun);
  expireKeys(Table, Limits, Expiry + Limits.MaxDelayMs);
  LONGS_EQUAL(1, Table.Keys.size());
  CHECK(Table.Keys.contains("waiting"));
}
