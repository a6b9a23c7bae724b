/// A caller on a path of small segments and a small window, which reads its
/// response only when it is told to.
#pragma once

#include "EventLoop/socket.h"
#include "HttpMessage/http_message.h"
#include "Text/text.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

class slow_reader {
public:
  slow_reader(const std::string &Address, std::string_view Path,
              std::string_view Id, std::string_view Fields = {})
      : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    connectTo(*parseEndpoint(Address));
    request(Path, Id, Fields);
  }
  ~slow_reader() { close(Socket); }
  slow_reader(const slow_reader &) = delete;
  slow_reader &operator=(const slow_reader &) = delete;

  /// Sends a request, behind those before it.
  void request(std::string_view Path, std::string_view Id,
               std::string_view Fields = {}) const {
    const std::string Text =
        cat("GET ", Path, " HTTP/1.1\r\nHost: shop.example\r\n",
            "X-Attempt-Id: ", Id, "\r\nX-Affinity-Key: ", Id,
            "\r\nX-Deadline-Remaining: 3000\r\n", Fields, "\r\n");
    send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
  }

  /// Reads what has arrived. Returns whether \p Wanted responses are complete,
  /// or the connection has ended.
  bool readToEnd(int Wanted = 1) {
    std::array<char, 4'096> Bytes{};
    for (;;) {
      const ssize_t Count =
          recv(Socket, Bytes.data(), Bytes.size(), MSG_DONTWAIT);
      if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        return false;
      if (Count <= 0)
        return true;
      feed({Bytes.data(), static_cast<std::size_t>(Count)});
      if (CompleteResponses >= Wanted)
        return true;
    }
  }
  [[nodiscard]] bool isComplete() const { return CompleteResponses > 0; }
  [[nodiscard]] int completeResponses() const { return CompleteResponses; }

private:
  void feed(std::string_view Bytes) {
    while (!Bytes.empty()) {
      Bytes.remove_prefix(Reader.feed(Bytes));
      if (Reader.state() != read_state::Complete)
        return;
      ++CompleteResponses;
      Reader.reset();
    }
  }

  /// The kernel completes the connection before the node accepts it.
  void connectTo(const endpoint &Endpoint) const {
    const int SegmentBytes = 1'460;
    const int WindowBytes = 4'096;
    setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
               sizeof SegmentBytes);
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof WindowBytes);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Endpoint.Port);
    Address.sin_addr.s_addr = htonl(Endpoint.Ip);
    if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof Address) != 0)
      std::abort();
  }

  int Socket;
  message_reader Reader{message_kind::Response, 65'536};
  int CompleteResponses = 0;
};

} // namespace amaranthhoist
