#include "Objects/objects.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace amaranthhoist {

using json = nlohmann::ordered_json;

std::string objectKey(std::string_view Kind, std::string_view Name) {
  return std::string(Kind) + "/" + std::string(Name);
}

object_name splitKey(std::string_view Key) {
  const std::size_t Slash = Key.find('/');
  if (Slash == std::string_view::npos)
    return {std::string(Key), {}};
  return {std::string(Key.substr(0, Slash)),
          std::string(Key.substr(Slash + 1))};
}

/// Objects are written by this program and by operators' tools; an object of
/// unexpected shape gives an error value, never an exception.
template <typename T, typename Reader>
static result<T> parseObject(std::string_view Text, const char *What,
                             Reader Read) {
  const json Document = json::parse(Text, nullptr, false);
  if (!Document.is_object())
    return fail(error_code::Invalid, std::string(What) + ": not an object");
  try {
    return Read(Document);
  } catch (const json::exception &Exception) {
    return fail(error_code::Invalid,
                std::string(What) + ": " + Exception.what());
  }
}

std::string formatDaemon(const daemon_record &Record) {
  const json Document = {{"instance", Record.Instance},
                         {"region", Record.Region},
                         {"failure_domain", Record.FailureDomain},
                         {"address", Record.Address},
                         {"sites", Record.Sites},
                         {"operation_id", Record.OperationId}};
  return Document.dump();
}

result<daemon_record> parseDaemon(std::string_view Json) {
  return parseObject<daemon_record>(Json, "daemon", [](const json &Document) {
    daemon_record Record;
    Record.Instance = Document.at("instance").get<std::string>();
    Record.Region = Document.at("region").get<std::string>();
    Record.FailureDomain = Document.at("failure_domain").get<std::string>();
    Record.Address = Document.at("address").get<std::string>();
    Record.Sites = Document.value("sites", std::vector<std::string>());
    Record.OperationId = Document.value("operation_id", std::string());
    return Record;
  });
}

std::string formatSite(const site_settings &Site) {
  const json Document = {{"name", Site.Name},
                         {"region", Site.Region},
                         {"failure_domain", Site.FailureDomain},
                         {"cap_mw", Site.CapMilliwatts},
                         {"idle_mw", Site.IdleMilliwatts},
                         {"guard_mw", Site.GuardMilliwatts},
                         {"slot_mw", Site.SlotMilliwatts},
                         {"link_limits", Site.LinkLimits}};
  return Document.dump();
}

result<site_settings> parseSite(std::string_view Json) {
  return parseObject<site_settings>(Json, "site", [](const json &Document) {
    site_settings Site;
    Site.Name = Document.at("name").get<std::string>();
    Site.Region = Document.at("region").get<std::string>();
    Site.FailureDomain = Document.at("failure_domain").get<std::string>();
    Site.CapMilliwatts = Document.at("cap_mw").get<std::int64_t>();
    Site.IdleMilliwatts = Document.at("idle_mw").get<std::int64_t>();
    Site.GuardMilliwatts = Document.value("guard_mw", std::int64_t(0));
    Site.SlotMilliwatts = Document.at("slot_mw").get<amounts>();
    Site.LinkLimits = Document.value("link_limits", amounts());
    return Site;
  });
}

std::string formatTarget(const target_settings &Target) {
  const json Document = {
      {"name", Target.Name},       {"site", Target.Site},
      {"service", Target.Service}, {"address", Target.Address},
      {"slots", Target.Slots},     {"leaving", Target.Draining}};
  return Document.dump();
}

result<target_settings> parseTarget(std::string_view Json) {
  return parseObject<target_settings>(Json, "target", [](const json &Document) {
    target_settings Target;
    Target.Name = Document.at("name").get<std::string>();
    Target.Site = Document.at("site").get<std::string>();
    Target.Service = Document.at("service").get<std::string>();
    Target.Address = Document.at("address").get<std::string>();
    Target.Slots = Document.at("slots").get<std::int64_t>();
    Target.Draining = Document.value("leaving", false);
    return Target;
  });
}

