#include "crash_probe.h"

#include "EventLoop/socket.h"
#include "EventLoop/stream.h"
#include "Quarantine/quarantine.h"
#include "Text/text.h"
#include "target_pool.h"

#include <algorithm>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Servers probed at a time. When more break off at once a whole site or link
/// is down, and no single request is the reason.
static constexpr std::size_t MostProbes = 64;

/// One connection that is tried, and the requests that were under way at its
/// server.
class crash_probe::connection_attempt : public retirable, private stream_owner {
public:
  connection_attempt(crash_probe &Probe, const target &Target)
      : Probe(Probe), Loop(Probe.Node.Loop), Serial(Target.Serial),
        Server(Target.Entry.Id), Stream(Loop, *this) {}
  ~connection_attempt() override { Loop.cancel(Timer); }

  /// False when the connection fails at once.
  [[nodiscard]] bool begin(const std::string &Address) {
    const auto Endpoint = parseEndpoint(Address);
    const auto Descriptor = Endpoint ? connectTo(*Endpoint, ConnectTime)
                                     : tl::unexpected(Endpoint.error());
    if (!Descriptor || !Stream.open(*Descriptor, /*IsConnected=*/false))
      return false;
    Timer = Loop.after(ConnectTime, [this] {
      Timer = 0;
      finish(/*IsAlive=*/false);
    });
    return true;
  }

  void add(std::uint64_t Content) {
    if (std::find(Contents.begin(), Contents.end(), Content) == Contents.end())
      Contents.push_back(Content);
  }

  [[nodiscard]] const std::string &server() const { return Server; }
  [[nodiscard]] const std::vector<std::uint64_t> &contents() const {
    return Contents;
  }

private:
  void onConnected() override { finish(/*IsAlive=*/true); }
  void onBytes(std::string_view /*Bytes*/) override {}
  void onEnd(stream_end /*End*/) override { finish(/*IsAlive=*/false); }

  void finish(bool IsAlive) {
    Stream.close();
    Loop.cancel(Timer);
    Probe.end(Serial, IsAlive);
  }

  crash_probe &Probe;
  event_loop &Loop;
  const std::uint64_t Serial;
  const std::string Server;
  std::vector<std::uint64_t> Contents;
  stream Stream;
  timer_id Timer = 0;
};

crash_probe::crash_probe(node &Node) : Node(Node) {}

crash_probe::~crash_probe() = default;

void crash_probe::noteBroken(const target &Target, std::uint64_t Content) {
  auto Found = Attempts.find(Target.Serial);
  if (Found != Attempts.end()) {
    Found->second->add(Content);
    return;
  }
  if (Attempts.size() >= MostProbes) {
    Node.Metrics.count("amaranthhoist_crash_probes_left_out_total");
    return;
  }
  auto Attempt = std::make_unique<connection_attempt>(*this, Target);
  Attempt->add(Content);
  const bool HasBegun = Attempt->begin(Target.Entry.Address);
  Attempts.emplace(Target.Serial, std::move(Attempt));
  if (!HasBegun)
    end(Target.Serial, /*IsAlive=*/false);
}

void crash_probe::end(std::uint64_t Serial, bool IsAlive) {
  auto Found = Attempts.find(Serial);
  if (Found == Attempts.end())
    return;
  std::unique_ptr<connection_attempt> Attempt = std::move(Found->second);
  Attempts.erase(Found);
  if (!IsAlive) {
    std::string Names;
    for (std::uint64_t Content : Attempt->contents())
      append(Names, Names.empty() ? "" : ",", contentName(Content));
    Node.Log.write(log_kind::Belief, "server_crashed",
                   {{"server", Attempt->server()}, {"contents", Names}},
                   Node.Loop.now());
  }
  Node.Metrics.count(IsAlive ? "amaranthhoist_answers_lost_total"
                             : "amaranthhoist_servers_crashed_total");
  Node.Retired.push_back(std::move(Attempt));
}

} // namespace amaranthhoist
