#include "RequestTrace/request_trace.h"

#include "Text/text.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

/// Lines about a server are included from this long before the request.
static constexpr std::int64_t ServerLinesBeforeUs = 10'000'000;
/// Lines about a server are included until this long after the request, since
/// target lists may be updated late.
static constexpr std::int64_t ServerLinesAfterUs = 3'000'000;
/// Starts and exits of the process are included until this long after the
/// request: slightly more than the longest grace period in use.
static constexpr std::int64_t ProcessLinesAfterMs = 10'000;

std::string log_line::text(std::string_view Name) const {
  auto Found = Fields.find(Name);
  return Found != Fields.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::string log_line::decimal(std::string_view Name) const {
  const auto Found = Fields.find(Name);
  if (Found == Fields.end() || !Found->is_number())
    return "?";
  return cat(std::round(Found->get<double>() * 10) / 10);
}

std::int64_t log_line::number(std::string_view Name) const {
  auto Found = Fields.find(Name);
  return Found != Fields.end() && Found->is_number()
             ? Found->get<std::int64_t>()
             : 0;
}

void trace_reader::addLine(std::string_view Line) {
  // A log collector may have prefixed the line.
  const std::size_t Start = Line.find('{');
  if (Line.find_first_not_of(" \t\r\n") == std::string_view::npos)
    return;
  json Fields = Start == std::string_view::npos
                    ? json()
                    : json::parse(Line.substr(Start), nullptr, false);
  if (!Fields.is_object() || !Fields.contains("event") ||
      !Fields["event"].is_string()) {
    ++SkippedLines;
    return;
  }
  log_line Parsed;
  Parsed.Event = Fields["event"].get<std::string>();
  Parsed.Fields = std::move(Fields);
  Parsed.Instance = Parsed.text("instance");
  Parsed.TimeMs = Parsed.number("time_ms");
  Parsed.SteadyUs = Parsed.number("steady_us");
  int &StartCount = StartCounts[Parsed.Instance];
  if (Parsed.Event == "started")
    ++StartCount;
  Parsed.Incarnation = StartCount;
  const auto Request = Parsed.Fields.find("request");
  if (Request == Parsed.Fields.end())
    StateLines.push_back(std::move(Parsed));
  else if (*Request == RequestId)
    RequestLines.push_back(std::move(Parsed));
}

/// Returns the servers that are mentioned in the lines of the request.
static std::set<std::string>
collectServers(const std::vector<log_line> &Steps) {
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

static void updateMembership(std::vector<std::string> &Names,
                             const std::string &Name, bool IsMember) {
  std::erase(Names, Name);
  if (IsMember)
    Names.push_back(Name);
}

/// Applies a state change that the node logged before the request.
static void applyStateChange(node_context &Node, const log_line &Line,
                             std::int64_t RequestUs) {
  if (Line.Event == "configuration_applied") {
    Node.ConfigurationVersion = Line.number("version");
    Node.ConfigurationAgeUs = RequestUs - Line.SteadyUs;
  } else if (Line.Event == "store_silent") {
    Node.StoreIsUnreachable = true;
  } else if (Line.Event == "store_answers") {
    Node.StoreIsUnreachable = false;
  } else if (Line.Event == "leaving") {
    Node.IsShuttingDown = true;
  } else if (Line.Event == "peer_lost" || Line.Event == "peer_back") {
    updateMembership(Node.UnreachablePeers, Line.text("peer"),
                     Line.Event == "peer_lost");
  } else if (Line.Event == "domain_evacuated" || Line.Event == "domain_back") {
    updateMembership(Node.EvacuatedDomains, Line.text("failure_domain"),
                     Line.Event == "domain_evacuated");
  }
}

static bool isProcessLine(const log_line &Line) {
  static constexpr std::array<std::string_view, 5> Events = {
      "started", "leaving", "stopped", "servers_unreachable",
      "servers_reachable"};
  return std::find(Events.begin(), Events.end(), Line.Event) != Events.end();
}

static node_context buildNodeContext(const trace_reader &Reader,
                                     const std::string &Instance,
                                     const request_trace &Trace,
                                     const std::set<std::string> &Servers) {
  node_context Node;
  Node.Instance = Instance;
  const auto Step = std::find_if(
      Trace.Steps.begin(), Trace.Steps.end(),
      [&](const log_line &Line) { return Line.Instance == Instance; });
  // The line was logged at the end of the interval that it describes.
  const std::int64_t RequestUs = Step->SteadyUs - Step->number("took_us");
  for (const log_line &Line : Reader.stateLines()) {
    if (Line.Instance != Instance)
      continue;
    const std::int64_t OffsetMs = Line.TimeMs - Step->TimeMs;
    if (isProcessLine(Line) && OffsetMs > 0 && OffsetMs < ProcessLinesAfterMs)
      Node.ProcessLines.push_back(Line);
    // State is not carried over between processes.
    if (Line.Incarnation != Step->Incarnation)
      continue;
    const std::int64_t OffsetUs = Line.SteadyUs - RequestUs;
    if (OffsetUs <= 0)
      applyStateChange(Node, Line, RequestUs);
    // A key may also be revoked while its request waits.
    if (Line.Event == "key_revoked" && Line.SteadyUs <= Step->SteadyUs)
      Node.RevocationLines.push_back(Line);
    if (Servers.contains(Line.text("server")) &&
        OffsetUs > -ServerLinesBeforeUs && OffsetUs < ServerLinesAfterUs)
      Node.ServerLines.push_back(Line);
  }
  return Node;
}

request_trace makeTrace(const trace_reader &Reader) {
  request_trace Trace;
  Trace.RequestId = Reader.requestId();
  Trace.Steps = Reader.requestLines();
  std::stable_sort(Trace.Steps.begin(), Trace.Steps.end(),
                   [](const log_line &Left, const log_line &Right) {
                     if (Left.Instance == Right.Instance &&
                         Left.Incarnation == Right.Incarnation)
                       return Left.SteadyUs < Right.SteadyUs;
                     return Left.TimeMs < Right.TimeMs;
                   });
  const std::set<std::string> Servers = collectServers(Trace.Steps);
  std::set<std::string> Instances;
  for (const log_line &Step : Trace.Steps)
    if (Instances.insert(Step.Instance).second)
      Trace.Nodes.push_back(
          buildNodeContext(Reader, Step.Instance, Trace, Servers));
  Trace.Causes = findCauses(Trace);
  return Trace;
}

} // namespace amaranthhoist
