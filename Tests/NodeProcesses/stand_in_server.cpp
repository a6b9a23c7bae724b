#include "stand_in_server.h"

#include "Text/text.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace amaranthhoist {

static constexpr std::size_t MaxHead = 65'536;

/// The ports lie below the kernel's ephemeral range. Otherwise an outgoing
/// connection could occupy the port of a process that is about to restart, and
/// that process would find its address in use until the connection is closed.
static constexpr int FirstPort = 10'000;
static constexpr int Ports = 22'000;

static bool isFree(std::uint16_t Port) {
  const int Descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  const bool IsFree = bind(Descriptor, reinterpret_cast<sockaddr *>(&Address),
                           sizeof Address) == 0;
  close(Descriptor);
  return IsFree;
}

std::string freeAddress() {
  // Test processes that run concurrently start at different ports.
  static int Next = static_cast<int>(stableHash(cat(getpid())) % Ports);
  for (int Try = 0; Try < Ports; ++Try) {
    Next = (Next + 1) % Ports;
    const auto Port = static_cast<std::uint16_t>(FirstPort + Next);
    if (isFree(Port))
      return cat("127.0.0.1:", Port);
  }
  std::abort();
}

stand_in_connection::stand_in_connection(stand_in_server &Server,
                                         std::uint64_t Number)
    : Number(Number), Server(Server), Stream(Server.Loop, *this),
      Reader(message_kind::Request, MaxHead) {}

bool stand_in_connection::open(int Descriptor) {
  return Stream.open(Descriptor, /*IsConnected=*/true);
}

void stand_in_connection::onBytes(std::string_view Bytes) {
  Reader.feed(Bytes);
  if (Reader.state() != read_state::Complete)
    return;
  Body = Reader.body();
  Server.onRequest(*this);
}

void stand_in_connection::onDisconnect(disconnect_reason End) {
  Server.ConnectionsLost += End == disconnect_reason::ConnectionLost ? 1 : 0;
  Server.onConnectionEnd(*this);
  Server.retire(Number);
}

void stand_in_connection::respond(int Status, std::string_view Fields,
                                  std::string_view AnswerBody) {
  respond(cat("HTTP/1.1 ", Status, " ", reasonPhrase(Status)), Fields,
          AnswerBody);
}

void stand_in_connection::respond(std::string_view StatusLine,
                                  std::string_view Fields,
                                  std::string_view AnswerBody) {
  Stream.write(cat(StatusLine, "\r\n", Fields, "Content-Length: ",
                   AnswerBody.size(), "\r\n\r\n", AnswerBody));
  Reader.reset();
}

stand_in_server::stand_in_server(event_loop &Loop)
    : Loop(Loop), Address(freeAddress()) {
  Loop.atEndOfIteration([this] { Retired.clear(); });
  listen();
}

stand_in_server::~stand_in_server() { shutDown(); }

void stand_in_server::listenAt(const std::string &Other) {
  auto Descriptor = listenOn(*parseEndpoint(Other));
  if (!Descriptor || !Loop.watch(*Descriptor, *this))
    std::abort();
  Listeners.emplace(Other, *Descriptor);
}

void stand_in_server::shutDown() {
  while (!Listeners.empty())
    leave(std::string(Listeners.begin()->first));
  resetAll();
}

void stand_in_server::leave(const std::string &Former) {
  const auto Found = Listeners.find(Former);
  Loop.unwatch(Found->second);
  close(Found->second);
  Listeners.erase(Found);
  resetAll();
}

void stand_in_server::resetAll() {
  for (auto &[Number, Connection] : Connections) {
    Connection->reset();
    Retired.push_back(std::move(Connection));
  }
  Connections.clear();
}

stand_in_connection *stand_in_server::connection(std::uint64_t Number) {
  auto Found = Connections.find(Number);
  return Found == Connections.end() || !Found->second->isOpen()
             ? nullptr
             : Found->second.get();
}

void stand_in_server::readSlowly(duration Delay, int ReceiveBufferBytes) {
  ReadDelay = Delay;
  for (const auto &[Where, Listener] : Listeners)
    setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof ReceiveBufferBytes);
}

void stand_in_server::onEvent(const io_event & /*Event*/) {
  for (const auto &[Where, Listener] : Listeners)
    acceptFrom(Listener);
}

void stand_in_server::acceptFrom(int Listener) {
  bool OutOfDescriptors = false;
  for (;;) {
    const int Descriptor = acceptConnection(Listener, OutOfDescriptors);
    if (Descriptor < 0)
      return;
    auto Connection =
        std::make_unique<stand_in_connection>(*this, ++LastNumber);
    if (!Connection->open(Descriptor))
      continue;
    if (ReadDelay > duration::zero()) {
      Connection->pause();
      Loop.runAfter(ReadDelay, [this, Number = LastNumber] {
        if (stand_in_connection *Paused = connection(Number))
          Paused->resume();
      });
    }
    Connections.emplace(LastNumber, std::move(Connection));
  }
}

void stand_in_server::retire(std::uint64_t Number) {
  auto Found = Connections.find(Number);
  if (Found == Connections.end())
    return;
  Retired.push_back(std::move(Found->second));
  Connections.erase(Found);
}

} // namespace amaranthhoist
