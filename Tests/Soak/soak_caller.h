/// A caller that sends requests one after the other on a keep-alive connection
/// and records the responses.
#pragma once

#include "HttpConnection/client_connection.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace amaranthhoist {

/// One attempt as observed by its caller.
/// The API key of a request in a run with client accounts.
enum class soak_key : std::uint8_t {
  /// The run has no accounts.
  None,
  /// Of an account without a limit.
  Steady,
  /// Of an account that asks for more than its limit.
  Bounded,
  /// Of no account.
  Wrong,
};

/// All keys of a run begin with this, so that they are found where they must
/// not appear.
inline constexpr const char *SoakKeyPrefix = "soak-key-";
std::string_view toString(soak_key Key);

struct observed_attempt {
  std::string Id;
  bool IsIdempotent = true;
  /// 0 if no complete response was received.
  int Status = 0;
  bool HasSignature = false;
  std::string Body;
  bool IsCompleted = false;
  soak_key Key = soak_key::None;
};

class soak_caller : private call_owner {
public:
  /// \p ChooseNode returns the address for a new connection.
  soak_caller(event_loop &Loop, std::string Name, std::uint64_t Seed,
              std::function<std::string()> ChooseNode);
  ~soak_caller() override;

  void start();
  /// Sends API keys from now on.
  void useKeys() { UsesKeys = true; }
  /// Stops sending. The attempt in flight continues.
  void stop() { IsStopping = true; }
  [[nodiscard]] bool isIdle() const { return !Current; }
  [[nodiscard]] const std::vector<observed_attempt> &attempts() const {
    return Attempts;
  }

private:
  bool onHead(const message_head &Head) override;
  void onBody(std::string &Body) override;
  void onComplete() override;
  void onFailure(const call_failure &Failure) override;

  void send();
  void end();
  void dropConnection();

  event_loop &Loop;
  std::string Name;
  std::mt19937_64 Random;
  std::function<std::string()> ChooseNode;
  std::unique_ptr<client_connection> Connection;
  std::vector<std::unique_ptr<client_connection>> Retired;
  std::vector<observed_attempt> Attempts;
  timer_id Timer = 0;
  bool Current = false;
  bool IsStopping = false;
  bool UsesKeys = false;
};

} // namespace amaranthhoist
