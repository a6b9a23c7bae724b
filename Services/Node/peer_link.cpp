#include "peer_link.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

/// Tick period of the membership: a few ticks within its shortest timeout (300
/// ms).
static constexpr duration TickPeriod = std::chrono::milliseconds(150);
/// Statuses in one datagram, which then fits 1,472 bytes: 48 each with a name
/// of 20 letters, 16 with its hash.
static constexpr std::size_t MaxNamedUpdates = 12;
static constexpr std::size_t MaxHashedUpdates = 42;
/// Lost or returned peers that one tick logs by name.
static constexpr std::size_t MaxPeersLogged = 8;
/// Number of instances that receive new crash reports in one tick.
static constexpr int ReceiversPerTick = 2;
/// Larger than any datagram that a node sends.
static constexpr std::size_t MaxDatagram = 8'192;

peer_link::peer_link(
    node &Node, std::function<void(const std::string &)> OnPeerSeen,
    std::function<void(const std::string &, std::int64_t)> OnPeerVersion,
    std::function<void(const peer_datagram &)> OnQuota)
    : Node(Node), OnPeerSeen(std::move(OnPeerSeen)),
      OnPeerVersion(std::move(OnPeerVersion)), OnQuota(std::move(OnQuota)) {
  membership_policy &Policy = Node.Fleet.Membership.Policy;
  Policy.ProbePeriod = std::chrono::milliseconds(500);
  Policy.MaxUpdatesPerMessage = MaxNamedUpdates;
  Policy.MaxHashedUpdatesPerMessage = MaxHashedUpdates;
  Policy.ProbesSuccessor = true;
  Policy.RequestsStatuses = true;
  Node.Fleet.Membership.Random.seed(stableHash(Node.Settings.Instance));
  setOwnMembers(Node.Fleet.Membership, {Node.Settings.Instance});
  Node.Loop.runEvery(TickPeriod, [this] { tick(); });
}

peer_link::~peer_link() {
  if (Descriptor >= 0)
    close(Descriptor);
}

result<bool> peer_link::listen(const endpoint &Endpoint) {
  Descriptor = TRY(bindUdp(Endpoint));
  if (!Node.Loop.watch(Descriptor, *this))
    return fail(error_code::Unavailable, "can't watch the peers' socket");
  return true;
}

void peer_link::send(const membership_message &Message, const endpoint &To) {
  send(Message,
       collectPiggybackedReports(Node.Steering.Quarantine, Node.Loop.now()),
       To);
}

void peer_link::send(const membership_message &Message,
                     std::vector<crash_report> Crashes, const endpoint &To) {
  peer_datagram Datagram;
  Datagram.Message = Message;
  Datagram.Crashes = std::move(Crashes);
  Datagram.Sender = Node.Settings.Instance;
  Datagram.Control = Node.Settings.Listen.Control;
  Datagram.ConfigurationVersion = configurationVersion(Node);
  send(Datagram, To);
}

void peer_link::sendQuota(const std::string &To, peer_datagram Datagram) {
  const auto Member = Node.Fleet.Members.find(To);
  if (Member == Node.Fleet.Members.end())
    return;
  Datagram.Sender = Node.Settings.Instance;
  Datagram.Control = Node.Settings.Listen.Control;
  if (auto Address = parseEndpoint(Member->second.Peer))
    send(Datagram, *Address);
}

void peer_link::send(const peer_datagram &Datagram, const endpoint &To) {
  const std::string Bytes = encodeDatagram(Datagram);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  Address.sin_addr.s_addr = htonl(To.Ip);
  // A datagram that can't be sent counts as lost, which the protocol tolerates.
  sendto(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&Address), sizeof Address);
}

void peer_link::announceState(const std::string &Address) {
  // A probe without a target requests no response and shows its sender's
  // address.
  if (auto To = parseEndpoint(Address))
    send(membership_message{}, *To);
}

void peer_link::sendAll(std::span<const outgoing_membership_message> Messages) {
  for (const outgoing_membership_message &Outgoing : Messages) {
    auto Member = Node.Fleet.Members.find(Outgoing.To);
    if (Member == Node.Fleet.Members.end())
      continue;
    if (auto To = parseEndpoint(Member->second.Peer))
      send(Outgoing.Message, *To);
  }
}

void peer_link::onEvent(const io_event & /*Event*/) {
  std::array<char, MaxDatagram> Buffer; // NOLINT(*-member-init)
  for (;;) {
    sockaddr_in Source{};
    socklen_t SourceSize = sizeof Source;
    const ssize_t Size =
        recvfrom(Descriptor, Buffer.data(), Buffer.size(), 0,
                 reinterpret_cast<sockaddr *>(&Source), &SourceSize);
    if (Size < 0)
      return;
    handleDatagram({Buffer.data(), static_cast<std::size_t>(Size)},
                   {ntohl(Source.sin_addr.s_addr), ntohs(Source.sin_port)});
  }
}

