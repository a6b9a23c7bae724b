/// Sentences that explain the outcome of a request.
#include "RequestTrace/request_trace.h"
#include "Text/text.h"

#include <algorithm>

namespace amaranthhoist {

static std::string formatMilliseconds(std::int64_t Microseconds) {
  return cat(Microseconds / 1'000, " ms");
}

static std::string describeCandidate(const log_line &Line, const char *Number) {
  const std::string FieldName = cat("place_", Number);
  const std::string Server = Line.text(FieldName);
  if (Server.empty())
    return {};
  const std::int64_t Wait = Line.number(cat("wait_", Number, "_us"));
  const std::int64_t Age = Line.number(cat("report_age_", Number, "_us"));
  return cat(Server, " had an estimated wait of ", formatMilliseconds(Wait),
             Age < 0 ? std::string(" (no load report received)")
                     : cat(" (load report ", formatMilliseconds(Age), " old)"));
}

/// Describes refusals that concern the caller's account.
static std::string describeAccountRefusal(const log_line &Line) {
  const std::string Reason = Line.text("why");
  const std::string Account = Line.text("account");
  if (Reason == "no_account")
    return Line.text("key").empty()
               ? "rejected: it had no API key, or more than one"
               : cat("rejected: no account holds its API key, ",
                     Line.text("key"), ", in version ", Line.number("version"));
  if (Reason == "over_limit")
    return cat("rejected: over its limit, account ", Account, " may send ",
               Line.decimal("limit"), " requests/s; ",
               Line.decimal("demand_here"),
               " requests/s came to this node, and none of ",
               Line.number("pools"), " pools had a token");
  if (Reason == "limit_unknown")
    return cat("refused: no coordinator of the limit of account ", Account,
               " responded");
  if (Reason == "no_common_region")
    return cat("refused: homes exclude each other, account ", Account,
               " may only be served in ", Line.text("account_regions"),
               ", its route only elsewhere");
  if (Reason == "keys_unconfirmed")
    return "refused: the configuration may have been outdated, and strict "
           "revocation is set";
  return cat("refused: ", Reason);
}

static std::string describeRefusal(const log_line &Line) {
  const std::string Reason = Line.text("why");
  if (Reason == "no_room") {
    std::string Text =
        cat("refused: overloaded, no candidate server was within the limit of ",
            formatMilliseconds(Line.number("longest_wait_us")),
            " of estimated wait");
    for (const char *Number : {"1", "2"})
      if (const std::string Candidate = describeCandidate(Line, Number);
          !Candidate.empty())
        append(Text, "; ", Candidate);
    return Text;
  }
  if (Reason == "no_target")
    return "refused: no server of its service was available";
  if (Reason == "too_late")
    return "refused: not enough time was left to run it";
  if (Reason == "not_configured")
    return "refused: the node had not received a configuration yet";
  if (Reason == "no_repeats")
    return "refused: it was not run, and the retry budget was exhausted";
  if (Reason == "resting")
    return "refused: the servers of its service had requested backoff";
  if (Reason == "quarantined")
    return cat(
        "refused: quarantined, servers crashed while handling its content, ",
        Line.text("content"));
  if (Reason == "leaving")
    return "refused: the node was shutting down and could not have completed "
           "it in time";
  return describeAccountRefusal(Line);
}

static std::string describeOutcome(const log_line &Line) {
  const std::string Reason = Line.text("why");
  const std::string Attempts = Line.text("attempts");
  const std::string AttemptSuffix =
      Attempts.empty() ? std::string() : cat("; attempts: ", Attempts);
  if (Line.Event == "refused")
    return cat(describeRefusal(Line), AttemptSuffix);
  if (Line.Event == "gave_up" && Reason == "no_route")
    return "no active route matches it";
  if (Line.Event == "gave_up" && Reason == "deadline")
    return cat("no response was received before the deadline", AttemptSuffix);
  if (Line.Event == "gave_up")
    return cat(
        "a server received it and its response was lost or invalid; it may "
        "have run",
        AttemptSuffix);
  if (Line.Event == "cancelled")
    return cat("the caller disconnected before the response", AttemptSuffix);
  if (Line.Event == "answer_cut" && Reason == "process_ended")
    return cat("the node's process exited before the request completed",
               AttemptSuffix);
  if (Line.Event == "answer_cut")
    return cat("the response was cut off: ", Reason, AttemptSuffix);
  if (Line.Event == "left_running")
    return cat(
        "the caller had disconnected and the node's process exited while a "
        "server was processing the request",
        AttemptSuffix);
  if (Line.Event == "answered")
    return cat("answered by a server with status ", Line.number("status"),
               AttemptSuffix);
  return {};
}

/// Adds the state of the node that may have influenced the outcome.
static void addNodeCauses(const node_context &Node, const std::string &Key,
                          std::vector<std::string> &Causes) {
  if (Node.StoreIsUnreachable)
    Causes.push_back(cat(Node.Instance, " had lost contact with the store"));
  if (Node.IsShuttingDown)
    Causes.push_back(cat(Node.Instance, " was shutting down"));
  for (const log_line &Line : Node.RevocationLines)
    if (Line.text("key") == Key)
      Causes.push_back(cat("key ", Key, " of account ", Line.text("account"),
                           " was revoked in version ", Line.number("version")));
  for (const std::string &Domain : Node.EvacuatedDomains)
    Causes.push_back(cat(Node.Instance, " sent no requests to ", Domain,
                         ", which was evacuated"));
  for (const log_line &Line : Node.ServerLines)
    if (Line.Event == "server_removed" ||
        (Line.Event == "server_listed" && Line.Fields.value("leaving", false)))
      Causes.push_back(
          cat(Line.text("server"), Line.Event == "server_removed"
                                       ? " was removed from the target list"
                                       : " was draining"));
}

std::vector<std::string> findCauses(const request_trace &Trace) {
  std::vector<std::string> Causes;
  std::string Key;
  for (const log_line &Step : Trace.Steps)
    if (Step.Event == "refused" && !Step.text("key").empty())
      Key = Step.text("key");
  for (auto Line = Trace.Steps.rbegin(); Line != Trace.Steps.rend(); ++Line)
    if (std::string Outcome = describeOutcome(*Line); !Outcome.empty()) {
      Causes.push_back(std::move(Outcome));
      break;
    }
  for (const node_context &Node : Trace.Nodes) {
    // A process that shuts down gracefully logs that first.
    const bool WasKilled = Causes.empty() && !Node.ProcessLines.empty() &&
                           Node.ProcessLines.front().Event == "started";
    if (WasKilled)
      Causes.push_back(cat("the process of ", Node.Instance,
                           " was killed or crashed and was restarted"));
    addNodeCauses(Node, Key, Causes);
  }
  return Causes;
}

} // namespace amaranthhoist
