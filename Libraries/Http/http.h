/// HTTP server and client over libmicrohttpd and libcurl. Each connection has
/// its own thread, so handlers may block. Bodies stream in both directions with
/// bounded memory.
#pragma once

#include "Core/core.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct MHD_Daemon;

namespace amaranthhoist {

/// Header fields by lower-case name.
using http_headers = std::map<std::string, std::string>;

/// A request without its body.
struct http_head {
  std::string Method;
  /// Decoded.
  std::string Path;
  /// Path and query exactly as received, for forwarding.
  std::string Target;
  std::map<std::string, std::string> Query;
  http_headers Headers;
  /// Socket of the caller, used to detect that the caller has disconnected.
  int Socket = -1;
};

/// Returns the value of a header, or "" when it is absent.
std::string headerOr(const http_headers &Headers, const std::string &Name);

/// Values that a body reader returns instead of a count of bytes.
inline constexpr std::int64_t BodyEnd = -1;
inline constexpr std::int64_t BodyBroken = -2;

/// Fills a buffer. Returns the number of bytes written, BodyEnd or BodyBroken.
/// May block.
using body_reader = std::function<std::int64_t(std::span<char>)>;

/// A response. Body is used unless Reader is set.
struct http_response {
  int Status = 200;
  http_headers Headers;
  std::string Body;
  body_reader Reader;
  /// With Reader: the total length in bytes, or -1 for chunked encoding. When a
  /// reader ends before this length or reports BodyBroken, the connection is
  /// closed, so that no caller mistakes a partial body for a complete one.
  std::int64_t Length = -1;
};

/// One request in flight at the server. Its functions are called on the
/// connection's thread.
class http_exchange {
public:
  virtual ~http_exchange() = default;
  /// Called after the head. A response ends the request before its body is
  /// read.
  virtual std::unique_ptr<http_response> begin() { return nullptr; }
  /// Called for each piece of the body. A response ends the request early.
  virtual std::unique_ptr<http_response> body(std::string_view Piece) = 0;
  /// Called when the body is complete.
  virtual std::unique_ptr<http_response> end() = 0;
};

using exchange_factory =
    std::function<std::unique_ptr<http_exchange>(http_head)>;
/// Handler of requests with a short body, which is read completely first.
using whole_handler =
    std::function<http_response(const http_head &, const std::string &Body)>;

/// Limits of a server.
struct http_server_options {
  unsigned MaxConnections = 2'000;
  /// Connections of idle or slow callers are closed after this many seconds.
  unsigned IdleSeconds = 15;
  /// Maximum body size for a whole_handler, in bytes.
  std::size_t MaxWholeBody = 2'097'152;
};

class http_server {
public:
  /// Listens at `ip:port`. The port is not shared: no other process can bind it
  /// while this process is running.
  static result<std::unique_ptr<http_server>>
  create(const std::string &Address, exchange_factory Factory,
         const http_server_options &Options = {});
  static result<std::unique_ptr<http_server>>
  createWhole(const std::string &Address, whole_handler Handler,
              const http_server_options &Options = {});
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Stops accepting connections. Requests in flight continue.
  void stopListening();

  const exchange_factory &factory() const { return Factory; }

private:
  http_server() = default;
  exchange_factory Factory;
  MHD_Daemon *Daemon = nullptr;
};

/// Whether the peer has closed its side of \p Socket.
bool hasPeerDisconnected(int Socket);

/// How a call ended, as far as the client can determine.
enum class call_end : std::uint8_t {
  /// The whole response was received.
  Complete,
  /// No connection was made, so no byte was sent.
  NotConnected,
  /// The call was interrupted or timed out. The server may have received the
  /// request.
  Broken,
  /// The client aborted the call.
  Aborted,
};

/// One HTTP call.
struct http_call {
  std::string Method = "GET";
  std::string Url;
  http_headers Headers;
  std::string Body;
  /// When set, streams the body in chunks instead of sending Body.
  body_reader BodySource;
  std::int64_t TimeoutMs = 10'000;
  std::int64_t ConnectTimeoutMs = 2'000;
  /// Sends over a new connection. On a reused one, libcurl itself resends a
  /// request when the connection turns out to be dead. This must not happen to
  /// non-idempotent work: the first copy may have run.
  bool FreshConnection = false;
  /// Called once with status and headers, before the body.
  std::function<void(int Status, const http_headers &)> OnHead;
  /// Called for each piece of the body. Returning false aborts the call.
  std::function<bool(std::string_view)> OnBody;
  /// Polled during the call. The value true aborts it.
  const std::atomic<bool> *Abort = nullptr;
};

struct http_call_result {
  call_end End = call_end::Broken;
  int Status = 0;
  http_headers Headers;
  /// The body, unless OnBody consumed it.
  std::string Body;
  std::string Error;
};

/// A libcurl handle with its idle keep-alive connections. Used by one thread at
/// a time.
class http_client {
public:
  http_client();
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;
  http_call_result call(const http_call &Call);

private:
  void *Handle;
};

/// Bounded pipe of bytes between two threads.
class byte_pipe {
public:
  explicit byte_pipe(std::size_t Limit) : Limit(Limit) {}

  /// Waits for free space. Returns false when the reader has abandoned the
  /// pipe.
  bool push(std::string_view Piece);
  /// Closes the pipe. \p Whole states whether all bytes were pushed.
  void finish(bool Whole);
  /// Called by the reader to stop reading. Later pushes fail.
  void abandon();
  /// Waits for bytes or for the end. Returns the same values as body_reader.
  std::int64_t pop(std::span<char> Buffer);

  /// Bytes that are available without waiting, up to the limit passed to
  /// tryPop(), and whether the end follows.
  struct chunk {
    std::string Data;
    bool Last = false;
    bool Broken = false;
  };
  chunk tryPop(std::size_t Limit);
  /// Whether tryPop() would return anything.
  bool isReady();
  /// Called on the writer's thread whenever tryPop() may return more.
  void onReady(std::function<void()> Callback);

private:
  void notify();

  const std::size_t Limit;
  std::mutex Lock;
  std::condition_variable Changed;
  std::string Buffered;
  bool Finished = false;
  bool Whole = false;
  bool Abandoned = false;
  std::function<void()> Ready;
};

} // namespace amaranthhoist
