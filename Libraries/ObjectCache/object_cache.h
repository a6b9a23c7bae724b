/// The store's objects as this instance knows them, as text, so that it can
/// hand them on to instances that don't ask the store themselves. What changed
/// since a moment is found by a sequence number of this process's own. Sans-I/O.
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
  /// Of the telling process: sequence numbers of another mean nothing.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Time since the teller, or whoever told it, heard from the store.
  duration Age{};
  /// Whether servers missing from the list are gone, as far as it knows.
  bool ListIsSure = true;
  std::vector<kind_changes> Kinds;
};

struct object_cache {
  struct entry {
    std::string Text;
    /// Sequence number of its last change.
    std::uint64_t Stamp = 0;
    bool IsDeleted = false;
  };
  struct kind_state {
    text_map<entry> Entries;
    std::uint64_t AtRevision = 0;
    /// Removed objects whose trace was dropped had stamps up to this.
    std::uint64_t ForgottenUpTo = 0;
    std::size_t Removed = 0;
    /// Whether it was whole once.
    bool HasState = false;
  };
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  std::array<kind_state, ObjectKinds> Kinds;
};

/// Takes in changes from the store or another instance. What would be a step
/// back in the store's revisions is left out: false then. \p Changes gains the
/// removals that a full list implies.
bool takeChanges(object_cache &Cache, kind_changes &Changes);

/// What an instance needs that has seen \p Sequence of \p Incarnation.
cache_changes changesSince(const object_cache &Cache,
                           std::uint64_t Incarnation, std::uint64_t Sequence);

} // namespace amaranthhoist
