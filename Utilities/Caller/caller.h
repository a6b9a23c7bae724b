/// Callers of the quickstart. They send a fixed mix of requests and verify the
/// content of each response. At the end, the outcomes reported to the callers
/// are compared with the executions recorded by the backend stand-ins.
#pragma once

#include "Http/http.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace amaranthhoist {

/// One kind of request in a mix.
struct request_kind {
  std::string Name;
  std::string Service;
  std::string Method = "GET";
  std::string Path;
  /// Non-idempotent: sent under an idempotency key.
  bool Keyed = false;
  /// Length of a streamed response in bytes; 0: a short response.
  std::int64_t Bytes = 0;
  std::int64_t DurationMs = 0;
  /// Relative frequency in the mix.
  int Weight = 1;
};

/// Returns the request kinds that the callers of \p Deployment send.
std::vector<request_kind> requestMixFor(const std::string &Deployment);

/// The last outcome reported to a caller for one idempotency key.
struct reported_outcome {
  std::string Outcome;
  std::string Kind;
};

/// Outcome counts and latencies of one request kind.
struct kind_report {
  std::vector<double> Milliseconds;
  std::map<std::string, std::int64_t> Outcomes;
  /// Longest time until a response, by outcome.
  std::map<std::string, double> LongestMs;
};

/// Results of all callers. Shared between their threads.
struct caller_report {
  std::mutex Lock;
  std::map<std::string, kind_report> Kinds;
  std::map<std::string, reported_outcome> Keys;
  /// Complete responses with wrong content.
  std::int64_t WrongContent = 0;
  /// Bodies that ended early.
  std::int64_t Truncated = 0;
  /// Final responses that arrived only after the deadline had passed.
  std::int64_t AfterDeadline = 0;
  /// Requests that never received a final response.
  std::int64_t Lost = 0;
  std::vector<std::string> Notes;
};

/// One caller. Used by a single thread.
class caller {
public:
  caller(std::vector<std::string> Entries, std::string Customer,
         std::uint64_t Seed, caller_report &Report);

  /// Sends one request of \p Kind, with retries, and waits until it completes.
  void request(const request_kind &Kind);

private:
  struct lookup {
    std::vector<std::string> Addresses;
    std::string Home;
    std::int64_t ExpiresAtMs = 0;
  };

  bool refreshLookup(const std::string &Service);
  std::string makeKey(const std::string &Service);
  http_call_result send(const request_kind &Kind, const std::string &Id,
                        const std::string &Key, std::int64_t &BytesSeen,
                        bool &BytesRight);
  void record(const request_kind &Kind, const std::string &Outcome,
              double Milliseconds);
  bool isContentCorrect(const request_kind &Kind, const std::string &Id,
                        const http_call_result &Result) const;

  std::vector<std::string> Entries;
  std::string Customer;
  std::mt19937_64 Random;
  caller_report &Report;
  std::map<std::string, lookup> Lookups;
  std::map<std::string, http_client> Clients;
  std::uint64_t Serial = 0;
  std::size_t NextEntry = 0;
};

/// Compares the outcomes reported to callers with the executions of the backend
/// stand-ins and prints the result. Returns false if a request was lost,
/// executed twice, truncated, or executed although it was reported as not run.
/// With \p AllowCut, a body may be truncated if the caller can detect it, as
/// when a process on the path crashes; a truncated body must still not be
/// accepted as complete.
bool checkAndPrint(caller_report &Report,
                   const std::vector<std::string> &Backends, bool AllowCut);

} // namespace amaranthhoist
