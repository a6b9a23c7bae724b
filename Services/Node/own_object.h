/// Keeps this node's own object in the store, by which others know it.
#pragma once

#include "beliefs.h"
#include "node.h"
#include "store_caller.h"

namespace amaranthhoist {

class own_object {
public:
  own_object(node &Node, const beliefs &Beliefs);

  /// Writes the object if the list of instances lacks it or shows another. An
  /// object of an earlier start that is the same needs no write, so that a
  /// restart of the whole fleet costs the store none.
  void maintain();
  /// Whether the list of instances has an object of this node, be it an old
  /// one.
  [[nodiscard]] bool isListed() const { return listed() != nullptr; }

private:
  /// The object's text in the list; nullptr: it isn't there.
  [[nodiscard]] const std::string *listed() const;
  void write(bool IsAbsent);
  void take(const store_answer &Answer, bool WasCreation);

  node &Node;
  const beliefs &Beliefs;
  store_caller Writer;
  instant NextAt{};
  duration Pause{};
  /// The store said that the object is there, whatever the list shows.
  bool IsThere = false;
};

} // namespace amaranthhoist
