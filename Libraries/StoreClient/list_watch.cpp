#include "StoreClient/list_watch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace amaranthhoist {

store_request nextRequest(const list_watch &Watch) {
  return {Watch.Next, Watch.After, Watch.Revision, Watch.AllowStale};
}

bool acceptEra(list_watch &Watch, std::uint64_t Era) {
  const bool BeginsList = Watch.Next == store_verb::List && Watch.After.empty();
  if (BeginsList)
    Watch.Era = Era;
  if (Era == Watch.Era)
    return true;
  restartList(Watch);
  return false;
}

std::vector<stored_object> *applyPage(list_watch &Watch, list_page Page) {
  Watch.ConsecutiveFailures = 0;
  if (Watch.After.empty()) {
    Watch.Pages.clear();
    Watch.MinRevision = Page.AtRevision;
  }
  // Pages may correspond to different revisions: watching from the lowest one
  // misses no change, and applying a change twice is harmless.
  Watch.MinRevision = std::min(Watch.MinRevision, Page.AtRevision);
  std::move(Page.Items.begin(), Page.Items.end(),
            std::back_inserter(Watch.Pages));
  if (Page.HasMore && !Watch.Pages.empty()) {
    // An object whose name can't be decoded ends no list.
    const auto Last =
        std::find_if(Watch.Pages.rbegin(), Watch.Pages.rend(),
                     [](const auto &Object) { return !Object.Name.empty(); });
    if (Last != Watch.Pages.rend()) {
      Watch.After = Last->Name;
      return nullptr;
    }
  }
  Watch.After.clear();
  Watch.Next = store_verb::Watch;
  Watch.Revision = Watch.MinRevision;
  Watch.AllowStale = false;
  return &Watch.Pages;
}

duration applyBatch(list_watch &Watch, const change_batch &Batch) {
  Watch.ConsecutiveFailures = 0;
  Watch.Revision = std::max(Watch.Revision, Batch.AtRevision);
  return Batch.Changes.empty() ? duration::zero() : Watch.Delays.AfterChanges;
}

void restartList(list_watch &Watch) {
  Watch.Next = store_verb::List;
  Watch.After.clear();
  Watch.AllowStale = false;
}

duration handleFailure(list_watch &Watch, store_failure Failure) {
  if (Failure == store_failure::HistoryExpired) {
    restartList(Watch);
    return duration::zero();
  }
  if (Failure == store_failure::NoResponse)
    restartList(Watch);
  // Enough doublings to reach the longest delay from the first one.
  constexpr int MaxDoublings = 8;
  const int Doublings = std::min(Watch.ConsecutiveFailures, MaxDoublings);
  ++Watch.ConsecutiveFailures;
  return std::min(Watch.Delays.InitialRetryDelay * (1 << Doublings),
                  Watch.Delays.MaxRetryDelay);
}

} // namespace amaranthhoist
