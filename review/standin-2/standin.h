// Stand-ins for the review's scripts: the platform's store, HTTP servers and
// clients, and a starter for node processes. Plain sockets and threads, no
// library of the project. Loopback addresses only.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace standin {

using steady = std::chrono::steady_clock;

inline double now() {
  static const auto Start = steady::now();
  return std::chrono::duration<double>(steady::now() - Start).count();
}

inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

/// Whether the disruption is wanted: the variable TROUBLE isn't 0.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

// The record.

inline std::mutex RecordMutex;
inline FILE *RecordFile = nullptr;

inline void openRecord(const std::string &Path) {
  RecordFile = std::fopen(Path.c_str(), "w");
}

inline void record(const char *Format, ...) {
  const std::lock_guard Lock(RecordMutex);
  if (!RecordFile)
    return;
  std::fprintf(RecordFile, "%8.3f  ", now());
  va_list Arguments;
  va_start(Arguments, Format);
  std::vfprintf(RecordFile, Format, Arguments);
  va_end(Arguments);
  std::fprintf(RecordFile, "\n");
  std::fflush(RecordFile);
}

/// Ends what the program started.
inline std::function<void()> CleanUp = [] {};

/// Ends the program at once: threads of the stand-ins still run.
[[noreturn]] inline void finish(int Status) {
  CleanUp();
  std::_Exit(Status);
}

/// Ends the program: the case couldn't run.
[[noreturn]] inline void cannotRun(const std::string &Why) {
  record("the case couldn't run: %s", Why.c_str());
  std::fprintf(stderr, "the case couldn't run: %s\n", Why.c_str());
  finish(2);
}

// Sockets.

inline sockaddr_in toSockaddr(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

inline std::string addressOf(const std::string &Ip, int Port) {
  return Ip + ":" + std::to_string(Port);
}

/// \p ReceiveBuffer: connections have a small window, and segments as on
/// Ethernet instead of those of the loopback device.
inline int bindOn(const std::string &Ip, int Port, int ReceiveBuffer = 0) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  if (ReceiveBuffer > 0) {
    const int SegmentBytes = 1'460;
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof ReceiveBuffer);
    setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
               sizeof SegmentBytes);
  }
  const sockaddr_in Address = toSockaddr(Ip, Port);
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
           sizeof Address) != 0 ||
      listen(Socket, 512) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

