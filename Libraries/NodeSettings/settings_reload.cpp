#include "NodeSettings/settings_reload.h"

#include "Text/text.h"

#include <cstdint>

namespace amaranthhoist {

/// When a changed value takes effect.
enum class setting_effect : std::uint8_t { Reload, Restart };

/// Calls \p Visit for each setting with its key, its effect and a function that
/// returns its field in a node_settings.
template <typename visitor> static void visitSettings(visitor Visit) {
  using enum setting_effect;
  // Identity and listening sockets: other processes rely on them.
  Visit(
      "instance", Restart, [](auto &S) -> auto & { return S.Instance; });
  Visit(
      "failure_domain", Restart,
      [](auto &S) -> auto & { return S.FailureDomain; });
  Visit(
      "region", Restart, [](auto &S) -> auto & { return S.Region; });
  Visit(
      "listen.callers", Restart,
      [](auto &S) -> auto & { return S.Listen.Callers; });
  Visit(
      "listen.readiness", Restart,
      [](auto &S) -> auto & { return S.Listen.Readiness; });
  Visit(
      "listen.lookups", Restart,
      [](auto &S) -> auto & { return S.Listen.Lookups; });
  Visit(
      "listen.peers", Restart,
      [](auto &S) -> auto & { return S.Listen.Peers; });
  Visit(
      "listen.control", Restart,
      [](auto &S) -> auto & { return S.Listen.Control; });
  Visit(
      "listen.metrics", Restart,
      [](auto &S) -> auto & { return S.Listen.Metrics; });
  // Snapshots for other instances are paced from the start by it.
  Visit(
      "limits.link_mbps", Restart,
      [](auto &S) -> auto & { return S.LinkMbps; });
  Visit(
      "log_level", Restart, [](auto &S) -> auto & { return S.LogLevel; });

  Visit(
      "failure_domains", Reload,
      [](auto &S) -> auto & { return S.FailureDomains; });
  Visit(
      "store", Reload, [](auto &S) -> auto & { return S.Store; });
  Visit(
      "seeds", Reload, [](auto &S) -> auto & { return S.Seeds; });
  Visit(
      "limits.processor", Reload, [](auto &S) -> auto & { return S.CpuShare; });
  Visit(
      "limits.memory_mb", Reload, [](auto &S) -> auto & { return S.MemoryMb; });
  Visit(
      "limits.file_descriptors", Reload,
      [](auto &S) -> auto & { return S.FileDescriptors; });
  Visit(
      "limits.request_memory_mb", Reload,
      [](auto &S) -> auto & { return S.RequestMemoryMb; });
  Visit(
      "limits.auxiliary_memory_mb", Reload,
      [](auto &S) -> auto & { return S.AuxiliaryMemoryMb; });
  Visit(
      "limits.requests_per_turn", Reload,
      [](auto &S) -> auto & { return S.RequestsPerTurn; });
  Visit(
      "placement.bulk_locality", Reload,
      [](auto &S) -> auto & { return S.BulkLocality; });
  Visit(
      "bounds.repeat_ratio", Reload,
      [](auto &S) -> auto & { return S.Bounds.RetryRatio; });
  Visit(
      "bounds.repeat_window", Reload,
      [](auto &S) -> auto & { return S.Bounds.RetryWindow; });
  Visit(
      "bounds.repeat_slack", Reload,
      [](auto &S) -> auto & { return S.Bounds.RetrySlack; });
  Visit(
      "bounds.quota_window", Reload,
      [](auto &S) -> auto & { return S.Bounds.QuotaWindow; });
  Visit(
      "bounds.quota_overshoot", Reload,
      [](auto &S) -> auto & { return S.Bounds.QuotaOvershoot; });
  Visit(
      "bounds.quota_slack", Reload,
      [](auto &S) -> auto & { return S.Bounds.QuotaSlack; });
  Visit(
      "bounds.strict_revocation", Reload,
      [](auto &S) -> auto & { return S.Bounds.RefusesUnconfirmedKeys; });
  Visit(
      "bounds.revocation", Reload,
      [](auto &S) -> auto & { return S.Bounds.RevocationTime; });
  Visit(
      "bounds.cold_overshoot", Reload,
      [](auto &S) -> auto & { return S.Bounds.ColdOvershoot; });
  Visit(
      "bounds.cold_slack", Reload,
      [](auto &S) -> auto & { return S.Bounds.ColdSlack; });
  Visit(
      "bounds.server_heartbeat", Reload,
      [](auto &S) -> auto & { return S.Bounds.ServerHeartbeat; });
  Visit(
      "bounds.grace_period", Reload,
      [](auto &S) -> auto & { return S.Bounds.GracePeriod; });
  Visit(
      "bounds.lookup_ttl", Reload,
      [](auto &S) -> auto & { return S.Bounds.LookupTimeToLive; });
}

static std::string inText(const std::string &Value) { return Value; }
static std::string inText(double Value) { return cat(Value); }
static std::string inText(std::int64_t Value) { return cat(Value); }
static std::string inText(bool Value) { return Value ? "true" : "false"; }
static std::string inText(duration Value) {
  return cat(static_cast<double>(Value.count()) / 1e3, "ms");
}
static std::string inText(const std::vector<std::string> &Values) {
  std::string Text;
  for (const std::string &Value : Values)
    append(Text, Text.empty() ? "" : ",", Value);
  return Text;
}
static std::string inText(const std::map<std::string, std::string> &Values) {
  std::string Text;
  for (const auto &[Name, Value] : Values)
    append(Text, Text.empty() ? "" : ",", Name, ":", Value);
  return Text;
}

settings_reload planReload(const node_settings &InForce,
                           const node_settings &InFile) {
  settings_reload Reload{InForce, {}, {}};
  visitSettings([&](const char *Key, setting_effect Effect, auto FieldOf) {
    const auto &Old = FieldOf(InForce);
    const auto &New = FieldOf(InFile);
    if (Old == New)
      return;
    const bool Applies = Effect == setting_effect::Reload;
    (Applies ? Reload.Applied : Reload.NeedRestart)
        .push_back({Key, inText(Old), inText(New)});
    if (Applies)
      FieldOf(Reload.Settings) = New;
  });
  return Reload;
}

std::vector<std::string> settingKeys() {
  std::vector<std::string> Keys;
  visitSettings([&](const char *Key, setting_effect /*Effect*/,
                    auto /*FieldOf*/) { Keys.emplace_back(Key); });
  return Keys;
}

} // namespace amaranthhoist
