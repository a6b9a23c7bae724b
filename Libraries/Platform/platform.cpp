#include "Platform/platform.h"

#include <nlohmann/json.hpp>

namespace amaranthhoist {

using json = nlohmann::json;

static constexpr std::int64_t CallTimeoutMs = 2'000;

static result<item> parseItem(const json &Document) {
  if (!Document.is_object() || !Document.contains("key") ||
      !Document.contains("version"))
    return fail(error_code::Invalid, "the platform sent a malformed object");
  item Item;
  Item.Key = Document["key"].get<std::string>();
  Item.Version = Document["version"].get<std::int64_t>();
  Item.Deleted = Document.value("deleted", false);
  Item.Value = Document.value("value", std::string());
  return Item;
}

static result<std::vector<item>> parseItems(const json &Document) {
  std::vector<item> Items;
  if (!Document.is_object() || !Document.contains("objects"))
    return fail(error_code::Invalid, "the platform sent a malformed list");
  for (const json &Entry : Document["objects"])
    Items.push_back(TRY(parseItem(Entry)));
  return Items;
}

static tl::unexpected<error> failureOf(const http_call_result &Result) {
  if (Result.End == call_end::NotConnected)
    return fail(error_code::Unavailable, "the platform can't be reached");
  if (Result.End != call_end::Complete)
    return fail(error_code::Uncertain, "the platform's answer was lost");
  if (Result.Status == 404)
    return fail(error_code::NotFound, "no such object");
  if (Result.Status == 409)
    return fail(error_code::Conflict, "the object is at another version");
  return fail(error_code::Unavailable,
              "the platform answered " + std::to_string(Result.Status));
}

result<item> platform_client::get(const std::string &Key) {
  http_call Call;
  Call.Url = Base + "/v1/objects/" + Key;
  Call.TimeoutMs = CallTimeoutMs;
  const http_call_result Result = Client.call(Call);
  if (Result.End != call_end::Complete || Result.Status != 200)
    return failureOf(Result);
  return parseItem(json::parse(Result.Body, nullptr, false));
}

result<std::vector<item>> platform_client::list(const std::string &Kind) {
  http_call Call;
  Call.Url = Base + "/v1/list/" + Kind;
  Call.TimeoutMs = CallTimeoutMs;
  const http_call_result Result = Client.call(Call);
  if (Result.End != call_end::Complete || Result.Status != 200)
    return failureOf(Result);
  return parseItems(json::parse(Result.Body, nullptr, false));
}

result<std::int64_t> platform_client::write(const std::string &Method,
                                            const std::string &Key,
                                            const std::string &Value,
                                            std::int64_t BaseVersion) {
  http_call Call;
  Call.Method = Method;
  Call.Url = Base + "/v1/objects/" + Key;
  Call.Body = Value;
  Call.Headers["If-Match"] = std::to_string(BaseVersion);
  Call.Headers["Content-Type"] = "application/json";
  Call.TimeoutMs = CallTimeoutMs;
  // A retry by libcurl would be harmless to the data, since the update is
  // conditional, but its conflict would hide that the first attempt succeeded.
  Call.FreshConnection = true;
  const http_call_result Result = Client.call(Call);
  if (Result.End != call_end::Complete || Result.Status != 200)
    return failureOf(Result);
  const json Document = json::parse(Result.Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("version"))
    return fail(error_code::Uncertain, "the platform's answer was malformed");
  return Document["version"].get<std::int64_t>();
}

result<std::int64_t> platform_client::put(const std::string &Key,
                                          const std::string &Value,
                                          std::int64_t BaseVersion) {
  return write("PUT", Key, Value, BaseVersion);
}

result<std::int64_t> platform_client::remove(const std::string &Key,
                                             std::int64_t BaseVersion) {
  return write("DELETE", Key, {}, BaseVersion);
}

result<watch_result> platform_client::watch(std::int64_t Revision,
                                            std::int64_t WaitMs) {
  http_call Call;
  Call.Url = Base + "/v1/watch?since=" + std::to_string(Revision) +
             "&wait_ms=" + std::to_string(WaitMs);
  Call.TimeoutMs = WaitMs + CallTimeoutMs;
  const http_call_result Result = Client.call(Call);
  if (Result.End != call_end::Complete || Result.Status != 200)
    return failureOf(Result);
  const json Document = json::parse(Result.Body, nullptr, false);
  watch_result Watch;
  Watch.Items = TRY(parseItems(Document));
  Watch.Revision = Document.value("revision", Revision);
  return Watch;
}

} // namespace amaranthhoist
