/// A client of one tenant names another tenant in a header field while the
/// servers of its service have lost the path to the node that it is connected
/// to. Usage, in the repository's root: PROGRAM RECORD.
#include "../standin/standin.h"

using namespace review;

namespace {

constexpr double Touch = 4;
/// The cut: two of the ten servers (share .2) lose the path to one of the four
/// machines (a share x of .3 at most) for 5 s, and open connections are reset.
constexpr double CutTime = 5;
constexpr int OtherServers = 8;

/// A proxy between one machine and one target, which can be cut.
class path {
public:
  explicit path(const target &Target)
      : Target(Target.address()), Server([this](int Socket) { pass(Socket); }) {
  }
  [[nodiscard]] const std::string &address() const { return Server.address(); }
  void cut() { Server.cut(); }
  void heal() { Server.open(); }

private:
  static void copy(int From, int To) {
    char Bytes[16'384];
    ssize_t Count = 0;
    while ((Count = recv(From, Bytes, sizeof Bytes, 0)) > 0)
      if (!sendAll(To, {Bytes, static_cast<std::size_t>(Count)}))
        break;
    shutdown(To, SHUT_RDWR);
    shutdown(From, SHUT_RDWR);
  }
  void pass(int Socket) {
    const int Onward = connectTo(Target, 60);
    if (Onward < 0)
      return;
    std::thread Back([&] { copy(Onward, Socket); });
    copy(Socket, Onward);
    Back.join();
    close(Onward);
  }

  std::string Target;
  tcp_server Server;
};

struct sender {
  const char *Tenant;
  const char *Key;
  /// Further header fields, each with its line end.
  const char *Fields;
};

constexpr sender Ordinary = {"tenant-a", "key-of-a", ""};
/// Holds the key of tenant-b and names tenant-a.
constexpr sender Naming = {"tenant-b", "key-of-b",
                           "Forwarded-Account: tenant-a\r\n"};

} // namespace

int main(int Count, char **Arguments) {
  beginScript(Count, Arguments);
  store Store;
  std::vector<std::unique_ptr<target>> Targets;
  std::vector<std::unique_ptr<path>> Paths;
  for (const char *Zone : {"a1", "b1"}) {
    Targets.push_back(
        std::make_unique<target>(std::string("server-") + Zone, 0.03, 2'000));
    Paths.push_back(std::make_unique<path>(*Targets.back()));
    Store.put("servers", Targets.back()->Id,
              Targets.back()->entry("desk", Zone, "ready", 1));
  }
  std::vector<std::unique_ptr<target>> Others;
  for (int Index = 0; Index < OtherServers; ++Index) {
    Others.push_back(std::make_unique<target>("other-" + std::to_string(Index),
                                              0.03, 2'000));
    Store.put(
        "servers", Others.back()->Id,
        Others.back()->entry("pack", Index % 2 == 0 ? "a1" : "c1", "ready", 1));
  }
  Store.put(
      "config", "main",
      makeConfiguration(1,
                        {{"/safe/", "safe", "desk"},
                         {"/once/", "unsafe", "desk"},
                         {"/pack/", "safe", "pack"}},
                        {{"tenant-a", "key-of-a"}, {"tenant-b", "key-of-b"}}));
  // On loopback all machines have the same paths. The machine that is to be cut
  // off reads the servers' addresses from the store as those of its paths.
  const std::string StoreOfCut = Store.addView(
      [&](const std::string &Kind, const std::string &, std::string Text) {
        for (std::size_t Index = 0; Kind == "servers" && Index < Targets.size();
             ++Index)
          if (const std::size_t At = Text.find(Targets[Index]->address());
              At != std::string::npos)
            Text.replace(At, Targets[Index]->address().size(),
                         Paths[Index]->address());
        return Text;
      });

  auto Deployment = std::make_unique<deployment>();
  // No seeds: each node reads the store itself.
  for (const char *Name : {"node-a1", "node-a1-2", "node-b1"}) {
    const std::string Zone(Name + 5, 2);
    node &Node =
        Deployment->add(Name, Zone, Zone.substr(0, 1), Store.address());
    Deployment->start(Node);
    if (!Deployment->waitReady(Node, 10))
      endScript(Deployment, 2, "couldn't run: a node isn't ready");
  }
  node &Cut = Deployment->add("node-c1", "c1", "c", StoreOfCut);
  Deployment->start(Cut);
  if (!Deployment->waitReady(Cut, 10))
    endScript(Deployment, 2, "couldn't run: a node isn't ready");
  // The nodes come in touch and know each other.
  sleepFor(Touch + 2);

  int Number = 0;
  int Served = 0;
  std::map<std::string, std::string> TenantOfAttempt;
  const auto Send = [&](const sender &Sender, const char *Line) {
    const std::string Id = "attempt-" + std::to_string(++Number);
    TenantOfAttempt[Id] = Sender.Tenant;
    const outcome Outcome =
        ask(Cut.Front,
            std::string(Line) + Id +
                " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + Id +
                "\r\nApi-Key: " + Sender.Key +
                "\r\nX-Deadline-Remaining: 2500\r\nContent-Length: 0\r\n" +
                Sender.Fields + "\r\n",
            3);
    record("client: %s by %s%s, status %d", Id.c_str(), Sender.Tenant,
           *Sender.Fields ? ", naming another" : "", Outcome.Status);
    Served += Outcome.Status == 200;
  };
  const auto SendFor = [&](double Time) {
    for (const double End = now() + Time; now() < End; sleepFor(0.05)) {
      Send(Ordinary, "GET /safe/");
      Send(Naming, "GET /safe/");
      Send(Naming, "POST /once/");
    }
  };
  SendFor(1);
  if (Served < Number * 9 / 10)
    endScript(Deployment, 2, "couldn't run: requests fail before the cut");
  if (hasTrouble()) {
    for (const auto &Path : Paths)
      Path->cut();
    record("the two servers of the service lose the path to node-c1");
  }
  SendFor(CutTime);
  if (hasTrouble()) {
    for (const auto &Path : Paths)
      Path->heal();
    record("the path is back");
  }
  SendFor(1);

  int Foreign = 0;
  for (const auto &Target : Targets)
    for (const target_run &Run : Target->runs())
      if (const std::string &Tenant = TenantOfAttempt[Run.Attempt];
          Run.Tenant != Tenant) {
        ++Foreign;
        record("%s ran %s of %s as %s", Run.Target.c_str(), Run.Attempt.c_str(),
               Tenant.c_str(), Run.Tenant.c_str());
      }
  record("requests sent: %d, served: %d, run as another tenant's: %d", Number,
         Served, Foreign);
  if (Foreign > 0)
    endScript(Deployment, 1, "broken: UNASKED");
  endScript(Deployment, 0, "held");
}