void peer_link::handleDatagram(std::string_view Bytes, const endpoint &Source) {
  auto Datagram = decodeDatagram(Bytes);
  if (!Datagram)
    return;
  // Crash reports are applied in every state: a node that shuts down or
  // bootstraps still sends requests.
  for (const quarantine_change &Change : applyReports(
           Node.Steering.Quarantine, Datagram->Crashes, Node.Loop.now()))
    logQuarantine(Node, Change);
  // An instance that shuts down still has requests to send, and pools.
  if (!Datagram->QuotaRequests.empty() || !Datagram->QuotaResponses.empty()) {
    if (Node.Steering.Routes)
      OnQuota(*Datagram);
    return;
  }
  OnPeerVersion(Datagram->Control, Datagram->ConfigurationVersion);
  if (HasLeft)
    return;
  if (!Node.isReady()) {
    // Not responding keeps this node out of the others' look-ups until it can
    // serve.
    OnPeerSeen(Datagram->Control);
    return;
  }
  const auto Responses =
      handleMembershipMessage(Node.Fleet.Membership, Datagram->Sender,
                              Datagram->Message, Node.Loop.now());
  for (const outgoing_membership_message &Response : Responses) {
    // The list may lag behind a node's new address, which is the source of its
    // datagram.
    if (Response.To == Datagram->Sender)
      send(Response.Message, Source);
    else
      sendAll({&Response, 1});
  }
}

void peer_link::tick() {
  if (HasLeft || !Node.isReady())
    return;
  sendAll(membershipTick(Node.Fleet.Membership, Node.Loop.now()));
  sendNewCrashReports();
  logMembershipChanges();
}

/// With the probes alone, two a second, the instances of a large fleet would
/// receive crash reports too late.
void peer_link::sendNewCrashReports() {
  const instant Now = Node.Loop.now();
  for (crash_report &Suspicion :
       collectSuspicions(Node.Steering.Quarantine, Now))
    for (const fleet_member *Counting :
         rendezvousMembers(Node.Fleet, Suspicion.Content, SuspicionOwners))
      sendCrashes({Suspicion}, *Counting);
  for (int Receiver = 0; Receiver < ReceiversPerTick; ++Receiver) {
    auto News = collectAnnouncements(Node.Steering.Quarantine, Now);
    const fleet_member *Member =
        News.empty() ? nullptr : pickRandomUpMember(Node.Fleet);
    if (!Member)
      return;
    sendCrashes(std::move(News), *Member);
  }
}

void peer_link::sendCrashes(std::vector<crash_report> Crashes,
                            const fleet_member &Member) {
  // A probe without a target requests no response.
  if (auto To = parseEndpoint(Member.Peer))
    send(membership_message{}, std::move(Crashes), *To);
}

void peer_link::logPeers(const char *Event,
                         const std::set<std::string> &Current,
                         const std::set<std::string> &Previous) {
  std::size_t Count = 0;
  for (const std::string &Name : Current)
    if (!Previous.contains(Name) && ++Count <= MaxPeersLogged)
      Node.Log.write(log_kind::ClusterState, Event, {{"peer", Name}},
                     Node.Loop.now());
  if (Count > MaxPeersLogged)
    Node.Log.write(log_kind::ClusterState, Event,
                   {{"more_peers", std::to_string(Count - MaxPeersLogged)}},
                   Node.Loop.now());
}

void peer_link::logMembershipChanges() {
  const bool IsIsolated = Node.Fleet.Membership.IsIsolated;
  if (IsIsolated != LoggedIsolated)
    Node.Log.write(log_kind::ClusterState,
                   IsIsolated ? "isolated_from_peers" : "peers_heard_again", {},
                   Node.Loop.now());
  LoggedIsolated = IsIsolated;
  const std::set<std::string> &Down = downMembers(Node.Fleet.Membership);
  if (Down == LoggedDown)
    return;
  logPeers("peer_lost", Down, LoggedDown);
  logPeers("peer_back", LoggedDown, Down);
  LoggedDown = Down;
}

void peer_link::leave() {
  membership &Membership = Node.Fleet.Membership;
  auto Own = Membership.Own.find(Node.Settings.Instance);
  if (HasLeft || Own == Membership.Own.end())
    return;
  // One higher than any update about this node, so that it takes precedence
  // everywhere.
  membership_message Message;
  Message.Kind = membership_message::kind::Ack;
  Message.Updates.push_back({Node.Settings.Instance, member_status::Down,
                             Own->second.Incarnation + 1});
  for (const auto &[Name, Member] : Node.Fleet.Members)
    if (auto To = parseEndpoint(Member.Peer))
      send(Message, *To);
  HasLeft = true;
}

} // namespace amaranthhoist
