// API keys of client accounts: which account holds a key, and configurations
// that must not come into force.

#include "Accounts/accounts.h"
#include "Quarantine/quarantine.h"
#include "Steering/steering.h"
#include "codec.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using std::chrono::seconds;

namespace {

client_account account(std::string Name, std::vector<std::string> Keys) {
  client_account Account;
  Account.Name = std::move(Name);
  Account.ApiKeys = std::move(Keys);
  return Account;
}

/// A configuration text with one route and the given account entries.
std::string textWith(const std::string &Accounts,
                     const std::string &RouteFields = "") {
  return R"({"metadata":{"name":"main"},"specification":{"version":"1",
    "resources":[{"resource_kind":"routes","metadata":{"name":"r"},
    "specification":{"hostname":"h.example","path_prefix":"/a/","kind":"safe",
    "service":"s")" +
         RouteFields + "}}" + Accounts + "]}}";
}

std::string accountEntry(const std::string &Name,
                         const std::string &Specification) {
  return R"(,{"resource_kind":"tenants","metadata":{"name":")" + Name +
         R"("},"specification":{)" + Specification + "}}";
}

bool isAccepted(const std::string &Text) {
  return platform::decodeConfiguration(Text).has_value();
}

/// Steering with one route for /a/ and a public one for /p/.
steering steeringWith(std::vector<client_account> Accounts,
                      std::vector<std::string> RouteRegions = {},
                      std::uint64_t Version = 1) {
  configuration Configuration;
  Configuration.Version = Version;
  route Route;
  Route.Name = "r";
  Route.Host = "h.example";
  Route.PathPrefix = "/a/";
  Route.Priority = 2;
  Route.Parts = {{"s", 1}};
  Route.HomeRegions = std::move(RouteRegions);
  route Public = Route;
  Public.PathPrefix = "/p/";
  Public.IsPublic = true;
  Configuration.Routes = {Route, Public};
  Configuration.Accounts = std::move(Accounts);
  steering Steering;
  applyConfiguration(Steering, std::move(Configuration));
  return Steering;
}

tl::expected<request_plan, refusal>
plan(steering &Steering, std::string_view Path, std::string_view ApiKey) {
  request_facts Facts;
  Facts.Host = "h.example";
  Facts.Path = Path;
  Facts.RequestId = "1";
  Facts.ApiKey = ApiKey;
  return planRequest(Steering, Facts);
}

refusal refusalOf(steering &Steering, std::string_view Path,
                  std::string_view ApiKey) {
  const auto Plan = plan(Steering, Path, ApiKey);
  CHECK_FALSE(Plan.has_value());
  return Plan ? refusal::Overloaded : Plan.error();
}

} // namespace

// clang-format off
TEST_GROUP(Accounts) {};
// clang-format on

TEST(Accounts, KeyIdentifiesItsAccount) {
  const auto Directory = makeAccountDirectory(
      {account("one", {"k1", "k2"}), account("two", {"k3"})});
  CHECK_EQUAL(std::string("one"), findAccount(Directory, "k2")->Name);
  CHECK_EQUAL(std::string("two"), findAccount(Directory, "k3")->Name);
  POINTERS_EQUAL(nullptr, findAccount(Directory, "k4"));
}

// Guards against a key that is accepted because it resembles another one.
TEST(Accounts, NearKeysAreUnknown) {
  const auto Directory = makeAccountDirectory({account("one", {"secret"})});
  for (const std::string &Key :
       {std::string(), std::string("secre"), std::string("secret "),
        std::string("SECRET"), std::string("secret,secret"),
        std::string(MaxApiKeyBytes + 1, 's')})
    POINTERS_EQUAL(nullptr, findAccount(Directory, Key));
}

// Guards against keys in memory dumps and accidental logs.
TEST(Accounts, DirectoryHoldsNoPlainKeys) {
  const auto Directory = makeAccountDirectory({account("one", {"secret"})});
  CHECK(Directory.Accounts[0].ApiKeys.empty());
  CHECK(keyName(digestOf("secret")).find("secret") == std::string::npos);
}

