/// Sentences that tell why a request ended as it did.
#include "RequestTrace/request_trace.h"
#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

static std::string inMilliseconds(std::int64_t Microseconds) {
  return cat(Microseconds / 1'000, " ms");
}

static std::string describePlace(const log_line &Line, const char *Number) {
  const std::string Place = cat("place_", Number);
  const std::string Server = Line.text(Place);
  if (Server.empty())
    return {};
  const std::int64_t Wait = Line.number(cat("wait_", Number, "_us"));
  const std::int64_t Age = Line.number(cat("report_age_", Number, "_us"));
  return cat(Server, " would have made it wait ", inMilliseconds(Wait),
             Age < 0 ? std::string(" (it never told its load)")
                     : cat(" (load told ", inMilliseconds(Age), " before)"));
}

static std::string describeRefusal(const log_line &Line) {
  const std::string Why = Line.text("why");
  if (Why == "no_room") {
    std::string Text = cat("refused for lack of room, at most ",
                           inMilliseconds(Line.number("longest_wait_us")),
                           " of waiting being allowed");
    for (const char *Number : {"1", "2"})
      if (const std::string Place = describePlace(Line, Number); !Place.empty())
        append(Text, "; ", Place);
    return Text;
  }
  if (Why == "no_target")
    return "refused: no server of its service could be used";
  if (Why == "too_late")
    return "refused: too little time was left to run it";
  if (Why == "not_configured")
    return "refused: the node had no configuration yet";
  if (Why == "no_repeats")
    return "refused: it was not run, and the budget of repeats was used up";
  if (Why == "resting")
    return "refused: the servers of its service had asked for rest";
  if (Why == "quarantined")
    return cat("refused: servers crashed under its content, ",
               Line.text("content"));
  if (Why == "leaving")
    return "refused: the node was leaving and could not have ended it in time";
  return cat("refused: ", Why);
}

static std::string describeEnd(const log_line &Line) {
  const std::string Why = Line.text("why");
  const std::string Attempts = Line.text("attempts");
  const std::string Tried =
      Attempts.empty() ? std::string() : cat("; attempts: ", Attempts);
  if (Line.Event == "refused")
    return cat(describeRefusal(Line), Tried);
  if (Line.Event == "gave_up" && Why == "no_route")
    return "no route in force leads there";
  if (Line.Event == "gave_up" && Why == "deadline")
    return cat("no answer came in the time there was", Tried);
  if (Line.Event == "gave_up")
    return cat("a server got it and its answer was lost or unsound; it may "
               "have run",
               Tried);
  if (Line.Event == "cancelled")
    return cat("the caller went away before the answer", Tried);
  if (Line.Event == "answer_cut" && Why == "process_ended")
    return cat("the node's process ended before the request did", Tried);
  if (Line.Event == "answer_cut")
    return cat("the answer broke off on its way: ", Why, Tried);
  if (Line.Event == "left_running")
    return cat("the caller had gone and the node's process ended while a "
               "server worked on it",
               Tried);
  if (Line.Event == "answered")
    return cat("answered by a server with status ", Line.number("status"),
               Tried);
  return {};
}

/// What the nodes believed, where it bears on the end.
static void addBackground(const node_background &Node,
                          std::vector<std::string> &Causes) {
  if (Node.StoreIsSilent)
    Causes.push_back(cat(Node.Instance, " had lost the store"));
  if (Node.IsLeaving)
    Causes.push_back(cat(Node.Instance, " was leaving"));
  for (const std::string &Domain : Node.EvacuatedDomains)
    Causes.push_back(cat(Node.Instance, " sent nothing to ", Domain,
                         ", which was evacuated"));
  for (const log_line &Line : Node.ServerLines)
    if (Line.Event == "server_removed" ||
        (Line.Event == "server_listed" && Line.Fields.value("leaving", false)))
      Causes.push_back(cat(Line.text("server"), Line.Event == "server_removed"
                                                    ? " was taken from the list"
                                                    : " was leaving"));
}

std::vector<std::string> findCauses(const request_trace &Trace) {
  std::vector<std::string> Causes;
  for (auto Line = Trace.Steps.rbegin(); Line != Trace.Steps.rend(); ++Line)
    if (std::string End = describeEnd(*Line); !End.empty()) {
      Causes.push_back(std::move(End));
      break;
    }
  for (const node_background &Node : Trace.Nodes) {
    // A process that stops in order says so first.
    const bool IsKilled = Causes.empty() && !Node.ProcessLines.empty() &&
                          Node.ProcessLines.front().Event == "started";
    if (IsKilled)
      Causes.push_back(cat("the process of ", Node.Instance,
                           " was killed or crashed and started again"));
    addBackground(Node, Causes);
  }
  return Causes;
}

} // namespace amaranthhoist
