#include "RequestTrace/request_trace.h"

#include <algorithm>
#include <array>
#include <set>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

/// Lines about a server are shown from this long before the request.
static constexpr std::int64_t ServerLinesBeforeUs = 10'000'000;
/// And until this long after: a list may lag.
static constexpr std::int64_t ServerLinesAfterUs = 3'000'000;
/// Starts and ends of the process are shown until this long after: somewhat
/// more than the longest grace period in use.
static constexpr std::int64_t ProcessLinesAfterMs = 10'000;

std::string log_line::text(std::string_view Name) const {
  auto Found = Fields.find(Name);
  return Found != Fields.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::int64_t log_line::number(std::string_view Name) const {
  auto Found = Fields.find(Name);
  return Found != Fields.end() && Found->is_number()
             ? Found->get<std::int64_t>()
             : 0;
}

void trace_reader::take(std::string_view Line) {
  // A tool may have put something before the line.
  const std::size_t Start = Line.find('{');
  if (Line.find_first_not_of(" \t\r\n") == std::string_view::npos)
    return;
  json Fields = Start == std::string_view::npos
                    ? json()
                    : json::parse(Line.substr(Start), nullptr, false);
  if (!Fields.is_object() || !Fields.contains("event") ||
      !Fields["event"].is_string()) {
    ++Unreadable;
    return;
  }
  log_line Parsed;
  Parsed.Event = Fields["event"].get<std::string>();
  Parsed.Fields = std::move(Fields);
  Parsed.Instance = Parsed.text("instance");
  Parsed.TimeMs = Parsed.number("time_ms");
  Parsed.SteadyUs = Parsed.number("steady_us");
  int &Starts = StartsByInstance[Parsed.Instance];
  if (Parsed.Event == "started")
    ++Starts;
  Parsed.Incarnation = Starts;
  const auto Request = Parsed.Fields.find("request");
  if (Request == Parsed.Fields.end())
    Beliefs.push_back(std::move(Parsed));
  else if (*Request == RequestId)
    Own.push_back(std::move(Parsed));
}

/// Servers that the request's lines name.
static std::set<std::string> serversOf(const std::vector<log_line> &Steps) {
  std::set<std::string> Servers;
  for (const log_line &Step : Steps) {
    for (const char *Name : {"server", "place_1", "place_2"})
      Servers.insert(Step.text(Name));
    // "ID +3ms failed after 40ms; ID ..."
    const std::string Attempts = Step.text("attempts");
    for (std::size_t At = 0; At < Attempts.size();) {
      const std::size_t End = Attempts.find(' ', At);
      Servers.insert(Attempts.substr(At, End - At));
      const std::size_t Next = Attempts.find("; ", At);
      At = Next == std::string::npos ? Attempts.size() : Next + 2;
    }
  }
  Servers.erase("");
  return Servers;
}

static void setMember(std::vector<std::string> &Names, const std::string &Name,
                      bool IsIn) {
  std::erase(Names, Name);
  if (IsIn)
    Names.push_back(Name);
}

/// Follows what a node believed up to the request.
static void apply(node_background &Node, const log_line &Line,
                  std::int64_t RequestUs) {
  if (Line.Event == "configuration_applied") {
    Node.ConfigurationVersion = Line.number("version");
    Node.ConfigurationAgeUs = RequestUs - Line.SteadyUs;
  } else if (Line.Event == "store_silent") {
    Node.StoreIsSilent = true;
  } else if (Line.Event == "store_answers") {
    Node.StoreIsSilent = false;
  } else if (Line.Event == "leaving") {
    Node.IsLeaving = true;
  } else if (Line.Event == "peer_lost" || Line.Event == "peer_back") {
    setMember(Node.LostPeers, Line.text("peer"), Line.Event == "peer_lost");
  } else if (Line.Event == "domain_evacuated" || Line.Event == "domain_back") {
    setMember(Node.EvacuatedDomains, Line.text("failure_domain"),
              Line.Event == "domain_evacuated");
  }
}

static bool isProcessLine(const log_line &Line) {
  static constexpr std::array<std::string_view, 3> Events = {
      "started", "leaving", "stopped"};
  return std::find(Events.begin(), Events.end(), Line.Event) != Events.end();
}

static node_background backgroundOf(const trace_reader &Reader,
                                    const std::string &Instance,
                                    const request_trace &Trace,
                                    const std::set<std::string> &Servers) {
  node_background Node;
  Node.Instance = Instance;
  const auto Step = std::find_if(
      Trace.Steps.begin(), Trace.Steps.end(),
      [&](const log_line &Line) { return Line.Instance == Instance; });
  // The line came at the end of what it tells.
  const std::int64_t RequestUs = Step->SteadyUs - Step->number("took_us");
  for (const log_line &Line : Reader.beliefs()) {
    if (Line.Instance != Instance)
      continue;
    const std::int64_t SinceMs = Line.TimeMs - Step->TimeMs;
    if (isProcessLine(Line) && SinceMs > 0 && SinceMs < ProcessLinesAfterMs)
      Node.ProcessLines.push_back(Line);
    // Another process knew nothing of what this one believes.
    if (Line.Incarnation != Step->Incarnation)
      continue;
    const std::int64_t SinceUs = Line.SteadyUs - RequestUs;
    if (SinceUs <= 0)
      apply(Node, Line, RequestUs);
    if (Servers.contains(Line.text("server")) &&
        SinceUs > -ServerLinesBeforeUs && SinceUs < ServerLinesAfterUs)
      Node.ServerLines.push_back(Line);
  }
  return Node;
}

request_trace makeTrace(const trace_reader &Reader) {
  request_trace Trace;
  Trace.RequestId = Reader.requestId();
  Trace.Steps = Reader.own();
  std::stable_sort(Trace.Steps.begin(), Trace.Steps.end(),
                   [](const log_line &Left, const log_line &Right) {
                     if (Left.Instance == Right.Instance &&
                         Left.Incarnation == Right.Incarnation)
                       return Left.SteadyUs < Right.SteadyUs;
                     return Left.TimeMs < Right.TimeMs;
                   });
  const std::set<std::string> Servers = serversOf(Trace.Steps);
  std::set<std::string> Instances;
  for (const log_line &Step : Trace.Steps)
    if (Instances.insert(Step.Instance).second)
      Trace.Nodes.push_back(
          backgroundOf(Reader, Step.Instance, Trace, Servers));
  Trace.Causes = findCauses(Trace);
  return Trace;
}

} // namespace amaranthhoist