std::string formatPool(const pool_record &Record) {
  return json{{"shares", Record.Shares}}.dump();
}

result<pool_record> parsePool(std::string_view Json, std::int64_t Version) {
  return parseObject<pool_record>(Json, "pool", [&](const json &Document) {
    pool_record Record;
    Record.Version = Version;
    Record.Shares = Document.at("shares").get<std::map<std::string, amounts>>();
    return Record;
  });
}

static const char *nameOf(drain_subject Subject) {
  switch (Subject) {
  case drain_subject::Target:
    return "target";
  case drain_subject::Site:
    return "site";
  case drain_subject::Instance:
    return "instance";
  }
  return "target";
}

std::string formatDrain(const drain_record &Drain) {
  return json{{"subject", nameOf(Drain.Subject)}, {"name", Drain.Name}}.dump();
}

result<drain_record> parseDrain(std::string_view Json) {
  auto Subject =
      parseObject<std::string>(Json, "drain", [](const json &Document) {
        return Document.at("subject").get<std::string>();
      });
  auto Name = parseObject<std::string>(Json, "drain", [](const json &Document) {
    return Document.at("name").get<std::string>();
  });
  drain_record Drain;
  const std::string Kind = TRY(std::move(Subject));
  Drain.Name = TRY(std::move(Name));
  for (const auto Candidate :
       {drain_subject::Target, drain_subject::Site, drain_subject::Instance}) {
    if (Kind != nameOf(Candidate))
      continue;
    Drain.Subject = Candidate;
    return Drain;
  }
  return fail(error_code::Invalid,
              "drain: subject must be target, site or instance");
}

std::string gatewayNodeId(std::string_view Instance, std::string_view Site,
                          std::int64_t Incarnation) {
  return std::string(Instance) + "/" + std::string(Site) + "#" +
         std::to_string(Incarnation);
}

std::optional<gateway_node_name> splitNodeId(std::string_view Id) {
  const std::size_t Slash = Id.find('/');
  const std::size_t Hash = Id.rfind('#');
  if (Slash == std::string_view::npos || Hash == std::string_view::npos ||
      Hash < Slash)
    return std::nullopt;
  gateway_node_name Name;
  Name.Instance = std::string(Id.substr(0, Slash));
  Name.Site = std::string(Id.substr(Slash + 1, Hash - Slash - 1));
  const std::string Number(Id.substr(Hash + 1));
  if (!absl::SimpleAtoi(Number, &Name.Incarnation))
    return std::nullopt;
  return Name;
}

void updateView(object_view &View, std::span<const item> Items) {
  for (const item &Item : Items) {
    item &Current = View.Items[Item.Key];
    if (Item.Version > Current.Version)
      Current = Item;
  }
}

std::vector<const item *> itemsOf(const object_view &View,
                                  std::string_view Kind) {
  const std::string Prefix = objectKey(Kind, "");
  std::vector<const item *> Items;
  for (auto Entry = View.Items.lower_bound(Prefix);
       Entry != View.Items.end() && Entry->first.starts_with(Prefix); ++Entry)
    if (!Entry->second.Deleted)
      Items.push_back(&Entry->second);
  return Items;
}

bool isProvedDead(const object_view &View, std::string_view NodeId) {
  const auto Name = splitNodeId(NodeId);
  if (!Name)
    return false;
  auto Found = View.Items.find(objectKey(kinds::Gateway, Name->Instance));
  if (Found == View.Items.end())
    return false;
  return Found->second.Version > Name->Incarnation;
}

active_drains activeDrains(const object_view &View) {
  active_drains Drains;
  for (const item *Item : itemsOf(View, kinds::Drain)) {
    const result<drain_record> Drain = parseDrain(Item->Value);
    if (!Drain)
      continue;
    if (Drain->Subject == drain_subject::Target)
      Drains.Targets.push_back(Drain->Name);
    else if (Drain->Subject == drain_subject::Site)
      Drains.Sites.push_back(Drain->Name);
    else
      Drains.Instances.push_back(Drain->Name);
  }
  return Drains;
}

} // namespace amaranthhoist
