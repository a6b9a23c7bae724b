#include "EventLoop/socket.h"

#include "Text/text.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

/// Limit on connections that wait to be accepted: one second of connections at
/// peak load. When the queue is full, the kernel drops the SYN packet and the
/// client retransmits it only after a second.
static constexpr int ListenBacklog = 1'024;

static sockaddr_in toSockaddr(const endpoint &Endpoint) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Endpoint.Port);
  Address.sin_addr.s_addr = htonl(Endpoint.Ip);
  return Address;
}

static tl::unexpected<error> systemError(std::string_view What, int Error) {
  return fail(error_code::Unavailable, cat(What, ": ", std::strerror(Error)));
}

static void setOption(int Descriptor, int Level, int Name, int Value) {
  setsockopt(Descriptor, Level, Name, &Value, sizeof Value);
}

result<endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(error_code::Invalid, cat("missing port in ", Text));
  in_addr Ip{};
  const std::string IpText(Text.substr(0, Colon));
  const auto Port = parseNumber<std::uint16_t>(Text.substr(Colon + 1));
  if (inet_pton(AF_INET, IpText.c_str(), &Ip) != 1 || !Port)
    return fail(error_code::Invalid, cat("not an ip:port address: ", Text));
  return endpoint{ntohl(Ip.s_addr), *Port};
}

std::string toString(const endpoint &Endpoint) {
  in_addr Ip{};
  Ip.s_addr = htonl(Endpoint.Ip);
  char Text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &Ip, Text, sizeof Text);
  return cat(Text, ":", Endpoint.Port);
}

result<int> listenOn(const endpoint &Endpoint) {
  const int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return systemError("socket", errno);
  setOption(Descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in Address = toSockaddr(Endpoint);
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
           sizeof Address) != 0 ||
      listen(Descriptor, ListenBacklog) != 0) {
    const int Error = errno;
    close(Descriptor);
    return systemError(cat("listen at ", toString(Endpoint)), Error);
  }
  return Descriptor;
}

int acceptConnection(int Listener, bool &OutOfDescriptors) {
  const int Descriptor =
      accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  OutOfDescriptors = Descriptor < 0 && (errno == EMFILE || errno == ENFILE);
  if (Descriptor >= 0)
    setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  return Descriptor;
}

result<int> connectTo(const endpoint &Endpoint, duration Timeout) {
  const int Descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return systemError("socket", errno);
  const int TimeoutMs = static_cast<int>(Timeout.count() / 1'000);
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setAckTimeout(Descriptor, Timeout);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE,
            std::max(1, TimeoutMs / 1'000));
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT, 2);
  const sockaddr_in Address = toSockaddr(Endpoint);
  if (connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address) != 0 &&
      errno != EINPROGRESS) {
    const int Error = errno;
    close(Descriptor);
    return systemError("connect", Error);
  }
  return Descriptor;
}

void setAckTimeout(int Descriptor, duration Timeout) {
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Timeout.count() / 1'000));
}

int connectError(int Descriptor) {
  int Error = 0;
  socklen_t Size = sizeof Error;
  if (getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0)
    return errno;
  return Error;
}

result<int> bindUdp(const endpoint &Endpoint) {
  const int Descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return systemError("socket", errno);
  const sockaddr_in Address = toSockaddr(Endpoint);
  if (bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
           sizeof Address) != 0) {
    const int Error = errno;
    close(Descriptor);
    return systemError(cat("bind ", toString(Endpoint)), Error);
  }
  return Descriptor;
}

void closeWithReset(int Descriptor) {
  const linger Reset{1, 0};
  setsockopt(Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
  close(Descriptor);
}

} // namespace amaranthhoist