/// A port that is free on \p Ip, below the kernel's ephemeral range.
inline int freePort(const std::string &Ip) {
  static std::atomic<int> Next{10'000 +
                               static_cast<int>(getpid() * 37 % 20'000)};
  for (int Try = 0; Try < 20'000; ++Try) {
    const int Port = 10'000 + (Next++ - 10'000) % 22'000;
    const int Socket = bindOn(Ip, Port);
    if (Socket < 0)
      continue;
    close(Socket);
    return Port;
  }
  cannotRun("no free port");
}

/// A loopback address of this run's own, with \p Last as its last byte.
inline std::string ownIp(int Last) {
  static const int Run = static_cast<int>(getpid());
  return "127." + std::to_string(16 + Run / 200 % 200) + "." +
         std::to_string(1 + Run % 200) + "." + std::to_string(Last);
}

inline int connectTo(const std::string &Ip, int Port, double Timeout) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  const int Flags = fcntl(Socket, F_GETFL);
  fcntl(Socket, F_SETFL, Flags | O_NONBLOCK);
  const sockaddr_in Address = toSockaddr(Ip, Port);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address) != 0) {
    pollfd Poll{Socket, POLLOUT, 0};
    int Error = errno;
    socklen_t Size = sizeof Error;
    if (Error == EINPROGRESS &&
        poll(&Poll, 1, static_cast<int>(Timeout * 1'000)) > 0)
      getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size);
    if (Error != 0) {
      close(Socket);
      return -1;
    }
  }
  fcntl(Socket, F_SETFL, Flags);
  return Socket;
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

inline void resetAndClose(int Socket) {
  const linger Reset{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof Reset);
  close(Socket);
}

// HTTP.

struct message {
  /// The request or status line.
  std::string Line;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool HeadIsWhole = false;
  bool IsWhole = false;
  /// The connection ended with a reset, not with a close.
  bool WasReset = false;

  [[nodiscard]] std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return {};
  }
  [[nodiscard]] int status() const {
    return Line.size() > 12 ? std::atoi(Line.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string method() const {
    return Line.substr(0, Line.find(' '));
  }
  [[nodiscard]] std::string target() const {
    const auto From = Line.find(' ') + 1;
    return Line.substr(From, Line.find(' ', From) - From);
  }
};

/// Reads messages from a socket, with a time limit for each.
class reader {
public:
  explicit reader(int Socket) : Socket(Socket) {}

  /// Reads a head. Returns false if the connection ended or time is up.
  bool readHead(message &Message, double Timeout) {
    const double Until = now() + Timeout;
    std::size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill(Until, Message))
        return false;
    std::istringstream Head(Buffer.substr(0, End + 2));
    Buffer.erase(0, End + 4);
    std::string Line;
    while (std::getline(Head, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      if (Message.Line.empty()) {
        Message.Line = Line;
        continue;
      }
      const auto Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      auto Value = Line.substr(Colon + 1);
      Value.erase(0, Value.find_first_not_of(' '));
      Message.Fields.emplace_back(Line.substr(0, Colon), Value);
    }
    Message.HeadIsWhole = true;
    return true;
  }

  /// Reads the body that belongs to a head. \p IsResponse: a body without a
  /// length ends with the connection.
  bool readBody(message &Message, bool IsResponse, double Timeout) {
    const double Until = now() + Timeout;
    const std::string Length = Message.field("content-length");
    const bool IsChunked = !Message.field("transfer-encoding").empty();
    if (IsChunked)
      return readChunks(Message, Until);
    if (!Length.empty() || !IsResponse) {
      const std::size_t Wanted =
          static_cast<std::size_t>(std::atoll(Length.c_str()));
      while (Buffer.size() < Wanted)
        if (!fill(Until, Message)) {
          Message.Body = std::exchange(Buffer, {});
          return false;
        }
      Message.Body = Buffer.substr(0, Wanted);
      Buffer.erase(0, Wanted);
      return Message.IsWhole = true;
    }
    while (fill(Until, Message))
      ;
    Message.Body = std::exchange(Buffer, {});
    return Message.IsWhole = HasEnded && !Message.WasReset;
  }

  [[nodiscard]] bool hasEnded() const { return HasEnded; }

private:
  bool readChunks(message &Message, double Until) {
    for (;;) {
      std::size_t End = 0;
      while ((End = Buffer.find("\r\n")) == std::string::npos)
        if (!fill(Until, Message))
          return false;
      const std::size_t Size = std::strtoul(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < End + 2 + Size + 2)
        if (!fill(Until, Message))
          return false;
      Message.Body.append(Buffer, End + 2, Size);
      Buffer.erase(0, End + 2 + Size + 2);
      if (Size == 0)
        return Message.IsWhole = true;
    }
  }

  bool fill(double Until, message &Message) {
    const double Left = Until - now();
    pollfd Poll{Socket, POLLIN, 0};
    if (Left <= 0 || poll(&Poll, 1, static_cast<int>(Left * 1'000) + 1) <= 0)
      return false;
    char Bytes[65'536];
    const ssize_t Count = recv(Socket, Bytes, sizeof Bytes, 0);
    if (Count <= 0) {
      HasEnded = true;
      Message.WasReset = Count < 0;
      return false;
    }
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  int Socket;
  std::string Buffer;
  bool HasEnded = false;
};

/// Accepts connections and serves each in a thread of its own, for the rest of
/// the program.
inline void serveConnections(int Listener,
                             std::function<void(int Socket)> Serve) {
  std::thread([Listener, Serve = std::move(Serve)] {
    for (;;) {
      const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      const int One = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      std::thread([Socket, Serve] { Serve(Socket); }).detach();
    }
  }).detach();
}

/// Sends one request on a connection of its own and reads the response.
inline message call(const std::string &Ip, int Port, const std::string &Request,
                    double Timeout) {
  message Response;
  const int Socket = connectTo(Ip, Port, std::min(Timeout, 1.0));
  if (Socket < 0)
    return Response;
  // The response may come before the request has been sent whole.
  std::thread Sender([&] { sendAll(Socket, Request); });
  reader Reader(Socket);
  if (Reader.readHead(Response, Timeout))
    Reader.readBody(Response, /*IsResponse=*/true, Timeout);
  shutdown(Socket, SHUT_RDWR);
  Sender.join();
  close(Socket);
  return Response;
}

inline message get(const std::string &Ip, int Port, const std::string &Target,
                   double Timeout = 2) {
  return call(Ip, Port, "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n",
              Timeout);
}

// The platform's store: objects, lists, watches and conditions, as PROTOCOL.md
// says.

/// The JSON value of member \p Name in \p Text; empty if there is none. Enough
/// for what nodes write.
inline std::string memberOf(const std::string &Text, const std::string &Name) {
  const auto At = Text.find("\"" + Name + "\":");
  if (At == std::string::npos)
    return {};
  std::size_t From = At + Name.size() + 3;
  std::size_t To = From;
  int Depth = 0;
  bool InString = false;
  for (; To < Text.size(); ++To) {
    const char Each = Text[To];
    if (InString) {
      if (Each == '\\')
        ++To;
      else if (Each == '"')
        InString = false;
    } else if (Each == '"') {
      InString = true;
    } else if (Each == '{' || Each == '[') {
      ++Depth;
    } else if (Each == '}' || Each == ']') {
      if (--Depth < 0)
        break;
      if (Depth == 0)
        return Text.substr(From, To + 1 - From);
    } else if (Each == ',' && Depth == 0) {
      break;
    }
  }
  return Text.substr(From, To - From);
}

inline std::string unquoted(const std::string &Text) {
  return Text.size() >= 2 && Text.front() == '"'
             ? Text.substr(1, Text.size() - 2)
             : Text;
}

class store {
public:
  std::string Ip = ownIp(200);
  int Port = freePort(Ip);

  void start() { First = listenAt(Port); }

  /// Serves the same objects at another port too. Returns the port.
  int listenElsewhere() {
    const int Other = freePort(Ip);
    listenAt(Other);
    return Other;
  }

  /// Ends the service at the first port: new connections are refused.
  void closeFirst() {
    shutdown(First, SHUT_RDWR);
    close(First);
    const std::lock_guard Lock(SocketsMutex);
    for (const int Socket : FirstSockets)
      shutdown(Socket, SHUT_RDWR);
  }

  void put(const std::string &Kind, const std::string &Name,
           const std::string &Specification) {
    const std::lock_guard Lock(Mutex);
    putLocked(Kind, Name, Specification);
  }

  void remove(const std::string &Kind, const std::string &Name) {
    const std::lock_guard Lock(Mutex);
    removeLocked(Kind, Name);
  }

  bool has(const std::string &Kind, const std::string &Name) {
    const std::lock_guard Lock(Mutex);
    return Objects[Kind].count(Name) > 0;
  }

  std::size_t count(const std::string &Kind) {
    const std::lock_guard Lock(Mutex);
    return Objects[Kind].size();
  }

private:
  int listenAt(int At) {
    const int Listener = bindOn(Ip, At);
    if (Listener < 0)
      cannotRun("the store can't listen");
    serveConnections(Listener, [this, IsFirst = At == Port](int Socket) {
      if (IsFirst) {
        const std::lock_guard Lock(SocketsMutex);
        FirstSockets.insert(Socket);
      }
      serve(Socket);
      const std::lock_guard Lock(SocketsMutex);
      FirstSockets.erase(Socket);
      close(Socket);
    });
    return Listener;
  }

  struct event {
    std::uint64_t Revision;
    std::string Kind;
    bool IsDeleted;
    std::string Object;
  };

  void putLocked(const std::string &Kind, const std::string &Name,
                 const std::string &Specification) {
    ++Revision;
    auto &Created = CreatedAt[Kind + "/" + Name];
    if (Objects[Kind].count(Name) == 0)
      Created = Revision;
    std::string Object =
        "{\"metadata\":{\"name\":\"" + Name +
        "\",\"revision\":" + std::to_string(Revision) +
        ",\"created_revision\":" + std::to_string(Created) +
        ",\"finalizers\":[],\"deleting\":false},\"specification\":" +
        Specification + ",\"status\":null}";
    Objects[Kind][Name] = Object;
    History.push_back({Revision, Kind, false, Object});
    Changed.notify_all();
  }

  void removeLocked(const std::string &Kind, const std::string &Name) {
    const auto Found = Objects[Kind].find(Name);
    if (Found == Objects[Kind].end())
      return;
    ++Revision;
    History.push_back({Revision, Kind, true, Found->second});
    Objects[Kind].erase(Found);
    Changed.notify_all();
  }

  void serve(int Socket) {
    reader Reader(Socket);
    for (;;) {
      message Request;
      if (!Reader.readHead(Request, 3'600) ||
          !Reader.readBody(Request, /*IsResponse=*/false, 10))
        break;
      int Status = 200;
      const std::string Body = answer(Request, Status);
      if (!sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                               " Status\r\nContent-Type: application/json\r\n"
                               "Content-Length: " +
                               std::to_string(Body.size()) + "\r\n\r\n" + Body))
        break;
    }
  }

  static std::string queryOf(const std::string &Target,
                             const std::string &Name) {
    const auto Mark = Target.find('?');
    if (Mark == std::string::npos)
      return {};
    std::istringstream Pairs(Target.substr(Mark + 1));
    std::string Pair;
    while (std::getline(Pairs, Pair, '&'))
      if (Pair.rfind(Name + "=", 0) == 0)
        return Pair.substr(Name.size() + 1);
    return {};
  }

  std::string answer(const message &Request, int &Status) {
    const std::string Prefix = "/amaranthhoist/objects/";
    const std::string Target = Request.target();
    std::string Path = Target.substr(0, Target.find('?'));
    if (Path.rfind(Prefix, 0) != 0) {
      Status = 404;
      return "{}";
    }
    Path.erase(0, Prefix.size());
    const auto Slash = Path.find('/');
    const std::string Kind = Path.substr(0, Slash);
    std::string Name =
        Slash == std::string::npos ? std::string() : Path.substr(Slash + 1);
    if (Request.method() == "GET")
      return read(Kind, Name, Target, Status);
    const std::lock_guard Lock(Mutex);
    if (Request.method() == "POST")
      Name = unquoted(memberOf(memberOf(Request.Body, "metadata"), "name"));
    const bool Exists = Objects[Kind].count(Name) > 0;
    if (Exists == (Request.method() == "POST")) {
      Status = Exists ? 409 : 404;
      return Exists ? Objects[Kind][Name] : "{}";
    }
    if (Request.method() == "DELETE")
      removeLocked(Kind, Name);
    else
      putLocked(Kind, Name, memberOf(Request.Body, "specification"));
    record("store: %s %s/%s", Request.method().c_str(), Kind.c_str(),
           Name.c_str());
    return Request.method() == "DELETE" ? "{}" : Objects[Kind][Name];
  }

  std::string read(const std::string &Kind, const std::string &Name,
                   const std::string &Target, int &Status) {
    std::unique_lock Lock(Mutex);
    if (!Name.empty()) {
      const auto Found = Objects[Kind].find(Name);
      Status = Found == Objects[Kind].end() ? 404 : 200;
      return Status == 200 ? Found->second : "{}";
    }
    const std::string Since = queryOf(Target, "watch");
    std::string Items;
    if (Since.empty()) {
      for (const auto &[Each, Object] : Objects[Kind])
        Items += (Items.empty() ? "" : ",") + Object;
      return "{\"items\":[" + Items +
             "],\"more\":false,\"at_revision\":" + std::to_string(Revision) +
             "}";
    }
    const auto From = std::strtoull(Since.c_str(), nullptr, 10);
    const auto WaitMs = std::atoi(queryOf(Target, "wait_ms").c_str());
    const auto Until = steady::now() + std::chrono::milliseconds(WaitMs);
    for (;;) {
      for (const event &Event : History)
        if (Event.Kind == Kind && Event.Revision > From)
          Items += (Items.empty() ? "" : ",") +
                   ("{\"deleted\":" +
                    std::string(Event.IsDeleted ? "true" : "false") +
                    ",\"object\":" + Event.Object + "}");
      if (!Items.empty() ||
          Changed.wait_until(Lock, Until) == std::cv_status::timeout)
        break;
    }
    return "{\"events\":[" + Items +
           "],\"at_revision\":" + std::to_string(Revision) + "}";
  }

  int First = -1;
  std::mutex SocketsMutex;
  std::set<int> FirstSockets;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, std::string>> Objects;
  std::map<std::string, std::uint64_t> CreatedAt;
  std::vector<event> History;
};

// What the operator and the servers write.

inline std::string routeText(const std::string &Prefix, const std::string &Kind,
                             const std::string &Service,
                             const std::string &Timeout) {
  return "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-" +
         Prefix.substr(1, Prefix.size() - 2) +
         "\"},\"specification\":{\"hostname\":\"shop.example\","
         "\"path_prefix\":\"" +
         Prefix + "\",\"kind\":\"" + Kind + "\",\"timeout\":\"" + Timeout +
         "\",\"latency_objective\":\"600ms\",\"priority\":1,\"service\":\"" +
         Service + "\",\"max_attempts\":2,\"session_affinity\":false}}";
}

inline std::string configurationText(int Version,
                                     const std::vector<std::string> &Routes,
                                     const std::string &Service) {
  char Hex[16];
  std::snprintf(Hex, sizeof Hex, "%08x", Version);
  std::string Resources;
  for (const std::string &Route : Routes)
    Resources += Route + ",";
  return "{\"version\":\"" + std::string(Hex) + "\",\"resources\":[" +
         Resources +
         "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"" + Service +
         "\"},\"specification\":{\"health_path\":\"/health\","
         "\"max_connections\":330,\"warmup\":\"3s\",\"warmup_per_s\":7.2}},"
         "{\"resource_kind\":\"limits\",\"metadata\":{},\"specification\":{"
         "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
}

inline std::string serverText(const std::string &Service,
                              const std::string &Address,
                              const std::string &Zone, int Slots,
                              const std::string &State = "ready") {
  return "{\"service\":\"" + Service + "\",\"address\":\"" + Address +
         "\",\"zone\":\"" + Zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(Slots) +
         ",\"state\":\"" + State +
         "\",\"warmup_remaining\":\"0ms\",\"sequence\":1}";
}

// Node processes.

inline std::string repositoryRoot() {
  const char *Root = std::getenv("REPOSITORY");
  return Root ? Root : ".";
}

/// The program of the deploy file's line `run`.
inline std::string deployedProgram() {
  std::ifstream File(repositoryRoot() + "/deploy/system.toml");
  std::string Line;
  while (std::getline(File, Line))
    if (Line.rfind("run = \"", 0) == 0)
      return Line.substr(7, Line.find('"', 7) - 7);
  cannotRun("no run line in deploy/system.toml");
}

struct node {
  std::string Name;
  std::string Zone;
  std::string Region;
  std::string Ip;
  int Ingress = 0;
  int Readiness = 0;
  int Control = 0;
  int Directory = 0;
  int Internal = 0;
  int Metrics = 0;
  pid_t Process = 0;
};

class fleet {
public:
  store Store;
  std::vector<node> Nodes;
  std::map<std::string, std::string> Zones;
  /// Ports are the same on all machines.
  int Ingress = 0;
  int Readiness = 0;
  int Control = 0;
  int Directory = 0;
  int Internal = 0;
  int Metrics = 0;

  explicit fleet(std::map<std::string, std::string> ZoneRegions)
      : Zones(std::move(ZoneRegions)) {
    std::string Template = "/tmp/review-XXXXXX";
    Folder = mkdtemp(Template.data());
    const std::string First = ownIp(1);
    Ingress = freePort(First);
    Readiness = freePort(First);
    Control = freePort(First);
    Directory = freePort(First);
    Internal = freePort(First);
    Metrics = freePort(First);
    CleanUp = [this] {
      for (node &Node : Nodes)
        end(Node);
      if (std::system(("rm -rf " + Folder).c_str()) != 0)
        record("%s stays", Folder.c_str());
    };
  }

  node &add(const std::string &Name, const std::string &Zone) {
    Nodes.push_back({Name, Zone, Zones.at(Zone),
                     ownIp(1 + static_cast<int>(Nodes.size())), Ingress,
                     Readiness, Control, Directory, Internal, Metrics, 0});
    return Nodes.back();
  }

  /// Starts a node as the deploy file says, with the settings that its template
  /// makes of the platform's fields.
  void start(node &Node) {
    writeSettings(Node, Store.Port);
    const std::string Program = deployedProgram();
    const std::string File = settingsOf(Node);
    const std::string Log = Folder + "/" + Node.Name + ".log";
    const std::string Root = repositoryRoot();
    Node.Process = fork();
    if (Node.Process != 0) {
      record("%s starts at %s", Node.Name.c_str(), Node.Ip.c_str());
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (chdir(Root.c_str()) != 0)
      _exit(127);
    const int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    setenv("AMARANTHHOIST_SETTINGS", File.c_str(), 1);
    execl(Program.c_str(), Program.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }

  /// Writes the settings file of a node, with the store at \p StorePort.
  void writeSettings(const node &Node, int StorePort) const {
    std::string ZoneText;
    for (const auto &[Zone, Region] : Zones)
      ZoneText += (ZoneText.empty() ? "" : ", ") + ("\"" + Zone + "\": \"") +
                  Region + "\"";
    std::string Seeds;
    for (std::size_t At = 0; At < std::min<std::size_t>(3, Nodes.size()); ++At)
      Seeds += (Seeds.empty() ? "\"" : ", \"") +
               addressOf(Nodes[At].Ip, Control) + "\"";
    std::ofstream(settingsOf(Node))
        << "instance: \"" << Node.Name << "\"\nfailure_domain: \"" << Node.Zone
        << "\"\nregion: \"" << Node.Region << "\"\nfailure_domains: {"
        << ZoneText << "}\nstore: \"" << addressOf(Store.Ip, StorePort)
        << "\"\nseeds: [" << Seeds << "]\nlisten:\n  callers: \""
        << addressOf(Node.Ip, Ingress) << "\"\n  readiness: \""
        << addressOf(Node.Ip, Readiness) << "\"\n  lookups: \""
        << addressOf(Node.Ip, Directory) << "\"\n  control: \""
        << addressOf(Node.Ip, Control) << "\"\n  peers: \""
        << addressOf(Node.Ip, Internal) << "\"\n  metrics: \""
        << addressOf(Node.Ip, Metrics)
        << "\"\nlimits:\n  processor: 0.2\n  link_mbps: 1000.0\n"
           "  memory_mb: 260\n  file_descriptors: 4100\nbounds:\n"
           "  repeat_ratio: 0.2\n  repeat_window: \"10s\"\n"
           "  repeat_slack: 58\n  cold_overshoot: 1.5\n  cold_slack: 5\n"
           "  server_heartbeat: \"1500ms\"\n  grace_period: \"6s\"\n"
           "  lookup_ttl: \"5s\"\n";
  }

  void signal(node &Node, int Signal) {
    if (Node.Process <= 0)
      return;
    record("signal %d to %s", Signal, Node.Name.c_str());
    kill(Node.Process, Signal);
  }

  /// Kills a node and waits for its end.
  void end(node &Node) {
    if (Node.Process <= 0)
      return;
    kill(Node.Process, SIGKILL);
    waitpid(Node.Process, nullptr, 0);
    Node.Process = 0;
  }

  bool isReady(const node &Node) const {
    return get(Node.Ip, Readiness, "/amaranthhoist/readiness", 1).status() ==
           200;
  }

  void waitReady(const node &Node, double Timeout = 15) const {
    const double Until = now() + Timeout;
    while (!isReady(Node)) {
      if (now() > Until)
        cannotRun(Node.Name + " isn't ready");
      sleepFor(0.02);
    }
    record("%s is ready", Node.Name.c_str());
  }

  std::string logOf(const node &Node) const {
    std::ifstream File(Folder + "/" + Node.Name + ".log");
    return {std::istreambuf_iterator<char>(File), {}};
  }

private:
  std::string settingsOf(const node &Node) const {
    return Folder + "/" + Node.Name + ".yaml";
  }

  std::string Folder;
};

/// A server's answer to the request \p Id, with its stamp.
inline std::string answerText(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + Id +
         "\r\nX-Response-Stamp: stamp-" + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// The answer of a server to a request that is meant for another one.
inline std::string misdirectedText(const std::string &Id) {
  return "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + Id +
         "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/// A request of a client.
inline std::string requestText(const std::string &Method,
                               const std::string &Target, const std::string &Id,
                               int DeadlineMs, const std::string &Body = {}) {
  std::string Text = Method + " " + Target +
                     " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + Id +
                     "\r\nX-Affinity-Key: " + Id +
                     "\r\nX-Deadline-Remaining: " + std::to_string(DeadlineMs) +
                     "\r\n";
  if (Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

} // namespace standin
