/// One HTTP exchange with a backend server, on a worker's thread.
#pragma once

#include "Gateway/gateway.h"
#include "Http/http.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Kept handles, and so connections, by target address. A handle serves one
/// exchange at a time, so connections never outnumber slots in use.
class client_pool {
public:
  std::unique_ptr<http_client> take(const std::string &Address);
  /// Only after a whole exchange: a connection with anything left on it could
  /// give one caller the answer to another's request.
  void give(const std::string &Address, std::unique_ptr<http_client> Client);

private:
  std::mutex Lock;
  std::map<std::string, std::vector<std::unique_ptr<http_client>>> Free;
};

/// What is sent, and what the exchange reports while it runs.
struct exchange_request {
  std::string Address;
  /// Unique over tries; the backend server echoes it.
  std::string RequestId;
  std::string Method;
  std::string Path;
  std::string ContentType;
  std::string Key;
  std::string Body;
  body_reader BodySource;
  work_class Class = work_class::Idempotent;
  std::int64_t DeadlineWallMs = 0;
  std::int64_t TimeoutMs = 0;
  const std::atomic<bool> *Abort = nullptr;
  /// Idempotent work: called when the answer is known to be long or slow, with
  /// its head, its first bytes and the pipe that brings the rest.
  std::function<void(int Status, const http_headers &Headers, std::string First,
                     std::shared_ptr<byte_pipe> Rest)>
      OnStream;
};

struct exchange_result {
  target_end End = target_end::Broken;
  bool Streamed = false;
  bool Leaving = false;
  /// The whole answer, unless streamed.
  stored_answer Answer;
};

/// Runs the exchange; blocks.
exchange_result runExchange(client_pool &Clients,
                            const exchange_request &Request);

/// Whether the backend server's health answer says that it is leaving.
bool probeSaysLeaving(http_client &Client, const std::string &Address,
                      const std::string &Path);

} // namespace amaranthhoist
