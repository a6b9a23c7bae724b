/// The platform's objects: their keys, their JSON, and what follows from them.
#pragma once

#include "Contracts/contracts.h"
#include "Core/core.h"
#include "Gateway/gateway.h"
#include "Replica/replica.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranthhoist {

/// Kinds of object, the first part of a key.
namespace kinds {
inline constexpr const char *Contract = "contract";
inline constexpr const char *Site = "site";
inline constexpr const char *Target = "target";
inline constexpr const char *Pool = "pool";
inline constexpr const char *Drain = "drain";
inline constexpr const char *Entry = "entry";
inline constexpr const char *Gateway = "gateway";
inline constexpr const char *Control = "control";
} // namespace kinds

/// `<kind>/<name>`.
std::string objectKey(std::string_view Kind, std::string_view Name);

/// A key split into kind and name.
struct object_name {
  std::string Kind;
  std::string Name;
};
object_name splitKey(std::string_view Key);

/// A daemon as it registers itself. The version of the object is the daemon's
/// incarnation: unique, and rising with each start of an instance.
struct daemon_record {
  std::string Instance;
  std::string Region;
  std::string FailureDomain;
  /// `ip:port`.
  std::string Address;
  /// Sites a gateway serves.
  std::vector<std::string> Sites;
  /// Tells whose write an object is when the answer to it was lost.
  std::string OperationId;
};

std::string formatDaemon(const daemon_record &Record);
result<daemon_record> parseDaemon(std::string_view Json);

std::string formatSite(const site_settings &Site);
result<site_settings> parseSite(std::string_view Json);

std::string formatTarget(const target_settings &Target);
result<target_settings> parseTarget(std::string_view Json);

std::string formatPool(const pool_record &Record);
/// The version is the object's, handed in.
result<pool_record> parsePool(std::string_view Json, std::int64_t Version);

/// What an operator takes out of use.
enum class drain_subject : std::uint8_t { Target, Site, Instance };

/// A planned drain; in force while its object exists.
struct drain_record {
  drain_subject Subject = drain_subject::Target;
  std::string Name;
};

std::string formatDrain(const drain_record &Drain);
result<drain_record> parseDrain(std::string_view Json);

/// Id of a gateway node.
std::string gatewayNodeId(std::string_view Instance, std::string_view Site,
                          std::int64_t Incarnation);

/// Parts of a gateway node's id.
struct gateway_node_name {
  std::string Instance;
  std::string Site;
  std::int64_t Incarnation = 0;
};
std::optional<gateway_node_name> splitNodeId(std::string_view Id);

/// A daemon's view of all objects that concern it.
struct object_view {
  std::map<std::string, item> Items;
};

/// Takes in items; older versions change nothing.
void updateView(object_view &View, std::span<const item> Items);

/// The live items of one kind.
std::vector<const item *> itemsOf(const object_view &View,
                                  std::string_view Kind);

/// Whether it is proved that the process with this node id runs no more: its
/// instance has registered a later incarnation, or its object was deleted. An
/// item older than the id proves nothing.
bool isProvedDead(const object_view &View, std::string_view NodeId);

/// The sites, targets and instances that operators drain now.
struct drains_in_force {
  std::vector<std::string> Targets;
  std::vector<std::string> Sites;
  std::vector<std::string> Instances;
};
drains_in_force drainsOf(const object_view &View);

} // namespace amaranthhoist
