/// Requests that crash the backend servers which run them ("queries of death").
/// Such a request comes again, at any instance, and takes one server after the
/// other. So instances count by content under which request servers crashed,
/// tell each other, and refuse a content after its third crash.
///
/// Every request that was at a crashed server leaves a suspicion, most of them
/// of harmless contents. A suspicion is told only to the two instances where
/// its content is counted; a quarantine, and its end, to all.
///
/// A content is only known by its crashes, and a page that everybody asks for
/// is under way at every server that goes down. What tells them apart is that
/// the page is answered: a sound answer voids what was counted before it. A
/// quarantined content gets a trial now and then, at one instance, so that one
/// that was quarantined wrongly comes back. Sans-I/O.
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

/// What a request asks a server to do; the same for every attempt of a caller
/// and at every instance.
struct request_content {
  std::string_view Method;
  std::string_view Host;
  /// Path and query.
  std::string_view Target;
  std::string_view ObjectKey;
  /// What the caller proves its identity with; empty: nothing.
  std::string_view Credentials;
  std::string_view Body;
};

/// Names a content between instances and in logs, without showing it: bodies
/// and keys are the callers'.
std::uint64_t contentHash(const request_content &Content);

/// A content's hash as it stands in logs.
std::string contentName(std::uint64_t Content);

struct quarantine_policy {
  /// A content is refused from this many servers on that crashed under it.
  std::size_t CrashesAllowed = 3;
  /// A sound answer voids crashes that happen less than this after it.
  duration SoundTime = std::chrono::seconds(10);
  /// From the last crash to a trial, multiplied with each trial that crashes
  /// its server.
  duration FirstTrial = std::chrono::seconds(30);
  duration LongestTrial = std::chrono::hours(1);
  int TrialGrowth = 4;
  /// A record that nothing happens to is forgotten after this long, or after
  /// this many times the span between trials if that is longer.
  duration RecordLife = std::chrono::minutes(10);
  int RecordLifeInTrials = 4;
  /// Whoever may send requests decides what is recorded.
  std::size_t MaxRecords = 256;
  /// Messages that carry a changed quarantine at once; after that it travels
  /// with those that are sent anyway.
  int NewsMessages = 6;
  /// How often a changed suspicion is told to each instance that counts it.
  int SuspicionRepeats = 1;
  /// The next four bound the bytes of control.
  int NewsMessagesPerSecond = 4;
  int SuspicionsPerSecond = 4;
  std::size_t MaxReportsOfNews = 4;
  std::size_t MaxReportsInTurn = 2;
};

/// Instances that count the crashes of a content: the second one goes on when
/// the first one is lost.
inline constexpr std::size_t CountingInstances = 2;

/// Servers named in a record: those that quarantine it, and trials.
inline constexpr std::size_t MaxCrashedServers = 8;

/// What is known of one content.
struct crash_record {
  /// Raised by a sound answer, which voids what was counted before it.
  std::uint32_t Generation = 0;
  /// Hashes of the server starts that crashed under it, ascending.
  std::vector<std::uint64_t> Servers;
  /// Of its last crash, or of the answer that voided them.
  instant ChangedAt{};
  /// It is quarantined, or was when its crashes were voided.
  bool IsForAll = false;
  /// Of the last trial of this instance.
  instant TriedAt{};
  /// Messages that still carry it as news.
  int NewsLeft = 0;
};

/// One record as instances tell it each other.
struct crash_report {
  std::uint64_t Content = 0;
  std::uint32_t Generation = 0;
  std::vector<std::uint64_t> Servers;
  /// Since its last change.
  duration Age{};
  /// Meant for all instances, and not just for those that count it.
  bool IsForAll = false;
};

/// Bounds how often something is told.
struct telling_rate {
  instant Second{};
  int Told = 0;
};

/// A content that was answered soundly.
struct sound_answer {
  std::uint64_t Content = 0;
  instant At{};
};

struct quarantine {
  quarantine_policy Policy;
  /// By content.
  std::map<std::uint64_t, crash_record> Records;
  /// Contents that were answered lately, each at the place of its hash; a later
  /// one displaces an earlier one there.
  std::array<sound_answer, 1'024> Sound{};
  /// Crashes that found no room among the records.
  std::uint64_t LeftOut = 0;
  /// Where the next message goes on among the records.
  std::uint64_t NextShared = 0;
  telling_rate News;
  telling_rate Suspicions;
};

/// A content that was put under quarantine, or released.
struct quarantine_change {
  std::uint64_t Content = 0;
  bool IsQuarantined = false;
  std::size_t Crashes = 0;
};

/// Names one start of a server between instances.
std::uint64_t serverStartHash(std::string_view Id, std::int64_t StartedAtMs);

/// Counts a server that crashed while a request with that content was there.
std::optional<quarantine_change> noteCrash(quarantine &Quarantine,
                                           std::uint64_t Content,
                                           std::uint64_t Server, instant Now);

/// A server ran a request with that content to a sound answer.
std::optional<quarantine_change>
noteSoundAnswer(quarantine &Quarantine, std::uint64_t Content, instant Now);

bool isQuarantined(const quarantine &Quarantine, std::uint64_t Content);

/// Whether a request with that content may go to a server now. \p MakesTrials:
/// this is the one instance that tries the content while it is quarantined.
bool mayBeSent(const quarantine &Quarantine, std::uint64_t Content,
               bool MakesTrials, instant Now);

/// Counts a request that is sent although its content is quarantined.
void noteTrial(quarantine &Quarantine, std::uint64_t Content, instant Now);

/// How long until a quarantined content is tried again; zero: at once, or it
/// isn't quarantined.
duration untilTrial(const quarantine &Quarantine, std::uint64_t Content,
                    instant Now);

/// Forgets records whose time is over.
void forgetOldRecords(quarantine &Quarantine, instant Now);

/// Contents under quarantine.
std::size_t countQuarantined(const quarantine &Quarantine);

/// Reports for a message of their own to any other instance, because a
/// quarantine began or ended; empty: none is due.
std::vector<crash_report> reportNews(quarantine &Quarantine, instant Now);

/// Reports of suspicions that changed, each for the instances that count its
/// content.
std::vector<crash_report> reportSuspicions(quarantine &Quarantine, instant Now);

/// Reports for a message that is sent anyway: all quarantines in turn, so that
/// instances that missed news or have just started learn them.
std::vector<crash_report> reportInTurn(quarantine &Quarantine, instant Now);

/// Takes in what another instance tells.
std::vector<quarantine_change>
takeReports(quarantine &Quarantine, std::span<const crash_report> Reports,
            instant Now);

} // namespace amaranthhoist
