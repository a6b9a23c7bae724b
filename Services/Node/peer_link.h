/// Sends and receives membership messages between nodes as datagrams, and
/// drives the membership's clock.
#pragma once

#include "EventLoop/socket.h"
#include "PeerMessages/peer_messages.h"
#include "node.h"

#include <functional>
#include <string>

namespace amaranthhoist {

class peer_link : private io_handler {
public:
  /// \p OnPeerSeen is called with the control addresses of instances that send
  /// datagrams while this one is not ready to serve.
  /// \p OnPeerVersion is called with the control address of a sender and the
  /// version of its configuration.
  /// \p OnQuota is called with the datagrams about limits of accounts.
  peer_link(
      node &Node, std::function<void(const std::string &)> OnPeerSeen,
      std::function<void(const std::string &, std::int64_t)> OnPeerVersion,
      std::function<void(const peer_datagram &)> OnQuota);
  ~peer_link() override;

  result<bool> listen(const endpoint &Endpoint);
  /// Notifies the instance that receives datagrams at \p Address, `ip:port`,
  /// that this one has the store's objects.
  void announceState(const std::string &Address);
  /// Sends requests or responses about limits of accounts to an instance.
  void sendQuota(const std::string &To, peer_datagram Datagram);
  /// Notifies all other nodes that this node shuts down, and stops sending.
  void leave();

private:
  void onEvent(const io_event &Event) override;
  void handleDatagram(std::string_view Bytes, const endpoint &Source);
  void tick();
  void send(const peer_datagram &Datagram, const endpoint &To);
  void send(const membership_message &Message, const endpoint &To);
  void send(const membership_message &Message,
            std::vector<crash_report> Crashes, const endpoint &To);
  void sendNewCrashReports();
  void sendCrashes(std::vector<crash_report> Crashes,
                   const fleet_member &Member);
  void sendAll(std::span<const outgoing_membership_message> Messages);
  void logMembershipChanges();
  /// Logs the peers that are in \p Current but not in \p Previous, a bounded
  /// number of them by name.
  void logPeers(const char *Event, const std::set<std::string> &Current,
                const std::set<std::string> &Previous);

  node &Node;
  std::function<void(const std::string &)> OnPeerSeen;
  std::function<void(const std::string &, std::int64_t)> OnPeerVersion;
  std::function<void(const peer_datagram &)> OnQuota;
  int Descriptor = -1;
  bool HasLeft = false;
  std::set<std::string> LoggedDown;
  bool LoggedIsolated = false;
};

} // namespace amaranthhoist
