/// The store's objects as this instance knows them, as text, so that it can
/// hand them on to instances that don't ask the store themselves. What changed
/// is found by the store's own revisions, so that an instance may ask one peer
/// now and another one next. Sans-I/O.
#pragma once

#include "Core/core.h"
#include "Text/text.h"

#include <array>
#include <cstddef>
#include <cstdint>
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

/// One object that changed or was removed.
struct object_change {
  std::string Name;
  bool IsDeleted = false;
  /// Of its last change at the store. Of a removed one, a revision that its
  /// removal doesn't lie behind.
  std::uint64_t Revision = 0;
  /// The object as the store wrote it; empty when removed.
  std::string Text;
};

/// Changes of one kind.
struct kind_changes {
  object_kind Kind = object_kind::Configuration;
  /// Revision of the store that the state after these changes shows.
  std::uint64_t AtRevision = 0;
  /// Whether these are all objects of the kind, and others are gone.
  bool IsFull = false;
  std::vector<object_change> Changes;
};

/// What one instance tells another.
struct cache_changes {
  /// Time since the teller, or whoever told it, heard from the store.
  duration Age{};
  /// Whether servers missing from the list are gone, as far as it knows.
  bool ListIsSure = true;
  std::vector<kind_changes> Kinds;
  /// Control addresses, `ip:port`, of instances that can be asked instead of a
  /// teller that has no whole lists to give now.
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
    std::uint64_t AtRevision = 0;
    /// Removed objects whose trace was dropped had revisions up to this.
    std::uint64_t ForgottenUpTo = 0;
    std::size_t Removed = 0;
    /// Whether it was whole once.
    bool HasState = false;
  };
  std::array<kind_state, ObjectKinds> Kinds;
};

/// Takes in changes from the store or another instance. What would be a step
/// back in the store's revisions is left out: false then. \p Changes gains the
/// removals that a full list implies.
bool takeChanges(object_cache &Cache, kind_changes &Changes);

/// Revisions of the store that a state shows, by kind; 0: none yet.
using known_revisions = std::array<std::uint64_t, ObjectKinds>;

known_revisions knownRevisions(const object_cache &Cache);

/// What an instance lacks that knows \p Known. Kinds in which it lacks nothing
/// are left out.
cache_changes changesSince(const object_cache &Cache,
                           const known_revisions &Known);

} // namespace amaranthhoist
