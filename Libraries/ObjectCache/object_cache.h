/// This instance's copy of the store's objects, as text, from which it serves
/// instances that don't query the store themselves. Changes are determined by
/// the store's own revisions, so that an instance may poll a different peer
/// each time. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Text/text.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// The kinds of object that the fleet follows.
enum class object_kind : std::uint8_t {
  Configuration,
  Target,
  Evacuation,
  Instance,
};
inline constexpr std::size_t ObjectKinds = 4;

/// One object that was changed or removed.
struct object_change {
  std::string Name;
  bool IsDeleted = false;
  /// Revision of its last change in the store. For a removed object, a revision
  /// at or after its removal.
  std::uint64_t Revision = 0;
  /// The object as stored; empty when removed.
  std::string Text;
};

/// A point in the store's history. When the store comes back from an earlier
/// copy of itself, the next era begins: revisions go back and are assigned
/// again, so that they order states only within one era.
struct store_position {
  /// 0: not known, from a store or an instance that states none.
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
  bool operator==(const store_position &) const = default;
};

/// Whether \p Left is a later point than \p Right.
bool isLater(const store_position &Left, const store_position &Right);

/// Changes of one kind.
struct kind_changes {
  object_kind Kind = object_kind::Configuration;
  /// Revision of the store that the state after these changes corresponds to.
  std::uint64_t AtRevision = 0;
  /// Whether these are all objects of the kind. If so, all others are removed.
  bool IsFull = false;
  std::vector<object_change> Changes;
  /// Era of the store that the revisions belong to; 0: not known.
  std::uint64_t Era = 0;
};

/// Changes that one instance sends to another.
struct cache_changes {
  /// Time since the sender, or its own source, last had a response from the
  /// store.
  duration Age{};
  /// Whether the target list is complete, as far as the sender can tell:
  /// servers missing from it are removed.
  bool ListIsComplete = true;
  /// Time since the store last responded before the outage that makes the list
  /// incomplete, or since its last response; unset if not known.
  std::optional<duration> ContactAge;
  std::vector<kind_changes> Kinds;
  /// Control addresses, `ip:port`, of instances to query instead while the
  /// sender serves no full snapshots.
  std::vector<std::string> Sources;
};

struct object_cache {
  struct entry {
    std::string Text;
    std::uint64_t Revision = 0;
    bool IsDeleted = false;
  };
  struct kind_state {
    text_map<entry> Entries;
    std::uint64_t Era = 0;
    std::uint64_t AtRevision = 0;
    /// Upper bound of the revisions of the tombstones that were dropped.
    std::uint64_t PrunedUpTo = 0;
    std::size_t Tombstones = 0;
    /// Whether it has held the full state at least once.
    bool HasFullState = false;
    /// Whether the store was restored from a copy since. From then on changes
    /// of an unknown era may belong to an earlier one.
    bool WasRestored = false;

    [[nodiscard]] store_position position() const { return {Era, AtRevision}; }
  };
  std::array<kind_state, ObjectKinds> Kinds;
};

/// Applies changes from the store or another instance. Returns false and
/// applies nothing if they would go back to an earlier era or to an older
/// revision of the same era, or if they are incremental and there is no full
/// state of their era yet. \p Changes gains the removals that a full list
/// implies.
bool applyChanges(object_cache &Cache, kind_changes &Changes);

/// Positions in the store's history that a state corresponds to, by kind; zero:
/// none yet.
using known_positions = std::array<store_position, ObjectKinds>;

known_positions knownPositions(const object_cache &Cache);

/// Returns the changes that an instance at \p Known lacks. Kinds that are up to
/// date are left out.
cache_changes changesSince(const object_cache &Cache,
                           const known_positions &Known);

} // namespace amaranthhoist
