/// Stand-in for one backend server. It simulates slots, a connection limit, the
/// cost of new connections and probes, cold start, load shedding, cancellation,
/// deadlines, draining, long streamed exports and misleading reports, and
/// records its executions. For tests and trials only.
#pragma once

#include "Http/http.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace amaranthhoist {

/// Faults injected through /control.
struct backend_faults {
  /// Number of requests that are executed, then closed without a response.
  std::int64_t LoseResponses = 0;
  /// Number of responses that carry the ID of another request.
  std::int64_t CrossWire = 0;
  /// Number of streamed bodies that end half-way.
  std::int64_t Truncate = 0;
  /// Rejects every request with 503 and X-Not-Run.
  bool Shed = false;
  /// Announces draining in the health response and in a header of each
  /// response.
  bool Draining = false;
  /// Whether work responses carry the draining header too.
  bool DrainingHeader = true;
  /// Added to the duration of each request.
  std::int64_t SlowMs = 0;
  /// Serves nothing: connections are closed immediately.
  bool Dead = false;
};

/// One execution as recorded by the backend server.
struct execution {
  std::string RequestId;
  std::string Key;
  std::string Path;
  std::int64_t StartMs = 0;
  std::int64_t EndMs = 0;
  /// Whether the execution completed, rather than being cancelled.
  bool Completed = false;
};

/// Total power drawn by all backend servers of one site, as the site itself
/// measures it.
struct site_meter {
  std::atomic<std::int64_t> DrawMilliwatts = 0;
  std::atomic<std::int64_t> PeakMilliwatts = 0;
  void add(std::int64_t Milliwatts);
};

struct backend_options {
  std::string Name;
  std::string Address;
  std::int64_t Slots = 3;
  unsigned MaxConnections = 330;
  std::int64_t WorkMs = 5;
  std::int64_t SlotMilliwatts = 10'000;
  bool HasProbe = true;
};

class backend_server {
public:
  backend_server(const backend_options &Options, site_meter &Meter);

  ~backend_server();

  result<bool> start();

  /// Handles one complete request. Called on the connection's thread.
  std::unique_ptr<http_response> execute(const http_head &Head,
                                         std::string Body);

  std::string reportJson();

private:
  struct running_work;

  http_response handleHealth(const http_head &Head);
  http_response handleCancel(const std::string &RequestId);
  http_response handleControl(const http_head &Head);
  std::unique_ptr<http_response> handleWork(const http_head &Head,
                                            std::string Body);
  std::unique_ptr<http_response>
  makeStream(const std::shared_ptr<running_work> &, std::int64_t Bytes,
             std::int64_t DurationMs);
  bool consumeFault(std::int64_t backend_faults::*Fault);
  void release(running_work &Work, bool Completed);
  void simulateConnectionCost(int Socket);
  /// Simulates a process that crashes and restarts: connections are refused or
  /// closed for \p Milliseconds. Counters are kept for the report.
  void simulateOutage(std::int64_t Milliseconds);
  bool isDead();

  backend_options Options;
  site_meter &Meter;
  std::unique_ptr<http_server> Server;
  std::mutex Lock;
  backend_faults Faults;
  std::int64_t Busy = 0;
  std::int64_t PeakBusy = 0;
  std::int64_t Started = 0;
  std::int64_t DrainingSinceMs = 0;
  std::int64_t AfterDrain = 0;
  std::int64_t Overloads = 0;
  std::vector<execution> Executions;
  std::map<std::string, std::weak_ptr<running_work>> Running;
  std::set<int> SeenSockets;
  std::thread Outage;
};

} // namespace amaranthhoist
