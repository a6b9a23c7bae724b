/// One HTTP exchange with a backend server. Runs on a worker's thread.
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

/// Pool of HTTP client handles, and thereby of idle keep-alive connections,
/// keyed by target address. A handle serves one exchange at a time, so
/// connections never outnumber slots in use.
class client_pool {
public:
  std::unique_ptr<http_client> acquire(const std::string &Address);
  /// Returns \p Client to the pool. Call this only after a complete exchange:
  /// unread bytes on a connection could give one caller the response to another
  /// caller's request.
  void release(const std::string &Address, std::unique_ptr<http_client> Client);

private:
  std::mutex Lock;
  std::map<std::string, std::vector<std::unique_ptr<http_client>>> Free;
};

/// The request to send, and the callbacks that the exchange invokes while it
/// runs.
struct exchange_request {
  std::string Address;
  /// Unique for each attempt. The backend server echoes it.
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
  /// For idempotent work: called once the response is known to be long or slow,
  /// with its head, its first bytes and the pipe that delivers the rest.
  std::function<void(int Status, const http_headers &Headers, std::string First,
                     std::shared_ptr<byte_pipe> Rest)>
      OnStream;
};

struct exchange_result {
  attempt_end End = attempt_end::Interrupted;
  bool Streamed = false;
  bool Draining = false;
  /// The whole response, unless it was streamed.
  stored_response Response;
};

/// Runs the exchange. Blocks until it has ended.
exchange_result runExchange(client_pool &Clients,
                            const exchange_request &Request);

/// Whether the backend server's health response reports that it is draining.
bool probeReportsDraining(http_client &Client, const std::string &Address,
                          const std::string &Path);

} // namespace amaranthhoist
