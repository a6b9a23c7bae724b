#include "early_caller.h"

#include "EventLoop/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

early_caller::early_caller(const std::string &Address,
                           const std::string &Request) {
  const endpoint To = parseEndpoint(Address).value();
  sockaddr_in Peer{};
  Peer.sin_family = AF_INET;
  Peer.sin_port = htons(To.Port);
  Peer.sin_addr.s_addr = htonl(To.Ip);
  for (int Try = 0; Try < 60'000 && !IsConnected; ++Try) {
    Descriptor = socket(AF_INET, SOCK_STREAM, 0);
    IsConnected = connect(Descriptor, reinterpret_cast<sockaddr *>(&Peer),
                          sizeof Peer) == 0;
    if (!IsConnected) {
      close(Descriptor);
      usleep(1'000);
    }
  }
  IsConnected = IsConnected && ::send(Descriptor, Request.data(),
                                      Request.size(), MSG_NOSIGNAL) > 0;
}

early_caller::~early_caller() { close(Descriptor); }

std::string early_caller::poll() {
  char Buffer[256]; // NOLINT(*-avoid-c-arrays)
  const ssize_t Size = recv(Descriptor, Buffer, sizeof Buffer, MSG_DONTWAIT);
  if (Size > 0)
    Answer.append(Buffer, static_cast<std::size_t>(Size));
  return Answer.substr(0, Answer.find("\r\n"));
}

} // namespace amaranthhoist
