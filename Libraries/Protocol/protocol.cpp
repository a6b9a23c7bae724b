#include "Protocol/protocol.h"

namespace amaranthhoist {

wire::Outcome toWire(outcome Value) {
  switch (Value) {
  case outcome::Answered:
    return wire::Outcome::ANSWERED;
  case outcome::Refused:
    return wire::Outcome::REFUSED;
  case outcome::NotRun:
    return wire::Outcome::NOT_RUN;
  case outcome::Unknown:
    return wire::Outcome::UNKNOWN;
  }
  return wire::Outcome::UNKNOWN;
}

outcome fromWire(wire::Outcome Value) {
  switch (Value) {
  case wire::Outcome::ANSWERED:
    return outcome::Answered;
  case wire::Outcome::REFUSED:
    return outcome::Refused;
  case wire::Outcome::NOT_RUN:
    return outcome::NotRun;
  case wire::Outcome::UNKNOWN:
    return outcome::Unknown;
  }
  return outcome::Unknown;
}

std::string toString(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

void writeOffers(std::span<const service_offer> Offers,
                 capnp::List<wire::Offer>::Builder Builder) {
  unsigned Place = 0;
  for (const service_offer &Entry : Offers) {
    wire::Offer::Builder Item = Builder[Place++];
    Item.setService(Entry.Service);
    Item.setSite(Entry.Offer.Site);
    Item.setRegion(Entry.Offer.Region);
    Item.setNode(Entry.Offer.Gateway);
    Item.setFreeUnits(Entry.Offer.FreeUnits);
    Item.setPredictedWaitUs(Entry.Offer.PredictedWait.count());
    Item.setDraining(Entry.Offer.Suspect);
    Item.setFailureDomain(Entry.Offer.FailureDomain);
  }
}

std::vector<service_offer> readOffers(capnp::List<wire::Offer>::Reader Reader,
                                      instant Now) {
  std::vector<service_offer> Offers;
  for (const wire::Offer::Reader Item : Reader) {
    service_offer Entry;
    Entry.Service = toString(Item.getService());
    Entry.Offer.Site = toString(Item.getSite());
    Entry.Offer.Region = toString(Item.getRegion());
    Entry.Offer.Gateway = toString(Item.getNode());
    Entry.Offer.FreeUnits = Item.getFreeUnits();
    Entry.Offer.PredictedWait = duration(Item.getPredictedWaitUs());
    Entry.Offer.Suspect = Item.getDraining();
    Entry.Offer.FailureDomain = toString(Item.getFailureDomain());
    Entry.Offer.ReceivedAt = Now;
    Offers.push_back(std::move(Entry));
  }
  return Offers;
}

namespace {

struct peer_message_writer {
  wire::PeerMessage::Builder Builder;

  void operator()(const loan_message &Message) {
    wire::LoanMessage::Builder Loan = Builder.initLoan();
    Loan.setKind(static_cast<std::uint8_t>(Message.Kind));
    Loan.setLoanId(Message.LoanId);
    Loan.setResource(Message.Resource);
    Loan.setUnits(Message.Units);
  }
  void operator()(const witness_record &Message) {
    auto Record = Builder.initWitnessRecord();
    Record.setKey(Message.Key);
    Record.setExpiresAtMs(Message.ExpiresAtMs);
  }
  void operator()(const witness_reply &Message) {
    auto Reply = Builder.initWitnessReply();
    Reply.setReplyKey(Message.Key);
    Reply.setRecorded(Message.Recorded);
  }
  void operator()(const draining_notice &Message) {
    Builder.setLeaving(Message.Target);
  }
};

} // namespace

void writePeerMessage(const peer_message &Message,
                      wire::PeerMessage::Builder Builder) {
  std::visit(peer_message_writer{Builder}, Message);
}

static loan_message readLoan(wire::LoanMessage::Reader Reader) {
  loan_message Message;
  Message.Kind = static_cast<loan_message::kind>(Reader.getKind());
  Message.LoanId = toString(Reader.getLoanId());
  Message.Resource = toString(Reader.getResource());
  Message.Units = Reader.getUnits();
  return Message;
}

peer_message readPeerMessage(wire::PeerMessage::Reader Reader) {
  switch (Reader.which()) {
  case wire::PeerMessage::LOAN:
    return readLoan(Reader.getLoan());
  case wire::PeerMessage::WITNESS_RECORD:
    return witness_record{toString(Reader.getWitnessRecord().getKey()),
                          Reader.getWitnessRecord().getExpiresAtMs()};
  case wire::PeerMessage::WITNESS_REPLY:
    return witness_reply{toString(Reader.getWitnessReply().getReplyKey()),
                         Reader.getWitnessReply().getRecorded()};
  case wire::PeerMessage::LEAVING:
    return draining_notice{toString(Reader.getLeaving())};
  }
  return witness_reply{};
}

void writeItems(std::span<const item> Items,
                capnp::List<wire::Item>::Builder Builder) {
  unsigned Place = 0;
  for (const item &Item : Items) {
    wire::Item::Builder Entry = Builder[Place++];
    Entry.setKey(Item.Key);
    Entry.setVersion(Item.Version);
    Entry.setDeleted(Item.Deleted);
    Entry.setValue(Item.Value);
  }
}

std::vector<item> readItems(capnp::List<wire::Item>::Reader Reader) {
  std::vector<item> Items;
  for (const wire::Item::Reader Entry : Reader)
    Items.push_back({toString(Entry.getKey()), Entry.getVersion(),
                     Entry.getDeleted(), toString(Entry.getValue())});
  return Items;
}

namespace {

struct replica_message_writer {
  wire::ReplicaMessage::Builder Builder;

  void operator()(const replica_items &Message) {
    writeItems(Message.Items,
               Builder.initItems(static_cast<unsigned>(Message.Items.size())));
  }
  void operator()(const replica_root &Message) {
    Builder.setRoot(Message.Root);
  }
  void operator()(const replica_buckets &Message) {
    auto Hashes =
        Builder.initBucketHashes(static_cast<unsigned>(Message.Hashes.size()));
    for (unsigned Place = 0; Place < Hashes.size(); ++Place)
      Hashes.set(Place, Message.Hashes[Place]);
  }
  void operator()(const replica_keys &Message) {
    auto Group = Builder.initKeys();
    auto Buckets =
        Group.initBuckets(static_cast<unsigned>(Message.Buckets.size()));
    for (unsigned Place = 0; Place < Buckets.size(); ++Place)
      Buckets.set(Place, Message.Buckets[Place]);
    auto Keys = Group.initKeys(static_cast<unsigned>(Message.Keys.size()));
    for (unsigned Place = 0; Place < Keys.size(); ++Place) {
      Keys[Place].setKey(Message.Keys[Place].Key);
      Keys[Place].setVersion(Message.Keys[Place].Version);
    }
  }
  void operator()(const replica_request &Message) {
    auto Want = Builder.initWant(static_cast<unsigned>(Message.Keys.size()));
    for (unsigned Place = 0; Place < Want.size(); ++Place)
      Want.set(Place, Message.Keys[Place]);
  }
};

} // namespace

void writeReplicaMessage(const replica_message &Message,
                         wire::ReplicaMessage::Builder Builder) {
  std::visit(replica_message_writer{Builder}, Message);
}

static replica_keys readReplicaKeys(wire::ReplicaMessage::Keys::Reader Reader) {
  replica_keys Message;
  for (const std::uint32_t Bucket : Reader.getBuckets())
    Message.Buckets.push_back(Bucket);
  for (const wire::KeyVersion::Reader Entry : Reader.getKeys())
    Message.Keys.push_back({toString(Entry.getKey()), Entry.getVersion()});
  return Message;
}

replica_message readReplicaMessage(wire::ReplicaMessage::Reader Reader) {
  switch (Reader.which()) {
  case wire::ReplicaMessage::ITEMS:
    return replica_items{readItems(Reader.getItems())};
  case wire::ReplicaMessage::ROOT:
    return replica_root{Reader.getRoot()};
  case wire::ReplicaMessage::BUCKET_HASHES: {
    replica_buckets Message;
    for (const std::uint64_t Hash : Reader.getBucketHashes())
      Message.Hashes.push_back(Hash);
    return Message;
  }
  case wire::ReplicaMessage::KEYS:
    return readReplicaKeys(Reader.getKeys());
  case wire::ReplicaMessage::WANT: {
    replica_request Message;
    for (const capnp::Text::Reader Key : Reader.getWant())
      Message.Keys.push_back(toString(Key));
    return Message;
  }
  }
  return replica_request{};
}

void writeMembershipMessage(const membership_message &Message,
                            wire::MembershipMessage::Builder Builder) {
  Builder.setKind(static_cast<std::uint8_t>(Message.Kind));
  Builder.setSubject(Message.Subject);
  Builder.setOnBehalfOf(Message.OnBehalfOf);
  auto Beliefs =
      Builder.initBeliefs(static_cast<unsigned>(Message.Updates.size()));
  for (unsigned Place = 0; Place < Beliefs.size(); ++Place) {
    Beliefs[Place].setName(Message.Updates[Place].Name);
    Beliefs[Place].setStatus(
        static_cast<std::uint8_t>(Message.Updates[Place].Status));
    Beliefs[Place].setCounter(Message.Updates[Place].Incarnation);
  }
}

membership_message
readMembershipMessage(wire::MembershipMessage::Reader Reader) {
  membership_message Message;
  Message.Kind = static_cast<membership_message::kind>(Reader.getKind());
  Message.Subject = toString(Reader.getSubject());
  Message.OnBehalfOf = toString(Reader.getOnBehalfOf());
  for (const wire::Belief::Reader Belief : Reader.getBeliefs())
    Message.Updates.push_back({toString(Belief.getName()),
                               static_cast<member_status>(Belief.getStatus()),
                               Belief.getCounter()});
  return Message;
}

} // namespace amaranthhoist
