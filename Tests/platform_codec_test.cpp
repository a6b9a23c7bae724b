// The platform's names and formats: each conversion, and invalid input.

#include "Text/text.h"
#include "codec.h"

#include <CppUTest/TestHarness.h>
#include <random>

using namespace amaranthhoist;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string ConfigurationText = R"({
  "metadata": {"name": "main", "revision": 9},
  "specification": {"version": "0000001c", "new_field": 3, "resources": [
    {"resource_kind": "routes", "metadata": {"name": "r1"}, "specification":
      {"hostname": "h.example", "path_prefix": "/a/", "kind": "safe",
       "timeout": "2000ms", "latency_objective": "0.5s", "priority": 2,
       "traffic_split": [{"service": "s", "weight": 90},
                         {"service": "t", "weight": 10}],
       "max_attempts": 3, "session_affinity": true, "home_regions": ["x"]}},
    {"resource_kind": "routes", "metadata": {"name": "r2"}, "specification":
      {"hostname": "h.example", "path_prefix": "/b/", "kind": "unsafe",
       "timeout": "1s", "service": "s", "max_attempts": 1}},
    {"resource_kind": "services", "metadata": {"name": "s"}, "specification":
      {"health_path": "/health", "max_connections": 330, "warmup": "3s",
       "warmup_per_s": 7.2}},
    {"resource_kind": "limits", "metadata": {}, "specification":
      {"max_header_bytes": 100, "max_body_bytes": 200,
       "header_timeout": "3000ms", "idle_timeout": "15s"}},
    {"resource_kind": "unheard_of", "metadata": {}, "specification": {}}]}})";

const std::string TargetText = R"({
  "metadata": {"name": "i-1", "revision": 4}, "specification":
  {"service": "s", "address": "10.0.0.9:8080", "zone": "z", "version": "v1",
   "slots": 6, "state": "draining", "warmup_remaining": "1500ms",
   "sequence": 4}})";

} // namespace

// clang-format off
TEST_GROUP(PlatformCodec) {};
// clang-format on

TEST(PlatformCodec, ReadsAConfiguration) {
  const auto Read = platform::decodeConfiguration(ConfigurationText);
  CHECK(Read.has_value());
  LONGS_EQUAL(0x1c, Read->Version);
  LONGS_EQUAL(2, Read->Routes.size());
  const route &Safe = Read->Routes[0];
  CHECK(Safe.Class == work_class::Idempotent);
  CHECK(Safe.Timeout == seconds(2));
  CHECK(Safe.Objective == milliseconds(500));
  LONGS_EQUAL(2, Safe.Parts.size());
  DOUBLES_EQUAL(90, Safe.Parts[0].Weight, 0);
  LONGS_EQUAL(3, Safe.MaxAttempts);
  CHECK(Safe.HasAffinity);
  CHECK_EQUAL(std::string("x"), Safe.HomeRegions[0]);
  CHECK(Read->Routes[1].Class == work_class::NonIdempotent);
  DOUBLES_EQUAL(7.2, Read->Services[0].ColdRequestsPerSecond, 1e-9);
  LONGS_EQUAL(200, Read->Limits.MaxBodyBytes);
}

TEST(PlatformCodec, DownloadsAreIdempotent) {
  std::string Text = ConfigurationText;
  Text.replace(Text.find("\"safe\""), 6, "\"download\"");
  CHECK(platform::decodeConfiguration(Text)->Routes[0].Class ==
        work_class::Idempotent);
  CHECK(platform::decodeConfiguration(Text)->Routes[0].IsBulk);
  CHECK_FALSE(
      platform::decodeConfiguration(ConfigurationText)->Routes[0].IsBulk);
}

TEST(PlatformCodec, UploadsAreNonIdempotentAndLarge) {
  std::string Text = ConfigurationText;
  Text.replace(Text.find("\"safe\""), 6, "\"upload\"");
  const auto Read = platform::decodeConfiguration(Text);
  CHECK(Read->Routes[0].Class == work_class::NonIdempotent);
  CHECK(Read->Routes[0].IsBulk);
}

