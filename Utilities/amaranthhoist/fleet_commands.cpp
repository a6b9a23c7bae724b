#include "context.h"

#include <iostream>
#include <map>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

/// Load and free capacity of one site, summed over its gateways.
struct site_summary {
  std::string Region;
  std::int64_t CapMw = 0;
  std::int64_t IdleMw = 0;
  std::int64_t UsedMw = 0;
  std::int64_t AvailableMw = 0;
  std::int64_t InProgress = 0;
  std::int64_t Gateways = 0;
  bool Draining = false;
  /// Busy and free slots by service.
  std::map<std::string, std::int64_t> Busy;
  std::map<std::string, std::int64_t> Free;
};

static void addTargets(const json &Node, site_summary &Site) {
  if (!Node.contains("targets"))
    return;
  for (const auto &[Name, Target] : Node["targets"].items()) {
    const std::string Service = Target["service"].get<std::string>();
    Site.Busy[Service] += Target["in_flight"].get<std::int64_t>();
    const std::string Resource = slotResource(Name);
    if (!Target["leaving"].get<bool>() && Node.contains("budget") &&
        Node["budget"].contains(Resource))
      Site.Free[Service] +=
          Node["budget"][Resource]["available"].get<std::int64_t>();
  }
}

static void addNode(const json &Node,
                    std::map<std::string, site_summary> &Sites) {
  site_summary &Site = Sites[Node["site"].get<std::string>()];
  Site.Region = Node["region"].get<std::string>();
  Site.CapMw = Node["cap_mw"].get<std::int64_t>();
  Site.IdleMw = Node["idle_mw"].get<std::int64_t>();
  Site.InProgress += Node["in_progress"].get<std::int64_t>();
  Site.Draining = Site.Draining || Node["draining"].get<bool>();
  ++Site.Gateways;
  if (Node.contains("budget") && Node["budget"].contains(PowerResource)) {
    Site.UsedMw += Node["budget"][PowerResource]["used"].get<std::int64_t>();
    Site.AvailableMw +=
        Node["budget"][PowerResource]["available"].get<std::int64_t>();
  }
  addTargets(Node, Site);
}

/// Polls all gateways. Adds those that do not respond to \p Unreachable.
static result<std::map<std::string, site_summary>>
summarize(fleet_client &Fleet, std::vector<std::string> &Unreachable) {
  std::map<std::string, site_summary> Sites;
  for (const auto &Gateway : TRY(Fleet.members(kinds::Gateway))) {
    const auto Status = Fleet.gatewayStatus(Gateway.Address);
    if (!Status || !Status->contains("nodes")) {
      Unreachable.push_back(Gateway.Instance);
      continue;
    }
    for (const json &Node : (*Status)["nodes"])
      addNode(Node, Sites);
  }
  return Sites;
}

static std::string watts(std::int64_t Milliwatts) {
  return std::to_string(Milliwatts / 1000) + "." +
         std::to_string(Milliwatts % 1000 / 100);
}

static void printSites(const command_context &Context,
                       const std::map<std::string, site_summary> &Sites,
                       const std::vector<std::string> &Unreachable) {
  json All = {{"sites", json::array()}, {"silent_gateways", Unreachable}};
  std::vector<table_row> Rows;
  for (const auto &[Name, Site] : Sites) {
    const std::int64_t Draw = Site.IdleMw + Site.UsedMw;
    All["sites"].push_back({{"site", Name},
                            {"region", Site.Region},
                            {"draw_mw", Draw},
                            {"cap_mw", Site.CapMw},
                            {"headroom_mw", Site.AvailableMw},
                            {"in_progress", Site.InProgress},
                            {"gateways", Site.Gateways},
                            {"draining", Site.Draining},
                            {"busy_slots", Site.Busy},
                            {"free_slots", Site.Free}});
    Rows.push_back({Name, Site.Region, watts(Draw), watts(Site.CapMw),
                    watts(Site.AvailableMw), std::to_string(Site.InProgress),
                    std::to_string(Site.Gateways),
                    Site.Draining ? "draining" : "serving"});
  }
  if (Context.Output == output_format::Json) {
    std::cout << All.dump(2) << "\n";
    return;
  }
  printTable({"SITE", "REGION", "DRAW W", "CAP W", "HEADROOM W", "IN PROGRESS",
              "GATEWAYS", "STATE"},
             Rows);
  for (const std::string &Instance : Unreachable)
    std::cout << "no response from gateway " << Instance
              << ": its share is missing from the table above\n";
}

