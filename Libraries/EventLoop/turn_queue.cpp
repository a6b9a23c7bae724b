#include "EventLoop/turn_queue.h"

namespace amaranthhoist {

turn_id turn_queue::add(std::function<void()> Piece) {
  Pieces.emplace_hint(Pieces.end(), ++LastTurn, std::move(Piece));
  startTimer();
  return LastTurn;
}

void turn_queue::cancel(turn_id &Turn) {
  Pieces.erase(Turn);
  Turn = 0;
}

void turn_queue::startTimer() {
  if (Timer == 0)
    Timer = Loop.runAfter(duration::zero(), [this] {
      Timer = 0;
      runPieces();
    });
}

void turn_queue::runPieces() {
  // A piece may add another, which waits for its turn behind all of these.
  const turn_id Last = LastTurn;
  for (std::size_t Run = 0; Run < PiecesPerIteration && !Pieces.empty() &&
                            Pieces.begin()->first <= Last;
       ++Run)
    Pieces.extract(Pieces.begin()).mapped()();
  if (!Pieces.empty())
    startTimer();
}

} // namespace amaranthhoist
