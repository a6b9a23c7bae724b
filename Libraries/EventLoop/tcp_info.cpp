// Apart from socket.cpp: the kernel's header, which has all fields of tcp_info,
// can't be included beside <netinet/tcp.h>.

#include "EventLoop/peer_liveness.h"

#include <algorithm>
#include <cstddef>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace amaranthhoist {

std::optional<send_progress> readSendProgress(int Descriptor) {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  constexpr socklen_t NeededSize =
      offsetof(tcp_info, tcpi_notsent_bytes) + sizeof Info.tcpi_notsent_bytes;
  if (getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0 ||
      Size < NeededSize)
    return std::nullopt;
  return send_progress{
      Info.tcpi_bytes_acked, Info.tcpi_unacked > 0, Info.tcpi_notsent_bytes > 0,
      std::max<unsigned>(Info.tcpi_probes, Info.tcpi_retransmits),
      std::chrono::milliseconds(Info.tcpi_last_ack_recv)};
}

} // namespace amaranthhoist
