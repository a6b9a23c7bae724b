/// The platform's object API as a small stand-in: versions, conditional
/// updates, watches, call rate limits, values up to a megabyte, outages, slow
/// answers, lost answers and a lagging list. For tests and trials only.
#pragma once

#include "Http/http.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace amaranthhoist {

/// What a test or a person has broken.
struct platform_faults {
  /// Every call is answered 503.
  bool Outage = false;
  /// Added to each answer.
  std::int64_t SlowMs = 0;
  /// So many writes take effect and lose their answers.
  std::int64_t LoseAnswers = 0;
  /// Writes to targets show in watches and lists this much later.
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
  /// When it begins to show in watches and lists.
  std::int64_t VisibleAtMs = 0;
};

/// Calls counted, a waiting watch as one.
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
  bool takeCall(bool IsWrite);

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
