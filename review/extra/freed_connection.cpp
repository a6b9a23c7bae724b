/// No case: its load is beyond the pages'. A server closes each connection
/// right after a complete response, without having announced it, while more
/// requests are in flight than the node pools connections. Usage, in the
/// repository's root: PROGRAM RECORD. Exits with 1 if the node ended by itself.
#include "../standin/standin.h"

using namespace review;

namespace {

constexpr int Rounds = 100;
constexpr int Clients = 64;
constexpr double Work = 0.05;
constexpr std::size_t BodyBytes = 2'000;

void serve(int Socket) {
  message_source Source(Socket);
  http_message Request;
  if (!Source.read(Request))
    return;
  sleepFor(Work);
  sendAll(Socket,
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Request.find("X-Attempt-Id") +
              "\r\nX-Response-Stamp: s\r\nContent-Length: " +
              std::to_string(BodyBytes) + "\r\n\r\n" +
              std::string(BodyBytes, '\0'));
  shutdown(Socket, SHUT_WR);
}

void sendRequest(const node &Node, int Number) {
  const std::string Id = "attempt-" + std::to_string(Number);
  ask(Node.Front,
      "GET /safe/" + Id + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " +
          Id + "\r\nX-Deadline-Remaining: 2500\r\n\r\n",
      3);
}

} // namespace

int main(int Count, char **Arguments) {
  beginScript(Count, Arguments);
  store Store;
  const tcp_server Server(serve);
  Store.put("servers", "server",
            json{{"service", "desk"},
                 {"address", Server.address()},
                 {"zone", "a1"},
                 {"version", "1"},
                 {"slots", 20},
                 {"state", "ready"},
                 {"warmup_remaining", "0ms"},
                 {"sequence", 1}}
                .dump());
  Store.put("config", "main",
            makeConfiguration(1, {{"/safe/", "safe", "desk"}}));
  auto Deployment = std::make_unique<deployment>();
  node &Node = Deployment->add("node-a1", "a1", "a", Store.address());
  Deployment->start(Node);
  if (!Deployment->waitReady(Node, 20))
    endScript(Deployment, 2, "couldn't run: the node isn't ready");
  sleepFor(2);
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<std::thread> Threads;
    Threads.reserve(Clients);
    for (int Index = 0; Index < Clients; ++Index)
      Threads.emplace_back(sendRequest, std::cref(Node),
                           Round * Clients + Index);
    for (std::thread &Thread : Threads)
      Thread.join();
    if (Deployment->hasEnded(Node))
      endScript(Deployment, 1, "the node ended by itself");
  }
  endScript(Deployment, 0, "held");
}
