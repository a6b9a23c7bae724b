/// Types and helpers shared by the commands of the command line.
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

/// Addresses, options and positional arguments of one command.
struct command_context {
  std::string Platform;
  std::vector<std::string> Controls;
  output_format Output = output_format::Table;
  /// Positional arguments after the command's name.
  std::vector<std::string> Arguments;
  /// Wait until the change is in force at every control.
  bool Wait = false;
  std::int64_t WaitMs = 10'000;
  /// Version that the operator's change is based on; -1: the current version.
  std::int64_t Base = -1;
  /// Start a drain even if the remaining capacity does not suffice.
  bool Force = false;
  /// Log files to read; if empty, standard input is read.
  std::vector<std::string> Logs;
};

/// The cells of one table row, in column order.
using table_row = std::vector<std::string>;

/// Prints a table with aligned columns to standard output.
void printTable(const table_row &Head, const std::vector<table_row> &Rows);

/// Reads a whole file; the name "-" reads standard input.
result<std::string> readFile(const std::string &Name);

/// A control that responded, and its status document.
struct control_status {
  std::string Address;
  nlohmann::ordered_json Status;
};

/// Blocking RPC client for controls and gateways.
class fleet_client {
public:
  explicit fleet_client(std::vector<std::string> Controls)
      : Controls(std::move(Controls)) {}

  /// Returns the status of the first control that responds. Fails with
  /// Unavailable if no control responds.
  result<nlohmann::ordered_json> status();
  /// A daemon in the membership list of the fleet.
  struct member {
    std::string Instance;
    std::string Region;
    std::string Address;
    bool Up = false;
  };
  /// Returns the daemons of \p Kind in the membership list.
  result<std::vector<member>> members(const std::string &Kind);
  result<nlohmann::ordered_json> gatewayStatus(const std::string &Address);
  /// Returns the version of \p Key held by the control at \p Address; 0 if it
  /// holds none.
  result<std::int64_t> heldVersion(const std::string &Address,
                                   const std::string &Key);
  /// Sends an accepted item to controls. Returns how many acknowledged it.
  std::size_t announce(const item &Item);

private:
  result<nlohmann::ordered_json> controlStatus(const std::string &Address);

  std::vector<std::string> Controls;
  rpc_loop Loop;
};

/// Writes an object to the platform and, once it is accepted, announces it to
/// the fleet. On a conflict, the error message lists the differing fields.
result<std::int64_t> writeObject(const command_context &Context,
                                 fleet_client &Fleet, const std::string &Key,
                                 const std::string &Value, bool Deleted);

/// Waits until every control in the membership list holds \p Version of \p Key,
/// for at most Context.WaitMs. Returns the instances that still lag.
result<std::vector<std::string>> waitInForce(const command_context &Context,
                                             fleet_client &Fleet,
                                             const std::string &Key,
                                             std::int64_t Version);

// Command handlers. Each prints its result to standard output.
result<bool> runContract(command_context &Context);
result<bool> runDrain(command_context &Context);
result<bool> runSite(command_context &Context);
result<bool> runTarget(command_context &Context);
result<bool> runInstance(command_context &Context);
result<bool> runExplain(command_context &Context);
result<bool> runSettings(command_context &Context);
result<bool> runStatus(command_context &Context);

/// Prints the steps and causes of the request named in \p Context, read from
/// log files.
result<bool> explainRequest(const command_context &Context);

} // namespace amaranthhoist
