#include "Settings/section_reader.h"

#include "Text/text.h"

namespace amaranthhoist {

YAML::Node parseYaml(std::string_view Text,
                     std::vector<settings_fault> &Faults) {
  try {
    YAML::Node Root = YAML::Load(std::string(Text));
    if (Root.IsMap())
      return Root;
    Faults.push_back({1, "(file)", "must be a mapping of fields"});
  } catch (const YAML::Exception &Exception) {
    Faults.push_back({Exception.mark.line + 1, "(file)", Exception.msg});
  }
  return YAML::Node(YAML::NodeType::Map);
}

static std::optional<duration> parseDuration(std::string_view Text) {
  double Scale = 1'000'000;
  if (consumeSuffix(Text, "ms"))
    Scale = 1'000;
  else if (!consumeSuffix(Text, "s"))
    return std::nullopt;
  const auto Value = parseNumber<double>(Text);
  if (!Value)
    return std::nullopt;
  return duration(static_cast<std::int64_t>(*Value * Scale));
}

void section_reader::readDuration(const char *Field, duration &Value,
                                  duration Low, duration High) {
  std::string Text;
  if (!readScalar(Field, Text, false))
    return;
  const auto Parsed = parseDuration(Text);
  if (!Parsed || *Parsed < Low || *Parsed > High) {
    fault(Field,
          cat("must be a time with its unit, ms or s, from ",
              Low.count() / 1'000, "ms to ", High.count() / 1'000, "ms"));
    return;
  }
  Value = *Parsed;
}

void section_reader::readReal(const char *Field, double &Value, double Low,
                              double High) {
  std::string Text;
  if (!readScalar(Field, Text, false))
    return;
  const auto Number = parseNumber<double>(Text);
  if (!Number || !(*Number >= Low && *Number <= High)) {
    fault(Field, cat("must be a number from ", Low, " to ", High));
    return;
  }
  Value = *Number;
}

void section_reader::readTextMap(const char *Field,
                                 std::map<std::string, std::string> &Values) {
  const YAML::Node Child = child(Field);
  if (!Child || !Child.IsMap()) {
    fault(Field, "is required and must be a mapping");
    return;
  }
  for (const auto &Entry : Child)
    Values[Entry.first.as<std::string>("")] = Entry.second.as<std::string>("");
}

} // namespace amaranthhoist
