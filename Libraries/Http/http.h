/// HTTP plumbing over libmicrohttpd and libcurl. One thread per connection, so
/// that handlers may block; bodies stream both ways with bounded memory.
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

/// Everything of a request but its body.
struct http_head {
  std::string Method;
  /// Decoded.
  std::string Path;
  /// Path and query as they were sent, for passing on.
  std::string Target;
  std::map<std::string, std::string> Query;
  http_headers Headers;
  /// Socket of the caller, to see whether it went away.
  int Socket = -1;
};

/// Value of a header, or "" when absent.
std::string headerOr(const http_headers &Headers, const std::string &Name);

/// What a body reader returns beside a count of bytes.
inline constexpr std::int64_t BodyEnd = -1;
inline constexpr std::int64_t BodyBroken = -2;

/// Fills a buffer; returns the bytes written, BodyEnd or BodyBroken. May block.
using body_reader = std::function<std::int64_t(std::span<char>)>;

/// An answer. Body is used unless Reader is set.
struct http_response {
  int Status = 200;
  http_headers Headers;
  std::string Body;
  body_reader Reader;
  /// With Reader: the whole length, or -1 for chunks. A reader that ends short
  /// of it, or broken, cuts the connection: no caller takes a part for whole.
  std::int64_t Length = -1;
};

/// One request under way at the server. Calls come on the connection's thread.
class http_exchange {
public:
  virtual ~http_exchange() = default;
  /// After the head: an early answer ends the request before its body.
  virtual std::unique_ptr<http_response> begin() { return nullptr; }
  /// A piece of the body; an answer ends the request early.
  virtual std::unique_ptr<http_response> body(std::string_view Piece) = 0;
  /// The body is whole.
  virtual std::unique_ptr<http_response> end() = 0;
};

using exchange_factory =
    std::function<std::unique_ptr<http_exchange>(http_head)>;
/// Handler of requests whose short body is read first.
using whole_handler =
    std::function<http_response(const http_head &, const std::string &Body)>;

/// Limits of a server.
struct http_server_options {
  unsigned MaxConnections = 2'000;
  /// An idle or slow caller is cut after this many seconds.
  unsigned IdleSeconds = 15;
  /// Longest body of a whole_handler.
  std::size_t MaxWholeBody = 2'097'152;
};

class http_server {
public:
  /// Listens at `ip:port`. The port isn't shared: while this process lives, no
  /// other can take it.
  static result<std::unique_ptr<http_server>>
  create(const std::string &Address, exchange_factory Factory,
         const http_server_options &Options = {});
  static result<std::unique_ptr<http_server>>
  createWhole(const std::string &Address, whole_handler Handler,
              const http_server_options &Options = {});
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Takes no more connections; those under way go on.
  void stopListening();

  const exchange_factory &factory() const { return Factory; }

private:
  http_server() = default;
  exchange_factory Factory;
  MHD_Daemon *Daemon = nullptr;
};

/// Whether the peer has closed its side of \p Socket.
bool peerHasLeft(int Socket);

/// How a call ended, as far as this side can tell.
enum class call_end : std::uint8_t {
  /// The whole response was received.
  Complete,
  /// No connection was made: no byte was sent.
  NotConnected,
  /// It broke off or timed out; the request may have been received.
  Broken,
  /// Aborted from this side.
  Aborted,
};

/// One HTTP call.
struct http_call {
  std::string Method = "GET";
  std::string Url;
  http_headers Headers;
  std::string Body;
  /// Streams the body instead, in chunks.
  body_reader BodySource;
  std::int64_t TimeoutMs = 10'000;
  std::int64_t ConnectTimeoutMs = 2'000;
  /// Sends over a new connection. On a kept one libcurl itself sends a request
  /// again when the connection turns out to be dead, which must not happen to
  /// non-idempotent work: the first copy may have run.
  bool FreshConnection = false;
  /// Called once with status and headers, before the body.
  std::function<void(int Status, const http_headers &)> OnHead;
  /// Called for each piece; false aborts.
  std::function<bool(std::string_view)> OnBody;
  /// Polled; true aborts.
  const std::atomic<bool> *Abort = nullptr;
};

struct http_call_result {
  call_end End = call_end::Broken;
  int Status = 0;
  http_headers Headers;
  /// The body, unless OnBody took it.
  std::string Body;
  std::string Error;
};

/// A libcurl handle with its kept connections. Used by one thread at a time.
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

  /// Waits for room. False when the reader is gone.
  bool push(std::string_view Piece);
  /// Ends the pipe; \p Whole says whether all bytes were pushed.
  void finish(bool Whole);
  /// The reader takes no more.
  void abandon();
  /// Waits for bytes, or for the end; as body_reader.
  std::int64_t pop(std::span<char> Buffer);

  /// Bytes at hand without waiting, up to \p Limit; whether the end follows.
  struct taken {
    std::string Data;
    bool Last = false;
    bool Broken = false;
  };
  taken take(std::size_t Limit);
  /// Whether take() would return anything.
  bool isReady();
  /// Called, on the writer's thread, whenever take() may return more.
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
