/// One connection to the platform's store, or to an instance that hands on its
/// objects, for one call after another. Every call ends: with an answer, or
/// with a failure after its time.
#pragma once

#include "HttpConnection/client_connection.h"
#include "node.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace amaranthhoist {

struct store_answer {
  /// 0: no answer.
  int Status = 0;
  std::string Body;
};

class store_caller : private call_owner {
public:
  store_caller(node &Node, std::string Server);
  ~store_caller() override;

  /// Calls \p Server, `ip:port`, from now on.
  void setServer(const std::string &NewServer);

  /// Makes a call; \p Done gets its answer. One at a time.
  void call(std::string_view Method, std::string_view Path,
            std::string_view Body, duration Time,
            std::function<void(store_answer)> Done);

  /// Drops a call under way, whose callback isn't called; false when there is
  /// none.
  bool abandon();

  [[nodiscard]] bool isBusy() const { return static_cast<bool>(Done); }

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
  std::unique_ptr<client_connection> Connection;
  std::function<void(store_answer)> Done;
  timer_id Timer = 0;
  /// Longest silence of the present call.
  duration Patience{};
  int Status = 0;
  std::string Body;
};

} // namespace amaranthhoist
