#include "peer_link.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

/// Clock of the membership: a few ticks within its shortest timeout (300 ms).
static constexpr duration TickPeriod = std::chrono::milliseconds(150);
/// Others that get news in one tick.
static constexpr int NewsReceivers = 2;
/// Larger than any datagram that is sent.
static constexpr std::size_t MaxDatagram = 8'192;

peer_link::peer_link(node &Node, std::function<void(const std::string &)> Heard)
    : Node(Node), Heard(std::move(Heard)) {
  Node.Fleet.Membership.Policy.ProbePeriod = std::chrono::milliseconds(500);
  Node.Fleet.Membership.Random.seed(stableHash(Node.Settings.Instance));
  setOwnMembers(Node.Fleet.Membership, {Node.Settings.Instance});
  Node.Loop.every(TickPeriod, [this] { tick(); });
}

peer_link::~peer_link() {
  if (Descriptor >= 0)
    close(Descriptor);
}

result<bool> peer_link::listen(const endpoint &Endpoint) {
  Descriptor = TRY(bindDatagrams(Endpoint));
  if (!Node.Loop.watch(Descriptor, *this))
    return fail(error_code::Unavailable, "can't watch the peers' socket");
  return true;
}

void peer_link::send(const membership_message &Message, const endpoint &To) {
  send(Message, reportInTurn(Node.Steering.Quarantine, Node.Loop.now()), To);
}

void peer_link::send(const membership_message &Message,
                     std::vector<crash_report> Crashes, const endpoint &To) {
  const std::string Bytes =
      encodeDatagram({Node.Settings.Instance, Node.Settings.Listen.Control,
                      Message, std::move(Crashes)});
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  Address.sin_addr.s_addr = htonl(To.Ip);
  // A datagram that can't be sent is a lost one, which the protocol expects.
  sendto(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&Address), sizeof Address);
}

void peer_link::tell(const std::string &Address) {
  // A probe of nobody: it wants no answer, and shows its sender's address.
  if (auto To = parseEndpoint(Address))
    send({}, *To);
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
    take({Buffer.data(), static_cast<std::size_t>(Size)},
         {ntohl(Source.sin_addr.s_addr), ntohs(Source.sin_port)});
  }
}

void peer_link::take(std::string_view Bytes, const endpoint &Source) {
  auto Datagram = decodeDatagram(Bytes);
  if (!Datagram)
    return;
  // A node that leaves or learns still sends requests.
  for (const quarantine_change &Change : takeReports(
           Node.Steering.Quarantine, Datagram->Crashes, Node.Loop.now()))
    logQuarantine(Node, Change);
  if (HasLeft)
    return;
  if (!Node.isReady()) {
    // Silence keeps it out of the others' look-ups until it can serve.
    Heard(Datagram->Control);
    return;
  }
  const auto Answers =
      handleMembershipMessage(Node.Fleet.Membership, Datagram->Sender,
                              Datagram->Message, Node.Loop.now());
  for (const outgoing_membership_message &Answer : Answers) {
    // The list may lag behind a node's new address; its datagram shows it.
    if (Answer.To == Datagram->Sender)
      send(Answer.Message, Source);
    else
      sendAll({&Answer, 1});
  }
}

void peer_link::tick() {
  if (HasLeft || !Node.isReady())
    return;
  sendAll(membershipTick(Node.Fleet.Membership, Node.Loop.now()));
  sendCrashNews();
  reportChanges();
}

/// By the probes alone, two a second, instances of a large fleet would learn of
/// a crash too late.
void peer_link::sendCrashNews() {
  const instant Now = Node.Loop.now();
  for (crash_report &Suspicion :
       reportSuspicions(Node.Steering.Quarantine, Now))
    for (const fleet_member *Counting :
         rendezvousMembers(Node.Fleet, Suspicion.Content, CountingInstances))
      sendCrashes({Suspicion}, *Counting);
  for (int Receiver = 0; Receiver < NewsReceivers; ++Receiver) {
    auto News = reportNews(Node.Steering.Quarantine, Now);
    const fleet_member *Member =
        News.empty() ? nullptr : pickUpMember(Node.Fleet);
    if (!Member)
      return;
    sendCrashes(std::move(News), *Member);
  }
}

void peer_link::sendCrashes(std::vector<crash_report> Crashes,
                            const fleet_member &Member) {
  // A probe of nobody wants no answer.
  if (auto To = parseEndpoint(Member.Peer))
    send({}, std::move(Crashes), *To);
}

void peer_link::reportChanges() {
  const std::set<std::string> &Down = downMembers(Node.Fleet.Membership);
  if (Down == ReportedDown)
    return;
  for (const std::string &Name : Down)
    if (!ReportedDown.contains(Name))
      Node.Log.write(log_kind::Belief, "peer_lost", {{"peer", Name}},
                     Node.Loop.now());
  for (const std::string &Name : ReportedDown)
    if (!Down.contains(Name))
      Node.Log.write(log_kind::Belief, "peer_back", {{"peer", Name}},
                     Node.Loop.now());
  ReportedDown = Down;
}

void peer_link::leave() {
  membership &Membership = Node.Fleet.Membership;
  auto Own = Membership.Own.find(Node.Settings.Instance);
  if (HasLeft || Own == Membership.Own.end())
    return;
  // One higher than anything said of this node, so that it wins everywhere.
  membership_message Message;
  Message.Kind = membership_message::kind::Ack;
  Message.Beliefs.push_back(
      {Node.Settings.Instance, member_status::Down, Own->second.Counter + 1});
  for (const auto &[Name, Member] : Node.Fleet.Members)
    if (auto To = parseEndpoint(Member.Peer))
      send(Message, *To);
  HasLeft = true;
}

} // namespace amaranthhoist
