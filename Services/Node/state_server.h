/// Hands on the store's objects to other instances: what changed to those that
/// know some, whole lists to those that have just started.
#pragma once

#include "HttpConnection/small_server.h"
#include "PeerMessages/peer_messages.h"
#include "StateSpread/snapshot_throttle.h"
#include "beliefs.h"
#include "node.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhoist {

/// Path of the question, on the control address.
inline constexpr std::string_view ChangesPath = "/v1/changes";

/// The question: what changed behind the revisions that \p Known holds. A node
/// that knows nothing also tells who it is, to be served or told later.
std::string changesQuestion(const node &Node, const object_cache &Known);

class state_server {
public:
  /// \p OwnAge tells how long ago this instance heard from the store, directly
  /// or through others.
  state_server(node &Node, const beliefs &Beliefs,
               std::function<duration()> OwnAge);

  small_answer answer(std::string_view Query);

  /// How long it takes until so many whole lists have been handed out.
  duration timeToHandOut(std::size_t Lists);
  /// Addresses for datagrams of those that asked before this instance knew
  /// enough; they are forgotten.
  std::vector<std::string> takeWaiting();

private:
  small_answer answerNewInstance(std::string_view Query);
  const packed_kinds &wholeLists();
  cache_changes head() const;

  node &Node;
  const beliefs &Beliefs;
  std::function<duration()> OwnAge;
  hand_out HandOut;
  /// The whole lists as of those revisions.
  packed_kinds WholeLists;
  known_revisions WholeListsAt{};
};

} // namespace amaranthhoist
