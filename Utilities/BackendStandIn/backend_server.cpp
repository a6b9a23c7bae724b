#include "backend_server.h"

#include "Logging/logging.h"
#include "Timers/timers.h"
#include "export_content.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

static constexpr auto ConnectionCost = std::chrono::milliseconds(1);
static constexpr auto ProbeCost = std::chrono::milliseconds(6);
static constexpr auto WorkStep = std::chrono::milliseconds(2);
/// Executions that start later than this after the start of a drain are counted
/// in after_drain.
static constexpr std::int64_t DrainGraceMs = 3'000;
/// Delay before a simulated outage, so that the response to /control is written
/// first.
static constexpr auto OutageDelay = std::chrono::milliseconds(50);

void site_meter::add(std::int64_t Milliwatts) {
  const std::int64_t Now = DrawMilliwatts += Milliwatts;
  std::int64_t Peak = PeakMilliwatts;
  while (Now > Peak && !PeakMilliwatts.compare_exchange_weak(Peak, Now))
    continue;
}

/// A request that occupies a slot. The slot is released exactly once, when the
/// work ends or its connection closes.
struct backend_server::running_work {
  backend_server *Owner = nullptr;
  std::size_t Execution = 0;
  std::string RequestId;
  std::string Name;
  std::int64_t DeadlineMs = 0;
  std::atomic<bool> Cancelled = false;
  std::atomic<bool> Released = false;

  ~running_work() {
    if (Owner)
      Owner->release(*this, false);
  }
};

namespace {

/// Reads the complete body, then executes the request.
class backend_exchange final : public http_exchange {
public:
  backend_exchange(backend_server &Server, http_head Head)
      : Server(Server), Head(std::move(Head)) {}

  std::unique_ptr<http_response> body(std::string_view Piece) override {
    Body.append(Piece);
    return nullptr;
  }
  std::unique_ptr<http_response> end() override {
    return Server.execute(Head, std::move(Body));
  }

private:
  backend_server &Server;
  http_head Head;
  std::string Body;
};

} // namespace

backend_server::backend_server(const backend_options &Options,
                               site_meter &Meter)
    : Options(Options), Meter(Meter) {}

backend_server::~backend_server() {
  if (Outage.joinable())
    Outage.join();
}

result<bool> backend_server::start() {
  http_server_options ServerOptions;
  ServerOptions.MaxConnections = Options.MaxConnections;
  ServerOptions.IdleSeconds = 60;
  Server = TRY(http_server::create(
      Options.Address,
      [this](http_head Head) -> std::unique_ptr<http_exchange> {
        return std::make_unique<backend_exchange>(*this, std::move(Head));
      },
      ServerOptions));
  return true;
}

static std::unique_ptr<http_response> make(int Status, std::string Body = {}) {
  auto Response = std::make_unique<http_response>();
  Response->Status = Status;
  Response->Body = std::move(Body);
  return Response;
}

static std::unique_ptr<http_response> cutConnection() {
  auto Response = make(200);
  Response->Length = 100;
  Response->Reader = [](std::span<char>) { return BodyBroken; };
  return Response;
}

void backend_server::simulateConnectionCost(int Socket) {
  {
    const std::lock_guard Guard(Lock);
    if (!SeenSockets.insert(Socket).second)
      return;
  }
  std::this_thread::sleep_for(ConnectionCost);
}

std::unique_ptr<http_response> backend_server::execute(const http_head &Head,
                                                       std::string Body) {
  if (Head.Path == "/control")
    return std::make_unique<http_response>(handleControl(Head));
  if (Head.Path == "/report")
    return make(200, reportJson());
  if (isDead())
    return cutConnection();
  simulateConnectionCost(Head.Socket);
  if (Head.Path == "/health" && Options.HasProbe)
    return std::make_unique<http_response>(handleHealth(Head));
  if (Head.Method == "DELETE" && Head.Path.starts_with("/requests/"))
    return std::make_unique<http_response>(
        handleCancel(Head.Path.substr(std::string("/requests/").size())));
  return handleWork(Head, std::move(Body));
}

http_response backend_server::handleHealth(const http_head &) {
  std::this_thread::sleep_for(ProbeCost);
  const std::lock_guard Guard(Lock);
  http_response Response;
  Response.Body = json{{"busy", Busy}, {"slots", Options.Slots}}.dump();
  if (Faults.Draining)
    Response.Headers["X-Draining"] = "1";
  return Response;
}

