/// Follows one kind of object in the platform's store: lists all objects, then
/// watches for changes, and lists again when the watched history has expired.
/// Decides which call comes next and when, but makes no calls itself. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// One object as stored.
struct stored_object {
  std::string Name;
  /// Revision of its last change.
  std::uint64_t Revision = 0;
  /// Empty if the object can't be decoded.
  std::string Text;
  /// Empty if it can.
  std::string WhyUndecodable;
};

/// One page of a list response.
struct list_page {
  std::vector<stored_object> Items;
  /// Whether another page follows, starting after the last name.
  bool HasMore = false;
  /// Revision of the store that the page corresponds to.
  std::uint64_t AtRevision = 0;
};

/// One change.
struct stored_change {
  bool IsDeleted = false;
  stored_object Object;
};

/// One response to a watch.
struct change_batch {
  std::vector<stored_change> Changes;
  std::uint64_t AtRevision = 0;
};

/// Ways in which a call to the store ends without a usable response.
enum class store_failure : std::uint8_t {
  /// The store refuses the call or is overloaded: 429, 503.
  Refused,
  /// No connection, a reset, or no response within the timeout.
  NoResponse,
  /// The watched history has expired.
  HistoryExpired,
  /// A malformed response.
  Malformed,
};

enum class store_verb : std::uint8_t { List, Watch };

/// The call to make next.
struct store_request {
  store_verb Verb = store_verb::List;
  /// List: continue after this name.
  std::string After;
  /// Watch: return changes after this revision.
  std::uint64_t Revision = 0;
  /// List: the response may be some seconds stale, which costs the store a
  /// tenth of the work. Later changes arrive by the watch or from peers.
  bool AllowStale = false;
};

/// Delays between calls. All are short enough that a change arrives well before
/// the 2.5 s after which it must be in force.
struct store_delays {
  /// Delay after changes, so that changes in quick succession share a call.
  duration AfterChanges = std::chrono::milliseconds(250);
  /// Delay after the first failure, doubled with each further one up to
  /// MaxRetryDelay.
  duration InitialRetryDelay = std::chrono::milliseconds(100);
  duration MaxRetryDelay = std::chrono::milliseconds(800);
};

/// State of one kind.
struct list_watch {
  store_delays Delays;
  store_verb Next = store_verb::List;
  std::string After;
  std::uint64_t Revision = 0;
  /// Era of the store that the revision belongs to; 0: not known.
  std::uint64_t Era = 0;
  /// Pages received so far of the list in progress.
  std::vector<stored_object> Pages;
  /// The lowest revision of the pages: a page may lack any later change.
  std::uint64_t MinRevision = 0;
  /// True until the first list is complete: before that this instance holds no
  /// newer state that a stale list could revert.
  bool AllowStale = true;
  int ConsecutiveFailures = 0;
};

store_request nextRequest(const list_watch &Watch);

/// Checks the era that the store states in a response. Returns false if the
/// store was restored from an earlier copy since the list began: the response
/// says nothing about the changes since Watch.Revision, and the next call is a
/// list.
bool acceptEra(list_watch &Watch, std::uint64_t Era);

/// Handles a page. Returns all objects once the list is complete, nullptr
/// before. They correspond to the revision Watch.Revision.
std::vector<stored_object> *applyPage(list_watch &Watch, list_page Page);

/// Handles changes; returns the delay before the next call.
duration applyBatch(list_watch &Watch, const change_batch &Batch);

/// Makes the next call a list. A watch that ended without a response may have
/// missed changes, and a new watch from its revision may wait until its own
/// timeout before the store reports that the history has expired.
void restartList(list_watch &Watch);

/// Handles a failure; returns the delay before the next call.
duration handleFailure(list_watch &Watch, store_failure Failure);

} // namespace amaranthhoist
