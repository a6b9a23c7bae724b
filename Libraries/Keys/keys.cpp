#include "Keys/keys.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <utility>

namespace amaranthhoist {

std::string formatHome(const home_token &Home) {
  return absl::StrCat(Home.Owner, "~", Home.Witness, "~", Home.ExpiresAtMs);
}

static bool isPrintable(std::string_view Text) {
  for (const char Character : Text)
    if (Character <= ' ' || Character > '~')
      return false;
  return true;
}

result<parsed_key> parseKey(std::string_view Key) {
  if (Key.size() > MaxKeyLength)
    return fail(error_code::Invalid, "Idempotency-Key is over 256 bytes");
  if (!isPrintable(Key))
    return fail(error_code::Invalid, "Idempotency-Key isn't printable ASCII");
  const std::size_t Dot = Key.find('.');
  if (Dot == std::string_view::npos || Dot + 1 == Key.size())
    return fail(error_code::Invalid,
                "Idempotency-Key has no home: ask /v1/entries for one");
  const std::string Home(Key.substr(0, Dot));
  const std::vector<std::string> Parts = absl::StrSplit(Home, '~');
  parsed_key Parsed;
  const bool Whole = Parts.size() == 3 && !Parts[0].empty() &&
                     !Parts[1].empty() &&
                     absl::SimpleAtoi(Parts[2], &Parsed.Home.ExpiresAtMs);
  if (!Whole)
    return fail(error_code::Invalid, "Idempotency-Key has a malformed home");
  Parsed.Home.Owner = Parts[0];
  Parsed.Home.Witness = Parts[1];
  Parsed.CallerPart = std::string(Key.substr(Dot + 1));
  return Parsed;
}

static key_verdict verdictForExisting(owned_key &Existing,
                                      std::uint64_t Waiter) {
  switch (Existing.State) {
  case key_state::Recording:
  case key_state::Recorded:
  case key_state::Sent:
    Existing.Waiters.push_back(Waiter);
    return key_verdict::Join;
  case key_state::Answered:
    return key_verdict::Replay;
  case key_state::NotRun:
    return key_verdict::NotRun;
  case key_state::Unknown:
    return key_verdict::Unknown;
  }
  return key_verdict::Unknown;
}

/// Until MaxDelayMs after its expiry the table contains every key that it has
/// admitted, so a key that is missing was not executed; and the table rejects
/// new copies of it, so it never will be. Later the key may have been removed,
/// and nothing is proved.
static std::optional<key_verdict> verdictForExpired(std::int64_t ExpiresAtMs,
                                                    const key_limits &Limits,
                                                    std::int64_t WallMs) {
  if (WallMs < ExpiresAtMs)
    return std::nullopt;
  if (WallMs < ExpiresAtMs + Limits.MaxDelayMs)
    return key_verdict::NotRun;
  return key_verdict::Unknown;
}

key_verdict admitKey(owner_table &Table, const std::string &Key,
                     std::int64_t ExpiresAtMs, std::uint64_t Waiter,
                     const key_limits &Limits, std::int64_t WallMs) {
  auto Found = Table.Keys.find(Key);
  if (Found != Table.Keys.end())
    return verdictForExisting(Found->second, Waiter);
  if (auto Expired = verdictForExpired(ExpiresAtMs, Limits, WallMs))
    return *Expired;
  if (Table.Keys.size() >= Limits.MaxKeys)
    return key_verdict::TableFull;
  owned_key NewKey;
  NewKey.ExpiresAtMs = ExpiresAtMs;
  NewKey.Waiters.push_back(Waiter);
  Table.Keys.emplace(Key, std::move(NewKey));
  return key_verdict::Admit;
}

bool applyWitnessReply(owner_table &Table, const std::string &Key,
                       bool Recorded) {
  auto Found = Table.Keys.find(Key);
  if (Found == Table.Keys.end() || Found->second.State != key_state::Recording)
    return false;
  if (Recorded)
    Found->second.State = key_state::Recorded;
  return Recorded;
}

bool markSent(owner_table &Table, const std::string &Key) {
  auto Found = Table.Keys.find(Key);
  if (Found == Table.Keys.end() || Found->second.State != key_state::Recorded)
    return false;
  Found->second.State = key_state::Sent;
  return true;
}

void markUnsent(owner_table &Table, const std::string &Key) {
  auto Found = Table.Keys.find(Key);
  if (Found != Table.Keys.end() && Found->second.State == key_state::Sent)
    Found->second.State = key_state::Recorded;
}

std::vector<std::uint64_t> closeKey(owner_table &Table, const std::string &Key,
                                    key_state State, stored_response Answer) {
  auto Found = Table.Keys.find(Key);
  if (Found == Table.Keys.end())
    return {};
  Found->second.State = State;
  Found->second.Response = std::move(Answer);
  return std::exchange(Found->second.Waiters, {});
}

void removeWaiter(owner_table &Table, const std::string &Key,
                  std::uint64_t Waiter) {
  auto Found = Table.Keys.find(Key);
  if (Found != Table.Keys.end())
    std::erase(Found->second.Waiters, Waiter);
}

bool recordAtWitness(witness_table &Table, const std::string &Key,
                     std::int64_t ExpiresAtMs, const key_limits &Limits,
                     std::int64_t WallMs) {
  auto Found = Table.Keys.find(Key);
  if (Found != Table.Keys.end())
    return !Found->second.Sealed;
  // A seal of this key may have been removed after its expiry.
  if (WallMs >= ExpiresAtMs || Table.Keys.size() >= Limits.MaxKeys)
    return false;
  Table.Keys.emplace(Key, witness_table::entry{false, ExpiresAtMs});
  return true;
}

outcome sealAtWitness(witness_table &Table, const std::string &Key,
                      std::int64_t ExpiresAtMs, const key_limits &Limits,
                      std::int64_t WallMs) {
  auto Found = Table.Keys.find(Key);
  if (Found != Table.Keys.end())
    return Found->second.Sealed ? outcome::NotRun : outcome::Unknown;
  // A record of this key may have been removed: nothing is proved.
  if (WallMs >= ExpiresAtMs + Limits.MaxDelayMs)
    return outcome::Unknown;
  // After the expiry no key is recorded, so no seal is needed. Before it, a
  // seal that cannot be stored proves nothing.
  if (WallMs >= ExpiresAtMs)
    return outcome::NotRun;
  if (Table.Keys.size() >= Limits.MaxKeys)
    return outcome::Unknown;
  Table.Keys.emplace(Key, witness_table::entry{true, ExpiresAtMs});
  return outcome::NotRun;
}

void expireKeys(owner_table &Table, const key_limits &Limits,
                std::int64_t WallMs) {
  std::erase_if(Table.Keys, [&](const auto &Entry) {
    return Entry.second.Waiters.empty() &&
           WallMs >= Entry.second.ExpiresAtMs + Limits.MaxDelayMs;
  });
}

void expireKeys(witness_table &Table, const key_limits &Limits,
                std::int64_t WallMs) {
  std::erase_if(Table.Keys, [&](const auto &Entry) {
    return WallMs >= Entry.second.ExpiresAtMs + Limits.MaxDelayMs;
  });
}

} // namespace amaranthhoist
