#include "Accounts/accounts.h"

#include "Text/text.h"

#include <algorithm>
#include <random>
#include <sodium.h>

namespace amaranthhoist {

using digest_secret = std::array<std::uint8_t, crypto_generichash_KEYBYTES>;

static digest_secret makeSecret() {
  std::random_device Device;
  digest_secret Secret{};
  for (std::uint8_t &Byte : Secret)
    Byte = static_cast<std::uint8_t>(Device());
  return Secret;
}

key_digest digestOf(std::string_view ApiKey) {
  static const digest_secret Secret = makeSecret();
  key_digest Digest{};
  static_assert(sizeof Digest >= crypto_generichash_BYTES_MIN);
  crypto_generichash(reinterpret_cast<unsigned char *>(Digest.data()),
                     sizeof Digest,
                     reinterpret_cast<const unsigned char *>(ApiKey.data()),
                     ApiKey.size(), Secret.data(), Secret.size());
  return Digest;
}

std::string keyName(const key_digest &Digest) {
  std::string Name;
  appendHex(Name, Digest[0] >> 32U, 8);
  return Name;
}

static bool isVisible(char Character) {
  return Character > 0x20 && Character < 0x7f;
}

/// The name is sent in a header field.
static bool isValidName(std::string_view Name) {
  return !Name.empty() && std::all_of(Name.begin(), Name.end(), isVisible);
}

static bool isValidKey(std::string_view ApiKey) {
  return !ApiKey.empty() && ApiKey.size() <= MaxApiKeyBytes &&
         std::all_of(ApiKey.begin(), ApiKey.end(), isVisible);
}

result<bool> checkAccounts(const std::vector<client_account> &Accounts) {
  text_set Names;
  text_map<std::string> HolderByKey;
  for (const client_account &Account : Accounts) {
    if (!isValidName(Account.Name))
      return fail(error_code::Invalid, "client account without a valid name");
    if (!Names.insert(Account.Name).second)
      return fail(error_code::Invalid,
                  cat("two client accounts are named ", Account.Name));
    for (const std::string &Key : Account.ApiKeys) {
      if (!isValidKey(Key))
        return fail(error_code::Invalid, cat("client account ", Account.Name,
                                             " has an invalid API key"));
      const auto [Held, IsNew] = HolderByKey.try_emplace(Key, Account.Name);
      if (!IsNew && Held->second != Account.Name)
        return fail(error_code::Invalid,
                    cat("client accounts ", Held->second, " and ", Account.Name,
                        " share an API key"));
    }
  }
  return true;
}

account_directory makeAccountDirectory(std::vector<client_account> Accounts) {
  account_directory Directory;
  Directory.Accounts = std::move(Accounts);
  for (std::size_t Index = 0; Index < Directory.Accounts.size(); ++Index) {
    Directory.ByNameHash.emplace(stableHash(Directory.Accounts[Index].Name),
                                 Index);
    std::vector<std::string> &Keys = Directory.Accounts[Index].ApiKeys;
    for (std::string &Key : Keys) {
      Directory.ByKey.emplace(digestOf(Key), Index);
      sodium_memzero(Key.data(), Key.size());
    }
    Keys.clear();
  }
  return Directory;
}

const client_account *findAccount(const account_directory &Directory,
                                  const key_digest &Digest) {
  const auto Found = Directory.ByKey.find(Digest);
  return Found == Directory.ByKey.end() ? nullptr
                                        : &Directory.Accounts[Found->second];
}

const client_account *findAccountByHash(const account_directory &Directory,
                                        std::uint64_t NameHash) {
  const auto Found = Directory.ByNameHash.find(NameHash);
  return Found == Directory.ByNameHash.end()
             ? nullptr
             : &Directory.Accounts[Found->second];
}

const client_account *findAccount(const account_directory &Directory,
                                  std::string_view ApiKey) {
  if (Directory.ByKey.empty() || ApiKey.empty() ||
      ApiKey.size() > MaxApiKeyBytes)
    return nullptr;
  return findAccount(Directory, digestOf(ApiKey));
}

} // namespace amaranthhoist
