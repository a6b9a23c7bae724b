#include "PeerMessages/peer_messages.h"

#include "PeerMessages/peer_messages.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>
#include <zlib.h>

namespace amaranthhoist {

/// Bounds the words that the reader traverses for one message: many times what
/// a valid message of its size needs, and little work for one crafted to be
/// expensive.
static constexpr std::uint64_t MinReadLimitWords = 65'536;
static constexpr std::uint64_t ReadLimitPerWord = 8;
/// Smaller encoded changes, a few objects, are not worth compressing.
static constexpr std::size_t MinCompressedBytes = 2'048;
/// Fastest level: 4 ms for 378 KB; the best level saves a fifth of the bytes
/// more and takes five times as long.
static constexpr int CompressionLevel = 1;
/// A full snapshot of the largest planned fleet (7,000 servers of 350 bytes)
/// takes a tenth of this. A message that states a larger size is rejected.
static constexpr std::size_t MaxPlainBytes = 32U << 20U;

static std::string toBytes(capnp::MessageBuilder &Builder) {
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Builder);
  const auto Bytes = Words.asChars();
  return {Bytes.begin(), Bytes.size()};
}

static void writeCrashes(datagram::Datagram::Builder Root,
                         std::span<const crash_report> Reports) {
  auto Crashes = Root.initCrashes(static_cast<unsigned>(Reports.size()));
  for (unsigned Index = 0; Index < Crashes.size(); ++Index) {
    const crash_report &Report = Reports[Index];
    Crashes[Index].setContent(Report.Content);
    Crashes[Index].setGeneration(Report.Generation);
    Crashes[Index].setAgeUs(Report.Age.count());
    Crashes[Index].setIsForAll(Report.IsBroadcast);
    auto Servers = Crashes[Index].initServers(
        static_cast<unsigned>(Report.Servers.size()));
    for (unsigned Position = 0; Position < Servers.size(); ++Position)
      Servers.set(Position, Report.Servers[Position]);
  }
}

static void writeQuota(datagram::Datagram::Builder Root,
                       const peer_datagram &Datagram) {
  Root.setQuotaHolder(Datagram.QuotaHolder);
  if (!Datagram.QuotaRequests.empty()) {
    auto Requests = Root.initQuotaRequests(
        static_cast<unsigned>(Datagram.QuotaRequests.size()));
    for (unsigned Index = 0; Index < Requests.size(); ++Index) {
      const quota_request &Request = Datagram.QuotaRequests[Index];
      Requests[Index].setAccount(Request.Account);
      Requests[Index].setSequence(Request.Sequence);
      Requests[Index].setSpent(Request.Spent);
      Requests[Index].setKept(Request.Kept);
      Requests[Index].setWanted(Request.Wanted);
      Requests[Index].setImmediate(Request.Immediate);
    }
  }
  if (Datagram.QuotaResponses.empty())
    return;
  auto Responses = Root.initQuotaResponses(
      static_cast<unsigned>(Datagram.QuotaResponses.size()));
  for (unsigned Index = 0; Index < Responses.size(); ++Index) {
    const quota_response &Response = Datagram.QuotaResponses[Index];
    Responses[Index].setAccount(Response.Account);
    Responses[Index].setSequence(Response.Sequence);
    Responses[Index].setGranted(Response.Granted);
    Responses[Index].setRetryAfterUs(
        static_cast<std::uint32_t>(Response.RetryAfter.count()));
    Responses[Index].setIsUnavailable(Response.IsUnavailable);
  }
}

