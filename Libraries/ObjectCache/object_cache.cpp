#include "ObjectCache/object_cache.h"

namespace amaranthhoist {

/// Traces of removed objects kept per kind: a day's replacements in a fleet of
/// hundreds, at some ten bytes each. An instance that asks for older ones gets
/// the whole list.
static constexpr std::size_t MostRemoved = 2'000;

static void remove(object_cache &Cache, object_cache::kind_state &Kind,
                   object_cache::entry &Entry) {
  if (!Entry.IsDeleted)
    ++Kind.Removed;
  Entry.IsDeleted = true;
  Entry.Text.clear();
  Entry.Stamp = ++Cache.Sequence;
}

static void forgetRemoved(object_cache &Cache,
                          object_cache::kind_state &Kind) {
  if (Kind.Removed <= MostRemoved)
    return;
  absl::erase_if(Kind.Entries,
                 [](const auto &Entry) { return Entry.second.IsDeleted; });
  Kind.Removed = 0;
  Kind.ForgottenUpTo = Cache.Sequence;
}

static void put(object_cache &Cache, object_cache::kind_state &Kind,
                const object_change &Change) {
  object_cache::entry &Entry = Kind.Entries[Change.Name];
  if (Change.IsDeleted) {
    remove(Cache, Kind, Entry);
    return;
  }
  if (Entry.IsDeleted)
    --Kind.Removed;
  if (Entry.Text == Change.Text && !Entry.IsDeleted)
    return;
  Entry.IsDeleted = false;
  Entry.Text = Change.Text;
  Entry.Stamp = ++Cache.Sequence;
}

/// Adds the removal of everything that a full list doesn't have.
static void addRemovals(const object_cache::kind_state &Kind,
                        kind_changes &Changes) {
  text_set Present;
  for (const object_change &Change : Changes.Changes)
    Present.insert(Change.Name);
  for (const auto &[Name, Entry] : Kind.Entries)
    if (!Entry.IsDeleted && !Present.contains(Name))
      Changes.Changes.push_back({Name, true, {}});
}

bool takeChanges(object_cache &Cache, kind_changes &Changes) {
  object_cache::kind_state &Kind =
      Cache.Kinds[static_cast<std::size_t>(Changes.Kind)];
  if (Kind.HasState && Changes.AtRevision < Kind.AtRevision)
    return false;
  if (!Kind.HasState && !Changes.IsFull)
    return false;
  if (Changes.IsFull)
    addRemovals(Kind, Changes);
  for (const object_change &Change : Changes.Changes)
    put(Cache, Kind, Change);
  Kind.AtRevision = Changes.AtRevision;
  Kind.HasState = true;
  forgetRemoved(Cache, Kind);
  return true;
}

static kind_changes changesOf(const object_cache::kind_state &Kind,
                              object_kind Name, std::uint64_t Since) {
  kind_changes Changes;
  Changes.Kind = Name;
  Changes.AtRevision = Kind.AtRevision;
  Changes.IsFull = Since == 0 || Since < Kind.ForgottenUpTo;
  for (const auto &[ObjectName, Entry] : Kind.Entries) {
    const bool IsWanted =
        Changes.IsFull ? !Entry.IsDeleted : Entry.Stamp > Since;
    if (IsWanted)
      Changes.Changes.push_back({ObjectName, Entry.IsDeleted, Entry.Text});
  }
  return Changes;
}

cache_changes changesSince(const object_cache &Cache,
                           std::uint64_t Incarnation, std::uint64_t Sequence) {
  cache_changes Answer;
  Answer.Incarnation = Cache.Incarnation;
  Answer.Sequence = Cache.Sequence;
  const std::uint64_t Since =
      Incarnation == Cache.Incarnation ? Sequence : 0;
  for (std::size_t Index = 0; Index < ObjectKinds; ++Index) {
    const auto &Kind = Cache.Kinds[Index];
    if (Kind.HasState)
      Answer.Kinds.push_back(
          changesOf(Kind, static_cast<object_kind>(Index), Since));
  }
  return Answer;
}

} // namespace amaranthhoist
