/// Carries the messages of the membership between nodes, as datagrams, and
/// drives its clock.
#pragma once

#include "EventLoop/socket.h"
#include "PeerMessages/peer_messages.h"
#include "node.h"

#include <functional>
#include <string>

namespace amaranthhoist {

class peer_link : private io_handler {
public:
  /// \p Heard gets the control addresses of instances that send datagrams
  /// while this one can't serve yet.
  peer_link(node &Node, std::function<void(const std::string &)> Heard);
  ~peer_link() override;

  result<bool> listen(const endpoint &Endpoint);
  /// Tells the instance that takes datagrams at \p Address, `ip:port`, that
  /// this one has the store's objects.
  void tell(const std::string &Address);
  /// Tells all others that this node leaves, and falls silent.
  void leave();

private:
  void onEvent(const io_event &Event) override;
  void take(std::string_view Bytes, const endpoint &Source);
  void tick();
  void send(const membership_message &Message, const endpoint &To);
  void send(const membership_message &Message,
            std::vector<crash_report> Crashes, const endpoint &To);
  void sendCrashNews();
  void sendCrashes(std::vector<crash_report> Crashes,
                   const fleet_member &Member);
  void sendAll(std::span<const outgoing_membership_message> Messages);
  void reportChanges();

  node &Node;
  std::function<void(const std::string &)> Heard;
  int Descriptor = -1;
  bool HasLeft = false;
  std::set<std::string> ReportedDown;
};

} // namespace amaranthhoist
