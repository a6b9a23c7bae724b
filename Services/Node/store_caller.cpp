#include "store_caller.h"

#include "Text/text.h"

namespace amaranthhoist {

/// A store that acknowledges nothing for so long counts as gone, so that a
/// watch on a connection that died silently doesn't stay blind: changes must
/// be known within 2.5 s.
static constexpr duration StoreSilence = std::chrono::milliseconds(1'000);

store_caller::store_caller(node &Node, std::string Server)
    : Node(Node), Server(std::move(Server)) {}

store_caller::~store_caller() { Node.Loop.cancel(Timer); }

void store_caller::dropConnection() { retireConnection(Node, Connection); }

void store_caller::setServer(const std::string &NewServer) {
  if (Server == NewServer)
    return;
  abandon();
  dropConnection();
  Server = NewServer;
}

void store_caller::call(std::string_view Method, std::string_view Path,
                        std::string_view CallBody, duration Time,
                        std::function<void(store_answer)> WhenDone) {
  Done = std::move(WhenDone);
  Status = 0;
  Body.clear();
  Patience = Time;
  startTimer();
  if (Connection && !Connection->isOpen())
    dropConnection();
  if (!Connection) {
    auto Endpoint = parseEndpoint(Server);
    Connection = std::make_unique<client_connection>(Node.Loop);
    if (!Endpoint || !Connection->connect(*Endpoint, StoreSilence)) {
      // The timer ends the call: calling back at once would recurse.
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
  Connection->call(*this, Text, /*IsHead=*/false);
}

void store_caller::startTimer() {
  Node.Loop.cancel(Timer);
  Timer = Node.Loop.after(Patience, [this] {
    Timer = 0;
    dropConnection();
    finish(0);
  });
}

bool store_caller::abandon() {
  if (!Done)
    return false;
  Node.Loop.cancel(Timer);
  Done = nullptr;
  dropConnection();
  return true;
}

bool store_caller::onHead(const message_head &Head) {
  Status = Head.status();
  return true;
}

void store_caller::onBody(std::string &Piece) {
  // A long answer over a slow link takes as long as it takes; only silence
  // ends it.
  startTimer();
  Body.append(Piece);
  Piece.clear();
}

void store_caller::onComplete() { finish(Status); }

void store_caller::onFailure(const call_failure & /*Failure*/) {
  dropConnection();
  finish(0);
}

void store_caller::finish(int WithStatus) {
  Node.Loop.cancel(Timer);
  auto Callback = std::move(Done);
  Done = nullptr;
  if (Callback)
    Callback({WithStatus, std::move(Body)});
}

} // namespace amaranthhoist
