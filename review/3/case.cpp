/// Clients read a large response slowly while their node is stopped with
/// SIGTERM. Usage, in the repository's root: PROGRAM RECORD.
#include "../standin/standin.h"

using namespace review;

namespace {

constexpr double Touch = 4;
/// The largest response of the site's download route, and its deadline.
constexpr std::size_t BodyBytes = 540'000;
constexpr double Deadline = 3;
/// A client takes 2.5 s for a whole response.
constexpr double BytesPerSecond = 215'000;
constexpr double ReadPeriod = 0.004;
constexpr int Clients = 4;
/// Time from the SIGTERM to the requests.
constexpr double SentAfterTerm = 2.6;

/// A client's socket with the segment size of an Ethernet path and a small
/// window, as on the users' links.
void prepare(int Socket) {
  const int SegmentBytes = 1'460;
  const int WindowBytes = 4'096;
  setsockopt(Socket, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
             sizeof SegmentBytes);
  setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &WindowBytes, sizeof WindowBytes);
}

struct download {
  double SentAt = 0;
  double EndedAt = 0;
  std::size_t Size = 0;
  /// Body bytes that the response's head announces.
  std::size_t Announced = 0;
  bool IsSuccess = false;
};

/// Sends a request and reads its response at the given rate; 0: any.
download fetch(int Socket, const std::string &Id, double Rate) {
  download Download;
  Download.SentAt = now();
  if (!sendAll(Socket, "GET /bundle/" + Id +
                           " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " +
                           Id + "\r\nX-Deadline-Remaining: 3000\r\n\r\n"))
    return Download;
  std::string Head;
  std::size_t HeadEnd = std::string::npos;
  for (;;) {
    char Bytes[16'384];
    std::size_t Most = sizeof Bytes;
    if (Rate > 0) {
      sleepFor(ReadPeriod);
      const auto Due =
          static_cast<std::size_t>((now() - Download.SentAt) * Rate);
      Most = std::min(Most, Due > Download.Size ? Due - Download.Size : 0);
      if (Most == 0)
        continue;
    }
    const ssize_t Count = recv(Socket, Bytes, Most, 0);
    Download.EndedAt = now();
    if (Count <= 0)
      break;
    if (HeadEnd == std::string::npos) {
      Head.append(Bytes, static_cast<std::size_t>(Count));
      HeadEnd = Head.find("\r\n\r\n");
      if (HeadEnd == std::string::npos)
        continue;
      Download.Size = Head.size() - HeadEnd - 4;
      Download.IsSuccess = Head.starts_with("HTTP/1.1 200");
      const std::size_t Field = Head.find("Content-Length: ");
      Download.Announced =
          Field == std::string::npos
              ? BodyBytes
              : std::strtoul(Head.c_str() + Field + 16, nullptr, 10);
    } else {
      Download.Size += static_cast<std::size_t>(Count);
    }
    if (Download.Size >= Download.Announced)
      break;
  }
  return Download;
}

} // namespace

int main(int Count, char **Arguments) {
  beginScript(Count, Arguments);
  store Store;
  std::vector<std::unique_ptr<target>> Targets;
  for (const char *Zone : {"a1", "b1"}) {
    Targets.push_back(std::make_unique<target>(std::string("records-") + Zone,
                                               0.1, BodyBytes));
    Store.put("servers", Targets.back()->Id,
              Targets.back()->entry("records", Zone, "ready", 1));
  }
  Store.put("config", "main",
            makeConfiguration(
                1, {{"/bundle/", "download", "records", "3000ms", "500ms"}}));
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
  sleepFor(Touch + 1);

  // Connections that have served a request before.
  node &Stopped = *Deployment->Nodes[0];
  std::vector<int> Sockets;
  for (int Index = 0; Index < Clients; ++Index) {
    Sockets.push_back(connectTo(Stopped.Front, 10, prepare));
    const download First =
        fetch(Sockets.back(), "small-" + std::to_string(Index), 0);
    record("client %d: first response, %zu of %zu bytes", Index, First.Size,
           First.Announced);
    if (!First.IsSuccess || First.Size != First.Announced)
      endScript(Deployment, 2, "couldn't run: no response before the SIGTERM");
  }
  const double TermAt = now();
  if (hasTrouble()) {
    kill(Stopped.Process, SIGTERM);
    record("node %s: SIGTERM", Stopped.Name.c_str());
  }
  sleepFor(SentAfterTerm);
  std::vector<download> Downloads(Clients);
  std::vector<std::thread> Threads;
  Threads.reserve(Clients);
  for (int Index = 0; Index < Clients; ++Index)
    Threads.emplace_back([&, Index] {
      Downloads[Index] = fetch(Sockets[Index], "slow-" + std::to_string(Index),
                               BytesPerSecond);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  int Cut = 0;
  int Late = 0;
  for (int Index = 0; Index < Clients; ++Index) {
    const download &Download = Downloads[Index];
    record("client %d: sent at %.3f s after the SIGTERM, %zu of %zu bytes, "
           "ended %.3f s after it was sent",
           Index, Download.SentAt - TermAt, Download.Size, Download.Announced,
           Download.EndedAt - Download.SentAt);
    const bool IsInTime = Download.EndedAt - Download.SentAt < Deadline;
    const bool IsComplete =
        Download.Announced > 0 && Download.Size == Download.Announced;
    Cut += !IsComplete && IsInTime;
    Late += !IsInTime;
  }
  if (Deployment->hasEnded(Stopped))
    record("node %s: has ended", Stopped.Name.c_str());
  record("responses cut off before their deadline: %d of %d", Cut, Clients);
  if (Late > 0)
    endScript(Deployment, 2, "couldn't run: a response missed its deadline");
  if (Cut > 0)
    endScript(Deployment, 1, "broken: LOST");
  endScript(Deployment, 0, "held");
}
