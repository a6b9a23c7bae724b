#include "Settings/settings.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

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

namespace {

/// Reads the fields of one mapping, noting faults and unknown fields.
class section_reader {
public:
  section_reader(const YAML::Node &Node, std::string Prefix,
                 std::vector<settings_fault> &Faults)
      : Node(Node), Prefix(std::move(Prefix)), Faults(Faults) {}

  /// A name: used in keys and ids, so it has letters, digits and '-' only.
  void readName(const char *Field, std::string &Value) {
    if (!readScalar(Field, Value, true))
      return;
    const bool Valid =
        !Value.empty() &&
        std::all_of(Value.begin(), Value.end(), [](unsigned char Character) {
          return std::isalnum(Character) != 0 || Character == '-';
        });
    if (!Valid)
      fault(Field, "must be a name of letters, digits and '-'");
  }

  void readAddress(const char *Field, std::string &Value, bool Required) {
    if (!readScalar(Field, Value, Required))
      return;
    if (auto Address = parseAddress(Value); !Address)
      fault(Field, Address.error().Message);
  }

  void readText(const char *Field, std::string &Value,
                const std::vector<std::string> &Permitted = {}) {
    if (!readScalar(Field, Value, false) || Permitted.empty())
      return;
    if (std::find(Permitted.begin(), Permitted.end(), Value) != Permitted.end())
      return;
    std::string Message = "must be one of";
    for (const std::string &Item : Permitted)
      Message += " " + Item;
    fault(Field, Message);
  }

  void readUrl(const char *Field, std::string &Value) {
    if (readScalar(Field, Value, true) && !Value.starts_with("http://"))
      fault(Field, "must be an http:// address");
  }

  void readNumber(const char *Field, std::int64_t &Value, std::int64_t Low,
                  std::int64_t High) {
    std::string Text;
    if (!readScalar(Field, Text, false))
      return;
    std::int64_t Number = 0;
    if (!absl::SimpleAtoi(Text, &Number) || Number < Low || Number > High) {
      fault(Field, "must be a whole number from " + std::to_string(Low) +
                       " to " + std::to_string(High));
      return;
    }
    Value = Number;
  }

  void readNames(const char *Field, std::vector<std::string> &Values,
                 bool Required) {
    const YAML::Node Child = child(Field);
    if (!Child) {
      if (Required)
        fault(Field, "is required");
      return;
    }
    if (!Child.IsSequence() || (Required && Child.size() == 0)) {
      fault(Field, "must be a list");
      return;
    }
    for (const YAML::Node &Item : Child)
      Values.push_back(Item.as<std::string>(""));
  }

  void readLinks(const char *Field, std::map<std::string, double> &Values) {
    const YAML::Node Child = child(Field);
    if (!Child)
      return;
    if (!Child.IsMap()) {
      fault(Field, "must map regions to milliseconds");
      return;
    }
    for (const auto &Entry : Child) {
      const auto Ms = Entry.second.as<double>(-1);
      if (Ms < 0 || Ms > 10'000)
        fault(Field, "must map each region to 0 to 10000 milliseconds");
      Values[Entry.first.as<std::string>("")] = Ms;
    }
  }

  /// A nested mapping; an empty one, with a fault, when it isn't there.
  YAML::Node section(const char *Field) {
    const YAML::Node Child = child(Field);
    if (Child && Child.IsMap())
      return Child;
    fault(Field, "is required and must be a mapping");
    return YAML::Node(YAML::NodeType::Map);
  }

  /// A misspelt field would silently leave its default in force.
  void rejectUnknown() {
    for (const auto &Entry : Node) {
      const auto Name = Entry.first.as<std::string>("");
      if (!Known.contains(Name))
        Faults.push_back(
            {Entry.first.Mark().line + 1, Prefix + Name, "unknown field"});
    }
  }

private:
  YAML::Node child(const char *Field) {
    Known.insert(Field);
    return Node[Field];
  }

  bool readScalar(const char *Field, std::string &Value, bool Required) {
    const YAML::Node Child = child(Field);
    if (Child && Child.IsScalar()) {
      Value = Child.Scalar();
      return true;
    }
    if (Child || Required)
      fault(Field, Child ? "must be a single value" : "is required");
    return false;
  }

  void fault(const char *Field, std::string Message) {
    const YAML::Node Child = Node[Field];
    const int Line = (Child ? Child.Mark() : Node.Mark()).line + 1;
    Faults.push_back({Line, Prefix + Field, std::move(Message)});
  }

  YAML::Node Node;
  std::string Prefix;
  std::vector<settings_fault> &Faults;
  std::set<std::string> Known;
};

} // namespace

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
  try {
    const YAML::Node Root = YAML::Load(std::string(Text));
    if (!Root.IsMap())
      Check.Faults.push_back({1, "(file)", "must be a mapping of fields"});
    else
      readAll(Root, Check);
  } catch (const YAML::Exception &Exception) {
    Check.Faults.push_back({Exception.mark.line + 1, "(file)", Exception.msg});
  }
  return Check;
}

std::string describe(const settings_fault &Fault, std::string_view File) {
  return std::string(File) + ":" + std::to_string(Fault.Line) + ": " +
         Fault.Field + ": " + Fault.Message;
}

result<instance_settings> loadSettings(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    return fail(error_code::NotFound, File + ": can't be read");
  std::stringstream Text;
  Text << Stream.rdbuf();
  settings_check Check = checkSettings(Text.str());
  if (Check.Faults.empty())
    return Check.Settings;
  std::string Message;
  for (const settings_fault &Fault : Check.Faults)
    Message += (Message.empty() ? "" : "\n") + describe(Fault, File);
  return fail(error_code::Invalid, Message);
}

} // namespace amaranthhoist
