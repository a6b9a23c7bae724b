#include "ObjectCache/deferred_changes.h"

#include <utility>

namespace amaranthhoist {

text_set removedNames(const object_cache::kind_state &Kind) {
  text_set Names;
  for (const auto &[Name, Entry] : Kind.Entries)
    if (Entry.IsDeleted)
      Names.insert(Name);
  return Names;
}

void deferUnconfirmed(deferred_changes &Deferred, kind_changes &Changes,
                      const text_set &RemovedBefore, instant Until) {
  // Removals that an earlier restore deferred stay: this list doesn't repeat
  // them.
  Deferred.Until = Until;
  std::erase_if(Changes.Changes, [&](object_change &Change) {
    const bool IsUnconfirmed =
        Change.IsDeleted || RemovedBefore.contains(Change.Name);
    std::string Name = Change.Name;
    if (IsUnconfirmed)
      Deferred.Changes.insert_or_assign(std::move(Name), std::move(Change));
    else
      Deferred.Changes.erase(Name);
    return IsUnconfirmed;
  });
}

void reconcileDeferred(deferred_changes &Deferred, kind_changes &Changes) {
  std::erase_if(Changes.Changes, [&](const object_change &Change) {
    const auto Found = Deferred.Changes.find(Change.Name);
    if (Found == Deferred.Changes.end())
      return false;
    const bool IsRepeated = !Change.IsDeleted && !Found->second.IsDeleted &&
                            Change.Revision == Found->second.Revision;
    if (!IsRepeated)
      Deferred.Changes.erase(Found);
    return IsRepeated;
  });
}

std::vector<object_change> popDeferred(deferred_changes &Deferred,
                                       instant Now) {
  std::vector<object_change> Due;
  if (Now < Deferred.Until)
    return Due;
  for (auto &[Name, Change] : Deferred.Changes)
    Due.push_back(std::move(Change));
  Deferred.Changes.clear();
  return Due;
}

} // namespace amaranthhoist
