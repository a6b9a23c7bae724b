#include "status.h"

#include "quota_link.h"

#include <map>
#include <nlohmann/json.hpp>

namespace amaranthhoist {

using ordered_json = nlohmann::ordered_json;

static std::int64_t inMilliseconds(duration Time) {
  return Time.count() / 1'000;
}

static std::string stateOf(const target_directory &Directory,
                           const target &Target, instant Now) {
  if (Target.Entry.IsDraining)
    return "leaving";
  if (Directory.EvacuatedDomains.contains(Target.Entry.FailureDomain))
    return "evacuated";
  if (Now < Target.BackoffUntil)
    return "resting";
  if (Target.EjectionTime > duration::zero())
    return "ejected";
  if (Target.IsMissing)
    return "missing_from_list";
  return Now < Target.ColdUntil ? "cold" : "ready";
}

/// Accounts shown with their limits.
static constexpr std::size_t MaxAccounts = 20;

static ordered_json encodeLimits(const quota_link &Quotas) {
  ordered_json Accounts = ordered_json::array();
  for (const quota_view &View : Quotas.busiest(MaxAccounts))
    Accounts.push_back({{"account", View.Account},
                        {"limit", View.Limit.RequestsPerSecond},
                        {"burst", View.Limit.Burst},
                        {"demand_here", View.Demand},
                        {"tokens", View.Tokens},
                        {"pools", View.Pools}});
  return Accounts;
}

std::string encodeStatus(const node &Node, const store_sync &Store) {
  const instant Now = Node.Loop.now();
  const target_directory &Directory = Node.Steering.Targets;
  std::map<std::string, std::map<std::string, int>> States;
  std::int64_t Usable = 0;
  for (const auto &[Id, Target] : Directory.ById) {
    ++States[Target->Entry.Service][stateOf(Directory, *Target, Now)];
    Usable += isUsable(Directory, *Target, Now) ? 1 : 0;
  }
  const auto &Down = downMembers(Node.Fleet.Membership);
  const store_status View = Store.status();
  const auto &Routes = Node.Steering.Routes;
  return ordered_json{
      {"instance", Node.Settings.Instance},
      {"ready", Node.isReady()},
      {"leaving", Node.IsShuttingDown},
      {"version", configurationVersion(Node)},
      {"version_age_ms", inMilliseconds(View.ConfigurationAge)},
      {"learns_from", View.Source},
      {"role", View.Role},
      {"state_age_ms", inMilliseconds(View.Age)},
      {"store_silent", View.IsStoreUnresponsive},
      {"list_sure", View.ListIsSure},
      {"servers", Directory.ById.size()},
      {"servers_usable", Usable},
      {"servers_unreachable", hasImpairedService(Node.Steering.Reachability)},
      {"quarantined", countQuarantined(Node.Steering.Quarantine)},
      {"services", States},
      {"unsent_bytes", Node.ResponseMemory.UsedBytes},
      {"accounts", Routes ? Routes->Accounts.Accounts.size() : 0},
      {"pools_coordinated", Node.Quotas->poolsInUse()},
      {"limits", encodeLimits(*Node.Quotas)},
      {"evacuated", std::vector<std::string>(Directory.EvacuatedDomains.begin(),
                                             Directory.EvacuatedDomains.end())},
      {"peers", Node.Fleet.Members.size()},
      {"peers_down", Down.size()}}
      .dump();
}

} // namespace amaranthhoist