TEST(Accounts, ReadsAnAccount) {
  const auto Read = platform::decodeConfiguration(textWith(accountEntry(
      "one", R"("api_keys":["a","b"],"priority":1,"rate_per_s":20.5,
                "burst":7,"home_regions":["x"])")));
  CHECK(Read.has_value());
  const client_account &Account = Read->Accounts.at(0);
  CHECK_EQUAL(std::string("one"), Account.Name);
  LONGS_EQUAL(2, Account.ApiKeys.size());
  LONGS_EQUAL(1, *Account.Priority);
  DOUBLES_EQUAL(20.5, Account.RequestsPerSecond, 0);
  DOUBLES_EQUAL(7, Account.Burst, 0);
  CHECK_EQUAL(std::string("x"), Account.HomeRegions.at(0));
}

// Guards against a limit that disappears because it can't be read.
TEST(Accounts, MalformedAmountsAreInvalid) {
  for (const char *Field :
       {R"("rate_per_s":"20")", R"("rate_per_s":-1)", R"("rate_per_s":1e300)",
        R"("burst":[])", R"("priority":"1")", R"("priority":1.5)"})
    CHECK_FALSE(isAccepted(textWith(accountEntry("one", Field))));
}

// Guards against an account that callers without its key can use.
TEST(Accounts, MalformedAccountsAreInvalid) {
  CHECK_FALSE(isAccepted(textWith(accountEntry("", R"("api_keys":["a"])"))));
  CHECK_FALSE(isAccepted(textWith(accountEntry("a\\r\\nb", ""))));
  CHECK_FALSE(isAccepted(textWith(accountEntry("one", R"("api_keys":[17])"))));
  CHECK_FALSE(isAccepted(textWith(accountEntry("one", R"("api_keys":"a")"))));
  CHECK_FALSE(isAccepted(textWith(accountEntry("one", R"("api_keys":[""])"))));
  CHECK_FALSE(
      isAccepted(textWith(accountEntry("one", "") + accountEntry("one", ""))));
  CHECK_FALSE(isAccepted(textWith(accountEntry("one", R"("api_keys":["a"])") +
                                  accountEntry("two", R"("api_keys":["a"])"))));
}

// Guards against a route that becomes public because its flag can't be read.
TEST(Accounts, PublicMustBeABoolean) {
  CHECK(isAccepted(textWith("", R"(,"public":true)")));
  CHECK_FALSE(isAccepted(textWith("", R"(,"public":"false")")));
  CHECK_FALSE(isAccepted(textWith("", R"(,"public":1)")));
}

// Guards against secrets in messages about invalid configurations.
TEST(Accounts, ErrorsNameNoKey) {
  const auto Read = platform::decodeConfiguration(
      textWith(accountEntry("one", R"("api_keys":["secret"])") +
               accountEntry("two", R"("api_keys":["secret"])")));
  CHECK(Read.error().Message.find("secret") == std::string::npos);
  CHECK(Read.error().Message.find("two") != std::string::npos);
}

TEST(Accounts, RequestNeedsAKnownKey) {
  steering Steering = steeringWith({account("one", {"k"})});
  CHECK_EQUAL(std::string("one"), plan(Steering, "/a/x", "k")->Account);
  CHECK(refusalOf(Steering, "/a/x", "") == refusal::NoAccount);
  CHECK(refusalOf(Steering, "/a/x", "other") == refusal::NoAccount);
}

TEST(Accounts, UnknownRouteComesBeforeUnknownKey) {
  steering Steering = steeringWith({account("one", {"k"})});
  CHECK(refusalOf(Steering, "/none/", "other") == refusal::NoRoute);
  steering Unconfigured;
  CHECK(refusalOf(Unconfigured, "/a/x", "k") == refusal::NotConfigured);
}

// Guards against an account's name at a server for a request that nobody
// identified.
TEST(Accounts, PublicRouteNeedsNoKeyAndHasNoAccount) {
  steering Steering = steeringWith({account("one", {"k"})});
  CHECK(plan(Steering, "/p/x", "")->Account.empty());
  CHECK(plan(Steering, "/p/x", "k")->Account.empty());
}

TEST(Accounts, WithoutAccountsNoKeyIsNeeded) {
  steering Steering = steeringWith({});
  CHECK(plan(Steering, "/a/x", "")->Account.empty());
}

TEST(Accounts, PriorityOfTheAccountGoesFirst) {
  client_account Urgent = account("one", {"k"});
  Urgent.Priority = 0;
  steering Steering = steeringWith({Urgent, account("two", {"l"})});
  LONGS_EQUAL(0, plan(Steering, "/a/x", "k")->Priority);
  LONGS_EQUAL(2, plan(Steering, "/a/x", "l")->Priority);
}

TEST(Accounts, HomesOfRouteAndAccountBothBind) {
  client_account Homed = account("one", {"k"});
  Homed.HomeRegions = {"x", "y"};
  steering Steering = steeringWith({Homed, account("two", {"l"})}, {"y", "z"});
  const auto Both = plan(Steering, "/a/x", "k")->HomeRegions;
  LONGS_EQUAL(1, Both.size());
  CHECK_EQUAL(std::string("y"), Both[0]);
  LONGS_EQUAL(2, plan(Steering, "/a/x", "l")->HomeRegions.size());
}

// Guards against an empty intersection that is taken for "all regions".
TEST(Accounts, HomesWithoutACommonRegionAreRefused) {
  client_account Homed = account("one", {"k"});
  Homed.HomeRegions = {"x"};
  steering Steering = steeringWith({Homed}, {"z"});
  CHECK(refusalOf(Steering, "/a/x", "k") == refusal::NoCommonRegion);
}

// Guards against a request that is sent, or sent again, after its key was
// revoked while it waited.
TEST(Accounts, RevokedKeyIsNotConfirmed) {
  steering Steering = steeringWith({account("one", {"k"})});
  request_plan Plan = *plan(Steering, "/a/x", "k");
  CHECK_FALSE(confirmAccount(Steering, Plan).has_value());
  steering After = steeringWith({account("one", {"new"})}, {}, 2);
  CHECK(confirmAccount(After, Plan) == refusal::NoAccount);
}

// Guards against the former holder's name at a server when a key has moved to
// another account.
TEST(Accounts, MovedKeyTakesItsNewAccount) {
  steering Steering = steeringWith({account("one", {"k"})});
  request_plan Plan = *plan(Steering, "/a/x", "k");
  steering After = steeringWith({account("two", {"k"})}, {}, 2);
  CHECK_FALSE(confirmAccount(After, Plan).has_value());
  CHECK_EQUAL(std::string("two"), Plan.Account);
}

// Guards against a content that escapes quarantine by another key of the same
// account.
TEST(Accounts, ContentIsTheSameForAllKeysOfAnAccount) {
  const request_content Content{"GET", "h", "/x", "17", "", "body", "one"};
  request_content Other = Content;
  Other.Account = "two";
  CHECK(contentHash(Content) != contentHash(Other));
  // Instances without accounts compute the hash without one.
  const request_content Unnamed{"GET", "h", "/x", "17", "", "body"};
  CHECK(contentHash(Unnamed) != contentHash(Content));
}
