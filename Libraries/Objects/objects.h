/// Objects stored in the platform: their keys, their JSON format, and the state
/// derived from them.
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

/// Kinds of objects; the kind is the first part of a key.
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

/// A key, split into kind and name.
struct object_name {
  std::string Kind;
  std::string Name;
};
object_name splitKey(std::string_view Key);

/// Registration of a daemon. The version of the object is the incarnation of
/// the daemon: unique, and increasing with each start of an instance.
struct daemon_record {
  std::string Instance;
  std::string Region;
  std::string FailureDomain;
  /// `ip:port`.
  std::string Address;
  /// Sites that a gateway serves.
  std::vector<std::string> Sites;
  /// Identifies the writer of an object when the response to the write was
  /// lost.
  std::string OperationId;
};

std::string formatDaemon(const daemon_record &Record);
result<daemon_record> parseDaemon(std::string_view Json);

std::string formatSite(const site_settings &Site);
result<site_settings> parseSite(std::string_view Json);

std::string formatTarget(const target_settings &Target);
result<target_settings> parseTarget(std::string_view Json);

std::string formatPool(const pool_record &Record);
/// \p Version is the version of the object in the platform.
result<pool_record> parsePool(std::string_view Json, std::int64_t Version);

/// What an operator drains.
enum class drain_subject : std::uint8_t { Target, Site, Instance };

/// A planned drain; active while its object exists.
struct drain_record {
  drain_subject Subject = drain_subject::Target;
  std::string Name;
};

std::string formatDrain(const drain_record &Drain);
result<drain_record> parseDrain(std::string_view Json);

/// Formats the id of a gateway node.
std::string gatewayNodeId(std::string_view Instance, std::string_view Site,
                          std::int64_t Incarnation);

/// Parts of a gateway node's id.
struct gateway_node_name {
  std::string Instance;
  std::string Site;
  std::int64_t Incarnation = 0;
};
std::optional<gateway_node_name> splitNodeId(std::string_view Id);

/// A daemon's copy of all objects that concern it.
struct object_view {
  std::map<std::string, item> Items;
};

/// Applies items; older versions are ignored.
void updateView(object_view &View, std::span<const item> Items);

/// Returns the items of one kind that are not deleted.
std::vector<const item *> itemsOf(const object_view &View,
                                  std::string_view Kind);

/// Whether the process with this node id is proved to be no longer running: its
/// instance has registered a later incarnation, or its object was deleted. An
/// item older than the id proves nothing.
bool isProvedDead(const object_view &View, std::string_view NodeId);

/// The targets, sites and instances that operators are draining now.
struct active_drains {
  std::vector<std::string> Targets;
  std::vector<std::string> Sites;
  std::vector<std::string> Instances;
};
active_drains activeDrains(const object_view &View);

} // namespace amaranthhoist