http_response backend_server::handleCancel(const std::string &RequestId) {
  std::shared_ptr<running_work> Work;
  {
    const std::lock_guard Guard(Lock);
    auto Found = Running.find(RequestId);
    if (Found != Running.end())
      Work = Found->second.lock();
  }
  http_response Response;
  if (Work) {
    Work->Cancelled = true;
    release(*Work, false);
  }
  Response.Body = "{\"stopped\":true}";
  return Response;
}

bool backend_server::consumeFault(std::int64_t backend_faults::*Fault) {
  const std::lock_guard Guard(Lock);
  if (Faults.*Fault <= 0)
    return false;
  --(Faults.*Fault);
  return true;
}

void backend_server::release(running_work &Work, bool Completed) {
  if (Work.Released.exchange(true))
    return;
  Meter.add(-Options.SlotMilliwatts);
  const std::lock_guard Guard(Lock);
  --Busy;
  Executions[Work.Execution].EndMs = currentWallMs();
  Executions[Work.Execution].Completed = Completed;
  Running.erase(Work.RequestId);
}

static std::int64_t argumentOr(const http_head &Head, const char *Name,
                               std::int64_t Default) {
  auto Found = Head.Query.find(Name);
  return Found == Head.Query.end() ? Default
                                   : std::atoll(Found->second.c_str());
}

std::unique_ptr<http_response> backend_server::handleWork(const http_head &Head,
                                                          std::string Body) {
  auto Work = std::make_shared<running_work>();
  Work->RequestId = headerOr(Head.Headers, "x-request-id");
  Work->DeadlineMs =
      std::atoll(headerOr(Head.Headers, "x-deadline-ms").c_str());
  Work->Name = Head.Path;
  std::int64_t SlowMs = 0;
  bool Draining = false;
  {
    const std::lock_guard Guard(Lock);
    const bool Late =
        Work->DeadlineMs > 0 && currentWallMs() > Work->DeadlineMs;
    Draining = Faults.Draining && Faults.DrainingHeader;
    if (Faults.Shed || Late || Busy >= Options.Slots) {
      Overloads += Busy >= Options.Slots ? 1 : 0;
      auto Response = make(503, "not run\n");
      Response->Headers["X-Not-Run"] = "1";
      Response->Headers["X-Request-Id"] = Work->RequestId;
      if (Draining)
        Response->Headers["X-Draining"] = "1";
      return Response;
    }
    if (Faults.Draining && currentWallMs() > DrainingSinceMs + DrainGraceMs)
      ++AfterDrain;
    Work->Owner = this;
    Work->Execution = Executions.size();
    Executions.push_back({Work->RequestId,
                          headerOr(Head.Headers, "idempotency-key"), Head.Path,
                          currentWallMs(), 0, false});
    Running[Work->RequestId] = Work;
    PeakBusy = std::max(PeakBusy, ++Busy);
    // Cold start: the first request of each slot takes longer.
    SlowMs = Faults.SlowMs + (Started++ < Options.Slots ? Options.WorkMs : 0);
  }
  Meter.add(Options.SlotMilliwatts);
  const std::int64_t Bytes = argumentOr(Head, "bytes", 0);
  const std::int64_t WorkMs = argumentOr(Head, "work_ms", Options.WorkMs);
  auto Response = make(200);
  if (Bytes > 0) {
    Response = makeStream(Work, Bytes, argumentOr(Head, "duration_ms", 0));
  } else {
    const std::int64_t End = currentWallMs() + WorkMs + SlowMs;
    while (currentWallMs() < End && !Work->Cancelled &&
           (Work->DeadlineMs == 0 || currentWallMs() < Work->DeadlineMs))
      std::this_thread::sleep_for(WorkStep);
    Response->Body = json{
        {"path", Head.Path},
        {"target", Options.Name},
        {"key", headerOr(Head.Headers, "idempotency-key")},
        {"echo", Body}}.dump();
    release(*Work, !Work->Cancelled);
    if (consumeFault(&backend_faults::LoseResponses) || isDead())
      return cutConnection();
  }
  const bool Crossed = consumeFault(&backend_faults::CrossWire);
  Response->Headers["X-Request-Id"] =
      Crossed ? "someone-elses-request" : Work->RequestId;
  if (Draining)
    Response->Headers["X-Draining"] = "1";
  return Response;
}

