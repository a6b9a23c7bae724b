/// At most once for non-idempotent work, without a store write per request.
///
/// An idempotency key names its *home*: the one gateway incarnation that may
/// run it (owner) and a witness in another failure domain. The owner sends
/// nothing before the witness has recorded that the key may have run. When the
/// owner is gone the witness seals the key: without a record it is proved that
/// the key was not run and never will be, since a sealed key is never recorded.
///
/// Tables are sharded by key, each shard with its own lock in the daemons; the
/// functions here work on one shard.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthhoist {

/// Where a key lives: who may run it, who witnesses, and until when.
struct home_token {
  std::string Owner;
  std::string Witness;
  /// Milliseconds since the Unix epoch, by the issuing entry's clock.
  std::int64_t ExpiresAtMs = 0;
};

/// Text of a home token, as handed to callers: owner~witness~expiry.
std::string formatHome(const home_token &Home);

/// An idempotency key split into its home and the caller's own part.
struct parsed_key {
  home_token Home;
  std::string CallerPart;
};

/// Longest idempotency key accepted, in bytes.
inline constexpr std::size_t MaxKeyLength = 256;

/// Splits `<home>.<caller's part>`; Invalid when it has no well-formed home.
result<parsed_key> parseKey(std::string_view Key);

/// An answer kept for retries of the same key.
struct stored_answer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// What the owner knows of a key.
enum class key_state : std::uint8_t {
  /// Admitted; the witness has not confirmed yet. Nothing was sent.
  Recording,
  /// The witness has it on record. May be sent, once.
  Recorded,
  /// Handed to a backend server.
  Sent,
  /// Ran; the answer is kept.
  Answered,
  /// Closed: was not run and never will be.
  NotRun,
  /// Sent, and its end isn't known.
  Unknown,
};

/// One key at its owner.
struct owned_key {
  key_state State = key_state::Recording;
  std::int64_t ExpiresAtMs = 0;
  stored_answer Answer;
  /// Requests that wait for the result: the first and its retries.
  std::vector<std::uint64_t> Waiters;
};

/// Bounds of a key table.
struct key_limits {
  /// A full table refuses new keys; it never forgets a live one.
  std::size_t MaxKeys = 200'000;
  /// Longest time a copy of a request, or clocks that differ, may lag behind.
  std::int64_t MaxDelayMs = 60'000;
  /// Larger answers are not kept for retries.
  std::size_t MaxAnswerBytes = 65'536;
};

/// One shard of the keys that this incarnation owns.
struct owner_table {
  std::unordered_map<std::string, owned_key> Keys;
};

/// One shard of the keys that this incarnation witnesses.
struct witness_table {
  struct entry {
    /// Sealed: the owner may not run it any more.
    bool Sealed = false;
    std::int64_t ExpiresAtMs = 0;
  };
  std::unordered_map<std::string, entry> Keys;
};

/// What the owner does with an arriving copy of a key.
enum class key_verdict : std::uint8_t {
  /// New: ask the witness, then queue it.
  Admit,
  /// The same key is under way: wait for its result.
  Join,
  /// The kept answer is the result.
  Replay,
  /// Was not run and never will be.
  NotRun,
  /// May have run; it won't be run again.
  Unknown,
  /// No room for another key. The key stays open: it may be tried again.
  TableFull,
};

/// Takes in a copy of \p Key at its owner. \p WallMs is the wall clock.
key_verdict admitKey(owner_table &Table, const std::string &Key,
                     std::int64_t ExpiresAtMs, std::uint64_t Waiter,
                     const key_limits &Limits, std::int64_t WallMs);

/// The witness confirmed (or refused: it has sealed the key). A refusal closes
/// the key. Returns whether the key may now be sent.
bool witnessAnswered(owner_table &Table, const std::string &Key, bool Recorded);

/// Marks \p Key as sent. Returns false, and nothing may be sent, unless the
/// key is recorded and was not sent or closed before.
bool markSent(owner_table &Table, const std::string &Key);

/// Proof that the send did not run (connection refused, or the backend server's
/// own word): the key may be sent once more, to another target.
void markUnsent(owner_table &Table, const std::string &Key);

/// Ends \p Key as \p State and returns the requests that wait for it.
std::vector<std::uint64_t> closeKey(owner_table &Table, const std::string &Key,
                                    key_state State, stored_answer Answer = {});

/// Removes a waiter that went away; the key itself goes on.
void forgetWaiter(owner_table &Table, const std::string &Key,
                  std::uint64_t Waiter);

/// The owner asks: record that \p Key may have run. False when sealed or full.
bool recordAtWitness(witness_table &Table, const std::string &Key,
                     std::int64_t ExpiresAtMs, const key_limits &Limits,
                     std::int64_t WallMs);

/// Somebody who can't reach the owner asks for the key's fate. Seals it.
/// NotRun when there was no record, else Unknown.
outcome sealAtWitness(witness_table &Table, const std::string &Key,
                      std::int64_t ExpiresAtMs, const key_limits &Limits,
                      std::int64_t WallMs);

/// Forgets keys whose home expired longer than MaxDelay ago. Keys under way
/// stay.
void expireKeys(owner_table &Table, const key_limits &Limits,
                std::int64_t WallMs);
void expireKeys(witness_table &Table, const key_limits &Limits,
                std::int64_t WallMs);

} // namespace amaranthhoist
