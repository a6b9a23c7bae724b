#include "Http/http.h"

#include "Settings/settings.h"

#include <absl/strings/ascii.h>
#include <arpa/inet.h>
#include <cerrno>
#include <microhttpd.h>
#include <sys/socket.h>

namespace amaranthhoist {

/// Stack size of a connection's thread. Handlers keep their buffers on the
/// heap.
static constexpr std::size_t ConnectionStack = 262'144;
/// Block size in which streamed responses are written to the socket.
static constexpr std::size_t StreamBlock = 65'536;

std::string headerOr(const http_headers &Headers, const std::string &Name) {
  auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

bool hasPeerDisconnected(int Socket) {
  if (Socket < 0)
    return false;
  char Byte = 0;
  const ssize_t Got = recv(Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 ||
         (Got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

namespace {

/// Collects a short body for a whole_handler.
class whole_exchange final : public http_exchange {
public:
  whole_exchange(http_head Head, const whole_handler &Handler,
                 std::size_t MaxBody)
      : Head(std::move(Head)), Handler(Handler), MaxBody(MaxBody) {}

  std::unique_ptr<http_response> body(std::string_view Piece) override {
    if (Collected.size() + Piece.size() <= MaxBody) {
      Collected.append(Piece);
      return nullptr;
    }
    auto Response = std::make_unique<http_response>();
    Response->Status = MHD_HTTP_CONTENT_TOO_LARGE;
    Response->Body = "the body is too large\n";
    return Response;
  }

  std::unique_ptr<http_response> end() override {
    return std::make_unique<http_response>(Handler(Head, Collected));
  }

private:
  http_head Head;
  const whole_handler &Handler;
  std::size_t MaxBody;
  std::string Collected;
};

/// The state of one request that libmicrohttpd stores for the server.
struct connection_state {
  std::string Target;
  std::unique_ptr<http_exchange> Exchange;
};

} // namespace

static MHD_Result addHeader(void *Target, MHD_ValueKind, const char *Name,
                            const char *Value) {
  auto &Headers = *static_cast<http_headers *>(Target);
  Headers[absl::AsciiStrToLower(Name)] = Value ? Value : "";
  return MHD_YES;
}

static MHD_Result addArgument(void *Target, MHD_ValueKind, const char *Name,
                              const char *Value) {
  auto &Arguments = *static_cast<std::map<std::string, std::string> *>(Target);
  Arguments[Name] = Value ? Value : "";
  return MHD_YES;
}

static http_head readHead(MHD_Connection *Connection, const char *Url,
                          const char *Method) {
  http_head Head;
  Head.Method = Method;
  Head.Path = Url;
  MHD_get_connection_values(Connection, MHD_HEADER_KIND, addHeader,
                            &Head.Headers);
  MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND, addArgument,
                            &Head.Query);
  const auto *Info =
      MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  Head.Socket = Info ? Info->connect_fd : -1;
  return Head;
}

static ssize_t readBody(void *Closure, std::uint64_t, char *Buffer,
                        std::size_t Size) {
  auto &Reader = *static_cast<body_reader *>(Closure);
  const std::int64_t Got = Reader(std::span<char>(Buffer, Size));
  if (Got == BodyEnd)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (Got < 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  return static_cast<ssize_t>(Got);
}

static void freeReader(void *Closure) {
  delete static_cast<body_reader *>(Closure);
}

static MHD_Result queueResponse(MHD_Connection *Connection,
                                http_response &Response) {
  MHD_Response *Queued = nullptr;
  if (Response.Reader) {
    const std::uint64_t Length =
        Response.Length < 0 ? MHD_SIZE_UNKNOWN
                            : static_cast<std::uint64_t>(Response.Length);
    Queued = MHD_create_response_from_callback(
        Length, StreamBlock, readBody,
        new body_reader(std::move(Response.Reader)), freeReader);
  } else {
    Queued = MHD_create_response_from_buffer(
        Response.Body.size(), Response.Body.data(), MHD_RESPMEM_MUST_COPY);
  }
  for (const auto &[Name, Value] : Response.Headers)
    MHD_add_response_header(Queued, Name.c_str(), Value.c_str());
  const MHD_Result Result = MHD_queue_response(
      Connection, static_cast<unsigned>(Response.Status), Queued);
  MHD_destroy_response(Queued);
  return Result;
}

static MHD_Result answerOr(MHD_Connection *Connection,
                           std::unique_ptr<http_response> Response) {
  return Response ? queueResponse(Connection, *Response) : MHD_YES;
}

/// Stores the target exactly as received. If it were forwarded decoded, "%2F"
/// would become a path separator and a repeated argument would be lost.
static void *storeTarget(void *, const char *Target, MHD_Connection *) {
  auto State = std::make_unique<connection_state>();
  State->Target = Target;
  return State.release();
}

static MHD_Result handleAccess(void *Closure, MHD_Connection *Connection,
                               const char *Url, const char *Method,
                               const char *, const char *Data,
                               std::size_t *Size, void **PerRequest) {
  auto *State = static_cast<connection_state *>(*PerRequest);
  if (!State->Exchange) {
    const auto &Server = *static_cast<http_server *>(Closure);
    http_head Head = readHead(Connection, Url, Method);
    Head.Target = State->Target;
    State->Exchange = Server.factory()(std::move(Head));
    return answerOr(Connection, State->Exchange->begin());
  }
  if (*Size != 0) {
    const std::string_view Piece(Data, *Size);
    *Size = 0;
    return answerOr(Connection, State->Exchange->body(Piece));
  }
  return answerOr(Connection, State->Exchange->end());
}

static void completed(void *, MHD_Connection *, void **PerRequest,
                      MHD_RequestTerminationCode) {
  delete static_cast<connection_state *>(*PerRequest);
  *PerRequest = nullptr;
}

result<std::unique_ptr<http_server>>
http_server::create(const std::string &Address, exchange_factory Factory,
                    const http_server_options &Options) {
  const socket_address Parsed = TRY(parseAddress(Address));
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_port = htons(Parsed.Port);
  inet_pton(AF_INET, Parsed.Ip.c_str(), &Bound.sin_addr);
  auto Server = std::unique_ptr<http_server>(new http_server());
  Server->Factory = std::move(Factory);
  Server->Daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_POLL | MHD_USE_ITC,
      Parsed.Port, nullptr, nullptr, handleAccess, Server.get(),
      MHD_OPTION_SOCK_ADDR, reinterpret_cast<sockaddr *>(&Bound),
      MHD_OPTION_URI_LOG_CALLBACK, storeTarget, nullptr,
      MHD_OPTION_NOTIFY_COMPLETED, completed, nullptr,
      MHD_OPTION_CONNECTION_LIMIT, Options.MaxConnections,
      MHD_OPTION_CONNECTION_TIMEOUT, Options.IdleSeconds,
      MHD_OPTION_THREAD_STACK_SIZE, ConnectionStack, MHD_OPTION_END);
  if (!Server->Daemon)
    return fail(error_code::Unavailable, Address + ": can't be listened at");
  return Server;
}

result<std::unique_ptr<http_server>>
http_server::createWhole(const std::string &Address, whole_handler Handler,
                         const http_server_options &Options) {
  auto Shared = std::make_shared<whole_handler>(std::move(Handler));
  const std::size_t MaxBody = Options.MaxWholeBody;
  return create(
      Address,
      [Shared, MaxBody](http_head Head) -> std::unique_ptr<http_exchange> {
        return std::make_unique<whole_exchange>(std::move(Head), *Shared,
                                                MaxBody);
      },
      Options);
}

http_server::~http_server() {
  if (Daemon)
    MHD_stop_daemon(Daemon);
}

void http_server::stopListening() {
  const MHD_socket Socket = MHD_quiesce_daemon(Daemon);
  if (Socket != MHD_INVALID_SOCKET)
    shutdown(Socket, SHUT_RDWR);
}

} // namespace amaranthhoist
