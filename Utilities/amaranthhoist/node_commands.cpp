/// Commands about nodes: their status, the trace of one request, and the check
/// of a settings file.
#include "Http/http.h"
#include "NodeSettings/node_settings.h"
#include "RequestTrace/request_trace.h"
#include "context.h"

#include <iostream>

namespace amaranthhoist {

using ordered_json = nlohmann::ordered_json;

/// A node serves its status from memory, so a slower response means that the
/// node itself is unhealthy.
static constexpr std::int64_t StatusTimeoutMs = 2'000;

static void addLines(std::string_view Text, trace_reader &Reader) {
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    Reader.addLine(Text.substr(0, End));
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
  }
}

static ordered_json encodeTrace(const request_trace &Trace) {
  ordered_json Steps = ordered_json::array();
  for (const log_line &Step : Trace.Steps)
    Steps.push_back(Step.Fields);
  return {
      {"request", Trace.RequestId}, {"steps", Steps}, {"causes", Trace.Causes}};
}

result<bool> explainRequest(const command_context &Context) {
  trace_reader Reader(Context.Arguments[0]);
  std::vector<std::string> Files = Context.Logs;
  if (Files.empty())
    Files.emplace_back("-");
  for (const std::string &File : Files)
    addLines(TRY(readFile(File)), Reader);
  if (Reader.skippedLines() > 0)
    std::cerr << "skipped " << Reader.skippedLines()
              << " lines that are not log lines\n";
  const request_trace Trace = makeTrace(Reader);
  if (Context.Output == output_format::Json)
    std::cout << encodeTrace(Trace).dump(2) << "\n";
  else
    std::cout << describe(Trace);
  if (Trace.Steps.empty())
    return fail(error_code::NotFound, "no log line refers to this request");
  return true;
}

static result<ordered_json> fetchStatus(const std::string &Address) {
  http_client Client;
  http_call Call;
  Call.Url = "http://" + Address + "/v1/status";
  Call.TimeoutMs = StatusTimeoutMs;
  const http_call_result Result = Client.call(Call);
  if (Result.End != call_end::Complete || Result.Status != 200)
    return fail(error_code::Unavailable, Address + ": no response");
  ordered_json Status = ordered_json::parse(Result.Body, nullptr, false);
  if (!Status.is_object())
    return fail(error_code::Invalid,
                Address + ": response is not a node status");
  return Status;
}

static std::string cell(const ordered_json &Status, const char *Name) {
  auto Found = Status.find(Name);
  if (Found == Status.end())
    return "-";
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

result<bool> runStatus(command_context &Context) {
  if (!Context.Arguments.empty())
    return fail(error_code::Invalid, "usage: status [--control LIST]");
  std::vector<table_row> Rows;
  ordered_json All = ordered_json::array();
  std::size_t Unreachable = 0;
  for (const std::string &Address : Context.Controls) {
    const result<ordered_json> Status = fetchStatus(Address);
    if (!Status) {
      ++Unreachable;
      std::cerr << Status.error().Message << "\n";
      continue;
    }
    All.push_back(*Status);
    Rows.push_back({cell(*Status, "instance"), cell(*Status, "ready"),
                    cell(*Status, "version"), cell(*Status, "version_age_ms"),
                    cell(*Status, "learns_from"), cell(*Status, "state_age_ms"),
                    cell(*Status, "list_sure"), cell(*Status, "servers_usable"),
                    cell(*Status, "servers"), cell(*Status, "peers_down")});
  }
  if (Context.Output == output_format::Json)
    std::cout << All.dump(2) << "\n";
  else
    printTable({"INSTANCE", "READY", "VERSION", "FOR MS", "FROM", "AGE MS",
                "LIST SURE", "USABLE", "SERVERS", "PEERS DOWN"},
               Rows);
  if (Unreachable > 0)
    return fail(error_code::Unavailable,
                std::to_string(Unreachable) +
                    " of the queried nodes returned no status");
  return true;
}

result<bool> runSettings(command_context &Context) {
  if (Context.Arguments.size() != 2 || Context.Arguments[0] != "check")
    return fail(error_code::Invalid, "usage: settings check FILE");
  const std::string &File = Context.Arguments[1];
  if (isNodeSettings(TRY(readSettingsFile(File))))
    TRY(loadNodeSettings(File));
  else
    TRY(loadSettings(File));
  std::cout << File << ": valid\n";
  return true;
}

} // namespace amaranthhoist
