/// Runs one seed of the soak: a fleet of nodes with stand-ins and callers, the
/// faults of a schedule, and the verdict.
#pragma once

#include "deadly_request.h"
#include "link_proxy.h"
#include "node_fleet.h"
#include "schedule.h"
#include "soak_caller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranthhoist {

struct soak_size {
  std::size_t Nodes = 4;
  std::size_t Servers = 6;
  std::size_t Callers = 16;
  /// Requests carry the API keys of client accounts, some of them wrong.
  bool HasAccounts = false;
};

struct soak_result {
  std::vector<fault> Faults;
  std::size_t Attempts = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
  /// Violated guarantees, one sentence each.
  std::vector<std::string> Broken;
  /// Directory with the nodes' logs; empty if they were removed.
  std::string Folder;
};

class soak_run {
public:
  soak_run(std::string Program, std::uint64_t Seed, const soak_size &Size);

  /// \p KeepLogs keeps the nodes' logs if a guarantee was violated.
  soak_result run(const schedule_limits &Limits, bool KeepLogs);

private:
  struct server {
    std::string Id;
    std::string Domain;
    std::unique_ptr<link_proxy> Link;
  };

  void build(const soak_size &Size);
  void addAccounts();
  void checkAccounts(std::vector<std::string> &Broken);
  void addServer(const std::string &Domain);
  void begin(const fault &Fault);
  void beginAtNode(const fault &Fault);
  void beginAtStore(const fault &Fault);
  void beginRestore(duration CopyAge);
  void beginAtStoreLink(const fault &Fault);
  void beginAtServer(const fault &Fault);
  void beginAtServerLink(const fault &Fault);
  void beginChange(const fault &Fault);
  void beginServerSignal(const fault &Fault);
  void beginBackoff(target_stand_in &Target, duration For);
  void restartAfterCrash(server &Server);
  void restart(node_process &Node);
  /// Returns true if the process received SIGTERM and still runs.
  bool isTerminating(node_process &Node);
  void drain(server &Server, duration For);
  void endFaults();
  bool waitUntilSettled();
  void stopCallers();
  void checkAfterFaults(std::vector<std::string> &Broken);
  target_stand_in &standIn(const server &Server);
  void checkServerSignals(std::vector<std::string> &Broken);
  node_process &chooseNode();

  std::mt19937_64 Random;
  node_fleet Fleet;
  std::vector<std::unique_ptr<link_proxy>> StoreLinks;
  std::vector<std::unique_ptr<server>> Servers;
  std::vector<std::unique_ptr<soak_caller>> Callers;
  deadly_request Deadly{Fleet,
                        [this]() -> node_process & { return chooseNode(); }};
  /// Requests that reached servers in backoff, counted from half a second after
  /// they first requested it.
  std::vector<int> RequestsDuringBackoff;
  /// Faults of node processes (kill, terminate, pause).
  std::size_t ProcessFaults = 0;
  /// Ids of drained servers.
  std::vector<std::string> Drained;
  /// Processes that received SIGTERM, by node.
  std::map<const node_process *, pid_t> Terminating;
  int Version = 1;
  bool HasAccounts = false;
};

} // namespace amaranthhoist
