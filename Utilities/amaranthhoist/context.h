/// What the commands of the command line share.
#pragma once

#include "Objects/objects.h"
#include "Platform/platform.h"
#include "Protocol/protocol.h"
#include "Rpc/rpc.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace amaranthhoist {

enum class output_format : std::uint8_t { Table, Json };

/// Addresses, options and words of one command.
struct command_context {
  std::string Platform;
  std::vector<std::string> Controls;
  output_format Output = output_format::Table;
  /// Words after the command's name.
  std::vector<std::string> Words;
  /// Wait until in force everywhere.
  bool Wait = false;
  std::int64_t WaitMs = 10'000;
  /// Version the operator's change is based on; -1: the current one.
  std::int64_t Base = -1;
  /// Do it though it doesn't fit.
  bool Force = false;
  /// Log files to read; none: standard input.
  std::vector<std::string> Logs;
};

/// One row of a table, by column.
using table_row = std::vector<std::string>;

/// Prints aligned columns.
void printTable(const table_row &Head, const std::vector<table_row> &Rows);

/// Reads a whole file; "-" is standard input.
result<std::string> readFile(const std::string &Name);

/// A control that answers, and what it says of itself.
struct control_status {
  std::string Address;
  nlohmann::ordered_json Status;
};

/// Calls to controls and gateways, blocking.
class fleet_client {
public:
  explicit fleet_client(std::vector<std::string> Controls)
      : Controls(std::move(Controls)) {}

  /// The status of the first control that answers. Unavailable: none does.
  result<nlohmann::ordered_json> status();
  /// The daemons of \p Kind that the fleet knows: instance and address.
  struct member {
    std::string Instance;
    std::string Region;
    std::string Address;
    bool Up = false;
  };
  result<std::vector<member>> members(const std::string &Kind);
  result<nlohmann::ordered_json> gatewayStatus(const std::string &Address);
  /// The version of \p Key held by the control at \p Address; 0: none.
  result<std::int64_t> heldVersion(const std::string &Address,
                                   const std::string &Key);
  /// Hands an accepted item to controls; returns how many took it.
  std::size_t announce(const item &Item);

private:
  result<nlohmann::ordered_json> controlStatus(const std::string &Address);

  std::vector<std::string> Controls;
  rpc_loop Loop;
};

/// Writes an object, and hands it to the fleet once the platform has accepted
/// it. A conflict's message holds the difference.
result<std::int64_t> writeObject(const command_context &Context,
                                 fleet_client &Fleet, const std::string &Key,
                                 const std::string &Value, bool Deleted);

/// Waits until every live control holds \p Version of \p Key; returns the
/// instances that lag.
result<std::vector<std::string>> waitInForce(const command_context &Context,
                                             fleet_client &Fleet,
                                             const std::string &Key,
                                             std::int64_t Version);

// Commands; each prints its result.
result<bool> runContract(command_context &Context);
result<bool> runDrain(command_context &Context);
result<bool> runSite(command_context &Context);
result<bool> runTarget(command_context &Context);
result<bool> runInstance(command_context &Context);
result<bool> runExplain(command_context &Context);
result<bool> runSettings(command_context &Context);
result<bool> runStatus(command_context &Context);

/// Tells the story of the request that Context names, from logs.
result<bool> explainRequest(const command_context &Context);

} // namespace amaranthhoist
