/// Maintains this node's own object in the store, which registers it with the
/// fleet.
#pragma once

#include "node.h"
#include "replicated_state.h"
#include "store_connection.h"

namespace amaranthhoist {

class instance_registration {
public:
  instance_registration(node &Node, const replicated_state &State);

  /// Writes the object if the list of instances lacks it or has a different
  /// one. An identical object of an earlier start needs no write, so that a
  /// restart of the whole fleet causes no writes to the store.
  void maintain();
  /// Writes to the store at \p Address from now on. A write in flight is made
  /// again there if the list shows that it is needed.
  void setServer(const std::string &Address) { Writer.setServer(Address); }
  /// Returns whether the list of instances has an object of this node, even an
  /// outdated one.
  [[nodiscard]] bool isListed() const { return listedText() != nullptr; }

private:
  /// The object's text in the list, or nullptr if it is not listed.
  [[nodiscard]] const std::string *listedText() const;
  /// Forgets what the store reported before it was restored from a copy.
  void checkEra();
  void write(bool IsAbsent);
  void handleResponse(const store_response &Response, bool WasCreation);

  node &Node;
  const replicated_state &State;
  store_connection Writer;
  instant NextWriteAt{};
  duration Backoff{};
  /// The store reported that the object exists, even if the list lacks it.
  bool ExistsInStore = false;
  /// Era of the store in which this was last checked.
  std::uint64_t Era = 0;
};

} // namespace amaranthhoist
