/// Reads the fields of one mapping of a settings file and records every fault
/// with its line. Shared by the readers of all settings files.
#pragma once

#include "Settings/settings.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <set>
#include <yaml-cpp/yaml.h>

namespace amaranthhoist {

/// Parses \p Text, whose top level must be a mapping. Records a fault
/// otherwise.
YAML::Node parseYaml(std::string_view Text,
                     std::vector<settings_fault> &Faults);

/// Reads the fields of one mapping. Records faults and unknown fields.
class section_reader {
public:
  section_reader(const YAML::Node &Node, std::string Prefix,
                 std::vector<settings_fault> &Faults)
      : Node(Node), Prefix(std::move(Prefix)), Faults(Faults) {}

  /// Reads a name. Names are used in keys and ids, so they consist of letters,
  /// digits and '-' only.
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

  void readFlag(const char *Field, bool &Value) {
    std::string Text;
    if (!readScalar(Field, Text, false))
      return;
    if (Text != "true" && Text != "false") {
      fault(Field, "must be true or false");
      return;
    }
    Value = Text == "true";
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

  /// Reads a time such as `1500ms` or `2.5s`.
  void readDuration(const char *Field, duration &Value, duration Low,
                    duration High);

  void readReal(const char *Field, double &Value, double Low, double High);

  /// Reads a mapping of names to names.
  void readTextMap(const char *Field,
                   std::map<std::string, std::string> &Values);

  /// Reads a nested mapping. When it is absent, records a fault and returns an
  /// empty one.
  YAML::Node section(const char *Field) {
    Sections.insert(Field);
    const YAML::Node Child = child(Field);
    if (Child && Child.IsMap())
      return Child;
    fault(Field, "is required and must be a mapping");
    return YAML::Node(YAML::NodeType::Map);
  }

  /// Like section(), without a fault when it is absent.
  YAML::Node optionalSection(const char *Field) {
    Sections.insert(Field);
    return child(Field) ? section(Field) : YAML::Node(YAML::NodeType::Map);
  }

  /// Appends the keys of all fields that were read, but for the sections.
  void appendKeys(std::vector<std::string> &Keys) const {
    for (const std::string &Field : KnownFields)
      if (!Sections.contains(Field))
        Keys.push_back(Prefix + Field);
  }

  /// Unknown fields are faults: a misspelt field would silently leave its
  /// default in force.
  void rejectUnknown() {
    for (const auto &Entry : Node) {
      const auto Name = Entry.first.as<std::string>("");
      if (!KnownFields.contains(Name))
        Faults.push_back({Entry.first.Mark().line + 1,
                          Prefix + (Name.empty() ? "(not a name)" : Name),
                          "unknown field"});
    }
  }

private:
  YAML::Node child(const char *Field) {
    KnownFields.insert(Field);
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
  std::set<std::string> KnownFields;
  std::set<std::string> Sections;
};

} // namespace amaranthhoist
