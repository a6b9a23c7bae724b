/// The backend servers in this instance's current view: the platform's list,
/// combined with what responses and connections show. The list may lag or omit
/// live servers; attempt outcomes correct it. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Text/text.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// The platform's list entry for one incarnation of a backend server.
struct target_entry {
  std::string Id;
  std::string Service;
  /// `ip:port`.
  std::string Address;
  std::string FailureDomain;
  /// Number of requests that it processes concurrently.
  int Slots = 1;
  bool IsDraining = false;
  /// Remaining duration of the cold start.
  duration ColdFor{};
  /// Unix time of its start in milliseconds, which distinguishes incarnations
  /// with the same id; 0 if the server does not report it.
  std::int64_t StartedAtMs = 0;
};

/// A load report from a backend server.
struct target_load {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
  /// How long work takes there now, as a multiple of the usual time; 1 if the
  /// server does not report it.
  double Slowdown = 1;
};

/// The outcome of an attempt as it affects the server's health.
enum class attempt_result : std::uint8_t {
  Answered,
  /// The server reported that it did not run the request.
  Shed,
  /// A server error, or a truncated or malformed response.
  Failed,
  /// No connection could be established.
  Unreachable,
  /// No response arrived before the timeout.
  TimedOut,
  /// Another server uses its address.
  Replaced,
  /// Ended by this instance; does not affect the server's health.
  Cancelled,
};

/// Whether this instance reaches a server, while the paths to its service are
/// impaired (Reachability).
enum class path_state : std::uint8_t {
  Untried,
  Reached,
  Failed,
};

struct target {
  target_entry Entry;
  /// Unique in this process: another incarnation with the same id has a
  /// different serial.
  std::uint64_t Serial = 0;
  std::string Region;
  /// Index of its region in the directory's Regions.
  std::size_t RegionIndex = 0;
  /// Index of its failure domain in the directory's Domains.
  std::size_t DomainIndex = 0;
  /// Hash of the id; ranks the server for an object.
  std::uint64_t Hash = 0;
  /// Number of requests in flight there from this instance.
  int InFlight = 0;

  /// The last load report, and the number of requests in flight from this
  /// instance when it arrived.
  target_load Reported;
  int InFlightAtReport = 0;
  instant ReportedAt{};
  bool HasReport = false;

  /// Moving average of failures among recent attempts, 0 to 1.
  double FailureRate = 0;
  /// Moving average of the time to a response.
  duration MeanResponseTime{};
  int Samples = 0;
  int ConsecutiveConnectFailures = 0;
  /// Receives no requests before this time, and then a single trial request
  /// (half-open).
  instant EjectedUntil{};
  duration EjectionTime{};
  bool IsHalfOpen = false;
  /// Untried as long as the paths to its service aren't impaired.
  path_state Path = path_state::Untried;
  /// Time at which it was last tried without a request.
  instant TriedAt{};
  /// Receives no requests before this time: it requested backoff from this
  /// instance.
  instant BackoffUntil{};

  instant ColdUntil{};
  /// Earliest time of the next request while their rate is limited.
  instant NextPacedRequest{};
  /// Missing from the list. This may be an expired entry of a live server.
  bool IsMissing = false;
  /// When this instance added it to its directory.
  instant AddedAt{};
};

/// State that a server itself reported before its entry was removed. The entry
/// may have expired while the server is alive, and may return.
struct retained_state {
  target_entry Entry;
  instant BackoffUntil{};
};

/// All backend servers.
struct target_directory {
  /// Failure domains by name, with their regions.
  text_map<std::string> RegionOfDomain;
  /// Names of all regions.
  std::vector<std::string> Regions;
  /// Names of all failure domains, and the index of the region of each.
  std::vector<std::string> Domains;
  std::vector<std::size_t> RegionByDomain;
  text_map<std::unique_ptr<target>> ById;
  text_map<std::vector<target *>> ByService;
  /// Failure domains whose servers receive no requests.
  text_set EvacuatedDomains;
  /// Removed from the list, kept until their last request completes.
  std::vector<std::unique_ptr<target>> Retired;
  /// States of the most recently removed servers, oldest first.
  std::deque<retained_state> RetainedStates;
  std::uint64_t NextSerial = 1;
};

/// Sets the failure domains by name, with their regions.
void setDomains(target_directory &Directory,
                const std::map<std::string, std::string> &RegionOfDomain);

/// Index of a region by name; the number of regions if there is no such region.
std::size_t regionIndex(const target_directory &Directory,
                        std::string_view Name);

/// Index of a failure domain by name; the number of failure domains if there is
/// no such one.
std::size_t domainIndex(const target_directory &Directory,
                        std::string_view Name);

/// Applies one entry of the list. A server that restarted under its id gets a
/// new record: the state of the previous incarnation (load, failures, draining)
/// would exclude a healthy server, or send full load to a cold one.
void upsertTarget(target_directory &Directory, const target_entry &Entry,
                  instant Now);

/// Removes a server. While the list is incomplete (\p ListIsComplete is false
/// after a store outage), the server stays until removeMissing().
void removeTarget(target_directory &Directory, std::string_view Id,
                  bool ListIsComplete);

/// Removes the servers that a full snapshot does not contain.
void removeUnlisted(target_directory &Directory, const text_set &Ids,
                    bool ListIsComplete);

/// Removes servers that are still missing once the list is complete.
void removeMissing(target_directory &Directory);

/// Frees retired servers without requests in flight. A pointer to a server is
/// valid while a request is counted there.
void freeRetired(target_directory &Directory);

/// Stops or resumes sending to the servers of a failure domain. When resumed,
/// the servers count as cold for \p ColdTime: they may have lost their caches
/// meanwhile.
void setEvacuated(target_directory &Directory, const std::string &Domain,
                  bool IsEvacuated, duration ColdTime, instant Now);

/// Whether a new request may be sent to \p Target, regardless of its load.
bool isUsable(const target_directory &Directory, const target &Target,
              instant Now);

/// The same for an instance that reaches all servers: failed connections from
/// this one don't count.
bool isUsableElsewhere(const target_directory &Directory, const target &Target,
                       instant Now);

/// Estimates the requests in flight at \p Target from all instances: its last
/// report, less this instance's part at that time, plus this instance's part
/// now.
double estimatedLoad(const target &Target, instant Now);

/// Records a connection without a request: ends an ejection for failed
/// connections.
void recordConnected(target &Target);

void recordAttemptStart(target &Target, instant Now);
void recordLoadReport(target &Target, const target_load &Load, instant Now);

/// Records the result of an attempt that was counted by recordAttemptStart().
void recordResult(target_directory &Directory, target &Target,
                  attempt_result Result, duration Took, instant Now);

/// Excludes a server that requested backoff until \p Until. \p Target may have
/// been retired since the request was sent.
void recordBackoff(target_directory &Directory, target &Target, instant Until);

/// Excludes a server that reports that it is draining, before the list does. \p
/// Target may have been retired since the request was sent.
void recordDraining(target_directory &Directory, target &Target);

} // namespace amaranthhoist
