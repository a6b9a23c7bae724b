// Mutated messages of peers: what is decoded is encoded and decoded alike.

#include "Fuzz/mutation.h"
#include "PeerMessages/peer_messages.h"

#include <CppUTest/TestHarness.h>
#include <array>

using namespace amaranthhoist;

namespace {

std::string sampleDatagram(bool HasQuotas) {
  peer_datagram Datagram;
  Datagram.Sender = "n-1";
  Datagram.Control = "10.0.0.1:84";
  Datagram.ConfigurationVersion = 7;
  Datagram.Crashes.resize(2);
  if (HasQuotas) {
    Datagram.QuotaHolder = 5;
    Datagram.QuotaRequests = {{1, 2, 3, 4, 5, 6}};
    Datagram.QuotaResponses = {{1, 2, 3, std::chrono::milliseconds(40)}};
  }
  return encodeDatagram(Datagram);
}

std::string sampleChanges(std::size_t Objects) {
  cache_changes Changes;
  kind_changes Kind{object_kind::Target, 9, /*IsFull=*/true, {}};
  for (std::size_t Index = 0; Index < Objects; ++Index)
    Kind.Changes.push_back(
        {"i-" + std::to_string(Index), false, Index + 1, R"({"a":"b"})"});
  Changes.Kinds.push_back(std::move(Kind));
  return encodeChanges(Changes);
}

template <typename decode, typename encode>
void checkRoundTrips(std::uint64_t Seed, std::span<const std::string> Samples,
                     decode Decode, encode Encode) {
  mutator Mutator(Seed);
  int Decoded = 0;
  for (int Round = 0; Round < fuzzRounds(); ++Round) {
    const auto First = Decode(Mutator.mutate(Samples, {}));
    if (!First)
      continue;
    ++Decoded;
    const std::string Text = Encode(*First);
    const auto Second = Decode(Text);
    CHECK(Second.has_value());
    CHECK(Encode(*Second) == Text);
  }
  CHECK(Decoded > 0);
}

} // namespace

// clang-format off
TEST_GROUP(PeerFuzz) {};
// clang-format on

TEST(PeerFuzz, DatagramsSurviveEncoding) {
  const std::array<std::string, 2> Samples = {sampleDatagram(false),
                                              sampleDatagram(true)};
  checkRoundTrips(
      3, Samples, [](const std::string &Text) { return decodeDatagram(Text); },
      [](const peer_datagram &Each) { return encodeDatagram(Each); });
}

TEST(PeerFuzz, ChangesSurviveEncoding) {
  const std::array<std::string, 2> Samples = {sampleChanges(2),
                                              sampleChanges(200)};
  checkRoundTrips(
      4, Samples, [](const std::string &Text) { return decodeChanges(Text); },
      [](const cache_changes &Each) { return encodeChanges(Each); });
}
