/// The backend servers as this instance believes them to be: from the
/// platform's list, and from what their answers and connections show. The list
/// may lag or miss servers that live; outcomes correct it. Sans-I/O.
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

/// What the platform's list says of one incarnation of a backend server.
struct target_entry {
  std::string Id;
  std::string Service;
  /// `ip:port`.
  std::string Address;
  std::string FailureDomain;
  /// Requests that it works on at a time.
  int Slots = 1;
  bool IsLeaving = false;
  /// How much longer it is cold.
  duration ColdFor{};
  /// Unix time of its start in milliseconds, which tells one start under the
  /// same id from the next; 0: it doesn't say.
  std::int64_t StartedAtMs = 0;
};

/// What a backend server says of its own load.
struct target_load {
  int Running = 0;
  int Waiting = 0;
  int Slots = 0;
};

/// How one attempt ended, as far as the server's health is concerned.
enum class attempt_result : std::uint8_t {
  Answered,
  /// It said that it did not run the request.
  Shed,
  /// An error of its own, or an answer that broke off or was no answer.
  Failed,
  /// No connection could be made.
  Unreachable,
  /// Nothing came in the time there was.
  TimedOut,
  /// Another server has its address.
  Replaced,
  /// Ended from this side; says nothing of the server.
  Cancelled,
};

struct target {
  target_entry Entry;
  /// Unique in this process: another start under the same id has another one.
  std::uint64_t Serial = 0;
  std::string Region;
  /// Of its region in the directory's Regions.
  std::size_t RegionIndex = 0;
  /// Of the id; ranks the server for an object.
  std::uint64_t Hash = 0;
  /// Requests of this instance under way there.
  int InFlight = 0;

  /// Last report, and what this instance had under way there at the time.
  target_load Reported;
  int InFlightAtReport = 0;
  instant ReportedAt{};
  bool HasReport = false;

  /// Share of failures among recent attempts, 0 to 1.
  double FailureShare = 0;
  /// Mean time of recent answers.
  duration MeanTime{};
  int Samples = 0;
  int UnreachableInARow = 0;
  /// Gets no request before, but for one trial afterwards.
  instant EjectedUntil{};
  duration EjectionTime{};
  bool OnTrial = false;
  /// Gets no request before: it asked this instance for rest.
  instant RestUntil{};

  instant ColdUntil{};
  /// Earliest time of the next request while it is cold.
  instant NextColdRequest{};
  /// Missing from the list, which may be a lapse of the list and not the
  /// server's end.
  bool IsMissing = false;
  /// When this instance learned of it.
  instant FirstSeen{};
};

/// What a server had said itself when its entry went. The entry may have lapsed
/// while the server lives, and come back.
struct former_target {
  target_entry Entry;
  instant RestUntil{};
};

/// All backend servers.
struct target_directory {
  /// Failure domains by name, with their regions.
  text_map<std::string> RegionOfDomain;
  /// Names of all regions.
  std::vector<std::string> Regions;
  text_map<std::unique_ptr<target>> ById;
  text_map<std::vector<target *>> ByService;
  /// Servers there get nothing.
  text_set EvacuatedDomains;
  /// Removed from the list, kept until their last request has ended.
  std::vector<std::unique_ptr<target>> Departed;
  /// The latest that went, oldest first.
  std::deque<former_target> Former;
  std::uint64_t NextSerial = 1;
};

/// Sets the failure domains by name, with their regions.
void setDomains(target_directory &Directory,
                const std::map<std::string, std::string> &RegionOfDomain);

/// Index of a region by name; the number of regions if there is none such.
std::size_t regionIndex(const target_directory &Directory,
                        std::string_view Name);

/// Takes in one entry of the list. A server that started again under its id
/// begins a fresh record: what was learned of the earlier start (load,
/// failures, leaving) would shut a healthy server out, or trust a cold one.
void putTarget(target_directory &Directory, const target_entry &Entry,
               instant Now);

/// Takes a server out. While the list is unsure (\p ListIsSure false: it was
/// away a moment ago) the server stays until removeMissing().
void removeTarget(target_directory &Directory, std::string_view Id,
                  bool ListIsSure);

/// Takes out what a whole new list doesn't have.
void keepOnly(target_directory &Directory, const text_set &Ids,
              bool ListIsSure);

/// Takes out servers that are still missing, now that the list is sure.
void removeMissing(target_directory &Directory);

/// Frees departed servers without requests. A pointer to a server is valid
/// while a request is counted there.
void freeDeparted(target_directory &Directory);

/// Stops or resumes sending to the servers of a failure domain. On return they
/// count as cold for \p ColdTime: they may have lost their caches meanwhile.
void setEvacuated(target_directory &Directory, const std::string &Domain,
                  bool IsEvacuated, duration ColdTime, instant Now);

/// Whether a new request may go to \p Target, load aside.
bool isUsable(const target_directory &Directory, const target &Target,
              instant Now);

/// Requests under way at \p Target from all instances: its last report, less
/// this instance's part then, plus this instance's part now.
double estimatedLoad(const target &Target, instant Now);

void noteSent(target &Target, instant Now);
void noteLoad(target &Target, const target_load &Load, instant Now);

/// Takes in how an attempt ended that was counted by noteSent().
void noteResult(target_directory &Directory, target &Target,
                attempt_result Result, duration Took, instant Now);

/// Leaves a server alone that asked for it. \p Target may have departed since
/// the request was sent.
void noteRest(target_directory &Directory, target &Target, instant Until);

/// Leaves out a server that says it leaves, before the list does. \p Target may
/// have departed since the request was sent.
void noteLeaving(target_directory &Directory, target &Target);

} // namespace amaranthhoist
