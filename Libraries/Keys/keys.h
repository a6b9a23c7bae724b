/// At-most-once execution of non-idempotent work, without a store write per
/// request.
///
/// An idempotency key names its *home*: the one gateway incarnation that may
/// execute the request (owner) and a witness in another failure domain. The
/// owner sends nothing before the witness has recorded that the key may have
/// been executed. When the owner is unreachable the witness seals (fences) the
/// key: if there is no record, the key was not executed and never will be,
/// since a sealed key is never recorded.
///
/// Tables are sharded by key, and each shard has its own lock in the daemons;
/// the functions here work on one shard.
#pragma once

#include "Core/core.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace amaranthhoist {

/// Home of a key: its owner, its witness and its expiry.
struct home_token {
  std::string Owner;
  std::string Witness;
  /// Milliseconds since the Unix epoch, by the issuing entry's clock.
  std::int64_t ExpiresAtMs = 0;
};

/// Formats a home token for callers: owner~witness~expiry.
std::string formatHome(const home_token &Home);

/// An idempotency key, split into its home and the part that the caller chose.
struct parsed_key {
  home_token Home;
  std::string CallerPart;
};

/// Maximum length of an idempotency key, in bytes.
inline constexpr std::size_t MaxKeyLength = 256;

/// Splits `<home>.<caller's part>`; returns Invalid if the key has no
/// well-formed home.
result<parsed_key> parseKey(std::string_view Key);

/// A response stored for retries of the same key.
struct stored_response {
  int Status = 0;
  std::string ContentType;
  std::string Body;
};

/// State of a key at its owner.
enum class key_state : std::uint8_t {
  /// Admitted; the witness has not confirmed yet. Nothing was sent.
  Recording,
  /// The witness has recorded the key. May be sent once.
  Recorded,
  /// Sent to a backend server.
  Sent,
  /// Executed; the response is stored.
  Answered,
  /// Closed: was not executed and never will be.
  NotRun,
  /// Sent; it is unknown whether it was executed.
  Unknown,
};

/// One key at its owner.
struct owned_key {
  key_state State = key_state::Recording;
  std::int64_t ExpiresAtMs = 0;
  stored_response Response;
  /// Requests that wait for the result: the first one and its retries.
  std::vector<std::uint64_t> Waiters;
};

/// Bounds of a key table.
struct key_limits {
  /// A full table rejects new keys; it never removes a live one.
  std::size_t MaxKeys = 200'000;
  /// Maximum delay of a copy of a request, including clock skew.
  std::int64_t MaxDelayMs = 60'000;
  /// Larger responses are not stored for retries.
  std::size_t MaxResponseBytes = 65'536;
};

/// One shard of the keys that this incarnation owns.
struct owner_table {
  std::unordered_map<std::string, owned_key> Keys;
};

/// One shard of the keys that this incarnation witnesses.
struct witness_table {
  struct entry {
    /// Sealed: the owner may no longer execute the request.
    bool Sealed = false;
    std::int64_t ExpiresAtMs = 0;
  };
  std::unordered_map<std::string, entry> Keys;
};

/// Decision of the owner on an arriving copy of a key.
enum class key_verdict : std::uint8_t {
  /// New: request a record at the witness, then queue the request.
  Admit,
  /// The same key is in progress: wait for its result.
  Join,
  /// The stored response is the result.
  Replay,
  /// Was not executed and never will be.
  NotRun,
  /// May have been executed; it will not be executed again.
  Unknown,
  /// The table is full. The key stays open and may be retried.
  TableFull,
};

/// Handles a copy of \p Key at its owner. \p WallMs is the wall clock.
key_verdict admitKey(owner_table &Table, const std::string &Key,
                     std::int64_t ExpiresAtMs, std::uint64_t Waiter,
                     const key_limits &Limits, std::int64_t WallMs);

/// Handles the reply of the witness: it has confirmed the record, or rejected
/// it (the key is sealed, or its table is full). Returns whether the key may
/// now be sent; after a rejection the caller closes the key.
bool applyWitnessReply(owner_table &Table, const std::string &Key,
                       bool Recorded);

/// Marks \p Key as sent. Returns false, and the caller must not send, unless
/// the key is recorded and was not sent or closed before.
bool markSent(owner_table &Table, const std::string &Key);

/// Reverts markSent after proof that the request was not executed (connection
/// refused, or the backend server reported it): the key may be sent once more,
/// to another target.
void markUnsent(owner_table &Table, const std::string &Key);

/// Closes \p Key with \p State and returns the requests that wait for it.
std::vector<std::uint64_t> closeKey(owner_table &Table, const std::string &Key,
                                    key_state State,
                                    stored_response Answer = {});

/// Removes a waiter that disconnected; the key itself stays in progress.
void removeWaiter(owner_table &Table, const std::string &Key,
                  std::uint64_t Waiter);

/// Records, at the owner's request, that \p Key may have been executed. Returns
/// false if the key is sealed, has expired, or the table is full.
bool recordAtWitness(witness_table &Table, const std::string &Key,
                     std::int64_t ExpiresAtMs, const key_limits &Limits,
                     std::int64_t WallMs);

/// Seals \p Key at the request of a party that cannot reach the owner. Returns
/// NotRun if there was no record, otherwise Unknown.
outcome sealAtWitness(witness_table &Table, const std::string &Key,
                      std::int64_t ExpiresAtMs, const key_limits &Limits,
                      std::int64_t WallMs);

/// Removes keys whose home expired at least MaxDelayMs ago. Keys in progress
/// stay.
void expireKeys(owner_table &Table, const key_limits &Limits,
                std::int64_t WallMs);
void expireKeys(witness_table &Table, const key_limits &Limits,
                std::int64_t WallMs);

} // namespace amaranthhoist
