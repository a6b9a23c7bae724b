#include "object_store.h"

#include "Timers/timers.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

static constexpr std::size_t MaxValue = 1'048'576;
static constexpr std::string_view ObjectPrefix = "/v1/objects/";
static constexpr std::string_view ListPrefix = "/v1/list/";
static constexpr std::int64_t MaxWaitMs = 60'000;

static http_response reply(int Status, const json &Document) {
  http_response Response;
  Response.Status = Status;
  Response.Headers["Content-Type"] = "application/json";
  Response.Body = Document.dump() + "\n";
  return Response;
}

static json describe(const stored_object &Object) {
  return {{"key", Object.Key},
          {"version", Object.Version},
          {"deleted", Object.Deleted},
          {"value", Object.Value}};
}

static std::int64_t numberOf(const std::string &Text, std::int64_t Default) {
  return Text.empty() ? Default : std::atoll(Text.c_str());
}

static bool acquireRate(std::deque<std::int64_t> &Recent, std::int64_t Limit) {
  const std::int64_t Now = currentWallMs();
  while (!Recent.empty() && Recent.front() <= Now - 1'000)
    Recent.pop_front();
  if (Limit > 0 && static_cast<std::int64_t>(Recent.size()) >= Limit)
    return false;
  Recent.push_back(Now);
  return true;
}

bool object_store::acquireCall(bool IsWrite) {
  const bool Allowed = IsWrite
                           ? acquireRate(RecentWrites, Faults.WritesPerSecond)
                           : acquireRate(RecentReads, Faults.ReadsPerSecond);
  if (!Allowed)
    ++Counts.Limited;
  else if (IsWrite)
    ++Counts.Writes;
  else
    ++Counts.Reads;
  return Allowed;
}

http_response object_store::handle(const http_head &Head,
                                   const std::string &Body) {
  if (Head.Path == "/control")
    return handleControl(Head);
  std::int64_t SlowMs = 0;
  {
    const std::lock_guard Guard(Lock);
    SlowMs = Faults.SlowMs;
    if (Faults.Outage)
      return reply(503, {{"error", "outage"}});
    if (!acquireCall(Head.Method != "GET"))
      return reply(429, {{"error", "call rate"}});
  }
  if (SlowMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(SlowMs));
  if (Head.Path.starts_with(ObjectPrefix))
    return handleObject(Head, Body);
  if (Head.Path.starts_with(ListPrefix))
    return handleList(Head.Path.substr(ListPrefix.size()));
  if (Head.Path == "/v1/watch")
    return handleWatch(Head);
  return reply(404, {{"error", "no such path"}});
}

http_response object_store::handleControl(const http_head &Head) {
  const std::lock_guard Guard(Lock);
  const auto Set = [&](const char *Name, std::int64_t &Value) {
    auto Found = Head.Query.find(Name);
    if (Found != Head.Query.end())
      Value = std::atoll(Found->second.c_str());
  };
  std::int64_t Outage = Faults.Outage ? 1 : 0;
  Set("outage", Outage);
  Faults.Outage = Outage != 0;
  Set("slow_ms", Faults.SlowMs);
  Set("lose_answers", Faults.LoseResponses);
  Set("list_lag_ms", Faults.ListLagMs);
  Set("writes_per_second", Faults.WritesPerSecond);
  Set("reads_per_second", Faults.ReadsPerSecond);
  Changed.notify_all();
  return reply(200, {{"revision", Revision},
                     {"reads", Counts.Reads},
                     {"writes", Counts.Writes},
                     {"watches", Counts.Watches},
                     {"limited", Counts.Limited}});
}

http_response object_store::handleObject(const http_head &Head,
                                         const std::string &Body) {
  const std::string Key = Head.Path.substr(ObjectPrefix.size());
  if (Head.Method == "PUT" || Head.Method == "DELETE")
    return handleWrite(Head, Body, Key);
  const std::lock_guard Guard(Lock);
  auto Found = Objects.find(Key);
  if (Found == Objects.end() || Found->second.Deleted)
    return reply(404, {{"error", "no such object"}});
  return reply(200, describe(Found->second));
}

http_response object_store::handleWrite(const http_head &Head,
                                        const std::string &Body,
                                        const std::string &Key) {
  if (Body.size() > MaxValue)
    return reply(413, {{"error", "value over a megabyte"}});
  const std::int64_t Base = numberOf(headerOr(Head.Headers, "if-match"), -1);
  std::unique_lock Guard(Lock);
  auto Found = Objects.find(Key);
  const std::int64_t Current =
      Found == Objects.end() ? 0 : Found->second.Version;
  // A tombstone matches either base version 0, as an absent object does, or its
  // own version.
  const bool Absent = Found == Objects.end() || Found->second.Deleted;
  if (Base != Current && !(Base == 0 && Absent))
    return reply(409, {{"error", "conflict"}, {"version", Current}});
  stored_object &Object = Objects[Key];
  Object.Key = Key;
  Object.Version = ++Revision;
  Object.Deleted = Head.Method == "DELETE";
  Object.Value = Body;
  const bool Lags = Key.starts_with("target/");
  Object.VisibleAtMs = Lags ? currentWallMs() + Faults.ListLagMs : 0;
  Changed.notify_all();
  const bool Lost = Faults.LoseResponses > 0;
  if (Lost)
    --Faults.LoseResponses;
  const json Response = {{"version", Object.Version}};
  Guard.unlock();
  if (!Lost)
    return reply(200, Response);
  // The write took effect, but the connection is closed before the response is
  // complete.
  http_response Cut;
  Cut.Length = 100;
  Cut.Reader = [](std::span<char>) { return BodyBroken; };
  return Cut;
}

http_response object_store::handleList(const std::string &Kind) {
  const std::lock_guard Guard(Lock);
  json List = {{"revision", Revision}, {"objects", json::array()}};
  const std::int64_t Now = currentWallMs();
  for (const auto &[Key, Object] : Objects)
    if (Key.starts_with(Kind + "/") && !Object.Deleted &&
        Object.VisibleAtMs <= Now)
      List["objects"].push_back(describe(Object));
  return reply(200, List);
}

http_response object_store::handleWatch(const http_head &Head) {
  const auto Argument = [&](const char *Name, std::int64_t Default) {
    auto Found = Head.Query.find(Name);
    return Found == Head.Query.end() ? Default
                                     : numberOf(Found->second, Default);
  };
  const std::int64_t Since = Argument("since", 0);
  const std::int64_t Until =
      currentWallMs() + std::min(Argument("wait_ms", 0), MaxWaitMs);
  std::unique_lock Guard(Lock);
  ++Counts.Watches;
  while (true) {
    if (Faults.Outage)
      return reply(503, {{"error", "outage"}});
    const std::int64_t Now = currentWallMs();
    json Response = {{"revision", Revision}, {"objects", json::array()}};
    // An object that is not visible yet limits the returned revision, so that
    // the next watch does not skip it.
    std::int64_t Covered = Revision;
    for (const auto &[Key, Object] : Objects) {
      if (Object.Version <= Since)
        continue;
      if (Object.VisibleAtMs > Now)
        Covered = std::min(Covered, Object.Version - 1);
      else
        Response["objects"].push_back(describe(Object));
    }
    Response["revision"] = std::max(Covered, Since);
    if (!Response["objects"].empty() || Now >= Until)
      return reply(200, Response);
    Changed.wait_for(Guard, std::chrono::milliseconds(
                                std::min<std::int64_t>(Until - Now, 50)));
  }
}

} // namespace amaranthhoist
