#include "store_move.h"

#include "codec.h"

namespace amaranthhoist {

static constexpr duration AskTimeout = std::chrono::milliseconds(700);
/// Time between two calls to an address that doesn't answer. The former one may
/// be gone already.
static constexpr duration AskPeriod = std::chrono::milliseconds(300);

store_move::store_move(node &Node,
                       std::function<void(const std::string &)> OnAnswer)
    : Node(Node), OnAnswer(std::move(OnAnswer)),
      Connection(Node, Node.Settings.Store) {}

store_move::~store_move() { Node.Loop.cancel(NextAsk); }

void store_move::start(const std::string &NewAddress) {
  if (NewAddress == Address)
    return;
  Node.Loop.cancel(NextAsk);
  Connection.abandon();
  Address = NewAddress == Node.Settings.Store ? std::string() : NewAddress;
  if (!isPending())
    return;
  Node.Log.write(log_kind::ClusterState, "store_move_begins",
                 {{"from", Node.Settings.Store}, {"to", Address}},
                 Node.Loop.now());
  Connection.setServer(Address);
  ask();
}

void store_move::askAfter(duration Delay) {
  NextAsk = Node.Loop.runAfter(Delay, [this] {
    NextAsk = 0;
    ask();
  });
}

void store_move::ask() {
  Connection.call(
      "GET", platform::encodeProbePath(object_kind::Evacuation), {}, AskTimeout,
      [this](const store_response &Response) { handleResponse(Response); });
}

void store_move::handleResponse(const store_response &Response) {
  if (Response.Status != 200 || Response.Era < LatestEra) {
    askAfter(AskPeriod);
    return;
  }
  const std::string Moved = std::exchange(Address, {});
  Node.Log.write(log_kind::ClusterState, "store_moved",
                 {{"from", Node.Settings.Store}, {"to", Moved}},
                 Node.Loop.now());
  OnAnswer(Moved);
}

} // namespace amaranthhoist
