// Tests client accounts at real nodes: API keys, homes and limits.

#include "Text/text.h"
#include "small_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;
using behavior = target_stand_in::behavior;

namespace {

constexpr const char *Key = "Api-Key: key-of-one\r\n";

struct account_fleet : small_fleet {
  account_fleet() {
    Accounts = {{"one", {{"api_keys", {"key-of-one", "second-of-one"}}}},
                {"two", {{"api_keys", {"key-of-two"}}}}};
    apply(2);
  }

  /// Puts the configuration and waits until the node has it.
  void apply(int Version) {
    putConfiguration(Version);
    IsReady =
        IsReady && runUntil([&] {
          return logOf(*Node).find(cat("\"version\":", Version,
                                       ",\"routes\"")) != std::string::npos;
        });
  }

  int statusWith(const std::string &Header, std::string_view Path = "/safe/x") {
    Fields = Header;
    return fetch(*Node, Path, cat("id-", ++Asked)).Status;
  }

  int runsOfAccount(const std::string &Account) {
    int Runs = 0;
    for (const auto &[Id, Target] : Targets)
      Runs += Target->RunsByAccount[Account];
    return Runs;
  }

  int keysReceived() {
    int Keys = 0;
    for (const auto &[Id, Target] : Targets)
      Keys += Target->KeysReceived;
    return Keys;
  }

  int arrivals() {
    int Sum = 0;
    for (const auto &[Id, Target] : Targets)
      Sum += Target->Arrivals;
    return Sum;
  }

  int Asked = 0;
};

} // namespace

// clang-format off
TEST_GROUP(Accounts) {};
// clang-format on

TEST(Accounts, ServerGetsTheAccountAndNotTheKey) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(200, Fleet.statusWith(Key));
  LONGS_EQUAL(200, Fleet.statusWith("API-KEY: key-of-two\r\n"));
  LONGS_EQUAL(1, Fleet.runsOfAccount("one"));
  LONGS_EQUAL(1, Fleet.runsOfAccount("two"));
  LONGS_EQUAL(0, Fleet.keysReceived());
}

// Guards against callers that pass for another account.
TEST(Accounts, AccountNamedByTheCallerIsDropped) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(200, Fleet.statusWith(cat(Key, "X-Tenant-Name: two\r\n")));
  LONGS_EQUAL(200, Fleet.statusWith(cat(Key, "x-tenant-name: two, one\r\n",
                                        "Connection: X-Tenant-Name\r\n")));
  LONGS_EQUAL(200, Fleet.statusWith("X-Tenant-Name: two\r\n", "/open/x"));
  LONGS_EQUAL(2, Fleet.runsOfAccount("one"));
  LONGS_EQUAL(1, Fleet.runsOfAccount(""));
  LONGS_EQUAL(0, Fleet.runsOfAccount("two"));
}

// Guards against requests that run for a caller without a valid key.
TEST(Accounts, InvalidKeysAreRejectedUnsent) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  for (const std::string &Header :
       {std::string(), std::string("Api-Key:\r\n"),
        std::string("Api-Key: unknown\r\n"),
        std::string("Api-Key: key-of-one, key-of-two\r\n"),
        std::string("Api-Key: key of one\r\n"), cat(Key, Key),
        cat("Api-Key: ", std::string(4'000, 'k'), "\r\n")})
    LONGS_EQUAL(401, Fleet.statusWith(Header));
  LONGS_EQUAL(404, Fleet.statusWith("", "/none/x"));
  LONGS_EQUAL(0, Fleet.arrivals());
}

TEST(Accounts, PublicRouteForwardsNoKey) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(200, Fleet.statusWith("", "/open/x"));
  LONGS_EQUAL(200, Fleet.statusWith(Key, "/open/x"));
  LONGS_EQUAL(0, Fleet.keysReceived());
  LONGS_EQUAL(2, Fleet.runsOfAccount(""));
}

// Guards against a retry that passes the key on or loses the account.
TEST(Accounts, RetryCarriesTheAccountAndNotTheKey) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Targets["s1"]->Behavior = behavior::Sheds;
  for (int Request = 0; Request < 8; ++Request)
    LONGS_EQUAL(200, Fleet.statusWith(Key));
  CHECK(Fleet.Targets["s1"]->Arrivals > 0);
  LONGS_EQUAL(8, Fleet.runsOfAccount("one"));
  LONGS_EQUAL(0, Fleet.keysReceived());
}

// Guards against a key that stays valid after it was revoked, also on a
// connection that was used with it before.
TEST(Accounts, RevokedKeyIsRejected) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  LONGS_EQUAL(200, Fleet.statusWith(Key));
  Fleet.Accounts["one"]["api_keys"] = {"second-of-one"};
  Fleet.apply(3);
  LONGS_EQUAL(401, Fleet.statusWith(Key));
  LONGS_EQUAL(200, Fleet.statusWith("Api-Key: second-of-one\r\n"));
}

