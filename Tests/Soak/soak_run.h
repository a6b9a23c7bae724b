/// One run of the soak: a fleet of nodes with stand-ins around it, callers, the
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
};

struct soak_result {
  std::vector<fault> Faults;
  std::size_t Attempts = 0;
  std::size_t Served = 0;
  std::size_t Refused = 0;
  /// Promises that were broken, a sentence each.
  std::vector<std::string> Broken;
  /// Where the nodes' logs were left, if so.
  std::string Folder;
};

class soak_run {
public:
  soak_run(std::string Program, std::uint64_t Seed, const soak_size &Size);

  /// \p KeepLogs leaves the nodes' logs behind when a promise was broken.
  soak_result run(const schedule_limits &Limits, bool KeepLogs);

private:
  struct server {
    std::string Id;
    std::string Domain;
    std::unique_ptr<link_proxy> Link;
  };

  void build(const soak_size &Size);
  void addServer(const std::string &Domain);
  void begin(const fault &Fault);
  void beginAtNode(const fault &Fault);
  void beginAtStore(const fault &Fault);
  void beginAtStoreLink(const fault &Fault);
  void beginAtServer(const fault &Fault);
  void beginAtServerLink(const fault &Fault);
  void beginChange(const fault &Fault);
  void beginOwnWord(const fault &Fault);
  void beginRest(target_stand_in &Target, duration For);
  void restartAfterCrash(server &Server);
  void restart(node_process &Node);
  /// Whether it was told to end and hasn't ended yet.
  bool isEnding(node_process &Node);
  void drain(server &Server, duration For);
  void heal();
  bool settle();
  void stopCallers();
  void checkAfterwards(std::vector<std::string> &Broken);
  target_stand_in &standIn(const server &Server);
  void checkOwnWords(std::vector<std::string> &Broken);
  node_process &chooseNode();

  std::mt19937_64 Random;
  node_fleet Fleet;
  std::vector<std::unique_ptr<link_proxy>> StoreLinks;
  std::vector<std::unique_ptr<server>> Servers;
  std::vector<std::unique_ptr<soak_caller>> Callers;
  deadly_request Deadly{Fleet,
                        [this]() -> node_process & { return chooseNode(); }};
  /// Requests at servers that rested, from half a second after they asked.
  std::vector<int> LateAtRest;
  /// Faults that a node's process has had.
  std::size_t ProcessFaults = 0;
  /// Ids of servers that left.
  std::vector<std::string> Drained;
  /// Processes that were told to end, by node.
  std::map<const node_process *, pid_t> ToldToEnd;
  int Version = 1;
};

} // namespace amaranthhoist
