// A server answers an upload early, with a body that ends with the connection,
// and crashes in the middle of the answer. The client must not get the first
// half of it as a whole answer.
#include "../standin-2/standin.h"

using namespace standin;

static constexpr std::size_t UploadBytes = 360'000;
static constexpr int Uploads = 5;

static std::string answerBody(const std::string &Id) {
  std::string Body;
  for (int Line = 0; Line < 400; ++Line)
    Body += Id + " line " + std::to_string(Line) + "\n";
  return Body;
}

/// The head of an answer without a length.
static std::string endlessHead(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Id +
         "\r\nX-Response-Stamp: stamp-" + Id + "\r\nConnection: close\r\n\r\n";
}

/// The server's process. It answers an upload as soon as it has read the head.
/// After half of the body it writes "half" to its output, and goes on when it
/// reads a byte from its input.
static int runServer(const std::string &Ip, int Port, const std::string &Id) {
  const int Listener = bindOn(Ip, Port, /*ReceiveBuffer=*/8'192);
  if (Listener < 0)
    return 2;
  std::printf("listening\n");
  std::fflush(stdout);
  for (;;) {
    const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return 2;
    reader Reader(Socket);
    message Request;
    if (!Reader.readHead(Request, 5)) {
      close(Socket);
      continue;
    }
    const std::string Attempt = Request.field("x-attempt-id");
    if (Request.field("x-expected-instance") != Id) {
      sendAll(Socket, misdirectedText(Attempt));
      close(Socket);
      continue;
    }
    std::printf("runs %s\n", Attempt.c_str());
    std::fflush(stdout);
    const std::string Body = answerBody(Attempt);
    const std::string Head = endlessHead(Attempt);
    sendAll(Socket, Head + Body.substr(0, Body.size() / 2));
    std::printf("half %s\n", Attempt.c_str());
    std::fflush(stdout);
    char Byte = 0;
    if (read(STDIN_FILENO, &Byte, 1) != 1)
      return 0;
    sendAll(Socket, Body.substr(Body.size() / 2));
    // Reads the rest of the upload, and ends the answer with a close.
    Reader.readBody(Request, /*IsResponse=*/false, 10);
    close(Socket);
    std::printf("done %s, %zu of the upload's bytes read\n", Attempt.c_str(),
                Request.Body.size());
    std::fflush(stdout);
  }
}

struct server_process {
  pid_t Process = 0;
  int In = -1;
  FILE *Out = nullptr;

  std::string line() const {
    char Text[512] = {};
    if (!std::fgets(Text, sizeof Text, Out))
      return {};
    std::string Line = Text;
    Line.pop_back();
    record("server: %s", Line.c_str());
    return Line;
  }
};

static server_process startServer(const char *Program, const std::string &Ip,
                                  int Port, const std::string &Id) {
  int ToServer[2];
  int FromServer[2];
  if (pipe2(ToServer, O_CLOEXEC) != 0 || pipe2(FromServer, O_CLOEXEC) != 0)
    cannotRun("no pipe");
  const std::string PortText = std::to_string(Port);
  server_process Server;
  Server.Process = fork();
  if (Server.Process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(ToServer[0], STDIN_FILENO);
    dup2(FromServer[1], STDOUT_FILENO);
    execl(Program, Program, "server", Ip.c_str(), PortText.c_str(), Id.c_str(),
          static_cast<char *>(nullptr));
    _exit(127);
  }
  close(ToServer[0]);
  close(FromServer[1]);
  Server.In = ToServer[1];
  Server.Out = fdopen(FromServer[0], "r");
  if (Server.line() != "listening")
    cannotRun("the server doesn't listen");
  return Server;
}

static void kill(server_process &Server) {
  ::kill(Server.Process, SIGKILL);
  waitpid(Server.Process, nullptr, 0);
  std::fclose(Server.Out);
  close(Server.In);
}

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  if (Count == 5 && std::string(Arguments[1]) == "server")
    return runServer(Arguments[2], std::atoi(Arguments[3]), Arguments[4]);
  openRecord(Arguments[1]);
  fleet Fleet(std::map<std::string, std::string>{{"bag-a", "bagmati"}});
  const std::string ServerIp = ownIp(100);
  const int ServerPort = freePort(ServerIp);
  Fleet.Store.put(
      "config", "main",
      configurationText(5, {routeText("/hold/", "unsafe", "desk", "4000ms")},
                        "desk"));
  Fleet.Store.start();
  node &Node = Fleet.add("front-bag-a-1", "bag-a");
  bool IsBroken = false;
  int Served = 0;
  for (int Upload = 1; Upload <= Uploads; ++Upload) {
    const std::string Server = "i-" + std::to_string(Upload);
    server_process Process =
        startServer(Arguments[0], ServerIp, ServerPort, Server);
    Fleet.Store.put(
        "servers", Server,
        serverText("desk", addressOf(ServerIp, ServerPort), "bag-a", 6));
    if (Node.Process == 0) {
      Fleet.start(Node);
      Fleet.waitReady(Node);
    }
    sleepFor(1.0);
    const std::string Id = "upload-" + std::to_string(Upload);
    record("client sends %s, %zu bytes", Id.c_str(), UploadBytes);
    message Response;
    std::thread Client([&] {
      Response = call(Node.Ip, Node.Ingress,
                      requestText("POST", "/hold/x", Id, 4'000,
                                  std::string(UploadBytes, 'u')),
                      6);
    });
    std::string Line;
    while ((Line = Process.line()).rfind("half", 0) != 0)
      if (Line.empty())
        cannotRun("the server has ended");
    // The first half arrives at the node.
    sleepFor(0.2);
    if (hasTrouble()) {
      record("the server crashes");
      kill(Process);
    } else if (write(Process.In, "x", 1) == 1) {
      Process.line();
    }
    Client.join();
    const bool IsWhole = Response.Body == answerBody(Id);
    record("client gets %d, stamp '%s', %s to the end, %zu of %zu bytes of the "
           "server's body",
           Response.status(), Response.field("x-response-stamp").c_str(),
           Response.IsWhole ? "well-formed" : "cut before",
           Response.Body.size(), answerBody(Id).size());
    const bool IsSuccess = Response.status() / 100 == 2;
    Served += IsSuccess && Response.IsWhole && IsWhole ? 1 : 0;
    if (IsSuccess && Response.IsWhole && !IsWhole) {
      record("MIXED: a success with a part of the server's body");
      IsBroken = true;
    }
    if (!hasTrouble())
      kill(Process);
    Fleet.Store.remove("servers", Server);
    sleepFor(0.5);
  }
  if (!hasTrouble() && Served != Uploads)
    cannotRun("not all uploads were served without the disruption");
  record(IsBroken ? "the rule was broken" : "the rule held");
  finish(IsBroken ? 1 : 0);
}
