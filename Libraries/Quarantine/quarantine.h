/// Quarantine of request contents that crash the backend servers which run them
/// ("queries of death"). Such a request returns, at any instance, and crashes
/// one server after the other. Instances therefore count crashes by request
/// content, exchange the counts, and refuse a content after its third crash.
///
/// Every request in flight at a crashed server raises a suspicion, most of them
/// of harmless contents. A suspicion is sent only to the two instances that
/// count the content; a quarantine, and its end, is announced to all.
///
/// A content is identified only by its crashes, and a popular page is in flight
/// at every server that fails. The page differs in that it receives responses:
/// a valid response voids the crashes counted before it. One instance sends a
/// trial request with a quarantined content from time to time, so that a
/// content that was quarantined wrongly is released. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// The content of a request; the same for every attempt of a caller and at
/// every instance.
struct request_content {
  std::string_view Method;
  std::string_view Host;
  /// Path and query.
  std::string_view Target;
  std::string_view ObjectKey;
  /// The caller's credentials; empty if there are none.
  std::string_view Credentials;
  std::string_view Body;
  /// The caller's account; empty if it has none. All of its API keys are one
  /// caller.
  std::string_view Account = {};
};

/// Fingerprint that identifies a content between instances and in logs without
/// disclosing it: bodies and keys belong to the callers.
std::uint64_t contentHash(const request_content &Content);

/// The text form of a content's hash in logs.
std::string contentName(std::uint64_t Content);

struct quarantine_policy {
  /// A content is refused once this many servers have crashed while running it.
  std::size_t CrashThreshold = 3;
  /// A valid response voids crashes that occur less than this after it.
  duration ValidResponseWindow = std::chrono::seconds(10);
  /// Delay from the last crash to the first trial, multiplied by the factor for
  /// each trial that crashes its server.
  duration FirstTrialDelay = std::chrono::seconds(30);
  duration MaxTrialDelay = std::chrono::hours(1);
  int TrialDelayFactor = 4;
  /// A record without changes is evicted after this long, or after this many
  /// times the delay between trials if that is longer.
  duration RecordLifetime = std::chrono::minutes(10);
  int RecordLifetimeInTrials = 4;
  /// Bounds memory: callers control how many distinct contents are recorded.
  std::size_t MaxRecords = 256;
  /// Number of messages that announce a changed quarantine at once; after that
  /// it is piggybacked on messages that are sent anyway.
  int AnnouncementMessages = 6;
  /// How often a changed suspicion is sent to each instance that counts it.
  int SuspicionSends = 1;
  /// The next four bound the bytes of control traffic.
  int AnnouncementsPerSecond = 4;
  int SuspicionsPerSecond = 4;
  std::size_t MaxReportsPerAnnouncement = 4;
  std::size_t MaxPiggybackedReports = 2;
};

/// Number of instances that count the crashes of a content: the second
/// continues if the first is lost.
inline constexpr std::size_t SuspicionOwners = 2;

/// Maximum number of servers in a record: those that caused the quarantine, and
/// trials.
inline constexpr std::size_t MaxCrashedServers = 8;

/// Crash record of one content.
struct crash_record {
  /// Incremented by a valid response, which voids the crashes counted before
  /// it.
  std::uint32_t Generation = 0;
  /// Hashes of the server incarnations that crashed while running it,
  /// ascending.
  std::vector<std::uint64_t> Servers;
  /// Time of the last crash, or of the response that voided the crashes.
  instant ChangedAt{};
  /// The content is quarantined, or was when its crashes were voided.
  bool IsBroadcast = false;
  /// Time of the last trial by this instance.
  instant TriedAt{};
  /// Number of messages that still have to carry this record.
  int PendingSends = 0;
};

/// A crash record as exchanged between instances.
struct crash_report {
  std::uint64_t Content = 0;
  std::uint32_t Generation = 0;
  std::vector<std::uint64_t> Servers;
  /// Time since the record's last change.
  duration Age{};
  /// Addressed to all instances, not only to those that count the content.
  bool IsBroadcast = false;
};

/// Rate limit for sending reports.
struct send_rate {
  instant WindowStart{};
  int Sent = 0;
};

/// A content that received a valid response.
struct valid_response {
  std::uint64_t Content = 0;
  instant At{};
};

struct quarantine {
  quarantine_policy Policy;
  /// By content.
  std::map<std::uint64_t, crash_record> Records;
  /// Contents that recently received a valid response, in a table indexed by
  /// hash; a later entry replaces an earlier one in the same slot.
  std::array<valid_response, 1'024> ValidResponses{};
  /// Crashes that were not recorded because the records were full.
  std::uint64_t DroppedCrashes = 0;
  /// Content at which the next piggybacked message continues in the records.
  std::uint64_t PiggybackCursor = 0;
  send_rate AnnouncementRate;
  send_rate SuspicionRate;
};

/// A content that was quarantined or released.
struct quarantine_change {
  std::uint64_t Content = 0;
  bool IsQuarantined = false;
  std::size_t Crashes = 0;
};

/// Identifies one incarnation of a server between instances.
std::uint64_t serverStartHash(std::string_view Id, std::int64_t StartedAtMs);

/// Records the crash of a server while a request with that content was in
/// flight there.
std::optional<quarantine_change> recordCrash(quarantine &Quarantine,
                                             std::uint64_t Content,
                                             std::uint64_t Server, instant Now);

/// Records that a server ran a request with that content to a valid response.
std::optional<quarantine_change>
recordValidResponse(quarantine &Quarantine, std::uint64_t Content, instant Now);

bool isQuarantined(const quarantine &Quarantine, std::uint64_t Content);

/// Whether a request with that content may be sent to a server now. \p
/// SendsTrials: this is the one instance that sends trials while the content is
/// quarantined.
bool isAdmitted(const quarantine &Quarantine, std::uint64_t Content,
                bool SendsTrials, instant Now);

/// Records a request that is sent although its content is quarantined.
void recordTrial(quarantine &Quarantine, std::uint64_t Content, instant Now);

/// Time until the next trial of a quarantined content; zero if the trial is due
/// or the content is not quarantined.
duration timeUntilTrial(const quarantine &Quarantine, std::uint64_t Content,
                        instant Now);

/// Evicts expired records.
void evictExpiredRecords(quarantine &Quarantine, instant Now);

/// Number of contents under quarantine.
std::size_t countQuarantined(const quarantine &Quarantine);

/// Reports for a dedicated message to any other instance, because a quarantine
/// began or ended; empty if none is due.
std::vector<crash_report> collectAnnouncements(quarantine &Quarantine,
                                               instant Now);

/// Reports of changed suspicions, each for the instances that count its
/// content.
std::vector<crash_report> collectSuspicions(quarantine &Quarantine,
                                            instant Now);

/// Reports to piggyback on a message that is sent anyway: all quarantines in
/// round-robin order (anti-entropy), so that instances that missed
/// announcements or have just started receive them.
std::vector<crash_report> collectPiggybackedReports(quarantine &Quarantine,
                                                    instant Now);

/// Applies the reports of another instance.
std::vector<quarantine_change>
applyReports(quarantine &Quarantine, std::span<const crash_report> Reports,
             instant Now);

} // namespace amaranthhoist
