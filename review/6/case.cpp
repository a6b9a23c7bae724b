// A machine is stopped, and meanwhile the operator lengthens the routes'
// timeout. The machine goes on taking requests for as long as the old timeout
// allowed, and ends while their server still works on them.
#include "../standin-2/standin.h"

using namespace standin;

static constexpr double Grace = 6.0;
static constexpr double WorkTime = 2.0;
/// RULES.md, LOST: later than this after the SIGTERM nothing excuses a cut.
static constexpr double ExcusedUntil = 3.0;
static constexpr int Requests = 20;

static std::string answerBody(const std::string &Id) {
  return "the whole answer to " + Id;
}

/// Serves connections of one server: works, then answers.
static void serve(int Socket) {
  reader Reader(Socket);
  for (;;) {
    message Request;
    if (!Reader.readHead(Request, 60) ||
        !Reader.readBody(Request, /*IsResponse=*/false, 10))
      break;
    const std::string Id = Request.field("x-attempt-id");
    record("server runs %s, %s ms left", Id.c_str(),
           Request.field("x-deadline-remaining").c_str());
    sleepFor(WorkTime);
    const std::string Body = answerBody(Id);
    const bool IsSent = sendAll(Socket, answerText(Id, Body));
    record("server answers %s%s", Id.c_str(), IsSent ? "" : ", nobody listens");
  }
  close(Socket);
}

struct sent_request {
  std::string Id;
  double SentAt = 0;
  double EndedAt = 0;
  message Response;
  std::thread Client;
};

int main(int, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  openRecord(Arguments[1]);
  fleet Fleet(std::map<std::string, std::string>{{"bag-a", "bagmati"}});
  const std::string ServerIp = ownIp(100);
  const int ServerPort = freePort(ServerIp);
  const int Listener = bindOn(ServerIp, ServerPort);
  if (Listener < 0)
    cannotRun("the server can't listen");
  serveConnections(Listener, serve);
  const auto PutConfiguration = [&](int Version, const char *Timeout) {
    record("configuration %d: timeout %s", Version, Timeout);
    Fleet.Store.put(
        "config", "main",
        configurationText(
            Version, {routeText("/hold/", "unsafe", "desk", Timeout)}, "desk"));
  };
  // The first timeout is shorter than the server's work; nobody sends under it.
  PutConfiguration(5, "1000ms");
  for (int Number = 1; Number <= 4; ++Number)
    Fleet.Store.put(
        "servers", "i-" + std::to_string(Number),
        serverText("desk", addressOf(ServerIp, ServerPort), "bag-a", 18));
  Fleet.Store.start();
  node &Node = Fleet.add("front-bag-a-1", "bag-a");
  Fleet.start(Node);
  Fleet.waitReady(Node);
  sleepFor(1);

  const double TermAt = now();
  if (hasTrouble())
    Fleet.signal(Node, SIGTERM);
  sleepFor(0.3);
  PutConfiguration(7, "4000ms");

  std::vector<sent_request> Sent(Requests);
  for (int Index = 0; Index < Requests; ++Index) {
    sent_request &Request = Sent[static_cast<std::size_t>(Index)];
    Request.Id = "hold-" + std::to_string(Index + 1);
    // From 3.2 s to 5.1 s after the signal.
    const double At = TermAt + ExcusedUntil + 0.2 + 0.1 * Index;
    sleepFor(std::max(0.0, At - now()));
    Request.SentAt = now();
    record("client sends %s, %.2f s after the signal", Request.Id.c_str(),
           Request.SentAt - TermAt);
    Request.Client = std::thread([&Request, &Node] {
      Request.Response =
          call(Node.Ip, Node.Ingress,
               requestText("POST", "/hold/x", Request.Id, 4'000, "body"), 6);
      Request.EndedAt = now();
    });
  }
  if (hasTrouble()) {
    // As the platform does.
    while (now() < TermAt + Grace &&
           waitpid(Node.Process, nullptr, WNOHANG) == 0)
      sleepFor(0.01);
    record("the process has ended, %.2f s after the signal", now() - TermAt);
  }
  int Lost = 0;
  int Served = 0;
  for (sent_request &Request : Sent) {
    Request.Client.join();
    const message &Response = Request.Response;
    record("%s: status %d, %s, %.2f s after it was sent", Request.Id.c_str(),
           Response.status(),
           Response.IsWhole ? "whole"
                            : "the connection ended without an answer",
           Request.EndedAt - Request.SentAt);
    Served += Response.status() == 200 && Response.IsWhole &&
                      Response.Body == answerBody(Request.Id)
                  ? 1
                  : 0;
  }
  // Passed on, and ended without an answer: told by the server's record.
  for (const sent_request &Request : Sent) {
    const bool IsCut = !Request.Response.IsWhole;
    const bool HadTime = Request.EndedAt - Request.SentAt < 3.8;
    std::ifstream File(Arguments[1]);
    const std::string All{std::istreambuf_iterator<char>(File), {}};
    const bool WasPassedOn =
        All.find("server runs " + Request.Id + ",") != std::string::npos;
    if (IsCut && HadTime && WasPassedOn) {
      record("LOST: %s was passed on, and its connection ended without an "
             "answer",
             Request.Id.c_str());
      ++Lost;
    }
  }
  if (!hasTrouble() && Served != Requests)
    cannotRun("not all requests were served without the disruption");
  record("%d served, %d lost", Served, Lost);
  record(Lost > 0 ? "the rule was broken" : "the rule held");
  finish(Lost > 0 ? 1 : 0);
}
