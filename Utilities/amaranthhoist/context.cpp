#include "context.h"

#include "Daemon/daemon.h"
#include "Timers/timers.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

static constexpr duration RpcTimeout = std::chrono::milliseconds(2'000);
static constexpr auto WaitStep = std::chrono::milliseconds(50);
/// Number of controls that should acknowledge a change that the platform has
/// accepted. With two, the change still spreads if one of them crashes
/// immediately and the platform becomes unreachable at the same time.
static constexpr std::size_t MinAnnouncedControls = 2;
/// Field that identifies the writer of an object, so that a write whose
/// response was lost can be recognized.
static constexpr const char *OperationField = "operation_id";

void printTable(const table_row &Head, const std::vector<table_row> &Rows) {
  std::vector<std::size_t> Widths(Head.size(), 0);
  const auto Widen = [&](const table_row &Row) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  };
  Widen(Head);
  for (const table_row &Row : Rows)
    Widen(Row);
  const auto Print = [&](const table_row &Row) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      std::cout << Row[Column];
      if (Column + 1 < Row.size())
        std::cout << std::string(Widths[Column] - Row[Column].size() + 2, ' ');
    }
    std::cout << "\n";
  };
  Print(Head);
  for (const table_row &Row : Rows)
    Print(Row);
}

result<std::string> readFile(const std::string &Name) {
  std::stringstream Text;
  if (Name == "-") {
    Text << std::cin.rdbuf();
    return Text.str();
  }
  std::ifstream Stream(Name);
  if (!Stream)
    return fail(error_code::NotFound, Name + ": cannot be read");
  Text << Stream.rdbuf();
  return Text.str();
}

/// Runs one RPC on the loop and blocks until it completes or times out.
template <typename Result, typename Make>
static result<Result> callBlocking(rpc_loop &Loop, const std::string &Address,
                                   Make MakeCall) {
  auto Reply = std::make_shared<std::promise<result<Result>>>();
  auto Future = Reply->get_future();
  Loop.run([&] {
    kj::Promise<Result> Call = MakeCall();
    Loop.keep(Loop.within(RpcTimeout, kj::mv(Call))
                  .then([Reply](Result Value) { Reply->set_value(Value); },
                        [Reply, Address](kj::Exception &&) {
                          Reply->set_value(fail(error_code::Unavailable,
                                                Address + ": no response"));
                        }));
  });
  return Future.get();
}

result<json> fleet_client::controlStatus(const std::string &Address) {
  auto Text = callBlocking<std::string>(Loop, Address, [&] {
    return Loop.peer<wire::Control>(Address).statusRequest().send().then(
        [](capnp::Response<wire::Control::StatusResults> Response) {
          return toString(Response.getJson());
        });
  });
  const std::string Json = TRY(std::move(Text));
  return json::parse(Json, nullptr, false);
}

result<json> fleet_client::status() {
  for (const std::string &Address : Controls)
    if (auto Status = controlStatus(Address))
      return Status;
  return fail(error_code::Unavailable,
              "no control responded; specify other addresses with --control");
}

result<std::vector<fleet_client::member>>
fleet_client::members(const std::string &Kind) {
  const json Status = TRY(status());
  std::vector<member> Members;
  if (!Status.contains("members"))
    return Members;
  for (const json &Entry : Status["members"]) {
    const object_name Name = splitKey(Entry.value("key", ""));
    if (Name.Kind == Kind)
      Members.push_back({Name.Name, Entry.value("region", ""),
                         Entry.value("address", ""), Entry.value("up", false)});
  }
  return Members;
}

result<json> fleet_client::gatewayStatus(const std::string &Address) {
  auto Text = callBlocking<std::string>(Loop, Address, [&] {
    return Loop.peer<wire::Gateway>(Address).statusRequest().send().then(
        [](capnp::Response<wire::Gateway::StatusResults> Response) {
          return toString(Response.getJson());
        });
  });
  const std::string Json = TRY(std::move(Text));
  return json::parse(Json, nullptr, false);
}

result<std::int64_t> fleet_client::heldVersion(const std::string &Address,
                                               const std::string &Key) {
  return callBlocking<std::int64_t>(Loop, Address, [&] {
    auto Request = Loop.peer<wire::Control>(Address).heldRequest();
    Request.initKeys(1).set(0, Key);
    return Request.send().then(
        [](capnp::Response<wire::Control::HeldResults> Response)
            -> std::int64_t {
          const auto Items = Response.getItems();
          return Items.size() == 0 ? 0 : Items[0].getVersion();
        });
  });
}

