#include "store_stand_in.h"

#include "HttpConnection/small_server.h"
#include "Text/text.h"

namespace amaranthhoist {

using nlohmann::json;

static constexpr std::string_view Prefix = "/amaranthhoist/objects/";
/// Watches that wait for this long at most are answered at once, without
/// changes if there are none.
static constexpr std::uint64_t MaxShortWaitMs = 100;
static constexpr std::string_view JsonField =
    "Content-Type: application/json\r\n";

bool store_stand_in::has(const std::string &Kind,
                         const std::string &Name) const {
  auto Found = Data.Objects.find(Kind);
  return Found != Data.Objects.end() && Found->second.contains(Name);
}

void store_stand_in::setMode(mode NewMode) {
  Mode = NewMode;
  if (Mode == mode::Silent)
    Watches.clear();
}

void store_stand_in::put(const std::string &Kind, const std::string &Name,
                         const json &Specification) {
  ++Data.Revision;
  Data.Objects[Kind][Name] = {
      {"metadata", {{"name", Name}, {"revision", Data.Revision}}},
      {"specification", Specification},
      {"status", nullptr}};
  Data.History.push_back(
      {Data.Revision, Kind, false, Data.Objects[Kind][Name]});
  wakeWatches();
}

void store_stand_in::putBytes(const std::string &Kind, const std::string &Name,
                              const std::string &Text) {
  const std::string Placeholder = cat("bytes-", RawTexts.size());
  RawTexts[json(Placeholder).dump()] = Text;
  put(Kind, Name, Placeholder);
}

void store_stand_in::copyFrom(const store_stand_in &Other,
                              const std::string &Kind,
                              const std::string &Name) {
  for (const auto &[OtherKind, Objects] : Other.Data.Objects)
    for (const auto &[OtherName, Object] : Objects)
      if (Kind.empty() || (Kind == OtherKind && Name == OtherName))
        put(OtherKind, OtherName, Object["specification"]);
}

void store_stand_in::remove(const std::string &Kind, const std::string &Name) {
  // A restore may have lost it.
  if (!has(Kind, Name))
    return;
  ++Data.Revision;
  Data.History.push_back({Data.Revision, Kind, true, Data.Objects[Kind][Name]});
  Data.Objects[Kind].erase(Name);
  wakeWatches();
}

void store_stand_in::restoreCopy() {
  if (HasLostWrites)
    writeLostAgain();
  Lost = Data;
  Restored = Copy;
  Data = Copy;
  HasLostWrites = true;
  ++Era;
  Watches.clear();
}

bool store_stand_in::isChangedSinceRestore(const std::string &Kind,
                                           const std::string &Name) {
  if (!has(Kind, Name))
    return Restored.Objects[Kind].contains(Name);
  return Data.Objects[Kind][Name]["metadata"]["revision"] > Restored.Revision;
}

void store_stand_in::writeLostAgain() {
  HasLostWrites = false;
  for (const char *Kind : {"config", "servers", "evacuations"}) {
    for (const auto &[Name, Object] : Lost.Objects[Kind])
      if (!isChangedSinceRestore(Kind, Name))
        put(Kind, Name, Object["specification"]);
    for (const auto &[Name, Object] : Restored.Objects[Kind])
      if (!Lost.Objects[Kind].contains(Name) &&
          !isChangedSinceRestore(Kind, Name))
        remove(Kind, Name);
  }
}

void store_stand_in::respond(stand_in_connection &Connection, int Status,
                             std::string Body) {
  for (const auto &[Placeholder, Text] : RawTexts)
    for (std::size_t At = 0;
         (At = Body.find(Placeholder, At)) != std::string::npos;
         At += Text.size())
      Body.replace(At, Placeholder.size(), Text);
  Connection.respond(Status, cat(JsonField, "Store-Era: ", Era, "\r\n"), Body);
}

void store_stand_in::wakeWatches() {
  std::erase_if(Watches, [&](const watch &Watch) {
    stand_in_connection *Connection = connection(Watch.Connection);
    return !Connection || DropsWatches ||
           respondToWatch(*Connection, Watch.Kind, Watch.Since,
                          /*IsShort=*/false);
  });
}

void store_stand_in::onRequest(stand_in_connection &Connection) {
  ++Calls;
  if (Mode == mode::Silent)
    return;
  if (Mode == mode::Refusing) {
    respond(Connection, 503, "{}");
    return;
  }
  std::string_view Target = Connection.head().target();
  Target.remove_prefix(std::min(Prefix.size(), Target.size()));
  const std::size_t Mark = Target.find('?');
  const std::string_view Query =
      Mark == std::string_view::npos ? "" : Target.substr(Mark + 1);
  const auto Parts = split(Target.substr(0, Mark), '/');
  const std::string Kind(Parts[0]);
  const std::string Name(Parts.size() > 1 ? Parts[1] : "");
  if (Connection.head().method() == "GET")
    onRead(Connection, Kind, Query);
  else
    onWrite(Connection, Kind, Name);
}

void store_stand_in::onWrite(stand_in_connection &Connection,
                             const std::string &Kind,
                             const std::string &PathName) {
  const json Body = json::parse(Connection.body(), nullptr, false);
  const std::string_view Method = Connection.head().method();
  std::string Name = PathName;
  if (Method == "POST")
    Name = Body["metadata"].value("name", "");
  const bool Exists = has(Kind, Name);
  if (Method == "POST" ? Exists : !Exists) {
    respond(Connection, Exists ? 409 : 404, "{}");
    return;
  }
  if (Method == "DELETE")
    remove(Kind, Name);
  else
    put(Kind, Name, Body["specification"]);
  respond(Connection, 200, "{}");
}

void store_stand_in::onRead(stand_in_connection &Connection,
                            const std::string &Kind, std::string_view Query) {
  const std::string Since = queryValue(Query, "watch");
  if (!Since.empty()) {
    const std::uint64_t From = parseNumber<std::uint64_t>(Since).value_or(0);
    const bool IsShort =
        parseNumber<std::uint64_t>(queryValue(Query, "wait_ms")).value_or(0) <=
        MaxShortWaitMs;
    if (From < Oldest || From > Data.Revision)
      respond(Connection, 410, "{}");
    else if (DropsWatches && !IsShort)
      return;
    else if (!respondToWatch(Connection, Kind, From, IsShort))
      Watches.push_back({Connection.Number, Kind, From});
    return;
  }
  ++Lists[Kind];
  json Items = json::array();
  for (const auto &[Name, Object] : Data.Objects[Kind])
    Items.push_back(Object);
  respond(
      Connection, 200,
      json{{"items", Items}, {"more", false}, {"at_revision", Data.Revision}}
          .dump());
}

bool store_stand_in::respondToWatch(stand_in_connection &Connection,
                                    const std::string &Kind,
                                    std::uint64_t Since, bool IsShort) {
  json Events = json::array();
  for (const event &Event : Data.History)
    if (Event.Kind == Kind && Event.Revision > Since)
      Events.push_back(
          {{"deleted", Event.IsDeleted}, {"object", Event.Object}});
  if (Events.empty() && !IsShort)
    return false;
  respond(Connection, 200,
          json{{"events", Events}, {"at_revision", Data.Revision}}.dump());
  return true;
}

} // namespace amaranthhoist
