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
/// The `ip:port` of an endpoint.
std::string toString(const endpoint &Endpoint);

/// Listens for TCP connections; the descriptor.
result<int> listenAt(const endpoint &Endpoint);
/// Takes one waiting connection; -1 when there is none. \p OutOfDescriptors
/// tells that one waits and this process may not open it.
int acceptFrom(int Listener, bool &OutOfDescriptors);
/// Begins a connection; the descriptor, which becomes writable when it stands.
/// \p Silence is how long sent bytes may stay unacknowledged, and how long an
/// idle connection goes unasked, before the peer counts as gone: a peer
/// without power or behind a partition never answers, not even with a reset.
result<int> connectTo(const endpoint &Endpoint, duration Silence);
/// Error of a connection that was begun; 0 when it stands.
int connectError(int Descriptor);
/// A UDP socket bound to \p Endpoint.
result<int> bindDatagrams(const endpoint &Endpoint);
/// Closes with a reset, so that the peer can't take a part for the whole.
void closeWithReset(int Descriptor);

} // namespace amaranthhoist
