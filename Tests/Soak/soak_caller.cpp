#include "soak_caller.h"

#include "Text/text.h"

namespace amaranthhoist {

static constexpr duration Deadline = std::chrono::milliseconds(3'000);
/// A caller closes the connection this long after it sent a request, 1 s after
/// the deadline, because its node may be paused.
static constexpr duration CallerTimeout = Deadline + std::chrono::seconds(1);
static constexpr int LongestPauseMs = 40;
/// For one in this many requests the caller disconnects before the response.
static constexpr std::uint64_t DisconnectsOneIn = 40;

soak_caller::soak_caller(event_loop &Loop, std::string Name, std::uint64_t Seed,
                         std::function<std::string()> ChooseNode)
    : Loop(Loop), Name(std::move(Name)), Random(Seed),
      ChooseNode(std::move(ChooseNode)) {
  Loop.atEndOfIteration([this] { Retired.clear(); });
}

soak_caller::~soak_caller() { Loop.cancel(Timer); }

/// Chosen by the request's id, so that the caller's other random choices are
/// the same with and without keys.
static soak_key chooseKey(std::string_view Id) {
  const std::uint64_t Draw = stableHash(Id) % 10;
  if (Draw == 0)
    return soak_key::Wrong;
  return Draw < 4 ? soak_key::Bounded : soak_key::Steady;
}

void soak_caller::start() {
  Timer = Loop.runAfter(std::chrono::milliseconds(Random() % LongestPauseMs),
                        [this] { send(); });
}

void soak_caller::dropConnection() {
  if (!Connection)
    return;
  Connection->close();
  Retired.push_back(std::move(Connection));
}

void soak_caller::send() {
  Timer = 0;
  if (IsStopping)
    return;
  observed_attempt Attempt;
  Attempt.Id = cat(Name, "-", Attempts.size());
  Attempt.IsIdempotent = Random() % 2 == 0;
  std::string KeyField;
  if (UsesKeys) {
    Attempt.Key = chooseKey(Attempt.Id);
    KeyField = cat("\r\nApi-Key: ", SoakKeyPrefix, toString(Attempt.Key));
  }
  Attempts.push_back(Attempt);
  Current = true;
  if (!Connection || !Connection->isOpen()) {
    dropConnection();
    const auto Endpoint = parseEndpoint(ChooseNode());
    Connection = std::make_unique<client_connection>(Loop);
    if (!Connection->connect(*Endpoint, std::chrono::seconds(60))) {
      end();
      return;
    }
  }
  const bool Disconnects = Random() % DisconnectsOneIn == 0;
  Timer = Loop.runAfter(Disconnects ? Deadline / 30 : CallerTimeout, [this] {
    Timer = 0;
    Attempts.back().Status = 0;
    dropConnection();
    end();
  });
  Connection->call(
      *this,
      cat(Attempt.IsIdempotent ? "GET /safe/x" : "POST /once/x",
          " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: ", Attempt.Id,
          "\r\nX-Affinity-Key: ", Random() % 50,
          "\r\nX-Deadline-Remaining: ", Deadline.count() / 1'000, KeyField,
          Attempt.IsIdempotent ? "\r\n\r\n"
                               : "\r\nContent-Length: 4\r\n\r\nbody"),
      /*IsHeadRequest=*/false);
}

bool soak_caller::onHead(const message_head &Head) {
  Attempts.back().Status = Head.status();
  Attempts.back().HasSignature = Head.find("X-Response-Stamp").has_value();
  return true;
}

void soak_caller::onBody(std::string &Body) {
  Attempts.back().Body.append(Body);
  Body.clear();
}

void soak_caller::onComplete() {
  if (!Connection->isReusable())
    dropConnection();
  end();
}

void soak_caller::onFailure(const call_failure & /*Failure*/) {
  Attempts.back().Status = 0;
  dropConnection();
  end();
}

void soak_caller::end() {
  Loop.cancel(Timer);
  Attempts.back().IsCompleted = true;
  Current = false;
  Timer = Loop.runAfter(std::chrono::milliseconds(Random() % LongestPauseMs),
                        [this] { send(); });
}

} // namespace amaranthhoist
