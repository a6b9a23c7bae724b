#include "crowd.h"

#include "EventLoop/socket.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

/// Repeated texts are sent in pieces of about this many bytes.
static constexpr std::size_t PieceBytes = 32'768;
/// Receive buffer of a caller, so that responses wait in the process that made
/// them.
static constexpr int WindowBytes = 4'096;

class crowd_caller : private io_handler {
public:
  /// \p Start and \p Piece must outlive the caller.
  crowd_caller(event_loop &Loop, const endpoint &Endpoint,
               const std::string &Start, const std::string &Piece,
               std::size_t Bytes)
      : Loop(Loop), Start(Start), Piece(Piece),
        TotalBytes(Piece.empty() ? Start.size() : Bytes),
        Socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof WindowBytes);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Endpoint.Port);
    Address.sin_addr.s_addr = htonl(Endpoint.Ip);
    if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0 &&
        errno != EINPROGRESS)
      std::abort();
    if (!Loop.watch(Socket, *this))
      std::abort();
  }
  ~crowd_caller() override { end(); }

  [[nodiscard]] std::size_t sentBytes() const { return SentBytes; }
  [[nodiscard]] bool isOpen() const { return Socket >= 0; }

private:
  void onEvent(const io_event &Event) override {
    if (Event.Failed)
      end();
    else if (Event.Writable)
      sendAll();
  }

  void end() {
    if (Socket < 0)
      return;
    Loop.unwatch(Socket);
    close(Socket);
    Socket = -1;
  }

  /// The bytes to be sent next.
  [[nodiscard]] std::string_view rest() const {
    if (SentBytes < Start.size())
      return std::string_view(Start).substr(SentBytes);
    const std::size_t At = (SentBytes - Start.size()) % Piece.size();
    return std::string_view(Piece).substr(
        At, std::min(Piece.size() - At, TotalBytes - SentBytes));
  }

  void sendAll() {
    while (Socket >= 0 && SentBytes < TotalBytes) {
      const std::string_view Bytes = rest();
      const ssize_t Count =
          send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        end();
      if (Count < 0)
        return;
      SentBytes += static_cast<std::size_t>(Count);
    }
  }

  event_loop &Loop;
  const std::string &Start;
  const std::string &Piece;
  const std::size_t TotalBytes;
  int Socket;
  std::size_t SentBytes = 0;
};

crowd::crowd(event_loop &Loop, const crowd_plan &Plan) : Start(Plan.Start) {
  while (!Plan.Repeated.empty() && Piece.size() < PieceBytes)
    Piece.append(Plan.Repeated);
  const endpoint Endpoint = *parseEndpoint(Plan.Address);
  for (int Caller = 0; Caller < Plan.Callers; ++Caller)
    Callers.push_back(std::make_unique<crowd_caller>(Loop, Endpoint, Start,
                                                     Piece, Plan.BytesEach));
}

crowd::~crowd() = default;

std::size_t crowd::sentBytes() const {
  std::size_t Sum = 0;
  for (const auto &Caller : Callers)
    Sum += Caller->sentBytes();
  return Sum;
}

std::size_t crowd::openCallers() const {
  return static_cast<std::size_t>(
      std::count_if(Callers.begin(), Callers.end(),
                    [](const auto &Caller) { return Caller->isOpen(); }));
}

} // namespace amaranthhoist
