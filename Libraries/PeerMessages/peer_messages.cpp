#include "PeerMessages/peer_messages.h"

#include "PeerMessages/peer_messages.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

namespace amaranthhoist {

/// Words that a datagram may make the reader look at: many times what a sound
/// one needs, and little work for one made to be costly.
static constexpr std::uint64_t ReadLimitWords = 65'536;

std::string encodeDatagram(const peer_datagram &Datagram) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<datagram::Datagram>();
  Root.setSender(Datagram.Sender);
  Root.setKind(static_cast<std::uint8_t>(Datagram.Message.Kind));
  Root.setSubject(Datagram.Message.Subject);
  Root.setOnBehalfOf(Datagram.Message.OnBehalfOf);
  auto Beliefs = Root.initBeliefs(
      static_cast<unsigned>(Datagram.Message.Beliefs.size()));
  for (unsigned Index = 0; Index < Beliefs.size(); ++Index) {
    const member_belief &Belief = Datagram.Message.Beliefs[Index];
    Beliefs[Index].setName(Belief.Name);
    Beliefs[Index].setStatus(static_cast<std::uint8_t>(Belief.Status));
    Beliefs[Index].setCounter(Belief.Counter);
  }
  const kj::Array<capnp::word> Words = capnp::messageToFlatArray(Builder);
  const auto Bytes = Words.asChars();
  return {Bytes.begin(), Bytes.size()};
}

static std::optional<peer_datagram> read(datagram::Datagram::Reader Root) {
  peer_datagram Datagram;
  const unsigned Kind = Root.getKind();
  if (Kind > static_cast<unsigned>(membership_message::kind::PingFor))
    return std::nullopt;
  Datagram.Sender = Root.getSender().cStr();
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

std::optional<peer_datagram> decodeDatagram(std::string_view Bytes) {
  // Aligned as the library needs them.
  std::vector<std::uint64_t> Words(Bytes.size() / sizeof(capnp::word));
  if (Words.empty() || Words.size() * sizeof(capnp::word) != Bytes.size())
    return std::nullopt;
  std::memcpy(Words.data(), Bytes.data(), Bytes.size());
  std::optional<peer_datagram> Datagram;
  // The library throws on bytes that are no message; here that is an outcome.
  try {
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = ReadLimitWords;
    capnp::FlatArrayMessageReader Reader(
        kj::ArrayPtr<const capnp::word>(
            reinterpret_cast<const capnp::word *>(Words.data()), Words.size()),
        Options);
    Datagram = read(Reader.getRoot<datagram::Datagram>());
  } catch (const kj::Exception &) {
    return std::nullopt;
  }
  return Datagram;
}

} // namespace amaranthhoist