TEST(PlatformCodec, ReadsABackendServer) {
  const auto Read = platform::decodeTarget(TargetText);
  CHECK(Read.has_value());
  CHECK_EQUAL(std::string("i-1"), Read->Id);
  CHECK(Read->IsDraining);
  LONGS_EQUAL(6, Read->Slots);
  CHECK(Read->ColdFor == milliseconds(1'500));
}

TEST(PlatformCodec, OwnObjectSurvivesARoundTrip) {
  const fleet_member Member{"n1",         "z",          "r", "10.0.0.1:80",
                            "10.0.0.1:7", "10.0.0.1:8", 0.2};
  const auto Read = platform::decodeMember(platform::encodeMember(Member));
  CHECK(Read.has_value());
  CHECK(*Read == Member);
}

TEST(PlatformCodec, ReadsListsAndChanges) {
  const auto Page = platform::decodePage(R"({"items":[)" + TargetText +
                                         R"(],"more":true,"at_revision":30})");
  CHECK(Page->HasMore);
  LONGS_EQUAL(30, Page->AtRevision);
  LONGS_EQUAL(4, Page->Items[0].Revision);
  CHECK(platform::decodeTarget(Page->Items[0].Text).has_value());
  const auto Batch =
      platform::decodeBatch(R"({"events":[{"deleted":true,"object":)" +
                            TargetText + R"(}],"at_revision":31})");
  CHECK(Batch->Changes[0].IsDeleted);
  CHECK_EQUAL(std::string("i-1"), Batch->Changes[0].Object.Name);
}

TEST(PlatformCodec, ReadsTimesAndLoads) {
  CHECK(platform::decodeDuration("2.5s").value() == milliseconds(2'500));
  for (const char *Text : {"", "5", "ms", "-1s", "1m", "1e99s", "nans"})
    CHECK_FALSE(platform::decodeDuration(Text).has_value());
  LONGS_EQUAL(8, platform::decodeLoad("3,0,8")->Slots);
  DOUBLES_EQUAL(1, platform::decodeLoad("3,0,8")->Slowdown, 0);
  for (const char *Text :
       {"", "1,2", "1,2,3,", "a,b,c", "1,2,3,4,5", "-1,0,8", "1,-2,8", "1,0,0"})
    CHECK_FALSE(platform::decodeLoad(Text).has_value());
}

// Guards against discarding the reports of servers that state a fourth figure:
// the node would not know the load of any of them.
TEST(PlatformCodec, LoadReportMayStateHowLongWorkTakes) {
  const auto Load = platform::decodeLoad("3,1,8,250");
  CHECK(Load.has_value());
  LONGS_EQUAL(3, Load->Running);
  LONGS_EQUAL(1, Load->Waiting);
  LONGS_EQUAL(8, Load->Slots);
  DOUBLES_EQUAL(2.5, Load->Slowdown, 1e-9);
  for (const char *Text :
       {"1,2,3,0", "1,2,3,-5", "1,2,3,x", "1,2,3,1e99", "1,2,3,4.5"})
    CHECK_FALSE(platform::decodeLoad(Text).has_value());
}

TEST(PlatformCodec, EncodesPathsAndResponses) {
  CHECK_EQUAL(std::string("/amaranthhoist/objects/servers?after=i-1"),
              platform::encodeRequestPath(object_kind::Target,
                                          {store_verb::List, "i-1", 0}, {}));
  CHECK_EQUAL(std::string("/amaranthhoist/objects/config?watch=5&wait_ms=2000"),
              platform::encodeRequestPath(object_kind::Configuration,
                                          {store_verb::Watch, "", 5},
                                          seconds(2)));
  const std::vector<std::string> Addresses = {"10.0.0.1:80"};
  CHECK_EQUAL(std::string(R"({"addresses":["10.0.0.1:80"],"ttl":"2000ms"})"),
              platform::encodeAddresses(Addresses, seconds(2)));
}

// Failure: the name of another writer's object ends the list of which it is the
// last one on a page.
TEST(PlatformCodec, NamesAreEncodedInPaths) {
  CHECK_EQUAL(
      std::string("/amaranthhoist/objects/servers?after="
                  "rack%207%26wait_ms%3d%23%25%2f%c3%a9%0d%0a&allow_stale=1"),
      platform::encodeRequestPath(
          object_kind::Target,
          {store_verb::List, "rack 7&wait_ms=#%/\xc3\xa9\r\n", 0, true}, {}));
  CHECK_EQUAL(std::string("/amaranthhoist/objects/instances/a%2fb%3fc"),
              platform::encodeObjectPath(object_kind::Instance, "a/b?c", {}));
}

TEST(PlatformCodec, InvalidInputIsAnError) {
  std::mt19937_64 Random(13);
  for (const std::string &Valid : {ConfigurationText, TargetText}) {
    for (std::size_t Size = 0; Size < Valid.size(); ++Size) {
      const std::string_view Cut = std::string_view(Valid).substr(0, Size);
      CHECK_FALSE(platform::decodeConfiguration(Cut).has_value());
      CHECK_FALSE(platform::decodePage(Cut).has_value());
    }
    for (int Round = 0; Round < 3'000; ++Round) {
      std::string Text = Valid;
      for (int Change = 0; Change < 3; ++Change)
        Text[Random() % Text.size()] = static_cast<char>(Random());
      (void)platform::decodeConfiguration(Text);
      (void)platform::decodeTarget(Text);
      (void)platform::decodeMember(Text);
      (void)platform::decodePage(Text);
      (void)platform::decodeBatch(Text);
    }
  }
}

TEST(PlatformCodec, ReadsABackendServersStartTime) {
  std::string Text = TargetText;
  Text.insert(Text.find("\"service\""), R"("born":1700000000123,)");
  CHECK(platform::decodeTarget(Text)->StartedAtMs == 1'700'000'000'123);
  CHECK(platform::decodeTarget(TargetText)->StartedAtMs == 0);
}

// Guards against requests being sent to something that is not a server, or to a
// server that accepts none. Another writer leaves an entry that lacks fields,
// has fields of other types, or has an unknown state; the decoder must not fill
// the gaps with defaults such as ready and one slot.
TEST(PlatformCodec, RejectsIncompleteServerEntries) {
  const std::string Whole =
      R"({"service":"desk","address":"10.0.0.1:80","zone":"z","slots":3,)"
      R"("state":"ready","warmup_remaining":"0ms","sequence":1})";
  const auto Decode = [](const std::string &Specification) {
    return platform::decodeTarget(R"({"metadata":{"name":"i"},)"
                                  R"("specification":)" +
                                  Specification + "}");
  };
  CHECK(Decode(Whole).has_value());
  const std::pair<std::string, std::string> Changes[] = {
      {R"("service":"desk",)", ""},         {R"("desk")", "7"},
      {R"("10.0.0.1:80")", "null"},         {R"("zone":"z",)", ""},
      {R"("slots":3)", R"("slots":"3")"},   {R"("slots":3)", R"("slots":0)"},
      {R"("slots":3)", R"("slots":1e300)"}, {R"("ready")", R"("resting")"},
      {R"("state":"ready",)", ""},          {R"("ready")", "true"}};
  for (const auto &[From, To] : Changes) {
    std::string Changed = Whole;
    Changed.replace(Changed.find(From), From.size(), To);
    CHECK_FALSE_TEXT(Decode(Changed).has_value(), Changed.c_str());
  }
  for (const char *Text : {"null", "[]", "7", "\"x\"", "{}"})
    CHECK_FALSE(Decode(Text).has_value());
}

// Guards against a change of the list reaching no node: one object of a page
// holds bytes that are not valid text, and the whole page was treated as
// unreadable.
TEST(PlatformCodec, UndecodableBytesHideNoOtherObject) {
  const std::string Foreign =
      "{\"metadata\":{\"name\":\"odd\"},\"specification\":{\"service\":"
      "\"\xff\xfe\x01\"}}";
  const auto Page =
      platform::decodePage(R"({"items":[)" + Foreign + "," + TargetText +
                           R"(,7,null],)"
                           R"("more":false,"at_revision":3})");
  CHECK(Page.has_value());
  LONGS_EQUAL(4, Page->Items.size());
  CHECK_FALSE(platform::decodeTarget(Page->Items[0].Text).has_value());
  CHECK(platform::decodeTarget(Page->Items[1].Text).has_value());
  const auto Batch =
      platform::decodeBatch(R"({"events":[7,{"deleted":false,"object":)" +
                            Foreign + R"(},{"deleted":false,"object":)" +
                            TargetText + R"(}],"at_revision":31})");
  CHECK(Batch.has_value());
  CHECK(platform::decodeTarget(Batch->Changes.back().Object.Text).has_value());
}

namespace {

/// A specification that can't be decoded.
struct bad_specification {
  const char *What;
  std::string Text;
};

std::string nested(std::size_t Levels, char Open, const char *Close) {
  std::string Text(Levels, Open);
  for (std::size_t Level = 0; Level < Levels; ++Level)
    Text.append(Close);
  return Text;
}

std::vector<bad_specification> badSpecifications() {
  const auto WithLabel = [](const std::string &Label) {
    return R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":6,)"
           R"("state":"ready","label":")" +
           Label + "\"}";
  };
  std::string Objects;
  for (int Level = 0; Level < 200'000; ++Level)
    Objects.append("{\"a\":");
  Objects.append("1").append(200'000, '}');
  return {
      {"surrogates of three bytes", WithLabel("\xed\xa0\xbd\xed\xb8\x80")},
      {"overlong, two bytes", WithLabel("\xc0\xaf")},
      {"overlong, three bytes", WithLabel("\xe0\x80\xaf")},
      {"overlong, four bytes", WithLabel("\xf0\x80\x80\xaf")},
      {"beyond U+10FFFF", WithLabel("\xf4\x90\x80\x80")},
      {"a sequence cut short", WithLabel("\xe2\x82")},
      {"a stray byte", WithLabel("\xff")},
      {"an escape of half a pair", WithLabel("\\ud83d")},
      {"an unknown escape", WithLabel("\\x41")},
      {"a control character", WithLabel("\x01")},
      {"a number beyond a double", R"({"slots":1e400})"},
      {"a number without digits", R"({"slots":-})"},
      {"a word", R"({"slots":maybe})"},
      {"no comma", R"({"slots":1 "state":2})"},
      {"brackets of two kinds", R"({"slots":[1}})"},
      {"arrays in arrays", "{\"service\":" + nested(200'000, '[', "]") + "}"},
      {"objects in objects", Objects}};
}

} // namespace

// Failure: one object of another writer that can't be decoded makes the list of
// servers, or all changes to it, unreadable for every node.
TEST(PlatformCodec, UndecodableObjectsHideNoOthers) {
  for (const auto &[What, Text] : badSpecifications()) {
    const std::string Odd =
        R"({"metadata":{"name":"odd","revision":7},"specification":)" + Text +
        "}";
    const auto Page =
        platform::decodePage(cat(R"({"items":[)", Odd, ",", TargetText, ",",
                                 Odd, R"(],"more":true,"at_revision":30})"));
    CHECK_TEXT(Page.has_value(), What);
    LONGS_EQUAL_TEXT(3, Page->Items.size(), What);
    LONGS_EQUAL(30, Page->AtRevision);
    CHECK(Page->HasMore);
    const stored_object &Object = Page->Items[0];
    STRCMP_EQUAL_TEXT("odd", Object.Name.c_str(), What);
    LONGS_EQUAL(7, Object.Revision);
    CHECK_TEXT(!Object.WhyUndecodable.empty(), What);
    CHECK_FALSE_TEXT(platform::decodeTarget(Object.Text).has_value(), What);
    CHECK(platform::decodeTarget(Page->Items[1].Text).has_value());
    CHECK(Page->Items[1].WhyUndecodable.empty());
    const auto Batch =
        platform::decodeBatch(cat(R"({"events":[{"deleted":false,"object":)",
                                  Odd, R"(},{"deleted":true,"object":)", Odd,
                                  R"(},{"deleted":false,"object":)", TargetText,
                                  R"(}],"at_revision":31})"));
    CHECK_TEXT(Batch.has_value(), What);
    LONGS_EQUAL_TEXT(3, Batch->Changes.size(), What);
    CHECK(Batch->Changes[1].IsDeleted);
    STRCMP_EQUAL("odd", Batch->Changes[1].Object.Name.c_str());
    CHECK(platform::decodeTarget(Batch->Changes[2].Object.Text).has_value());
    CHECK_FALSE_TEXT(platform::decodeTarget(Odd).has_value(), What);
    CHECK_FALSE_TEXT(platform::decodeMember(Odd).has_value(), What);
    CHECK_FALSE_TEXT(platform::decodeConfiguration(Odd).has_value(), What);
  }
}

// Guards against a text that names another object than the store did.
TEST(PlatformCodec, UndecodableObjectsKeepTheStoresName) {
  const auto Page = platform::decodePage(
      R"({"items":[{"metadata":{"name":"odd","revision":7},"specification":)"
      "{\"label\":\"\xff\\\"},{\\\"metadata\\\":{\\\"name\\\":\\\"s1\\\"}\","
      R"("metadata":{"name":"s2"}}}],"at_revision":30})");
  CHECK(Page.has_value());
  LONGS_EQUAL(1, Page->Items.size());
  STRCMP_EQUAL("odd", Page->Items[0].Name.c_str());
}

// Guards against an object that an earlier or later field of the list ends.
TEST(PlatformCodec, ListsMayHaveFieldsInAnyOrder) {
  const auto Page = platform::decodePage(
      R"( { "new" : [ { "items" : [ ] } , "}" ] , "at_revision" : 3 , )"
      R"("items" : [ )" +
      TargetText + R"( ] , "more" : false , "last" : null } )");
  CHECK(Page.has_value());
  LONGS_EQUAL(1, Page->Items.size());
  LONGS_EQUAL(3, Page->AtRevision);
  CHECK(!Page->HasMore);
  CHECK(platform::decodeTarget(Page->Items[0].Text).has_value());
  for (const char *Text :
       {"", " ", "[]", "{", "{}", R"({"items":7})", R"({"items":[})",
        R"({"items":[1,]})", R"({"items":[]}})", R"({"items":[]} x)",
        R"({"items" [])", R"({items:[]})", R"({"items":[1 2]})"})
    CHECK_FALSE_TEXT(platform::decodePage(Text).has_value(), Text);
}
