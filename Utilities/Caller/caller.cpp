#include "caller.h"

#include "Timers/timers.h"
#include "export_content.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace amaranthhoist {

static constexpr std::int64_t DeadlineMs = 15'000;
static constexpr int MaxAttempts = 40;
static constexpr int MaxRefusalsPerKey = 3;
static constexpr int MaxConsecutiveRefusals = 10;
static constexpr std::int64_t MaxPauseMs = 400;

std::vector<request_kind> requestMixFor(const std::string &Deployment) {
  if (Deployment == "mandap")
    return {{"enquiry", "enquiry-desk", "GET", "/dates", false, 0, 0, 60},
            {"hold", "enquiry-desk", "POST", "/holds", true, 0, 0, 15},
            {"booking", "enquiry-desk", "POST", "/bookings", true, 0, 0, 10},
            {"download", "pack-store", "GET", "/packs", false, 300'000, 0, 15}};
  return {
      {"open", "kernel-hub", "GET", "/notebooks", false, 0, 0, 40},
      {"cell-rerun", "kernel-hub", "PUT", "/cells", false, 0, 0, 30},
      {"job", "kernel-hub", "POST", "/jobs", true, 0, 0, 20},
      {"export", "file-vault", "GET", "/exports", false, 1'000'000, 3'000, 10}};
}

caller::caller(std::vector<std::string> Entries, std::string Customer,
               std::uint64_t Seed, caller_report &Report)
    : Entries(std::move(Entries)), Customer(std::move(Customer)), Random(Seed),
      Report(Report) {}

bool caller::refreshLookup(const std::string &Service) {
  lookup &Lookup = Lookups[Service];
  if (currentWallMs() < Lookup.ExpiresAtMs && !Lookup.Addresses.empty())
    return true;
  const std::string &Entry = Entries[Random() % Entries.size()];
  http_call Call;
  Call.Url = "http://" + Entry + "/v1/entries?customer=" + Customer +
             "&service=" + Service + "&client=" + Customer;
  Call.TimeoutMs = 2'000;
  const http_call_result Result = Clients[Entry].call(Call);
  const auto Document = nlohmann::json::parse(Result.Body, nullptr, false);
  if (Result.End != call_end::Complete || Result.Status != 200 ||
      !Document.is_object())
    return false;
  Lookup.Addresses.clear();
  for (const auto &Item : Document["entries"])
    Lookup.Addresses.push_back(Item["address"].get<std::string>());
  Lookup.Home = Document["home"].get<std::string>();
  Lookup.ExpiresAtMs =
      currentWallMs() +
      std::min<std::int64_t>(Document["ttl_ms"].get<std::int64_t>(), 2'000);
  return !Lookup.Addresses.empty();
}

std::string caller::makeKey(const std::string &Service) {
  const std::string &Home = Lookups[Service].Home;
  if (Home.empty())
    return {};
  return Home + "." + Customer + "-" + std::to_string(Random()) + "-" +
         std::to_string(Serial);
}

http_call_result caller::send(const request_kind &Kind, const std::string &Id,
                              const std::string &Key, std::int64_t &BytesSeen,
                              bool &BytesRight) {
  const lookup &Lookup = Lookups[Kind.Service];
  const std::string &Entry =
      Lookup.Addresses[NextEntry++ %
                       std::min<std::size_t>(2, Lookup.Addresses.size())];
  http_call Call;
  Call.Method = Kind.Method;
  Call.Url =
      "http://" + Entry + "/v1/run/" + Kind.Service + Kind.Path + "/" + Id;
  if (Kind.Bytes > 0)
    Call.Url += "?bytes=" + std::to_string(Kind.Bytes) +
                "&duration_ms=" + std::to_string(Kind.DurationMs);
  Call.Headers["X-Customer"] = Customer;
  Call.Headers["X-Deadline-Ms"] = std::to_string(DeadlineMs);
  if (Kind.Method == "PUT")
    Call.Headers["X-Idempotent"] = "true";
  if (Kind.Keyed)
    Call.Headers["Idempotency-Key"] = Key;
  if (Kind.Method != "GET")
    Call.Body = "body-of-" + Id;
  Call.TimeoutMs = DeadlineMs + 2'000;
  // A new connection prevents the HTTP library from retrying a
  // non-idempotent request by itself.
  Call.FreshConnection = Kind.Keyed;
  const std::string Name = Kind.Path + "/" + Id;
  int Status = 0;
  if (Kind.Bytes > 0) {
    Call.OnHead = [&Status](int Seen, const http_headers &) { Status = Seen; };
    Call.OnBody = [&](std::string_view Piece) {
      if (Status != 200)
        return true;
      for (const char Byte : Piece)
        BytesRight = BytesRight && Byte == exportByte(Name, BytesSeen++);
      return true;
    };
  }
  return Clients[Entry].call(Call);
}

bool caller::isContentCorrect(const request_kind &Kind, const std::string &Id,
                              const http_call_result &Result) const {
  const auto Document = nlohmann::json::parse(Result.Body, nullptr, false);
  if (!Document.is_object())
    return false;
  const bool PathFits = Document.value("path", "") == Kind.Path + "/" + Id;
  const std::string Echo = Kind.Method == "GET" ? "" : "body-of-" + Id;
  return PathFits && Document.value("echo", "?") == Echo;
}

void caller::record(const request_kind &Kind, const std::string &Outcome,
                    double Milliseconds) {
  const std::lock_guard Guard(Report.Lock);
  kind_report &Entry = Report.Kinds[Kind.Name];
  ++Entry.Outcomes[Outcome];
  Entry.LongestMs[Outcome] = std::max(Entry.LongestMs[Outcome], Milliseconds);
  if (Outcome == "answered")
    Entry.Milliseconds.push_back(Milliseconds);
}

void caller::request(const request_kind &Kind) {
  const std::string Id = Customer + "-" + std::to_string(++Serial);
  std::string Key;
  // Number of refused attempts with the current key; -1 once an attempt ended
  // otherwise, since that attempt may have been executed.
  int RefusedAttempts = 0;
  int ConsecutiveRefusals = 0;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    if (!refreshLookup(Kind.Service)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      continue;
    }
    if (Kind.Keyed && Key.empty())
      Key = makeKey(Kind.Service);
    if (Kind.Keyed && Key.empty()) {
      Lookups[Kind.Service].ExpiresAtMs = 0;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      continue;
    }
    const instant Begin = currentInstant();
    std::int64_t BytesSeen = 0;
    bool BytesRight = true;
    const http_call_result Result = send(Kind, Id, Key, BytesSeen, BytesRight);
    const double ElapsedMs =
        std::chrono::duration<double, std::milli>(currentInstant() - Begin)
            .count();
    std::string Outcome = headerOr(Result.Headers, "x-amaranthhoist-outcome");
    if (Result.End != call_end::Complete)
      Outcome = "broken";
    record(Kind, Outcome, ElapsedMs);
    {
      const std::lock_guard Guard(Report.Lock);
      if (Kind.Keyed)
        Report.Keys[Key] = {Outcome, Kind.Name};
      // Without a connection there was no response that could be truncated.
      if (Result.End == call_end::Broken && Kind.Bytes > 0) {
        ++Report.Truncated;
        Report.Notes.push_back(Kind.Name + " " + Id + " truncated after " +
                               std::to_string(BytesSeen) +
                               " bytes: " + Result.Error);
      }
      if (Result.Body.find("the deadline has passed") != std::string::npos)
        ++Report.AfterDeadline;
      const bool Right = Kind.Bytes > 0 ? BytesRight && BytesSeen == Kind.Bytes
                                        : isContentCorrect(Kind, Id, Result);
      if (Outcome == "answered" && !Right) {
        ++Report.WrongContent;
        Report.Notes.push_back(Kind.Name + " " + Id + " wrong: status " +
                               std::to_string(Result.Status) + " " +
                               Result.Body.substr(0, 100));
      }
    }
    if (Outcome == "answered")
      return;
    // An outcome of not-run allows a new key from a new look-up. So do
    // refusals of every attempt, since none of them was executed and the key's
    // home may be removed permanently. Any other outcome keeps its key.
    RefusedAttempts =
        Outcome == "refused" && RefusedAttempts >= 0 ? RefusedAttempts + 1 : -1;
    ConsecutiveRefusals = Outcome == "refused" ? ConsecutiveRefusals + 1 : 0;
    // An earlier attempt may have been executed and the home is not reachable
    // any more: the outcome stays unknown.
    if (Kind.Keyed && RefusedAttempts < 0 &&
        ConsecutiveRefusals >= MaxConsecutiveRefusals) {
      const std::lock_guard Guard(Report.Lock);
      Report.Keys[Key].Outcome = "unknown";
      return;
    }
    if (Outcome == "not-run" || RefusedAttempts >= MaxRefusalsPerKey) {
      Key.clear();
      RefusedAttempts = 0;
    }
    if (Outcome != "refused" || RefusedAttempts == 0)
      Lookups[Kind.Service].ExpiresAtMs = 0;
    const std::int64_t Pause =
        std::atoll(headerOr(Result.Headers, "x-retry-after-ms").c_str());
    std::this_thread::sleep_for(std::chrono::milliseconds(
        std::clamp<std::int64_t>(Pause, 10, MaxPauseMs)));
  }
  const std::lock_guard Guard(Report.Lock);
  // A last outcome of unknown is a final response; no response is not.
  if (Kind.Keyed && Report.Keys[Key].Outcome == "unknown")
    return;
  ++Report.Lost;
  Report.Notes.push_back(Kind.Name + " " + Id +
                         " never received a final response");
}

} // namespace amaranthhoist
