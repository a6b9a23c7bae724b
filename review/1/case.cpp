/// A foreign entry stands among the servers while the targets of a service are
/// replaced. Usage, in the repository's root: PROGRAM RECORD.
#include "../standin/standin.h"

using namespace review;

namespace {

/// Bounds of the site's sheet.
constexpr double DrainTimeout = 3;
constexpr double Touch = 4;
constexpr double Work = 0.3;

/// An entry of another writer: it lacks most fields, and the label's last
/// character (U+1F600) is encoded as two surrogates of three bytes each
/// (CESU-8), which is no UTF-8.
constexpr const char *ForeignEntry =
    "{\"service\":\"inventory\",\"label\":\"rack 7 "
    "\xed\xa0\xbd\xed\xb8\x80\",\"updated_by\":\"asset-sync\"}";

struct client_request {
  double SentAt = 0;
  int Status = 0;
};

std::mutex ResultLock;
std::map<std::string, client_request> Results;

void sendRequest(const node &Node, int Number) {
  const std::string Id = "attempt-" + std::to_string(Number);
  const bool IsSafe = Number % 2 == 0;
  const double SentAt = now();
  const outcome Outcome =
      ask(Node.Front,
          std::string(IsSafe ? "GET /safe/" : "POST /once/") + Id +
              " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + Id +
              "\r\nX-Deadline-Remaining: 2500\r\n" +
              (IsSafe ? "" : "Content-Length: 0\r\n") + "\r\n",
          3);
  record("client: %s at %s, sent at %.3f, status %d", Id.c_str(),
         Node.Name.c_str(), SentAt, Outcome.Status);
  std::lock_guard Guard(ResultLock);
  Results[Id] = {SentAt, Outcome.Status};
}

} // namespace

int main(int Count, char **Arguments) {
  beginScript(Count, Arguments);
  store Store;
  std::map<std::string, std::unique_ptr<target>> Targets;
  const auto AddTarget = [&](const char *Id) {
    Targets[Id] = std::make_unique<target>(Id, Work, 2'000);
  };
  const auto Write = [&](const char *Id, const char *Zone, const char *State,
                         int Sequence) {
    Store.put("servers", Id, Targets[Id]->entry("desk", Zone, State, Sequence));
    record("store: servers/%s acknowledged, %s", Id, State);
  };
  Store.put("config", "main",
            makeConfiguration(
                1, {{"/safe/", "safe", "desk"}, {"/once/", "unsafe", "desk"}}));
  for (const char *Id : {"old-1", "old-2", "new-1", "new-2"})
    AddTarget(Id);
  Write("old-1", "a1", "ready", 1);
  Write("old-2", "b1", "ready", 1);
  auto Deployment = std::make_unique<deployment>();
  for (const char *Zone : {"a1", "b1", "c1"}) {
    node &Node = Deployment->add(std::string("node-") + Zone, Zone,
                                 std::string(Zone, 1), Store.address());
    Deployment->Seeds.push_back(Node.Control);
  }
  for (const auto &Node : Deployment->Nodes)
    Deployment->start(*Node);
  for (const auto &Node : Deployment->Nodes)
    if (!Deployment->waitReady(*Node, 10))
      endScript(Deployment, 2, "couldn't run: a node isn't ready");
  // The nodes come in touch.
  sleepFor(Touch + 1);

  std::atomic<bool> Ends = false;
  std::thread Clients([&] {
    std::vector<std::thread> Requests;
    for (int Number = 0; !Ends; ++Number) {
      Requests.emplace_back(sendRequest,
                            std::cref(*Deployment->Nodes[Number % 3]), Number);
      sleepFor(0.06);
    }
    for (std::thread &Request : Requests)
      Request.join();
  });
  sleepFor(2);
  if (hasTrouble()) {
    Store.put("servers", "asset-7", ForeignEntry);
    record("store: servers/asset-7 written by another writer");
  }
  sleepFor(1);
  // The release: the new targets start first, the old ones drain.
  Write("new-1", "a1", "ready", 1);
  Write("new-2", "b1", "ready", 1);
  sleepFor(1);
  Write("old-1", "a1", "draining", 2);
  Write("old-2", "b1", "draining", 2);
  const double DrainedAt = now();
  sleepFor(DrainTimeout + 2);
  for (const char *Id : {"old-1", "old-2"}) {
    Targets[Id]->end();
    Store.remove("servers", Id);
    record("target %s: has ended", Id);
  }
  const double EndedAt = now();
  sleepFor(5);
  Ends = true;
  Clients.join();

  int Late = 0;
  for (const char *Id : {"old-1", "old-2"})
    for (const target_run &Run : Targets[Id]->runs())
      if (Run.At > DrainedAt + DrainTimeout) {
        ++Late;
        record("%s runs %s %.3f s after its draining was acknowledged", Id,
               Run.Attempt.c_str(), Run.At - DrainedAt);
      }
  int Before = 0, ServedBefore = 0, After = 0, ServedAfter = 0;
  for (const auto &[Id, Request] : Results) {
    const bool IsServed = Request.Status == 200;
    if (Request.SentAt < DrainedAt) {
      ++Before;
      ServedBefore += IsServed;
    } else if (Request.SentAt > EndedAt + 0.5) {
      ++After;
      ServedAfter += IsServed;
    }
  }
  record("served before the release: %d of %d", ServedBefore, Before);
  record("served after it, with two sound targets ready: %d of %d", ServedAfter,
         After);
  record("requests that reached a target later than drain_timeout: %d", Late);
  for (const auto &Node : Deployment->Nodes)
    if (Deployment->hasEnded(*Node))
      endScript(Deployment, 1, "broken: a node ended by itself");
  if (ServedBefore * 10 < Before * 9)
    endScript(Deployment, 2, "couldn't run: requests fail before the release");
  if (Late > 0)
    endScript(Deployment, 1, "broken: DRAIN");
  endScript(Deployment, 0, "held");
}
