/// A trace as text for a person.
#include "RequestTrace/request_trace.h"
#include "Text/text.h"

namespace amaranthhoist {

/// hh:mm:ss.mmm of the day, UTC.
static std::string timeOfDay(std::int64_t TimeMs) {
  const std::int64_t InDay = TimeMs % 86'400'000;
  std::string Text;
  const auto AddTwo = [&Text](std::int64_t Value, const char *After) {
    append(Text, Value < 10 ? "0" : "", Value, After);
  };
  AddTwo(InDay / 3'600'000, ":");
  AddTwo(InDay / 60'000 % 60, ":");
  AddTwo(InDay / 1'000 % 60, ".");
  const std::int64_t Ms = InDay % 1'000;
  append(Text, Ms < 100 ? "0" : "", Ms < 10 ? "0" : "", Ms);
  return Text;
}

/// Fields that every line has, or that the heading tells.
static bool isCommon(const std::string &Name) {
  return Name == "time_ms" || Name == "steady_us" || Name == "instance" ||
         Name == "event" || Name == "request";
}

static std::string describeLine(const log_line &Line) {
  std::string Text =
      cat(timeOfDay(Line.TimeMs), "  ", Line.Instance, "  ", Line.Event);
  for (const auto &[Name, Value] : Line.Fields.items()) {
    const bool IsEmpty = Value.is_string() && Value.get<std::string>().empty();
    if (!isCommon(Name) && !IsEmpty)
      append(Text, "  ", Name, "=",
             Value.is_string() ? Value.get<std::string>() : Value.dump());
  }
  return Text;
}

static void describeNode(const node_background &Node, std::string &Text) {
  append(Text, "  ", Node.Instance, ": configuration ",
         Node.ConfigurationVersion);
  if (Node.ConfigurationAgeUs >= 0)
    append(Text, ", in force for ", Node.ConfigurationAgeUs / 1'000, " ms");
  append(Text, Node.StoreIsSilent ? "; store silent" : "; store in touch",
         Node.IsLeaving ? "; leaving" : "", "\n");
  for (const std::string &Peer : Node.LostPeers)
    append(Text, "    peer down: ", Peer, "\n");
  for (const log_line &Line : Node.ServerLines)
    append(Text, "    ", describeLine(Line), "\n");
  for (const log_line &Line : Node.ProcessLines)
    append(Text, "    ", describeLine(Line), "\n");
}

std::string describe(const request_trace &Trace) {
  std::string Text = cat("request ", Trace.RequestId, "\n");
  if (Trace.Steps.empty()) {
    append(Text,
           "no line names it: it never came to these nodes, or it was answered "
           "(successes are sampled), or its node was killed\n");
    return Text;
  }
  for (const log_line &Step : Trace.Steps)
    append(Text, "  ", describeLine(Step), "\n");
  append(Text, "what the nodes believed when it came:\n");
  for (const node_background &Node : Trace.Nodes)
    describeNode(Node, Text);
  append(Text, "cause:\n");
  for (const std::string &Cause : Trace.Causes)
    append(Text, "  ", Cause, "\n");
  if (Trace.Causes.empty())
    append(Text, "  the lines show no end of it\n");
  return Text;
}

} // namespace amaranthhoist