static void writeMembership(datagram::Datagram::Builder Root,
                            const membership_message &Message) {
  Root.setKind(static_cast<std::uint8_t>(Message.Kind));
  Root.setSubject(Message.Subject);
  Root.setOnBehalfOf(Message.OnBehalfOf);
  Root.setRequestsStatuses(Message.RequestsStatuses);
  Root.setHasStatuses(Message.HasStatuses);
  auto Beliefs =
      Root.initBeliefs(static_cast<unsigned>(Message.Updates.size()));
  for (unsigned Index = 0; Index < Beliefs.size(); ++Index) {
    const member_update &Update = Message.Updates[Index];
    Beliefs[Index].setName(Update.Name);
    Beliefs[Index].setStatus(static_cast<std::uint8_t>(Update.Status));
    Beliefs[Index].setCounter(Update.Incarnation);
  }
  if (Message.HashedUpdates.empty())
    return;
  auto Hashed = Root.initHashedBeliefs(
      static_cast<unsigned>(Message.HashedUpdates.size()));
  for (unsigned Index = 0; Index < Hashed.size(); ++Index) {
    const hashed_update &Update = Message.HashedUpdates[Index];
    Hashed[Index].setNameHash(Update.NameHash);
    Hashed[Index].setStatus(static_cast<std::uint8_t>(Update.Status));
    Hashed[Index].setCounter(static_cast<std::uint32_t>(Update.Incarnation));
  }
}

std::string encodeDatagram(const peer_datagram &Datagram) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<datagram::Datagram>();
  Root.setSender(Datagram.Sender);
  Root.setControl(Datagram.Control);
  Root.setConfigurationVersion(Datagram.ConfigurationVersion);
  writeMembership(Root, Datagram.Message);
  writeCrashes(Root, Datagram.Crashes);
  writeQuota(Root, Datagram);
  return toBytes(Builder);
}

