/// Formats a trace as text for operators.
#include "RequestTrace/request_trace.h"
#include "Text/text.h"

namespace amaranthhoist {

/// Formats the time of day in UTC as hh:mm:ss.mmm.
static std::string formatTimeOfDay(std::int64_t TimeMs) {
  const std::int64_t InDay = TimeMs % 86'400'000;
  std::string Text;
  const auto AppendTwoDigits = [&Text](std::int64_t Value, const char *Suffix) {
    append(Text, Value < 10 ? "0" : "", Value, Suffix);
  };
  AppendTwoDigits(InDay / 3'600'000, ":");
  AppendTwoDigits(InDay / 60'000 % 60, ":");
  AppendTwoDigits(InDay / 1'000 % 60, ".");
  const std::int64_t Ms = InDay % 1'000;
  append(Text, Ms < 100 ? "0" : "", Ms < 10 ? "0" : "", Ms);
  return Text;
}

/// Whether the field is part of every line or already shown in the heading.
static bool isCommonField(const std::string &Name) {
  return Name == "time_ms" || Name == "steady_us" || Name == "instance" ||
         Name == "event" || Name == "request";
}

static std::string formatLine(const log_line &Line) {
  std::string Text =
      cat(formatTimeOfDay(Line.TimeMs), "  ", Line.Instance, "  ", Line.Event);
  for (const auto &[Name, Value] : Line.Fields.items()) {
    const bool IsEmpty = Value.is_string() && Value.get<std::string>().empty();
    if (!isCommonField(Name) && !IsEmpty)
      append(Text, "  ", Name, "=",
             Value.is_string() ? Value.get<std::string>() : Value.dump());
  }
  return Text;
}

static void formatNode(const node_context &Node, std::string &Text) {
  append(Text, "  ", Node.Instance, ": configuration ",
         Node.ConfigurationVersion);
  if (Node.ConfigurationAgeUs >= 0)
    append(Text, ", applied ", Node.ConfigurationAgeUs / 1'000, " ms earlier");
  append(Text,
         Node.StoreIsUnreachable ? "; store unreachable" : "; store reachable",
         Node.IsShuttingDown ? "; shutting down" : "", "\n");
  for (const std::string &Peer : Node.UnreachablePeers)
    append(Text, "    peer unreachable: ", Peer, "\n");
  for (const log_line &Line : Node.ServerLines)
    append(Text, "    ", formatLine(Line), "\n");
  for (const log_line &Line : Node.ProcessLines)
    append(Text, "    ", formatLine(Line), "\n");
}

std::string describe(const request_trace &Trace) {
  std::string Text = cat("request ", Trace.RequestId, "\n");
  if (Trace.Steps.empty()) {
    append(Text,
           "no log line mentions it: it never reached these nodes, or it was "
           "answered (successes are sampled), or its node was killed\n");
    return Text;
  }
  for (const log_line &Step : Trace.Steps)
    append(Text, "  ", formatLine(Step), "\n");
  append(Text, "state of the nodes when it arrived:\n");
  for (const node_context &Node : Trace.Nodes)
    formatNode(Node, Text);
  append(Text, "cause:\n");
  for (const std::string &Cause : Trace.Causes)
    append(Text, "  ", Cause, "\n");
  if (Trace.Causes.empty())
    append(Text, "  the log lines do not show how it ended\n");
  return Text;
}

} // namespace amaranthhoist
