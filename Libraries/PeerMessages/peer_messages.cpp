#include "PeerMessages/peer_messages.h"

#include "PeerMessages/peer_messages.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace amaranthhoist {

/// Words that a message may make the reader look at: many times what a sound
/// one of its size needs, and little work for one made to be costly.
static constexpr std::uint64_t LeastReadLimit = 65'536;
static constexpr std::uint64_t ReadLimitPerWord = 8;

static std::string toBytes(capnp::MessageBuilder &Builder) {
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Builder);
  const auto Bytes = Words.asChars();
  return {Bytes.begin(), Bytes.size()};
}

std::string encodeDatagram(const peer_datagram &Datagram) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<datagram::Datagram>();
  Root.setSender(Datagram.Sender);
  Root.setControl(Datagram.Control);
  Root.setKind(static_cast<std::uint8_t>(Datagram.Message.Kind));
  Root.setSubject(Datagram.Message.Subject);
  Root.setOnBehalfOf(Datagram.Message.OnBehalfOf);
  auto Beliefs =
      Root.initBeliefs(static_cast<unsigned>(Datagram.Message.Beliefs.size()));
  for (unsigned Index = 0; Index < Beliefs.size(); ++Index) {
    const member_belief &Belief = Datagram.Message.Beliefs[Index];
    Beliefs[Index].setName(Belief.Name);
    Beliefs[Index].setStatus(static_cast<std::uint8_t>(Belief.Status));
    Beliefs[Index].setCounter(Belief.Counter);
  }
  return toBytes(Builder);
}

static std::optional<peer_datagram> read(datagram::Datagram::Reader Root) {
  peer_datagram Datagram;
  const unsigned Kind = Root.getKind();
  if (Kind > static_cast<unsigned>(membership_message::kind::PingFor))
    return std::nullopt;
  Datagram.Sender = Root.getSender().cStr();
  Datagram.Control = Root.getControl().cStr();
  Datagram.Message.Kind = static_cast<membership_message::kind>(Kind);
  Datagram.Message.Subject = Root.getSubject().cStr();
  Datagram.Message.OnBehalfOf = Root.getOnBehalfOf().cStr();
  for (const auto Belief : Root.getBeliefs()) {
    const unsigned Status = Belief.getStatus();
    if (Status > static_cast<unsigned>(member_status::Down))
      return std::nullopt;
    Datagram.Message.Beliefs.push_back({Belief.getName().cStr(),
                                        static_cast<member_status>(Status),
                                        Belief.getCounter()});
  }
  return Datagram;
}

static std::optional<cache_changes> read(datagram::CacheChanges::Reader Root) {
  cache_changes Answer;
  Answer.Age = duration(Root.getAgeUs());
  Answer.ListIsSure = Root.getListIsSure();
  for (const auto Kind : Root.getKinds()) {
    if (Kind.getKind() >= ObjectKinds)
      return std::nullopt;
    kind_changes Changes;
    Changes.Kind = static_cast<object_kind>(Kind.getKind());
    Changes.AtRevision = Kind.getAtRevision();
    Changes.IsFull = Kind.getIsFull();
    for (const auto Change : Kind.getChanges())
      Changes.Changes.push_back({Change.getName().cStr(), Change.getIsDeleted(),
                                 Change.getRevision(),
                                 Change.getText().cStr()});
    Answer.Kinds.push_back(std::move(Changes));
  }
  return Answer;
}

/// Reads a message of type \p Message; none when \p Bytes are no such.
template <typename Message>
static auto decode(std::string_view Bytes)
    -> decltype(read(typename Message::Reader())) {
  // Aligned as the library needs them.
  std::vector<std::uint64_t> Words(Bytes.size() / sizeof(capnp::word));
  if (Words.empty() || Words.size() * sizeof(capnp::word) != Bytes.size())
    return std::nullopt;
  std::memcpy(Words.data(), Bytes.data(), Bytes.size());
  // The library throws on bytes that are no message; here that is an outcome.
  try {
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords =
        LeastReadLimit + ReadLimitPerWord * Words.size();
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

std::string encodeChanges(const cache_changes &Changes) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<datagram::CacheChanges>();
  Root.setAgeUs(Changes.Age.count());
  Root.setListIsSure(Changes.ListIsSure);
  auto Kinds = Root.initKinds(static_cast<unsigned>(Changes.Kinds.size()));
  for (unsigned Index = 0; Index < Kinds.size(); ++Index) {
    const kind_changes &Kind = Changes.Kinds[Index];
    Kinds[Index].setKind(static_cast<std::uint8_t>(Kind.Kind));
    Kinds[Index].setAtRevision(Kind.AtRevision);
    Kinds[Index].setIsFull(Kind.IsFull);
    auto List =
        Kinds[Index].initChanges(static_cast<unsigned>(Kind.Changes.size()));
    for (unsigned At = 0; At < List.size(); ++At) {
      List[At].setName(Kind.Changes[At].Name);
      List[At].setIsDeleted(Kind.Changes[At].IsDeleted);
      List[At].setRevision(Kind.Changes[At].Revision);
      List[At].setText(Kind.Changes[At].Text);
    }
  }
  return toBytes(Builder);
}

std::optional<cache_changes> decodeChanges(std::string_view Bytes) {
  return decode<datagram::CacheChanges>(Bytes);
}

} // namespace amaranthhoist
