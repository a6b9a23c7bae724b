/// Client accounts of a configuration, and the look-up of the account that
/// holds an API key. Sans-I/O.
///
/// API keys are secrets. The directory keeps only keyed digests of them, under
/// a random secret of the process: a look-up compares digests, so its time says
/// nothing about the keys, and callers cannot aim for collisions.
#pragma once

#include "Core/core.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// A client account as the operators configured it.
struct client_account {
  std::string Name;
  std::vector<std::string> ApiKeys;
  /// Takes precedence over the priority of the route; 0 is the most urgent.
  std::optional<int> Priority;
  /// Requests per second over all instances together; 0: no limit.
  double RequestsPerSecond = 0;
  /// Requests allowed at once beyond the rate.
  double Burst = 0;
  /// Regions that may process its requests; empty: all.
  std::vector<std::string> HomeRegions;
};

/// Longer API keys are rejected unread.
inline constexpr std::size_t MaxApiKeyBytes = 512;

/// A keyed digest of an API key.
using key_digest = std::array<std::uint64_t, 2>;

/// The accounts of one configuration.
struct account_directory {
  std::vector<client_account> Accounts;
  /// Indices of Accounts.
  absl::flat_hash_map<key_digest, std::size_t> ByKey;
  /// Indices of Accounts by stableHash() of their names.
  absl::flat_hash_map<std::uint64_t, std::size_t> ByNameHash;
};

/// Checks the accounts of one configuration: each has a name of visible
/// characters, which is unique, and no key is empty, too long or held by two
/// accounts. The error names the account, never a key.
result<bool> checkAccounts(const std::vector<client_account> &Accounts);

/// Builds the directory of valid \p Accounts and removes the plain keys.
account_directory makeAccountDirectory(std::vector<client_account> Accounts);

/// The account that holds \p ApiKey, or nullptr.
const client_account *findAccount(const account_directory &Directory,
                                  std::string_view ApiKey);

/// The account of that digest (digestOf()), or nullptr.
const client_account *findAccount(const account_directory &Directory,
                                  const key_digest &Digest);

/// The account whose name has that stableHash(), or nullptr.
const client_account *findAccountByHash(const account_directory &Directory,
                                        std::uint64_t NameHash);

/// The digest of a key under the secret of this process.
key_digest digestOf(std::string_view ApiKey);

/// A short name for an unknown key in logs. It differs between processes, so
/// that it can't be reversed with a list of guesses made elsewhere.
std::string keyName(const key_digest &Digest);

} // namespace amaranthhoist
