#include "Contracts/contracts.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

/// All faults of one document, so that the operator sees them together.
struct fault_list {
  std::vector<std::string> Faults;
};

static void readNumber(const json &Document, const char *Field, double Low,
                       double High, double &Value, fault_list &Faults) {
  if (!Document.contains(Field))
    return;
  const json &Item = Document[Field];
  const bool Fits = Item.is_number() && Item.get<double>() >= Low &&
                    Item.get<double>() <= High;
  if (!Fits) {
    Faults.Faults.push_back(std::string(Field) + ": must be a number from " +
                            json(Low).dump() + " to " + json(High).dump());
    return;
  }
  Value = Item.get<double>();
}

static void readNames(const json &Document, const char *Field,
                      std::vector<std::string> &Names, fault_list &Faults) {
  if (!Document.contains(Field))
    return;
  const json &Items = Document[Field];
  const bool AllStrings =
      Items.is_array() &&
      std::all_of(Items.begin(), Items.end(),
                  [](const json &Item) { return Item.is_string(); });
  if (!AllStrings) {
    Faults.Faults.push_back(std::string(Field) + ": must be a list of names");
    return;
  }
  Names = Items.get<std::vector<std::string>>();
}

static void checkFieldNames(const json &Document, fault_list &Faults) {
  static const std::vector<std::string> Known = {
      "customer",    "requests_per_second",
      "concurrency", "priority",
      "weight",      "services",
      "regions",     "operation_id"};
  for (const auto &[Field, Value] : Document.items())
    if (std::find(Known.begin(), Known.end(), Field) == Known.end())
      Faults.Faults.push_back(Field + ": unknown field");
}

static void readCustomer(const json &Document, contract &Contract,
                         fault_list &Faults) {
  const bool Named = Document.contains("customer") &&
                     Document["customer"].is_string() &&
                     !Document["customer"].get<std::string>().empty();
  if (!Named) {
    Faults.Faults.emplace_back("customer: must be a name");
    return;
  }
  Contract.Customer = Document["customer"].get<std::string>();
}

result<contract> parseContract(std::string_view Json) {
  const json Document = json::parse(Json, nullptr, false);
  if (!Document.is_object())
    return fail(error_code::Invalid, "a contract must be a JSON object");
  contract Contract;
  fault_list Faults;
  checkFieldNames(Document, Faults);
  readCustomer(Document, Contract, Faults);
  auto Concurrency = static_cast<double>(Contract.Concurrency);
  double Priority = Contract.Priority;
  double Weight = Contract.Weight;
  readNumber(Document, "requests_per_second", 0, 1e6,
             Contract.RequestsPerSecond, Faults);
  readNumber(Document, "concurrency", 0, 1e6, Concurrency, Faults);
  readNumber(Document, "priority", -100, 100, Priority, Faults);
  readNumber(Document, "weight", 1, 1000, Weight, Faults);
  readNames(Document, "services", Contract.Services, Faults);
  readNames(Document, "regions", Contract.Regions, Faults);
  if (!Faults.Faults.empty())
    return fail(error_code::Invalid, absl::StrJoin(Faults.Faults, "; "));
  Contract.Concurrency = static_cast<std::int64_t>(Concurrency);
  Contract.Priority = static_cast<std::int32_t>(Priority);
  Contract.Weight = static_cast<std::int32_t>(Weight);
  return Contract;
}

std::string formatContract(const contract &Contract) {
  json Document;
  Document["customer"] = Contract.Customer;
  Document["requests_per_second"] = Contract.RequestsPerSecond;
  Document["concurrency"] = Contract.Concurrency;
  Document["priority"] = Contract.Priority;
  Document["weight"] = Contract.Weight;
  Document["services"] = Contract.Services;
  Document["regions"] = Contract.Regions;
  return Document.dump();
}

static double entryRate(const contract &Contract, std::int64_t Entries) {
  return Contract.RequestsPerSecond / static_cast<double>(Entries);
}

/// Allows a burst of one second's rate, but at least one request: otherwise a
/// small contract divided among many entries could never be used.
static double burstOf(double Rate) { return std::max(Rate, 1.0); }

static void refill(customer_limit &Limit, double Rate, instant Now) {
  if (!Limit.Started) {
    Limit.Started = true;
    Limit.Tokens = burstOf(Rate);
  }
  const std::chrono::duration<double> Passed = Now - Limit.Updated;
  Limit.Updated = Now;
  Limit.Tokens = std::min(burstOf(Rate), Limit.Tokens + Rate * Passed.count());
}

limit_verdict acquireLimit(customer_limit &Limit, const contract &Contract,
                           std::int64_t Entries, instant Now) {
  const std::int64_t Share = std::max<std::int64_t>(Entries, 1);
  refill(Limit, entryRate(Contract, Share), Now);
  if (Limit.InProgress >= (Contract.Concurrency + Share - 1) / Share)
    return limit_verdict::TooMany;
  if (Limit.Tokens < 1 || Contract.RequestsPerSecond <= 0)
    return limit_verdict::RateLimited;
  Limit.Tokens -= 1;
  ++Limit.InProgress;
  return limit_verdict::Allowed;
}

void releaseLimit(customer_limit &Limit) { --Limit.InProgress; }

} // namespace amaranthhoist
