#include "crash_probe.h"

#include "Quarantine/quarantine.h"
#include "Text/text.h"
#include "connect_trial.h"

#include <algorithm>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Maximum number of servers probed concurrently. When more connections break,
/// a whole site or link is down and no single request is the cause.
static constexpr std::size_t MaxProbes = 64;
static constexpr duration ExpiryPeriod = std::chrono::seconds(1);

/// One connection attempt and the contents of the requests that were in flight
/// at its server.
class crash_probe::connection_attempt : public retirable {
public:
  connection_attempt(crash_probe &Probe, const target &Target)
      : Server(Target.Entry.Id),
        StartHash(serverStartHash(Server, Target.Entry.StartedAtMs)),
        Trial(Probe.Node.Loop, [&Probe, Serial = Target.Serial](bool IsAlive) {
          Probe.finishAttempt(Serial, IsAlive);
        }) {}

  /// Returns false when the connection fails immediately.
  [[nodiscard]] bool begin(const std::string &Address) {
    return Trial.begin(Address);
  }

  void add(std::uint64_t Content) {
    if (std::find(Contents.begin(), Contents.end(), Content) == Contents.end())
      Contents.push_back(Content);
  }

  [[nodiscard]] const std::string &server() const { return Server; }
  [[nodiscard]] std::uint64_t startHash() const { return StartHash; }
  [[nodiscard]] const std::vector<std::uint64_t> &contents() const {
    return Contents;
  }

private:
  const std::string Server;
  const std::uint64_t StartHash;
  std::vector<std::uint64_t> Contents;
  connect_trial Trial;
};

crash_probe::crash_probe(node &Node) : Node(Node) {
  Node.Loop.runEvery(ExpiryPeriod, [&Node] {
    evictExpiredRecords(Node.Steering.Quarantine, Node.Loop.now());
  });
  Node.Metrics.registerGauge("amaranthhoist_quarantined_contents", [&Node] {
    return static_cast<double>(countQuarantined(Node.Steering.Quarantine));
  });
  Node.Metrics.registerGauge("amaranthhoist_crash_records_left_out", [&Node] {
    return static_cast<double>(Node.Steering.Quarantine.DroppedCrashes);
  });
}

crash_probe::~crash_probe() = default;

void crash_probe::onConnectionBroken(const target &Target,
                                     std::uint64_t Content) {
  auto Found = Attempts.find(Target.Serial);
  if (Found != Attempts.end()) {
    Found->second->add(Content);
    return;
  }
  if (Attempts.size() >= MaxProbes) {
    Node.Metrics.incrementCounter("amaranthhoist_crash_probes_left_out_total");
    return;
  }
  auto Attempt = std::make_unique<connection_attempt>(*this, Target);
  Attempt->add(Content);
  const bool HasBegun = Attempt->begin(Target.Entry.Address);
  Attempts.emplace(Target.Serial, std::move(Attempt));
  if (!HasBegun)
    finishAttempt(Target.Serial, /*IsAlive=*/false);
}

void crash_probe::finishAttempt(std::uint64_t Serial, bool IsAlive) {
  auto Found = Attempts.find(Serial);
  if (Found == Attempts.end())
    return;
  std::unique_ptr<connection_attempt> Attempt = std::move(Found->second);
  Attempts.erase(Found);
  if (!IsAlive)
    recordServerCrash(*Attempt);
  Node.Metrics.incrementCounter(IsAlive
                                    ? "amaranthhoist_answers_lost_total"
                                    : "amaranthhoist_servers_crashed_total");
  Node.Loop.retire(std::move(Attempt));
}

void crash_probe::recordServerCrash(const connection_attempt &Attempt) {
  std::string Names;
  for (std::uint64_t Content : Attempt.contents()) {
    append(Names, Names.empty() ? "" : ",", contentName(Content));
    logQuarantine(Node, recordCrash(Node.Steering.Quarantine, Content,
                                    Attempt.startHash(), Node.Loop.now()));
  }
  Node.Log.write(log_kind::ClusterState, "server_crashed",
                 {{"server", Attempt.server()}, {"contents", Names}},
                 Node.Loop.now());
}

} // namespace amaranthhoist
