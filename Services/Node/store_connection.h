/// One connection to the platform's store, or to an instance that serves its
/// objects, for one call after another. Every call ends with a response or with
/// a failure after its timeout.
#pragma once

#include "HttpConnection/client_connection.h"
#include "node.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhoist {

struct store_response {
  /// 0: no response.
  int Status = 0;
  std::string Body;
  /// The era that the store states; 0 if it states none.
  std::uint64_t Era = 0;
};

class store_connection : private call_owner {
public:
  store_connection(node &Node, std::string Server);
  ~store_connection() override;

  /// Uses \p Server, `ip:port`, for all further calls.
  void setServer(const std::string &NewServer);

  /// Starts a call and passes its response to \p Done. Only one call at a time.
  void call(std::string_view Method, std::string_view Path,
            std::string_view Body, duration Timeout,
            std::function<void(store_response)> OnDone);

  /// Cancels the call in flight without calling its callback. Returns false if
  /// there is none.
  bool abandon();

  [[nodiscard]] bool isBusy() const { return static_cast<bool>(OnDone); }

private:
  bool onHead(const message_head &Head) override;
  void onBody(std::string &Body) override;
  void onComplete() override;
  void onFailure(const call_failure &Failure) override;
  void finish(int Status);
  void startTimer();
  void dropConnection();

  node &Node;
  std::string Server;
  connection_handle Connection;
  std::function<void(store_response)> OnDone;
  timer_id Timer = 0;
  /// Maximum time without received bytes during the current call.
  duration SilenceTimeout{};
  store_response Response;
};

} // namespace amaranthhoist
