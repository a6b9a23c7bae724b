#include "Settings/settings.h"

#include "Settings/section_reader.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <fstream>
#include <sstream>

namespace amaranthhoist {

result<socket_address> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(error_code::Invalid, "must be ip:port");
  socket_address Address;
  Address.Ip = std::string(Text.substr(0, Colon));
  const std::string Port(Text.substr(Colon + 1));
  in_addr Parsed{};
  std::int32_t Number = 0;
  const bool Valid = inet_pton(AF_INET, Address.Ip.c_str(), &Parsed) == 1 &&
                     absl::SimpleAtoi(Port, &Number) && Number >= 1 &&
                     Number <= 65535;
  if (!Valid)
    return fail(error_code::Invalid,
                "must be ip:port, an IPv4 number and a port from 1 to 65535");
  Address.Port = static_cast<std::uint16_t>(Number);
  return Address;
}

static void readEntry(const YAML::Node &Node, entry_daemon_settings &Entry,
                      std::vector<settings_fault> &Faults) {
  section_reader Reader(Node, "entry.", Faults);
  Reader.readAddress("listen", Entry.Listen, true);
  Reader.readNumber("lookup_ttl_ms", Entry.LookupTtlMs, 100, 3'600'000);
  Reader.readNumber("max_body_bytes", Entry.MaxBodyBytes, 1, 1LL << 40);
  Reader.readNumber("max_connections", Entry.MaxConnections, 1, 100'000);
  Reader.readNumber("default_deadline_ms", Entry.DefaultDeadlineMs, 1,
                    3'600'000);
  Reader.rejectUnknown();
}

static void readGateway(const YAML::Node &Node,
                        gateway_daemon_settings &Gateway,
                        std::vector<settings_fault> &Faults) {
  section_reader Reader(Node, "gateway.", Faults);
  Reader.readAddress("listen", Gateway.Listen, true);
  Reader.readAddress("metrics_listen", Gateway.MetricsListen, false);
  Reader.readNames("sites", Gateway.Sites, true);
  Reader.readNumber("max_work_ms", Gateway.MaxWorkMs, 100, 86'400'000);
  Reader.readNumber("queue_per_customer", Gateway.QueuePerCustomer, 1, 100'000);
  Reader.readNumber("queue_total", Gateway.QueueTotal, 1, 1'000'000);
  Reader.readNumber("max_keys", Gateway.MaxKeys, 1, 10'000'000);
  Reader.readText("probe_path", Gateway.ProbePath);
  Reader.readNumber("probe_period_ms", Gateway.ProbePeriodMs, 50, 60'000);
  Reader.rejectUnknown();
}

static void readControl(const YAML::Node &Node,
                        control_daemon_settings &Control,
                        std::vector<settings_fault> &Faults) {
  section_reader Reader(Node, "control.", Faults);
  Reader.readAddress("listen", Control.Listen, true);
  Reader.readAddress("metrics_listen", Control.MetricsListen, false);
  Reader.readUrl("platform", Control.Platform);
  Reader.readNames("seeds", Control.Seeds, false);
  Reader.readNumber("watchers_per_region", Control.WatchersPerRegion, 1, 100);
  Reader.rejectUnknown();
}

static void readAll(const YAML::Node &Root, settings_check &Check) {
  instance_settings &Settings = Check.Settings;
  section_reader Reader(Root, "", Check.Faults);
  Reader.readName("instance", Settings.Instance);
  Reader.readName("region", Settings.Region);
  Reader.readName("failure_domain", Settings.FailureDomain);
  Reader.readLinks("link_ms", Settings.LinkMs);
  Reader.readText("log_level", Settings.LogLevel,
                  {"trace", "debug", "info", "warn", "error"});
  readEntry(Reader.section("entry"), Settings.Entry, Check.Faults);
  readGateway(Reader.section("gateway"), Settings.Gateway, Check.Faults);
  readControl(Reader.section("control"), Settings.Control, Check.Faults);
  Reader.rejectUnknown();
}

settings_check checkSettings(std::string_view Text) {
  settings_check Check;
  const YAML::Node Root = parseYaml(Text, Check.Faults);
  if (Check.Faults.empty())
    readAll(Root, Check);
  return Check;
}

std::string describe(const settings_fault &Fault, std::string_view File) {
  return std::string(File) + ":" + std::to_string(Fault.Line) + ": " +
         Fault.Field + ": " + Fault.Message;
}

result<std::string> readSettingsFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return fail(error_code::NotFound, File + ": can't be read");
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

error faultsAsError(const std::vector<settings_fault> &Faults,
                    std::string_view File) {
  std::string Message;
  for (const settings_fault &Fault : Faults)
    Message += (Message.empty() ? "" : "\n") + describe(Fault, File);
  return {error_code::Invalid, Message};
}

result<instance_settings> loadSettings(const std::string &File) {
  settings_check Check = checkSettings(TRY(readSettingsFile(File)));
  if (Check.Faults.empty())
    return Check.Settings;
  return tl::unexpected(faultsAsError(Check.Faults, File));
}

} // namespace amaranthhoist
