/// Follows one kind of object in the platform's store: lists it whole, then
/// watches what changes, and lists again when the history is gone. Decides
/// which call comes next and when; makes none itself. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// One object as the store wrote it.
struct stored_object {
  std::string Name;
  /// Of its last change.
  std::uint64_t Revision = 0;
  std::string Text;
};

/// One answer to a list.
struct list_page {
  std::vector<stored_object> Items;
  /// Whether another page follows, from the last name on.
  bool HasMore = false;
  /// Revision of the store that the page shows.
  std::uint64_t AtRevision = 0;
};

/// One change.
struct stored_change {
  bool IsDeleted = false;
  stored_object Object;
};

/// One answer to a watch.
struct change_batch {
  std::vector<stored_change> Changes;
  std::uint64_t AtRevision = 0;
};

/// How a call to the store ended without a usable answer.
enum class store_failure : std::uint8_t {
  /// It refuses, or has no time: 429, 503.
  Refused,
  /// No connection, a reset, or nothing in time.
  Silent,
  /// The watched history is gone.
  HistoryGone,
  /// An answer that makes no sense.
  Garbled,
};

enum class store_verb : std::uint8_t { List, Watch };

/// The call to make next.
struct store_request {
  store_verb Verb = store_verb::List;
  /// List: continue behind this name.
  std::string After;
  /// Watch: changes behind this revision.
  std::uint64_t Revision = 0;
  /// List: may show the store as it was some seconds ago, which costs it a
  /// tenth. What came since is told by the watch, or by peers.
  bool MayBeStale = false;
};

/// Waits between calls. All are short enough that a change is known well
/// before the 2.5 s after which it must be in force.
struct store_pace {
  /// After changes: so that changes in quick succession share a call.
  duration AfterChanges = std::chrono::milliseconds(250);
  /// After the first failure, doubled with each further one up to the longest.
  duration FirstRetry = std::chrono::milliseconds(100);
  duration LongestRetry = std::chrono::milliseconds(800);
};

/// State of one kind.
struct list_watch {
  store_pace Pace;
  store_verb Next = store_verb::List;
  std::string After;
  std::uint64_t Revision = 0;
  /// Pages of the list under way.
  std::vector<stored_object> Pages;
  /// The least of the pages: what came behind it may be missing from one.
  std::uint64_t LeastRevision = 0;
  /// Until the first list: this instance holds nothing newer.
  bool MayBeStale = true;
  int FailuresInARow = 0;
};

store_request nextRequest(const list_watch &Watch);

/// Takes in a page. Returns all objects once the list is whole, nullptr before.
/// They show the revision Watch.Revision.
std::vector<stored_object> *takePage(list_watch &Watch, list_page Page);

/// Takes in changes; how long to wait before the next call.
duration takeBatch(list_watch &Watch, const change_batch &Batch);

/// Makes the next call a list: a watch that ended without a word may have
/// missed changes, and a new one from its revision may wait in vain until its
/// end before the loss of the history is told.
void listAnew(list_watch &Watch);

/// Takes in a failure; how long to wait before the next call.
duration takeFailure(list_watch &Watch, store_failure Failure);

} // namespace amaranthhoist
