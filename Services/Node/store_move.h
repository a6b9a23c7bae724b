/// Moves the node's calls to a new address of the store once the store answers
/// there. Until then the former address stays in use.
#pragma once

#include "node.h"
#include "store_connection.h"

#include <cstdint>
#include <functional>
#include <string>

namespace amaranthhoist {

class store_move {
public:
  /// \p OnAnswer is called when the store has answered at a new address.
  store_move(node &Node, std::function<void(const std::string &)> OnAnswer);
  ~store_move();
  store_move(const store_move &) = delete;
  store_move &operator=(const store_move &) = delete;

  /// Begins to move to \p NewAddress instead of any other one. Ends the move if
  /// that is the address in force.
  void start(const std::string &NewAddress);
  [[nodiscard]] bool isPending() const { return !Address.empty(); }
  /// Records the era that the store states: an address at which it states an
  /// earlier one has an old copy of it.
  void onStoreEra(std::uint64_t Era) { LatestEra = std::max(LatestEra, Era); }

private:
  void ask();
  void handleResponse(const store_response &Response);
  void askAfter(duration Delay);

  node &Node;
  std::function<void(const std::string &)> OnAnswer;
  store_connection Connection;
  /// Empty: no move is pending.
  std::string Address;
  std::uint64_t LatestEra = 0;
  timer_id NextAsk = 0;
};

} // namespace amaranthhoist
