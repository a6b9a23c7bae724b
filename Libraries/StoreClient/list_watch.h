/// Follows one kind of object in the platform's store: lists it whole, then
/// watches what changes, and lists again when the history is gone. Decides
/// which call comes next and when; makes none itself. Sans-I/O.
#pragma once

#include "Core/core.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthhoist {

/// One object and the revision of its last change.
template <typename T> struct stored {
  std::string Name;
  std::uint64_t Revision = 0;
  T Value;
};

/// One answer to a list.
template <typename T> struct list_page {
  std::vector<stored<T>> Items;
  /// Whether another page follows, from the last name on.
  bool HasMore = false;
  /// Revision of the store that the page shows.
  std::uint64_t AtRevision = 0;
};

/// One change.
template <typename T> struct stored_change {
  bool IsDeleted = false;
  stored<T> Object;
};

/// One answer to a watch.
template <typename T> struct change_batch {
  std::vector<stored_change<T>> Changes;
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
template <typename T> struct list_watch {
  store_pace Pace;
  store_verb Next = store_verb::List;
  std::string After;
  std::uint64_t Revision = 0;
  /// Pages of the list under way.
  std::vector<stored<T>> Pages;
  std::uint64_t FirstPageRevision = 0;
  int FailuresInARow = 0;
  /// Whether a list has been whole once.
  bool HasState = false;
};

template <typename T> store_request nextRequest(const list_watch<T> &Watch) {
  return {Watch.Next, Watch.After, Watch.Revision};
}

/// Takes in a page. Returns all objects once the list is whole.
template <typename T>
std::vector<stored<T>> *takePage(list_watch<T> &Watch, list_page<T> Page) {
  Watch.FailuresInARow = 0;
  if (Watch.After.empty()) {
    Watch.Pages.clear();
    // Later pages may show later revisions: watching from the first one's
    // misses nothing, and applying a change twice does no harm.
    Watch.FirstPageRevision = Page.AtRevision;
  }
  std::move(Page.Items.begin(), Page.Items.end(),
            std::back_inserter(Watch.Pages));
  if (Page.HasMore && !Watch.Pages.empty()) {
    Watch.After = Watch.Pages.back().Name;
    return nullptr;
  }
  Watch.After.clear();
  Watch.Next = store_verb::Watch;
  Watch.Revision = Watch.FirstPageRevision;
  Watch.HasState = true;
  return &Watch.Pages;
}

/// Takes in changes; how long to wait before the next call.
template <typename T>
duration takeChanges(list_watch<T> &Watch, const change_batch<T> &Batch) {
  Watch.FailuresInARow = 0;
  Watch.Revision = std::max(Watch.Revision, Batch.AtRevision);
  return Batch.Changes.empty() ? duration::zero() : Watch.Pace.AfterChanges;
}

/// Takes in a failure; how long to wait before the next call.
template <typename T>
duration takeFailure(list_watch<T> &Watch, store_failure Failure) {
  if (Failure == store_failure::HistoryGone) {
    Watch.Next = store_verb::List;
    Watch.After.clear();
    return duration::zero();
  }
  const int Doublings = std::min(Watch.FailuresInARow, 8);
  ++Watch.FailuresInARow;
  return std::min(Watch.Pace.FirstRetry * (1 << Doublings),
                  Watch.Pace.LongestRetry);
}

} // namespace amaranthhoist
