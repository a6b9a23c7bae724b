/// Non-blocking TCP and UDP sockets over IPv4.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthhoist {

/// An IPv4 address and a port, in host byte order.
struct endpoint {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  auto operator<=>(const endpoint &) const = default;
};

/// Parses `ip:port`.
result<endpoint> parseEndpoint(std::string_view Text);
/// Formats an endpoint as `ip:port`.
std::string toString(const endpoint &Endpoint);

/// Opens a listening TCP socket and returns its descriptor.
result<int> listenOn(const endpoint &Endpoint);
/// Accepts one pending connection and returns its descriptor, or -1 if there is
/// none. \p OutOfDescriptors is set if a connection is pending but the limit on
/// file descriptors is reached.
int acceptConnection(int Listener, bool &OutOfDescriptors);
/// Starts connecting and returns the descriptor, which becomes writable once
/// the connection is established. \p Timeout bounds how long sent bytes may
/// stay unacknowledged, and how long an idle connection goes without a
/// keep-alive probe, before the peer is considered unreachable: a peer that
/// lost power or is behind a partition never responds, not even with a reset.
result<int> connectTo(const endpoint &Endpoint, duration Timeout);
/// Changes the first of these bounds; zero turns it off.
void setAckTimeout(int Descriptor, duration Timeout);
/// Returns the error of a connection attempt; 0 if it is established.
int connectError(int Descriptor);
/// Opens a UDP socket bound to \p Endpoint and returns its descriptor.
result<int> bindUdp(const endpoint &Endpoint);
/// Closes with a reset, so that the peer cannot mistake a truncated message for
/// a complete one.
void closeWithReset(int Descriptor);

} // namespace amaranthhoist