std::unique_ptr<http_response>
backend_server::makeStream(const std::shared_ptr<running_work> &Work,
                           std::int64_t Bytes, std::int64_t DurationMs) {
  auto Response = make(200);
  Response->Length = Bytes;
  const bool Truncated = consumeFault(&backend_faults::Truncate);
  const std::int64_t StartMs = currentWallMs();
  auto Position = std::make_shared<std::int64_t>(0);
  Response->Reader = [this, Work, Bytes, DurationMs, Truncated, StartMs,
                      Position](std::span<char> Buffer) -> std::int64_t {
    if (Work->Cancelled || (Truncated && *Position >= Bytes / 2) || isDead())
      return BodyBroken;
    if (*Position >= Bytes) {
      release(*Work, true);
      return BodyEnd;
    }
    std::int64_t Part =
        std::min<std::int64_t>(Bytes - *Position, std::int64_t(Buffer.size()));
    if (DurationMs > 0) {
      // Spreads the body evenly over its duration, in pieces.
      Part =
          std::min<std::int64_t>(Part, std::max<std::int64_t>(1, Bytes / 50));
      const std::int64_t Due = StartMs + DurationMs * (*Position) / Bytes;
      const std::int64_t Now = currentWallMs();
      if (Due > Now)
        std::this_thread::sleep_for(std::chrono::milliseconds(Due - Now));
    }
    for (std::int64_t Offset = 0; Offset < Part; ++Offset)
      Buffer[static_cast<std::size_t>(Offset)] =
          exportByte(Work->Name, *Position + Offset);
    *Position += Part;
    if (*Position >= Bytes)
      release(*Work, true);
    return Part;
  };
  return Response;
}

bool backend_server::isDead() {
  const std::lock_guard Guard(Lock);
  return Faults.Dead;
}

void backend_server::simulateOutage(std::int64_t Milliseconds) {
  if (Outage.joinable())
    Outage.join();
  Outage = std::thread([this, Milliseconds] {
    std::this_thread::sleep_for(OutageDelay);
    {
      const std::lock_guard Guard(Lock);
      Faults.Dead = true;
    }
    Server.reset();
    std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
    {
      const std::lock_guard Guard(Lock);
      Faults.Dead = false;
      // After the restart the server is cold, and every connection is new.
      Started = 0;
      SeenSockets.clear();
    }
    if (const auto Listening = start(); !Listening)
      logLine(log_level::Error, Listening.error().Message,
              {{"target", Options.Name}});
  });
}

http_response backend_server::handleControl(const http_head &Head) {
  if (const std::int64_t DownMs = argumentOr(Head, "down_ms", 0); DownMs > 0)
    simulateOutage(DownMs);
  const std::lock_guard Guard(Lock);
  Faults.LoseResponses = argumentOr(Head, "lose_answers", Faults.LoseResponses);
  Faults.CrossWire = argumentOr(Head, "cross_wire", Faults.CrossWire);
  Faults.Truncate = argumentOr(Head, "truncate", Faults.Truncate);
  Faults.Shed = argumentOr(Head, "shed", Faults.Shed ? 1 : 0) != 0;
  Faults.SlowMs = argumentOr(Head, "slow_ms", Faults.SlowMs);
  Faults.Dead = argumentOr(Head, "dead", Faults.Dead ? 1 : 0) != 0;
  Faults.DrainingHeader =
      argumentOr(Head, "draining_header", Faults.DrainingHeader ? 1 : 0) != 0;
  const bool Draining =
      argumentOr(Head, "draining", Faults.Draining ? 1 : 0) != 0;
  if (Draining && !Faults.Draining)
    DrainingSinceMs = currentWallMs();
  Faults.Draining = Draining;
  http_response Response;
  Response.Body = "{}\n";
  return Response;
}

std::string backend_server::reportJson() {
  const std::lock_guard Guard(Lock);
  json Report = {{"name", Options.Name},
                 {"busy", Busy},
                 {"peak_busy", PeakBusy},
                 {"slots", Options.Slots},
                 {"overloads", Overloads},
                 {"after_drain", AfterDrain},
                 {"site_draw_mw", Meter.DrawMilliwatts.load()},
                 {"site_peak_mw", Meter.PeakMilliwatts.load()},
                 {"executions", json::array()}};
  for (const execution &Execution : Executions)
    Report["executions"].push_back({{"request_id", Execution.RequestId},
                                    {"key", Execution.Key},
                                    {"path", Execution.Path},
                                    {"start_ms", Execution.StartMs},
                                    {"end_ms", Execution.EndMs},
                                    {"completed", Execution.Completed}});
  return Report.dump();
}

} // namespace amaranthhoist