static std::vector<crash_report> readCrashes(datagram::Datagram::Reader Root) {
  std::vector<crash_report> Reports;
  for (const auto Crash : Root.getCrashes()) {
    crash_report Report{Crash.getContent(),
                        Crash.getGeneration(),
                        {},
                        duration(Crash.getAgeUs()),
                        Crash.getIsForAll()};
    for (const std::uint64_t Server : Crash.getServers())
      Report.Servers.push_back(Server);
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

static void readQuota(datagram::Datagram::Reader Root,
                      peer_datagram &Datagram) {
  Datagram.QuotaHolder = Root.getQuotaHolder();
  for (const auto Request : Root.getQuotaRequests())
    Datagram.QuotaRequests.push_back(
        {Request.getAccount(), Request.getSequence(), Request.getSpent(),
         Request.getKept(), Request.getWanted(), Request.getImmediate()});
  for (const auto Response : Root.getQuotaResponses())
    Datagram.QuotaResponses.push_back(
        {Response.getAccount(), Response.getSequence(), Response.getGranted(),
         duration(Response.getRetryAfterUs()), Response.getIsUnavailable()});
}

static std::optional<member_status> readStatus(unsigned Status) {
  if (Status > static_cast<unsigned>(member_status::Down))
    return std::nullopt;
  return static_cast<member_status>(Status);
}

static std::optional<membership_message>
readMembership(datagram::Datagram::Reader Root) {
  const unsigned Kind = Root.getKind();
  if (Kind > static_cast<unsigned>(membership_message::kind::IndirectPing))
    return std::nullopt;
  membership_message Message;
  Message.Kind = static_cast<membership_message::kind>(Kind);
  Message.Subject = Root.getSubject().cStr();
  Message.OnBehalfOf = Root.getOnBehalfOf().cStr();
  Message.RequestsStatuses = Root.getRequestsStatuses();
  Message.HasStatuses = Root.getHasStatuses();
  for (const auto Belief : Root.getBeliefs()) {
    const auto Status = readStatus(Belief.getStatus());
    if (!Status)
      return std::nullopt;
    Message.Updates.push_back(
        {Belief.getName().cStr(), *Status, Belief.getCounter()});
  }
  for (const auto Belief : Root.getHashedBeliefs()) {
    const auto Status = readStatus(Belief.getStatus());
    if (!Status)
      return std::nullopt;
    Message.HashedUpdates.push_back(
        {Belief.getNameHash(), *Status, Belief.getCounter()});
  }
  return Message;
}

static std::optional<peer_datagram> read(datagram::Datagram::Reader Root) {
  auto Message = readMembership(Root);
  if (!Message)
    return std::nullopt;
  peer_datagram Datagram;
  Datagram.Message = std::move(*Message);
  Datagram.Sender = Root.getSender().cStr();
  Datagram.Control = Root.getControl().cStr();
  Datagram.ConfigurationVersion = Root.getConfigurationVersion();
  Datagram.Crashes = readCrashes(Root);
  readQuota(Root, Datagram);
  return Datagram;
}

static std::optional<std::vector<kind_changes>>
read(datagram::KindList::Reader Root) {
  std::vector<kind_changes> Kinds;
  for (const auto Kind : Root.getKinds()) {
    if (Kind.getKind() >= ObjectKinds)
      return std::nullopt;
    kind_changes Changes;
    Changes.Kind = static_cast<object_kind>(Kind.getKind());
    Changes.Era = Kind.getEra();
    Changes.AtRevision = Kind.getAtRevision();
    Changes.IsFull = Kind.getIsFull();
    for (const auto Change : Kind.getChanges())
      Changes.Changes.push_back({Change.getName().cStr(), Change.getIsDeleted(),
                                 Change.getRevision(),
                                 Change.getText().cStr()});
    Kinds.push_back(std::move(Changes));
  }
  return Kinds;
}

namespace {

/// A CacheChanges message whose kinds are still packed.
struct packed_changes {
  cache_changes Changes;
  packed_kinds Kinds;
};

} // namespace

static std::optional<packed_changes> read(datagram::CacheChanges::Reader Root) {
  packed_changes Packed;
  Packed.Changes.Age = duration(Root.getAgeUs());
  Packed.Changes.ListIsComplete = Root.getListIsSure();
  if (Root.getContactAgeUs() >= 0)
    Packed.Changes.ContactAge = duration(Root.getContactAgeUs());
  for (const auto Source : Root.getSources())
    Packed.Changes.Sources.emplace_back(Source.cStr());
  const auto Kinds = Root.getKinds().asChars();
  Packed.Kinds.Bytes.assign(Kinds.begin(), Kinds.size());
  Packed.Kinds.PlainSize = Root.getPlainBytes();
  return Packed;
}

/// Reads a message of type \p Message; returns none when \p Bytes are not a
/// valid one.
template <typename Message>
static auto decode(std::string_view Bytes)
    -> decltype(read(typename Message::Reader())) {
  // Copies the bytes to the alignment that the library requires.
  std::vector<std::uint64_t> Words(Bytes.size() / sizeof(capnp::word));
  if (Words.empty() || Words.size() * sizeof(capnp::word) != Bytes.size())
    return std::nullopt;
  std::memcpy(Words.data(), Bytes.data(), Bytes.size());
  // The library throws on malformed bytes; here that is an expected result.
  try {
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords =
        MinReadLimitWords + ReadLimitPerWord * Words.size();
    capnp::FlatArrayMessageReader Reader(
        kj::ArrayPtr<const capnp::word>(
            reinterpret_cast<const capnp::word *>(Words.data()), Words.size()),
        Options);
    return read(Reader.getRoot<Message>());
  } catch (const kj::Exception &) {
    return std::nullopt;
  }
}

std::optional<peer_datagram> decodeDatagram(std::string_view Bytes) {
  return decode<datagram::Datagram>(Bytes);
}

static std::string encodeKinds(const std::vector<kind_changes> &All) {
  capnp::MallocMessageBuilder Builder;
  auto Kinds = Builder.initRoot<datagram::KindList>().initKinds(
      static_cast<unsigned>(All.size()));
  for (unsigned Index = 0; Index < Kinds.size(); ++Index) {
    const kind_changes &Kind = All[Index];
    Kinds[Index].setKind(static_cast<std::uint8_t>(Kind.Kind));
    Kinds[Index].setEra(Kind.Era);
    Kinds[Index].setAtRevision(Kind.AtRevision);
    Kinds[Index].setIsFull(Kind.IsFull);
    auto List =
        Kinds[Index].initChanges(static_cast<unsigned>(Kind.Changes.size()));
    for (unsigned Position = 0; Position < List.size(); ++Position) {
      List[Position].setName(Kind.Changes[Position].Name);
      List[Position].setIsDeleted(Kind.Changes[Position].IsDeleted);
      List[Position].setRevision(Kind.Changes[Position].Revision);
      List[Position].setText(Kind.Changes[Position].Text);
    }
  }
  return toBytes(Builder);
}

packed_kinds packKinds(const std::vector<kind_changes> &Kinds) {
  if (Kinds.empty())
    return {};
  packed_kinds Packed{encodeKinds(Kinds), 0};
  if (Packed.Bytes.size() < MinCompressedBytes)
    return Packed;
  uLongf Size = compressBound(Packed.Bytes.size());
  std::string Compressed(Size, '\0');
  const int Status =
      compress2(reinterpret_cast<Bytef *>(Compressed.data()), &Size,
                reinterpret_cast<const Bytef *>(Packed.Bytes.data()),
                Packed.Bytes.size(), CompressionLevel);
  // Out of memory: sends the uncompressed bytes instead.
  if (Status != Z_OK)
    return Packed;
  Compressed.resize(Size);
  return {std::move(Compressed), Packed.Bytes.size()};
}

/// Returns none when \p Packed is not valid output of packKinds().
static std::optional<std::vector<kind_changes>>
unpackKinds(const packed_kinds &Packed) {
  if (Packed.Bytes.empty())
    return std::vector<kind_changes>();
  if (Packed.PlainSize == 0)
    return decode<datagram::KindList>(Packed.Bytes);
  if (Packed.PlainSize > MaxPlainBytes)
    return std::nullopt;
  std::string Plain(Packed.PlainSize, '\0');
  uLongf Size = Plain.size();
  const int Status =
      uncompress(reinterpret_cast<Bytef *>(Plain.data()), &Size,
                 reinterpret_cast<const Bytef *>(Packed.Bytes.data()),
                 Packed.Bytes.size());
  if (Status != Z_OK || Size != Plain.size())
    return std::nullopt;
  return decode<datagram::KindList>(Plain);
}

std::string encodeChanges(const cache_changes &Changes,
                          const packed_kinds &Kinds) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<datagram::CacheChanges>();
  Root.setAgeUs(Changes.Age.count());
  Root.setListIsSure(Changes.ListIsComplete);
  if (Changes.ContactAge)
    Root.setContactAgeUs(Changes.ContactAge->count());
  Root.setKinds(capnp::Data::Reader(
      reinterpret_cast<const kj::byte *>(Kinds.Bytes.data()),
      Kinds.Bytes.size()));
  Root.setPlainBytes(static_cast<std::uint32_t>(Kinds.PlainSize));
  auto Sources =
      Root.initSources(static_cast<unsigned>(Changes.Sources.size()));
  for (unsigned Index = 0; Index < Sources.size(); ++Index)
    Sources.set(Index, Changes.Sources[Index]);
  return toBytes(Builder);
}

std::string encodeChanges(const cache_changes &Changes) {
  return encodeChanges(Changes, packKinds(Changes.Kinds));
}

std::optional<cache_changes> decodeChanges(std::string_view Bytes) {
  auto Packed = decode<datagram::CacheChanges>(Bytes);
  if (!Packed)
    return std::nullopt;
  auto Kinds = unpackKinds(Packed->Kinds);
  if (!Kinds)
    return std::nullopt;
  Packed->Changes.Kinds = std::move(*Kinds);
  return std::move(Packed->Changes);
}

} // namespace amaranthhoist
