#include "context.h"

#include "Timers/timers.h"

#include <absl/strings/str_join.h>
#include <iostream>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

/// Prints the accepted version. With --wait, first waits until every control
/// holds it, and fails with the list of lagging instances otherwise.
static result<bool> reportAccepted(command_context &Context,
                                   fleet_client &Fleet, const std::string &Key,
                                   std::int64_t Version) {
  const instant Accepted = currentInstant();
  std::vector<std::string> Lagging;
  if (Context.Wait)
    Lagging = TRY(waitInForce(Context, Fleet, Key, Version));
  const auto Ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      currentInstant() - Accepted)
                      .count();
  if (Context.Output == output_format::Json) {
    json Report = {{"key", Key}, {"version", Version}, {"lagging", Lagging}};
    if (Context.Wait)
      Report["in_force_ms"] = Ms;
    std::cout << Report.dump() << "\n";
  } else {
    std::cout << Key << " accepted as version " << Version << "\n";
    if (Context.Wait && Lagging.empty())
      std::cout << "in force at every instance after " << Ms << " ms\n";
  }
  if (!Lagging.empty())
    return fail(error_code::Unavailable,
                "not yet in force at: " + absl::StrJoin(Lagging, ", "));
  return true;
}

static result<bool> applyContract(command_context &Context) {
  if (Context.Arguments.size() != 2)
    return fail(error_code::Invalid, "usage: contract apply FILE");
  const std::string Text = TRY(readFile(Context.Arguments[1]));
  const contract Contract = TRY(parseContract(Text));
  fleet_client Fleet(Context.Controls);
  const std::string Key = objectKey(kinds::Contract, Contract.Customer);
  const std::int64_t Version =
      TRY(writeObject(Context, Fleet, Key, formatContract(Contract), false));
  return reportAccepted(Context, Fleet, Key, Version);
}

static result<bool> deleteContract(command_context &Context) {
  if (Context.Arguments.size() != 2)
    return fail(error_code::Invalid, "usage: contract delete CUSTOMER");
  fleet_client Fleet(Context.Controls);
  const std::string Key = objectKey(kinds::Contract, Context.Arguments[1]);
  const std::int64_t Version = TRY(writeObject(Context, Fleet, Key, "", true));
  return reportAccepted(Context, Fleet, Key, Version);
}

static result<bool> getContract(command_context &Context) {
  if (Context.Arguments.size() != 2)
    return fail(error_code::Invalid, "usage: contract get CUSTOMER");
  platform_client Client(Context.Platform);
  const item Item =
      TRY(Client.get(objectKey(kinds::Contract, Context.Arguments[1])));
  json Document = json::parse(Item.Value, nullptr, false);
  Document.erase("operation_id");
  if (Context.Output == output_format::Json)
    Document["version"] = Item.Version;
  else
    std::cout << "# version " << Item.Version << "\n";
  std::cout << Document.dump(2) << "\n";
  return true;
}

static result<bool> listContracts(command_context &Context) {
  platform_client Client(Context.Platform);
  const std::vector<item> Items = TRY(Client.list(kinds::Contract));
  json All = json::array();
  std::vector<table_row> Rows;
  for (const item &Item : Items) {
    const result<contract> Contract = parseContract(Item.Value);
    if (!Contract)
      continue;
    json Entry = json::parse(formatContract(*Contract));
    Entry["version"] = Item.Version;
    All.push_back(Entry);
    Rows.push_back({Contract->Customer, std::to_string(Item.Version),
                    Entry["requests_per_second"].dump(),
                    std::to_string(Contract->Concurrency),
                    std::to_string(Contract->Priority),
                    std::to_string(Contract->Weight)});
  }
  if (Context.Output == output_format::Json)
    std::cout << All.dump(2) << "\n";
  else
    printTable(
        {"CUSTOMER", "VERSION", "RPS", "CONCURRENCY", "PRIORITY", "WEIGHT"},
        Rows);
  return true;
}

static result<bool> diffContract(command_context &Context) {
  if (Context.Arguments.size() != 2)
    return fail(error_code::Invalid, "usage: contract diff FILE");
  const std::string Text = TRY(readFile(Context.Arguments[1]));
  const contract Ours = TRY(parseContract(Text));
  platform_client Client(Context.Platform);
  const item Item = TRY(Client.get(objectKey(kinds::Contract, Ours.Customer)));
  const contract Theirs = TRY(parseContract(Item.Value));
  const json Left = json::parse(formatContract(Ours));
  const json Right = json::parse(formatContract(Theirs));
  std::vector<table_row> Rows;
  for (const auto &[Field, Value] : Left.items())
    if (Right[Field] != Value)
      Rows.push_back({Field, Right[Field].dump(), Value.dump()});
  if (Rows.empty())
    std::cout << "no difference from version " << Item.Version << "\n";
  else
    printTable({"FIELD", "IN FORCE", "FILE"}, Rows);
  return true;
}

result<bool> runContract(command_context &Context) {
  const std::string Action =
      Context.Arguments.empty() ? "" : Context.Arguments[0];
  if (Action == "apply")
    return applyContract(Context);
  if (Action == "delete")
    return deleteContract(Context);
  if (Action == "get")
    return getContract(Context);
  if (Action == "list")
    return listContracts(Context);
  if (Action == "diff")
    return diffContract(Context);
  return fail(error_code::Invalid,
              "usage: contract apply|get|list|diff|delete ...");
}

} // namespace amaranthhoist
