// Two machines are lost for good. Then the other machine of each one's zone is
// restarted, one after the other: its directory names the lost machine to
// clients again, for longer than it takes to be in touch.
#include "../standin-2/standin.h"

using namespace standin;

static constexpr double Touch = 4.0;
/// RULES.md, DRAIN: `touch` + 3 s after its end, a machine is named no more.
static constexpr double NamedNoMore = Touch + 3.0;
static constexpr int MostAnswers = 3;
static constexpr double RestartDelay = 0.5;
static constexpr double WatchTime = 10.0;

struct pair_of_machines {
  std::string Lost;
  std::string Restarted;
  double LostAt = 0;
  double StartedAt = 0;
};

static node &find(fleet &Fleet, const std::string &Name) {
  for (node &Node : Fleet.Nodes)
    if (Node.Name == Name)
      return Node;
  cannotRun("no machine " + Name);
}

/// Asks the directory of \p Asked as a client in the zone of \p Other does.
/// Returns whether the answer names \p Other beside a running machine.
static bool names(const fleet &Fleet, const node &Asked, const node &Other) {
  const message Answer =
      get(Asked.Ip, Fleet.Directory,
          "/amaranthhoist/resolve?name=shop.example&region=" + Other.Region +
              "&zone=" + Other.Zone);
  if (Answer.status() != 200)
    return false;
  bool NamesRunning = false;
  for (const node &Node : Fleet.Nodes)
    NamesRunning = NamesRunning ||
                   (Node.Process > 0 &&
                    Answer.Body.find("\"" + addressOf(Node.Ip, Fleet.Ingress) +
                                     "\"") != std::string::npos);
  return NamesRunning &&
         Answer.Body.find("\"" + addressOf(Other.Ip, Fleet.Ingress) + "\"") !=
             std::string::npos;
}

int main(int, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  openRecord(Arguments[1]);
  fleet Fleet(std::map<std::string, std::string>{{"bp-kobanya", "budapest"},
                                                 {"bp-angyalfold", "budapest"},
                                                 {"mu-freimann", "munchen"},
                                                 {"mu-perlach", "munchen"},
                                                 {"wi-favoriten", "wien"},
                                                 {"wi-donaustadt", "wien"}});
  const std::string ServerIp = ownIp(100);
  const int ServerPort = freePort(ServerIp);
  const int Server = bindOn(ServerIp, ServerPort);
  if (Server < 0)
    cannotRun("the server can't listen");
  Fleet.Store.put(
      "config", "main",
      configurationText(5, {routeText("/read/", "safe", "desk", "4000ms")},
                        "desk"));
  for (const auto &[Zone, Region] : Fleet.Zones)
    Fleet.Store.put(
        "servers", "i-" + Zone,
        serverText("desk", addressOf(ServerIp, ServerPort), Zone, 3));
  Fleet.Store.start();
  // The machines of the deployment, in the zones of its sheet.
  for (const auto &[Zone, Region] : Fleet.Zones)
    for (int Number = 1; Number <= (Zone == "wi-donaustadt" ? 1 : 2); ++Number)
      Fleet.add("front-" + Zone + "-" + std::to_string(Number), Zone);
  for (node &Node : Fleet.Nodes)
    Fleet.start(Node);
  for (node &Node : Fleet.Nodes)
    Fleet.waitReady(Node);
  // All have registered and know each other.
  sleepFor(8);
  if (Fleet.Store.count("instances") != Fleet.Nodes.size())
    cannotRun("not all machines have registered");

  std::vector<pair_of_machines> Pairs = {
      {"front-wi-favoriten-2", "front-wi-favoriten-1"},
      {"front-mu-freimann-2", "front-mu-freimann-1"}};
  for (pair_of_machines &Pair : Pairs) {
    if (hasTrouble()) {
      record("%s is lost for good", Pair.Lost.c_str());
      Fleet.end(find(Fleet, Pair.Lost));
    }
    Pair.LostAt = now();
  }
  sleepFor(9);
  int Broken = 0;
  for (pair_of_machines &Pair : Pairs) {
    node &Restarted = find(Fleet, Pair.Restarted);
    const node &Lost = find(Fleet, Pair.Lost);
    record("before its restart, %s %s %s", Pair.Restarted.c_str(),
           names(Fleet, Restarted, Lost) ? "names" : "doesn't name",
           Pair.Lost.c_str());
    if (hasTrouble()) {
      record("%s is killed", Pair.Restarted.c_str());
      Fleet.end(Restarted);
      sleepFor(RestartDelay);
      Pair.StartedAt = now();
      Fleet.start(Restarted);
      Fleet.waitReady(Restarted);
    } else {
      Pair.StartedAt = now();
    }
    int Answers = 0;
    double LastAt = 0;
    while (now() < Pair.StartedAt + WatchTime) {
      sleepFor(0.1);
      const double AskedAt = now();
      const bool IsNamed = names(Fleet, Restarted, Lost);
      const bool IsInTouch = AskedAt >= Pair.StartedAt + Touch;
      const bool IsLost =
          Lost.Process == 0 && AskedAt >= Pair.LostAt + NamedNoMore;
      if (!IsNamed || !IsLost)
        continue;
      LastAt = AskedAt;
      Answers += IsInTouch ? 1 : 0;
    }
    record("%s names %s until %.1f s after its start; %d answers while in "
           "touch, %.1f s or more after the loss",
           Pair.Restarted.c_str(), Pair.Lost.c_str(),
           LastAt > 0 ? LastAt - Pair.StartedAt : 0.0, Answers, NamedNoMore);
    Broken += Answers;
    if (Broken > MostAnswers)
      break;
  }
  record("%d answers in all; more than %d break the rule", Broken, MostAnswers);
  record(Broken > MostAnswers ? "the rule was broken" : "the rule held");
  finish(Broken > MostAnswers ? 1 : 0);
}