// Guards against an invalid configuration that opens routes or drops accounts.
TEST(Accounts, InvalidConfigurationLeavesTheFormerInForce) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Accounts["two"]["api_keys"] = {"key-of-one"};
  Fleet.putConfiguration(3);
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("object_unreadable") !=
           std::string::npos;
  }));
  LONGS_EQUAL(200, Fleet.statusWith("Api-Key: key-of-two\r\n"));
  LONGS_EQUAL(401, Fleet.statusWith(""));
}

// Guards against secrets in logs, metrics and status.
TEST(Accounts, KeysAppearNowhere) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.statusWith(Key);
  Fleet.statusWith("Api-Key: wrong-key-17\r\n");
  Fleet.Accounts["two"]["api_keys"] = {"key-of-one"};
  Fleet.putConfiguration(3);
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("no_account") != std::string::npos &&
           Fleet.logOf(*Fleet.Node).find("object_unreadable") !=
               std::string::npos;
  }));
  const std::string Output =
      Fleet.logOf(*Fleet.Node) +
      Fleet.fetchEndpoint(Fleet.Node->Control, "/v1/status").Body;
  for (const char *Secret : {"key-of-one", "key-of-two", "wrong-key-17"})
    CHECK(Output.find(Secret) == std::string::npos);
}

// Guards against requests that run outside the homes of their account.
TEST(Accounts, HomesWithoutACommonRegionAreRefused) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.RouteRegions = {"a"};
  Fleet.Accounts["one"]["home_regions"] = {"b"};
  Fleet.Accounts["two"]["home_regions"] = {"a", "b"};
  Fleet.apply(3);
  LONGS_EQUAL(503, Fleet.statusWith(Key));
  LONGS_EQUAL(200, Fleet.statusWith("Api-Key: key-of-two\r\n"));
  CHECK(Fleet.runUntil([&] {
    return Fleet.logOf(*Fleet.Node).find("\"account_regions\":\"b\"") !=
           std::string::npos;
  }));
}

// Guards against an account that exceeds its limit, and against one that is
// refused below it.
TEST(Accounts, RequestsBeyondTheLimitGet429) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Accounts["one"]["rate_per_s"] = 1;
  Fleet.Accounts["one"]["burst"] = 4;
  Fleet.apply(3);
  std::vector<instant> Served;
  int OverLimit = 0;
  while (Served.size() < 8 || OverLimit < 40) {
    const int Status = Fleet.statusWith(Key);
    if (Status == 200)
      Served.push_back(Fleet.Loop.now());
    else
      LONGS_EQUAL(429, Status);
    OverLimit += Status == 429 ? 1 : 0;
  }
  // (1 x 5 s + 4) x 1.1 + 20 in each window.
  for (std::size_t Index = 29; Index < Served.size(); ++Index)
    CHECK(Served[Index] - Served[Index - 29] >= std::chrono::seconds(5));
  LONGS_EQUAL(200, Fleet.statusWith("Api-Key: key-of-two\r\n"));
}

// Guards against a request that a server rejected and that counts towards the
// limit.
TEST(Accounts, RejectedRequestsReturnTheirToken) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Accounts["one"]["rate_per_s"] = 1;
  Fleet.Accounts["one"]["burst"] = 4;
  Fleet.apply(3);
  CHECK(Fleet.runUntil([&] { return Fleet.statusWith(Key) == 200; }));
  Fleet.setAll(behavior::Sheds);
  CHECK(Fleet.runUntil([&] { return Fleet.statusWith(Key) == 503; }));
  // Far more than the limit permits.
  for (int Request = 0; Request < 100; ++Request)
    LONGS_EQUAL(503, Fleet.statusWith(Key));
}

// Guards against keys that stay in use although they may have been revoked.
TEST(Accounts, StrictRevocationRefusesUnconfirmedKeys) {
  account_fleet Fleet;
  CHECK(Fleet.IsReady);
  Fleet.Bounds = "  strict_revocation: true\n  revocation: 1500ms\n";
  node_process &Strict = Fleet.addNode("n2", "a2", "a");
  Fleet.start(Strict);
  CHECK(Fleet.waitReady(Strict));
  Fleet.Fields = Key;
  LONGS_EQUAL(200, Fleet.fetch(Strict, "/safe/x", "before").Status);
  Fleet.Store.setMode(store_stand_in::mode::Silent);
  CHECK(Fleet.runUntil([&] {
    return Fleet.fetch(Strict, "/safe/x", cat("s-", ++Fleet.Asked)).Status ==
           503;
  }));
  LONGS_EQUAL(200, Fleet.fetch(*Fleet.Node, "/safe/x", "other").Status);
}
