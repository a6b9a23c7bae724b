/// The HTTP exchange of one caller at an entry. Runs on the connection's
/// thread.
#pragma once

#include "entry_daemon.h"

#include <memory>
#include <string>

namespace amaranthhoist {

class caller_exchange final : public http_exchange {
public:
  caller_exchange(entry_daemon &Daemon, http_head Head);
  ~caller_exchange() override;

  std::unique_ptr<http_response> begin() override;
  std::unique_ptr<http_response> body(std::string_view Piece) override;
  std::unique_ptr<http_response> end() override;

private:
  std::unique_ptr<http_response> beginRun();
  std::unique_ptr<http_response> lookUp();
  std::unique_ptr<http_response> waitForEnd();
  std::unique_ptr<http_response> makeResponse(const finish_caller &End);
  std::unique_ptr<http_response> makeRejection(int Status,
                                               const std::string &Reason) const;
  void log(const finish_caller &End, int Status) const;

  entry_daemon &Daemon;
  http_head Head;
  std::shared_ptr<entry_request> Request;
  std::int64_t Received = 0;
  bool Submitted = false;
  bool Ended = false;
  instant Arrived{};
};

} // namespace amaranthhoist
