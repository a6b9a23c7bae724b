// Tests that an owner may drop a connection within any of its callbacks. Under
// an address sanitizer a use of freed memory ends the test.

#include "HttpConnection/client_connection.h"
#include "stand_in_server.h"

#include <CppUTest/TestHarness.h>

using namespace amaranthhoist;

namespace {

/// Responds and closes, so that both reach the caller in one event.
struct closing_server : stand_in_server {
  using stand_in_server::stand_in_server;
  bool IsGarbled = false;

  void onRequest(stand_in_connection &Connection) override {
    if (IsGarbled)
      Connection.send("no response\r\n\r\n");
    else
      Connection.respond(200, "", std::string(1'000, 'x'));
    Connection.close();
  }
};

enum class callback : std::uint8_t { Head, Body, Complete, Failure };

/// Drops its connection in one callback.
struct dropping_owner : call_owner {
  dropping_owner(event_loop &Loop, callback DropsIn)
      : Loop(Loop), Connection(makeConnection(Loop)), DropsIn(DropsIn) {}

  bool onHead(const message_head & /*Head*/) override {
    dropIn(callback::Head);
    return true;
  }
  void onBody(std::string &Body) override {
    Body.clear();
    dropIn(callback::Body);
  }
  void onComplete() override { dropIn(callback::Complete); }
  void onFailure(const call_failure & /*Failure*/) override {
    dropIn(callback::Failure);
  }
  void dropIn(callback Callback) {
    if (Callback != DropsIn)
      return;
    Connection.reset();
    Loop.runAfter(duration::zero(), [this] { Loop.stop(); });
  }

  event_loop &Loop;
  connection_handle Connection;
  callback DropsIn;
};

} // namespace

// clang-format off
TEST_GROUP(ConnectionLifetime) {};
// clang-format on

// Failure: a connection that is dropped in its own callback is used after it
// was freed, because its server closed it in the same event.
TEST(ConnectionLifetime, OwnersMayDropAConnectionInItsCallbacks) {
  for (const callback DropsIn : {callback::Head, callback::Body,
                                 callback::Complete, callback::Failure}) {
    event_loop Loop;
    closing_server Server(Loop);
    Server.IsGarbled = DropsIn == callback::Failure;
    dropping_owner Owner(Loop, DropsIn);
    CHECK(Owner.Connection->connect(*parseEndpoint(Server.address()),
                                    std::chrono::seconds(30)));
    Owner.Connection->call(Owner, "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                           /*IsHeadRequest=*/false);
    Loop.run();
    CHECK(!Owner.Connection);
  }
}

// Failure: an object that owns another one is destroyed, and the other one
// outlives the event loop's use of it.
TEST(ConnectionLifetime, RetiredObjectsMayRetireOthers) {
  struct counted : retirable {
    explicit counted(int &Alive) : Alive(Alive) { ++Alive; }
    ~counted() override { --Alive; }
    int &Alive;
  };
  struct owner : counted {
    owner(event_loop &Loop, int &Alive) : counted(Alive), Loop(Loop) {}
    ~owner() override { Loop.retire(std::make_unique<counted>(Alive)); }
    event_loop &Loop;
  };
  int Alive = 0;
  {
    event_loop Loop;
    Loop.retire(std::make_unique<owner>(Loop, Alive));
    Loop.runAfter(duration::zero(), [&] {
      LONGS_EQUAL(1, Alive);
      Loop.stop();
    });
    Loop.run();
    LONGS_EQUAL(0, Alive);
  }
}
