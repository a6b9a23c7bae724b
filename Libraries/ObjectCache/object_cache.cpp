#include "ObjectCache/object_cache.h"

#include <tuple>

namespace amaranthhoist {

/// Tombstones of removed objects kept per kind: a day's replacements in a fleet
/// of hundreds, at some ten bytes each. An instance that requests changes since
/// an older revision gets the full list.
static constexpr std::size_t MaxTombstones = 2'000;

bool isLater(const store_position &Left, const store_position &Right) {
  return std::tie(Left.Era, Left.Revision) >
         std::tie(Right.Era, Right.Revision);
}

static void pruneTombstones(object_cache::kind_state &Kind) {
  if (Kind.Tombstones <= MaxTombstones)
    return;
  absl::erase_if(Kind.Entries,
                 [](const auto &Entry) { return Entry.second.IsDeleted; });
  Kind.Tombstones = 0;
  Kind.PrunedUpTo = Kind.AtRevision;
}

static void applyChange(object_cache::kind_state &Kind,
                        const object_change &Change) {
  object_cache::entry &Entry = Kind.Entries[Change.Name];
  if (Change.IsDeleted && !Entry.IsDeleted)
    ++Kind.Tombstones;
  if (!Change.IsDeleted && Entry.IsDeleted)
    --Kind.Tombstones;
  Entry = {Change.Text, Change.Revision, Change.IsDeleted};
}

/// Adds the removal of each held object that is missing from a full list.
static void addRemovals(const object_cache::kind_state &Kind,
                        kind_changes &Changes) {
  text_set Present;
  for (const object_change &Change : Changes.Changes)
    Present.insert(Change.Name);
  for (const auto &[Name, Entry] : Kind.Entries)
    if (!Entry.IsDeleted && !Present.contains(Name))
      Changes.Changes.push_back({Name, true, Changes.AtRevision, {}});
}

/// The era that \p Changes belong to. Instances of an earlier build state none;
/// as long as the store was not restored, theirs is the same.
static std::uint64_t eraOf(const object_cache::kind_state &Kind,
                           const kind_changes &Changes) {
  return Changes.Era == 0 && !Kind.WasRestored ? Kind.Era : Changes.Era;
}

static bool isApplicable(const object_cache::kind_state &Kind,
                         const store_position &At, bool IsFull) {
  if (!Kind.HasFullState || At.Era > Kind.Era)
    return IsFull;
  return !isLater(Kind.position(), At);
}

/// Drops the tombstones, whose revisions belong to the previous era.
static void beginEra(object_cache::kind_state &Kind, std::uint64_t Era) {
  absl::erase_if(Kind.Entries,
                 [](const auto &Entry) { return Entry.second.IsDeleted; });
  Kind.Tombstones = 0;
  Kind.WasRestored = Kind.WasRestored || Kind.Era != 0;
  Kind.Era = Era;
}

bool applyChanges(object_cache &Cache, kind_changes &Changes) {
  object_cache::kind_state &Kind =
      Cache.Kinds[static_cast<std::size_t>(Changes.Kind)];
  const store_position At = {eraOf(Kind, Changes), Changes.AtRevision};
  if (!isApplicable(Kind, At, Changes.IsFull))
    return false;
  if (!Kind.HasFullState || At.Era != Kind.Era) {
    beginEra(Kind, At.Era);
    // Removals before this list are not known.
    Kind.PrunedUpTo = At.Revision;
  }
  if (Changes.IsFull)
    addRemovals(Kind, Changes);
  for (object_change &Change : Changes.Changes) {
    if (Change.IsDeleted)
      Change.Revision = Changes.AtRevision;
    applyChange(Kind, Change);
  }
  Kind.AtRevision = Changes.AtRevision;
  Kind.HasFullState = true;
  pruneTombstones(Kind);
  return true;
}

known_positions knownPositions(const object_cache &Cache) {
  known_positions Known{};
  for (std::size_t Index = 0; Index < ObjectKinds; ++Index)
    Known[Index] = Cache.Kinds[Index].position();
  return Known;
}

static kind_changes changesOf(const object_cache::kind_state &Kind,
                              object_kind Name, const store_position &Known) {
  // The revisions of another era don't say what the instance lacks.
  const std::uint64_t Since = Known.Era == Kind.Era ? Known.Revision : 0;
  kind_changes Changes;
  Changes.Kind = Name;
  Changes.Era = Kind.Era;
  Changes.AtRevision = Kind.AtRevision;
  Changes.IsFull = Since == 0 || Since < Kind.PrunedUpTo;
  for (const auto &[ObjectName, Entry] : Kind.Entries) {
    const bool IsWanted =
        Changes.IsFull ? !Entry.IsDeleted : Entry.Revision > Since;
    if (IsWanted)
      Changes.Changes.push_back(
          {ObjectName, Entry.IsDeleted, Entry.Revision, Entry.Text});
  }
  return Changes;
}

cache_changes changesSince(const object_cache &Cache,
                           const known_positions &Known) {
  cache_changes Result;
  for (std::size_t Index = 0; Index < ObjectKinds; ++Index) {
    const auto &Kind = Cache.Kinds[Index];
    if (Kind.HasFullState && isLater(Kind.position(), Known[Index]))
      Result.Kinds.push_back(
          changesOf(Kind, static_cast<object_kind>(Index), Known[Index]));
  }
  return Result;
}

} // namespace amaranthhoist
