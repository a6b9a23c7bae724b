/// Stand-in for the platform's object API. It supports versions, conditional
/// updates, watches, call rate limits and values up to a megabyte, and
/// simulates outages, slow responses, lost responses and a lagging list. For
/// tests and trials only.
#pragma once

#include "Http/http.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace amaranthhoist {

/// Faults injected through /control.
struct platform_faults {
  /// Every call fails with 503.
  bool Outage = false;
  /// Delay added to each response.
  std::int64_t SlowMs = 0;
  /// Number of writes that take effect but whose responses are lost.
  std::int64_t LoseResponses = 0;
  /// Delay until a write to a target becomes visible in watches and lists.
  std::int64_t ListLagMs = 0;
  /// Calls per second; 0: no limit.
  std::int64_t WritesPerSecond = 0;
  std::int64_t ReadsPerSecond = 0;
};

struct stored_object {
  std::string Key;
  std::int64_t Version = 0;
  bool Deleted = false;
  std::string Value;
  /// Time from which the object is visible in watches and lists.
  std::int64_t VisibleAtMs = 0;
};

/// Number of calls. A waiting watch counts as one call.
struct platform_counts {
  std::int64_t Reads = 0;
  std::int64_t Writes = 0;
  std::int64_t Watches = 0;
  std::int64_t Limited = 0;
};

class object_store {
public:
  http_response handle(const http_head &Head, const std::string &Body);

private:
  http_response handleControl(const http_head &Head);
  http_response handleObject(const http_head &Head, const std::string &Body);
  http_response handleWrite(const http_head &Head, const std::string &Body,
                            const std::string &Key);
  http_response handleList(const std::string &Kind);
  http_response handleWatch(const http_head &Head);
  bool acquireCall(bool IsWrite);

  std::mutex Lock;
  std::condition_variable Changed;
  platform_faults Faults;
  platform_counts Counts;
  std::map<std::string, stored_object> Objects;
  std::int64_t Revision = 0;
  std::deque<std::int64_t> RecentWrites;
  std::deque<std::int64_t> RecentReads;
};

} // namespace amaranthhoist
