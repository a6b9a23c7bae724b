/// Work of many connections that takes turns: a bounded number of pieces runs
/// in each iteration of the loop, in the order in which they were added. A
/// party that causes much work waits for its next turn, while the events of
/// others are handled as they come.
#pragma once

#include "EventLoop/event_loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace amaranthhoist {

/// Identifies a piece of work; 0 means none.
using turn_id = std::uint64_t;

class turn_queue {
public:
  turn_queue(event_loop &Loop, std::size_t PiecesPerIteration)
      : Loop(Loop), PiecesPerIteration(PiecesPerIteration) {}
  ~turn_queue() { Loop.cancel(Timer); }
  turn_queue(const turn_queue &) = delete;
  turn_queue &operator=(const turn_queue &) = delete;

  /// Runs \p Piece in a later iteration.
  turn_id add(std::function<void()> Piece);
  /// Cancels a piece, which may have run already, and sets \p Turn to 0.
  void cancel(turn_id &Turn);

private:
  void runPieces();
  void startTimer();

  event_loop &Loop;
  const std::size_t PiecesPerIteration;
  /// In the order in which they were added.
  std::map<turn_id, std::function<void()>> Pieces;
  turn_id LastTurn = 0;
  timer_id Timer = 0;
};

} // namespace amaranthhoist
