// Mutated objects of the store beside good ones, which have to stay readable.

#include "Fuzz/mutation.h"
#include "Text/text.h"
#include "codec.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <array>

using namespace amaranthhoist;

namespace {

const std::string Good = R"({"metadata":{"name":"good","revision":4},)"
                         R"("specification":{"service":"s","address":)"
                         R"("10.0.0.9:8080","zone":"z","version":"v1",)"
                         R"("slots":6,"state":"ready","sequence":4}})";
/// Contents of a string in an object of another writer.
const std::array<std::string, 2> Texts = {"kiln-1", "\xc5\x91rl\xc3\xa9s"};
constexpr std::array<std::string_view, 8> Words = {
    "\xed\xa0\xbd", "\xff", "\\ud83d", "\\u0000", "\\n", "\xc0\x80", "{", "]"};

/// Whether \p Text ends no string of the list around it.
bool staysInString(std::string_view Text) {
  bool IsEscaped = false;
  for (const char Each : Text) {
    if (Each == '"' && !IsEscaped)
      return false;
    IsEscaped = Each == '\\' && !IsEscaped;
  }
  return !IsEscaped;
}

} // namespace

// clang-format off
TEST_GROUP(StoreFuzz) {};
// clang-format on

TEST(StoreFuzz, GoodObjectsStayBesideBadOnes) {
  mutator Mutator(6);
  for (int Round = 0; Round < fuzzRounds(); ++Round) {
    const std::string Odd = Mutator.mutate(Texts, Words);
    if (!staysInString(Odd))
      continue;
    const auto Page = platform::decodePage(
        cat(R"({"items":[{"metadata":{"name":"odd","revision":3},)",
            R"("specification":{"service":")", Odd, R"("}},)", Good,
            R"(],"more":false,"at_revision":9})"));
    CHECK_TEXT(Page.has_value(), Odd.c_str());
    LONGS_EQUAL(2, Page->Items.size());
    const auto Found =
        std::find_if(Page->Items.begin(), Page->Items.end(),
                     [](const auto &Each) { return Each.Name == "good"; });
    CHECK(Found != Page->Items.end());
    CHECK(platform::decodeTarget(Found->Text).has_value());
  }
}

TEST(StoreFuzz, MutatedObjectsAreDecodedOrRejected) {
  mutator Mutator(7);
  const std::array<std::string, 1> Samples = {Good};
  int Decoded = 0;
  for (int Round = 0; Round < fuzzRounds(); ++Round) {
    const std::string Text = Mutator.mutate(Samples, Words);
    const auto Entry = platform::decodeTarget(Text);
    Decoded += Entry.has_value() ? 1 : 0;
    CHECK_TEXT(Entry.has_value() || !Entry.error().Message.empty(),
               Text.c_str());
  }
  CHECK(Decoded > 0);
}
