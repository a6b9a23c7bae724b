/// Changes that the first list of a restored store implies, held back until
/// their writers had the time to write again.
///
/// A store that comes back from an earlier copy lacks what was written since.
/// An object that the copy lacks may exist, and one that was removed since is
/// back in it. Taken at its word, the list would end an evacuation, drop
/// instances that run, and return requests to servers that are gone. Sans-I/O.
#pragma once

#include "ObjectCache/object_cache.h"

#include <cstddef>
#include <vector>

namespace amaranthhoist {

struct deferred_changes {
  /// By name of the object.
  text_map<object_change> Changes;
  /// Time from which they are applied.
  instant Until{};
};

/// Returns the names of the objects that were removed.
text_set removedNames(const object_cache::kind_state &Kind);

/// Moves the removals, and the objects in \p RemovedBefore, from the first list
/// of an era to \p Deferred.
void deferUnconfirmed(deferred_changes &Deferred, kind_changes &Changes,
                      const text_set &RemovedBefore, instant Until);

/// Drops the deferred changes of objects that were written in this era, and
/// removes from \p Changes those that only repeat a deferred one.
void reconcileDeferred(deferred_changes &Deferred, kind_changes &Changes);

/// Extracts the changes whose time has come.
std::vector<object_change> popDeferred(deferred_changes &Deferred, instant Now);

} // namespace amaranthhoist