std::size_t fleet_client::announce(const item &Item) {
  std::vector<std::string> Addresses = Controls;
  if (const auto Members = members(kinds::Control))
    for (const member &Member : *Members)
      if (Member.Up)
        Addresses.push_back(Member.Address);
  std::size_t Announced = 0;
  for (const std::string &Address : Addresses) {
    if (Announced >= MinAnnouncedControls)
      break;
    const auto Done = callBlocking<bool>(Loop, Address, [&] {
      auto Request = Loop.peer<wire::Control>(Address).announceRequest();
      writeItems({&Item, 1}, Request.initItems(1));
      return Request.send().then(
          [](capnp::Response<wire::Control::AnnounceResults>) { return true; });
    });
    Announced += Done ? 1 : 0;
  }
  return Announced;
}

/// Lists the fields in which two JSON values differ, one per line.
static std::string describeDifference(const std::string &Ours,
                                      const std::string &Theirs) {
  const json Left = json::parse(Ours, nullptr, false);
  const json Right = json::parse(Theirs, nullptr, false);
  std::string Text;
  if (!Left.is_object() || !Right.is_object())
    return "  in force: " + Theirs + "\n  yours: " + Ours + "\n";
  for (const auto &[Field, Value] : Left.items())
    if (Field != OperationField &&
        (!Right.contains(Field) || Right[Field] != Value))
      Text += "  " + Field + ": in force " +
              (Right.contains(Field) ? Right[Field].dump() : "(none)") +
              ", yours " + Value.dump() + "\n";
  return Text.empty() ? "  (no difference)\n" : Text;
}

static std::string addOperationId(const std::string &Value,
                                  const std::string &Operation) {
  json Document = json::parse(Value, nullptr, false);
  if (!Document.is_object())
    return Value;
  Document[OperationField] = Operation;
  return Document.dump();
}

/// Called when the response to a write was lost. Reads the object back and
/// returns its version if it carries the ID of this operation.
static result<std::int64_t>
resolveUncertainWrite(platform_client &Client, const std::string &Key,
                      const std::string &Operation) {
  const item Item = TRY(Client.get(Key));
  const json Document = json::parse(Item.Value, nullptr, false);
  if (Document.is_object() && Document.value(OperationField, "") == Operation)
    return Item.Version;
  return fail(error_code::Uncertain,
              "the platform's answer was lost and the object in force is not "
              "this change; inspect it before retrying");
}

result<std::int64_t> writeObject(const command_context &Context,
                                 fleet_client &Fleet, const std::string &Key,
                                 const std::string &Value, bool Deleted) {
  platform_client Client(Context.Platform);
  const result<item> Current = Client.get(Key);
  if (!Current && Current.error().Code != error_code::NotFound)
    return tl::unexpected(Current.error());
  const std::int64_t CurrentVersion = Current ? Current->Version : 0;
  const std::int64_t Base = Context.Base >= 0 ? Context.Base : CurrentVersion;
  const std::string Operation = makeOperationId();
  const std::string ValueWithId =
      Deleted ? "" : addOperationId(Value, Operation);
  result<std::int64_t> Version =
      Deleted ? Client.remove(Key, Base) : Client.put(Key, ValueWithId, Base);
  if (!Version && Version.error().Code == error_code::Uncertain && !Deleted)
    Version = resolveUncertainWrite(Client, Key, Operation);
  if (!Version && Version.error().Code == error_code::Conflict) {
    const result<item> Theirs = Client.get(Key);
    return fail(error_code::Conflict,
                Key + " was changed by another writer since version " +
                    std::to_string(Base) + ":\n" +
                    (Theirs ? describeDifference(Value, Theirs->Value)
                            : "  it was deleted\n"));
  }
  const std::int64_t Accepted = TRY(std::move(Version));
  const std::size_t Announced =
      Fleet.announce({Key, Accepted, Deleted, ValueWithId});
  if (Announced < MinAnnouncedControls)
    std::cerr << "accepted as version " << Accepted << ", but only "
              << Announced
              << " controls acknowledged it; the others receive it through "
                 "their watch\n";
  return Accepted;
}

result<std::vector<std::string>> waitInForce(const command_context &Context,
                                             fleet_client &Fleet,
                                             const std::string &Key,
                                             std::int64_t Version) {
  const auto Controls = TRY(Fleet.members(kinds::Control));
  const instant Until =
      currentInstant() + std::chrono::milliseconds(Context.WaitMs);
  while (true) {
    std::vector<std::string> Lagging;
    for (const fleet_client::member &Control : Controls) {
      const auto Held = Fleet.heldVersion(Control.Address, Key);
      if (!Held || *Held < Version)
        Lagging.push_back(Control.Region + "/" + Control.Instance);
    }
    if (Lagging.empty() || currentInstant() >= Until)
      return Lagging;
    std::this_thread::sleep_for(WaitStep);
  }
}

} // namespace amaranthhoist