result<bool> runSite(command_context &Context) {
  const std::string Action =
      Context.Arguments.empty() ? "" : Context.Arguments[0];
  fleet_client Fleet(Context.Controls);
  if (Action == "status") {
    std::vector<std::string> Unreachable;
    const auto Sites = TRY(summarize(Fleet, Unreachable));
    printSites(Context, Sites, Unreachable);
    return true;
  }
  if (Action == "apply" && Context.Arguments.size() == 2) {
    const std::string Text = TRY(readFile(Context.Arguments[1]));
    const site_settings Site = TRY(parseSite(Text));
    const std::string Key = objectKey(kinds::Site, Site.Name);
    const std::int64_t Version =
        TRY(writeObject(Context, Fleet, Key, formatSite(Site), false));
    std::cout << Key << " accepted as version " << Version << "\n";
    return true;
  }
  return fail(error_code::Invalid, "usage: site status | site apply FILE");
}

result<bool> runTarget(command_context &Context) {
  if (Context.Arguments.size() != 2 || Context.Arguments[0] != "apply")
    return fail(error_code::Invalid, "usage: target apply FILE");
  fleet_client Fleet(Context.Controls);
  const std::string Text = TRY(readFile(Context.Arguments[1]));
  const target_settings Target = TRY(parseTarget(Text));
  const std::string Key = objectKey(kinds::Target, Target.Name);
  const std::int64_t Version =
      TRY(writeObject(Context, Fleet, Key, formatTarget(Target), false));
  std::cout << Key << " accepted as version " << Version << "\n";
  return true;
}

result<bool> runInstance(command_context &Context) {
  if (Context.Arguments.empty() || Context.Arguments[0] != "status")
    return fail(error_code::Invalid, "usage: instance status");
  fleet_client Fleet(Context.Controls);
  const json Status = TRY(Fleet.status());
  if (Context.Output == output_format::Json) {
    std::cout << Status.dump(2) << "\n";
    return true;
  }
  std::vector<table_row> Rows;
  if (Status.contains("members"))
    for (const json &Member : Status["members"]) {
      const object_name Name = splitKey(Member.value("key", ""));
      Rows.push_back({Name.Name, Name.Kind, Member.value("region", ""),
                      Member.value("failure_domain", ""),
                      Member.value("address", ""),
                      Member.value("up", false) ? "up" : "suspected"});
    }
  printTable(
      {"INSTANCE", "DAEMON", "REGION", "FAILURE DOMAIN", "ADDRESS", "STATE"},
      Rows);
  return true;
}

/// Compares the busy slots of the drained site with the free slots of all other
/// sites that are not draining. Returns one line per service that lacks slots.
static std::vector<std::string>
findShortfall(const std::map<std::string, site_summary> &Sites,
              const std::string &Drained) {
  std::vector<std::string> Short;
  auto DrainedSite = Sites.find(Drained);
  if (DrainedSite == Sites.end())
    return Short;
  for (const auto &[Service, Busy] : DrainedSite->second.Busy) {
    std::int64_t Free = 0;
    for (const auto &[Name, Site] : Sites) {
      auto Found = Site.Free.find(Service);
      if (Name != Drained && !Site.Draining && Found != Site.Free.end())
        Free += Found->second;
    }
    if (Busy > Free)
      Short.push_back(Service + ": " + std::to_string(Busy) +
                      " slots in use at this site, " + std::to_string(Free) +
                      " free at other sites, short by " +
                      std::to_string(Busy - Free));
  }
  return Short;
}

static result<drain_record> parseSubject(const command_context &Context) {
  if (Context.Arguments.size() != 3)
    return fail(error_code::Invalid,
                "usage: drain start|cancel target|site|instance NAME");
  const json Document = {{"subject", Context.Arguments[1]},
                         {"name", Context.Arguments[2]}};
  return parseDrain(Document.dump());
}

static std::string drainKey(const command_context &Context) {
  return objectKey(kinds::Drain,
                   Context.Arguments[1] + "-" + Context.Arguments[2]);
}

