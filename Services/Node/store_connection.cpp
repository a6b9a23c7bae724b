#include "store_connection.h"

#include "Text/text.h"

namespace amaranthhoist {

/// A store that acknowledges nothing for this long counts as disconnected, so
/// that a watch on a dead connection is detected: changes must be applied
/// within 2.5 s.
static constexpr duration StoreAckTimeout = std::chrono::milliseconds(1'000);
/// The store's pages have 1 MB at most, a peer's packed snapshot of the largest
/// planned fleet less.
static constexpr std::size_t MaxResponseBytes = 16U << 20U;

store_connection::store_connection(node &Node, std::string Server)
    : Node(Node), Server(std::move(Server)) {}

store_connection::~store_connection() { Node.Loop.cancel(Timer); }

void store_connection::dropConnection() { abortConnection(Connection); }

void store_connection::setServer(const std::string &NewServer) {
  if (Server == NewServer)
    return;
  abandon();
  dropConnection();
  Server = NewServer;
}

void store_connection::call(std::string_view Method, std::string_view Path,
                            std::string_view CallBody, duration Timeout,
                            std::function<void(store_response)> WhenDone) {
  OnDone = std::move(WhenDone);
  Response = {};
  SilenceTimeout = Timeout;
  startTimer();
  if (Connection && !Connection->isOpen())
    dropConnection();
  if (!Connection) {
    auto Endpoint = parseEndpoint(Server);
    Connection = makeConnection(Node.Loop);
    if (!Endpoint || !Connection->connect(*Endpoint, StoreAckTimeout)) {
      // The timer ends the call: calling back immediately would recurse.
      dropConnection();
      return;
    }
  }
  std::string Text;
  append(Text, Method, " ", Path, " HTTP/1.1\r\nHost: ", Server, "\r\n");
  if (!CallBody.empty())
    append(Text, "Content-Type: application/json\r\nContent-Length: ",
           CallBody.size(), "\r\n");
  append(Text, "\r\n", CallBody);
  Connection->call(*this, Text, /*IsHeadRequest=*/false);
}

void store_connection::startTimer() {
  Node.Loop.cancel(Timer);
  Timer = Node.Loop.runAfter(SilenceTimeout, [this] {
    Timer = 0;
    dropConnection();
    finish(0);
  });
}

bool store_connection::abandon() {
  if (!OnDone)
    return false;
  Node.Loop.cancel(Timer);
  OnDone = nullptr;
  dropConnection();
  return true;
}

bool store_connection::onHead(const message_head &Head) {
  Response.Status = Head.status();
  // Counted from 1, so that 0 stays free for a store without eras.
  const auto Era =
      parseNumber<std::uint64_t>(Head.find(Node.Wire.StoreEra).value_or(""));
  Response.Era = Era ? *Era + 1 : 0;
  return true;
}

void store_connection::onBody(std::string &Piece) {
  // A long response over a slow link may take any time; only a pause in
  // received bytes ends it.
  startTimer();
  Response.Body.append(Piece);
  Piece.clear();
  if (Response.Body.size() <= MaxResponseBytes)
    return;
  Node.Log.write(log_kind::ClusterState, "response_too_long",
                 {{"from", Server},
                  {"bytes", static_cast<std::int64_t>(Response.Body.size())}},
                 Node.Loop.now());
  dropConnection();
  finish(0);
}

void store_connection::onComplete() { finish(Response.Status); }

void store_connection::onFailure(const call_failure & /*Failure*/) {
  dropConnection();
  finish(0);
}

void store_connection::finish(int WithStatus) {
  Node.Loop.cancel(Timer);
  auto Callback = std::move(OnDone);
  OnDone = nullptr;
  if (Callback)
    Callback({WithStatus, std::move(Response.Body), Response.Era});
}

} // namespace amaranthhoist
