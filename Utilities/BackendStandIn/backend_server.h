/// One backend server as a stand-in: slots, connection limit, cost of new
/// connections and probes, cold start, shedding, cancellation, deadlines,
/// draining, long streamed exports, misleading reports, and a record of what it
/// executed. For tests and trials only.
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

/// What a test or a person has broken.
struct backend_faults {
  /// Executes and cuts the connection instead of answering.
  std::int64_t LoseAnswers = 0;
  /// Answers with another request's id.
  std::int64_t CrossWire = 0;
  /// Ends streamed bodies half-way.
  std::int64_t Truncate = 0;
  /// Says 503 and not run.
  bool Shed = false;
  /// Says that it is leaving, in its health answer and in a header.
  bool Draining = false;
  /// Whether the header tells of draining too.
  bool DrainingHeader = true;
  /// Added to each request's time.
  std::int64_t SlowMs = 0;
  /// Accepts nothing: connections are closed at once.
  bool Dead = false;
};

/// One execution, as the backend server itself saw it.
struct execution {
  std::string RequestId;
  std::string Key;
  std::string Path;
  std::int64_t StartMs = 0;
  std::int64_t EndMs = 0;
  /// Whether it ran to its end.
  bool Completed = false;
};

/// What all backend servers of one site draw together, by the site's own count.
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

  /// Called by its exchange, on the connection's thread.
  std::unique_ptr<http_response> execute(const http_head &Head,
                                         std::string Body);

  std::string reportJson();

private:
  struct running_work;

  http_response health(const http_head &Head);
  http_response cancel(const std::string &RequestId);
  http_response control(const http_head &Head);
  std::unique_ptr<http_response> work(const http_head &Head, std::string Body);
  std::unique_ptr<http_response> stream(const std::shared_ptr<running_work> &,
                                        std::int64_t Bytes,
                                        std::int64_t DurationMs);
  bool takeFault(std::int64_t backend_faults::*Fault);
  void release(running_work &Work, bool Completed);
  void payForConnection(int Socket);
  /// As a process that dies and is started again: connections are refused or
  /// cut for \p Milliseconds. What was counted stays, for the report.
  void goDownFor(std::int64_t Milliseconds);
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