static result<bool> startDrain(command_context &Context) {
  const drain_record Drain = TRY(parseSubject(Context));
  fleet_client Fleet(Context.Controls);
  if (Drain.Subject == drain_subject::Site) {
    std::vector<std::string> Unreachable;
    const auto Sites = TRY(summarize(Fleet, Unreachable));
    const std::vector<std::string> Short = findShortfall(Sites, Drain.Name);
    for (const std::string &Line : Short)
      std::cerr << "insufficient capacity: " << Line << "\n";
    if (!Short.empty() && !Context.Force)
      return fail(error_code::Conflict,
                  "drain not started; --force starts it anyway, and requests "
                  "beyond the remaining capacity are refused");
  }
  const std::int64_t Version = TRY(writeObject(
      Context, Fleet, drainKey(Context), formatDrain(Drain), false));
  std::cout << drainKey(Context) << " accepted as version " << Version << "\n";
  return true;
}

/// Counts the requests in progress on the subject of \p Drain.
static std::int64_t countDrainingWork(const drain_record &Drain,
                                      const std::vector<json> &Statuses) {
  std::int64_t Count = 0;
  for (const json &Status : Statuses) {
    for (const json &Node : Status["nodes"]) {
      const bool WholeNode = (Drain.Subject == drain_subject::Site &&
                              Node["site"] == Drain.Name) ||
                             (Drain.Subject == drain_subject::Instance &&
                              Status["instance"] == Drain.Name);
      if (WholeNode)
        Count += Node["in_progress"].get<std::int64_t>();
      else if (Drain.Subject == drain_subject::Target &&
               Node.contains("targets") && Node["targets"].contains(Drain.Name))
        Count += Node["targets"][Drain.Name]["in_flight"].get<std::int64_t>();
    }
  }
  return Count;
}

static result<bool> drainStatus(command_context &Context) {
  fleet_client Fleet(Context.Controls);
  platform_client Client(Context.Platform);
  const std::vector<item> Items = TRY(Client.list(kinds::Drain));
  std::vector<json> Statuses;
  for (const auto &Gateway : TRY(Fleet.members(kinds::Gateway)))
    if (auto Status = Fleet.gatewayStatus(Gateway.Address);
        Status && Status->contains("nodes"))
      Statuses.push_back(*Status);
  json All = json::array();
  std::vector<table_row> Rows;
  for (const item &Item : Items) {
    const result<drain_record> Drain = parseDrain(Item.Value);
    if (!Drain)
      continue;
    const std::int64_t Left = countDrainingWork(*Drain, Statuses);
    All.push_back({{"drain", splitKey(Item.Key).Name},
                   {"in_progress", Left},
                   {"drained", Left == 0}});
    Rows.push_back({splitKey(Item.Key).Name, std::to_string(Left),
                    Left == 0 ? "drained" : "waiting for work to finish"});
  }
  if (Context.Output == output_format::Json)
    std::cout << All.dump(2) << "\n";
  else
    printTable({"DRAIN", "IN PROGRESS", "STATE"}, Rows);
  return true;
}

result<bool> runDrain(command_context &Context) {
  const std::string Action =
      Context.Arguments.empty() ? "" : Context.Arguments[0];
  if (Action == "start")
    return startDrain(Context);
  if (Action == "status")
    return drainStatus(Context);
  if (Action == "cancel") {
    TRY(parseSubject(Context));
    fleet_client Fleet(Context.Controls);
    const std::int64_t Version =
        TRY(writeObject(Context, Fleet, drainKey(Context), "", true));
    std::cout << drainKey(Context) << " ended as version " << Version << "\n";
    return true;
  }
  return fail(error_code::Invalid, "usage: drain start|status|cancel ...");
}

result<bool> runExplain(command_context &Context) {
  if (Context.Arguments.size() == 1)
    return explainRequest(Context);
  if (Context.Arguments.size() != 2)
    return fail(error_code::Invalid,
                "usage: explain REQUEST, or explain CUSTOMER SERVICE");
  fleet_client Fleet(Context.Controls);
  for (const auto &Entry : TRY(Fleet.members(kinds::Entry))) {
    http_client Client;
    http_call Call;
    Call.Url = "http://" + Entry.Address +
               "/v1/explain?customer=" + Context.Arguments[0] +
               "&service=" + Context.Arguments[1];
    Call.TimeoutMs = 2'000;
    const http_call_result Result = Client.call(Call);
    if (Result.End != call_end::Complete || Result.Status != 200)
      continue;
    const json Document = json::parse(Result.Body, nullptr, false);
    std::cout << "# current view of the entry of " << Entry.Instance << "\n"
              << Document.dump(2) << "\n";
    return true;
  }
  return fail(error_code::Unavailable, "no entry responded");
}

} // namespace amaranthhoist
